"""The view that one instance has of one endpoint: state, predicted cache, speed and queue."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from rattangate.core.cache_model import CachePredictor
from rattangate.core.failure_rate import FailureRate
from rattangate.core.messages import EndpointState
from rattangate.core.prefill_speed import PrefillSpeed

if TYPE_CHECKING:
    from rattangate.core.messages import EndpointStatus, LoadReported

# The oldest prefill is overdue after this multiple of its expected time, plus the slack.
OVERDUE_FACTOR = 1.2
OVERDUE_SLACK_S = 0.1
# A report of an idle engine removes only requests placed at least this many seconds before it.
IDLE_REPORT_SLACK_S = 1.0
# Removed requests are kept for this many seconds to explain load reports that were measured while
# they were still pending.
RELEASED_RETENTION_S = 10.0

# The instance that placed the request, empty for this one, and its placement number.
PrefillKey = tuple[str, int]


@dataclass(slots=True)
class PendingPrefill:
    """Hold one placed request whose first token has not arrived.

    `predictions` are the numbers of cached leading blocks, one for each cache model.
    """

    blocks: tuple[int, ...]
    prompt_tokens: int
    priority: int
    placed_at: float
    missing_tokens: int
    predictions: tuple[int, ...]


class Endpoint:
    """Track one incarnation and weights version of an endpoint.

    `pending` holds the requests in prefill or queued for it, in order of placement.
    """

    def __init__(self, status: EndpointStatus, block_tokens: int, learn: bool, now: float) -> None:
        self.status = status
        self.block_tokens = block_tokens
        self.cache = CachePredictor(status.cache_blocks, learn)
        self.speed = PrefillSpeed()
        self.failures = FailureRate()
        self.pending: OrderedDict[PrefillKey, PendingPrefill] = OrderedDict()
        self._tokens_by_priority: dict[int, int] = {}
        self._head_started_at = now
        self._unattributed_tokens = 0
        self._released: deque[tuple[float, PendingPrefill]] = deque()
        self._reported_at = now

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.status.endpoint

    def update(self, status: EndpointStatus) -> None:
        """Apply a new state of the same incarnation; `LEAVING` is final."""
        if self.status.state is EndpointState.LEAVING:
            status = replace(status, state=EndpointState.LEAVING)
        self.status = status

    def cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Predict the tokens of a prompt that the engine has cached."""
        return self.cache.count_cached(blocks) * self.block_tokens

    def missing_tokens(self, blocks: tuple[int, ...], prompt_tokens: int) -> int:
        """Predict the tokens of a prompt that the engine must prefill."""
        return max(1, prompt_tokens - self.cached_tokens(blocks))

    def wait_s(self, priority: int, now: float, s_per_token: float | None = None) -> float:
        """Estimate how long a new request of this priority waits for prefill, in seconds."""
        unattributed_s = self._unattributed_s(now) if self._unattributed_tokens else 0.0
        if not self.pending:
            return unattributed_s
        if self.status.slots > 1:
            return self._concurrent_wait_s() + unattributed_s
        tokens = sum(
            count
            for other_priority, count in self._tokens_by_priority.items()
            if other_priority <= priority
        )
        if tokens == 0:
            return unattributed_s
        if s_per_token is None:
            s_per_token = self.s_per_token(now)
        head = next(iter(self.pending.values()))
        head_s = head.missing_tokens * s_per_token
        done_s = min(head_s, max(0.0, now - self._head_started_at))
        return max(0.0, tokens * s_per_token - done_s) + unattributed_s

    def s_per_token(self, now: float) -> float:
        """Return the learned time per token, or a longer one if the oldest request is overdue."""
        learned = self.speed.s_per_token
        if not self.pending or self.status.slots > 1:
            return learned
        head = next(iter(self.pending.values()))
        elapsed = now - self._head_started_at - OVERDUE_SLACK_S
        if elapsed > OVERDUE_FACTOR * head.missing_tokens * learned:
            return elapsed / head.missing_tokens
        return learned

    def place(
        self,
        key: PrefillKey,
        blocks: tuple[int, ...],
        prompt_tokens: int,
        priority: int,
        at: float,
        fetched_tokens: int = 0,
    ) -> None:
        """Add a placed request to the queue and the predicted cache.

        `fetched_tokens` is the number of tokens whose cache entries the engine fetches from another
        endpoint instead of prefilling them.
        """
        predictions = self.cache.predictions(blocks)
        missing = max(1, self.missing_tokens(blocks, prompt_tokens) - fetched_tokens)
        if not self.pending:
            self._head_started_at = at
        self.pending[key] = PendingPrefill(
            blocks, prompt_tokens, priority, at, missing, predictions
        )
        self._insert_by_placement_time(at)
        self._tokens_by_priority[priority] = self._tokens_by_priority.get(priority, 0) + missing
        self.cache.record_use(blocks, at + self.wait_s(priority, at))

    def predicted_cached_tokens(self, key: PrefillKey) -> int:
        """Return the predicted number of tokens that a placed request need not prefill."""
        prefill = self.pending.get(key)
        return 0 if prefill is None else prefill.prompt_tokens - prefill.missing_tokens

    def record_first_token(self, key: PrefillKey, cached_tokens: int | None, at: float) -> None:
        """Remove a request from the queue and update the cache models and the speed.

        `cached_tokens` is the count that the engine reported, None if it reports none.
        """
        prefill = self.pending.get(key)
        if prefill is None:
            return
        missing = prefill.missing_tokens
        if cached_tokens is not None:
            self.cache.observe(
                prefill.blocks, prefill.predictions, cached_tokens // self.block_tokens
            )
            missing = prefill.prompt_tokens - cached_tokens
        if self.status.slots > 1:
            self.speed.observe_unqueued(prefill.placed_at, at, missing)
        else:
            self.speed.observe(prefill.placed_at, at, missing)
        self.drop(key, at)

    def drop(self, key: PrefillKey, at: float) -> None:
        """Remove a request from the queue, in particular one that ended without a token."""
        prefill = self.pending.pop(key, None)
        if prefill is None:
            return
        self._tokens_by_priority[prefill.priority] -= prefill.missing_tokens
        self._released.append((at, prefill))
        self._prune_released(at - RELEASED_RETENTION_S)
        self._head_started_at = max(self._head_started_at, at)

    def drop_owner(self, owner: str, now: float) -> None:
        """Remove the requests of a lost peer from the queue."""
        for key in [key for key in self.pending if key[0] == owner]:
            self.drop(key, now)

    def drop_stale(self, owner: str, limit: float, now: float) -> None:
        """Remove requests of other owners placed before `limit`: their end was never reported."""
        stale = []
        for key, prefill in self.pending.items():
            if prefill.placed_at >= limit:
                break
            if key[0] != owner:
                stale.append(key)
        for key in stale:
            self.drop(key, now)

    def apply_load_report(self, msg: LoadReported, now: float) -> None:
        """Apply a load report of the engine.

        Waiting tokens in excess of those of the known placements belong to unknown requests and are
        added to the wait. If the engine is idle, requests placed earlier are stale
        and are removed.
        """
        if msg.running == 0 and msg.waiting == 0:
            self._drop_placed_before(msg.measured_at - IDLE_REPORT_SLACK_S, now)
        measured_at = msg.measured_at
        self._prune_released(measured_at)
        known = [prefill for _, prefill in self._released]
        known.extend(self.pending.values())
        attributed = sum(
            prefill.prompt_tokens for prefill in known if prefill.placed_at <= measured_at
        )
        self._unattributed_tokens = max(0, msg.waiting_tokens - attributed)
        self._reported_at = measured_at

    def _concurrent_wait_s(self) -> float:
        """Estimate the wait for a free slot where the endpoint runs several requests at a time."""
        slots = self.status.slots
        ahead = len(self.pending) - slots + 1
        if ahead <= 0:
            return 0.0
        tokens = sum(prefill.missing_tokens for prefill in self.pending.values()) / len(
            self.pending
        )
        return ahead * tokens * self.speed.s_per_token / slots

    def _prune_released(self, limit: float) -> None:
        """Forget requests that were removed before `limit`."""
        while self._released and self._released[0][0] < limit:
            self._released.popleft()

    def _insert_by_placement_time(self, at: float) -> None:
        """Restore the order of placement after a request placed at `at` was appended."""
        later = []
        for key in reversed(self.pending):
            if self.pending[key].placed_at < at:
                break
            if self.pending[key].placed_at > at:
                later.append(key)
        for key in reversed(later):
            self.pending.move_to_end(key)

    def _drop_placed_before(self, limit: float, now: float) -> None:
        for key in [key for key, prefill in self.pending.items() if prefill.placed_at < limit]:
            self.drop(key, now)

    def _unattributed_s(self, now: float) -> float:
        """Return the prefill time of unknown requests that remains since the last load report."""
        left_s = self._unattributed_tokens * self.speed.s_per_token
        return max(0.0, left_s - (now - self._reported_at))
