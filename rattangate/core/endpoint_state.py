"""What one instance knows of one endpoint: state, cache picture, speed and work ahead."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from rattangate.core.cache_model import CachePicture
from rattangate.core.failures import FailureShare
from rattangate.core.messages import EndpointState
from rattangate.core.speeds import Speed

if TYPE_CHECKING:
    from rattangate.core.messages import EndpointSeen, LoadReported

OVERDUE_FACTOR = 1.2
OVERDUE_SLACK_S = 0.1
STALE_SLACK_S = 1.0
REPORT_WINDOW_S = 10.0

WorkKey = tuple[str, int]


@dataclass(slots=True)
class Work:
    """Hold one placed request whose first token is still awaited."""

    pieces: tuple[int, ...]
    prompt_tokens: int
    priority: int
    placed_at: float
    missing_tokens: int
    forecasts: tuple[int, ...]


class Endpoint:
    """Follow one incarnation and weights version of an endpoint."""

    def __init__(self, seen: EndpointSeen, piece_tokens: int, learn: bool, now: float) -> None:
        self.seen = seen
        self.piece_tokens = piece_tokens
        self.cache = CachePicture(seen.cache_pieces, learn)
        self.speed = Speed()
        self.failures = FailureShare()
        self.work: OrderedDict[WorkKey, Work] = OrderedDict()
        self._tokens: dict[int, int] = {}
        self._head_since = now
        self._unknown_tokens = 0
        self._released: deque[tuple[float, Work]] = deque()
        self._reported_at = now

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.seen.endpoint

    def update(self, seen: EndpointSeen) -> None:
        """Take a new state of the same incarnation; a leaving mark stays."""
        if self.seen.state is EndpointState.LEAVING:
            seen = replace(seen, state=EndpointState.LEAVING)
        self.seen = seen

    def cached_tokens(self, pieces: tuple[int, ...]) -> int:
        """Predict the tokens of a prompt that the engine holds."""
        return self.cache.cached(pieces) * self.piece_tokens

    def missing_tokens(self, pieces: tuple[int, ...], prompt_tokens: int) -> int:
        """Predict the tokens of a prompt that the engine must prefill."""
        return max(1, prompt_tokens - self.cached_tokens(pieces))

    def wait_s(self, priority: int, now: float, s_per_token: float | None = None) -> float:
        """Estimate the seconds of prefill ahead of a new request of this priority."""
        unknown = self._unknown_s(now) if self._unknown_tokens else 0.0
        if not self.work:
            return unknown
        if self.seen.lanes > 1:
            return self._lanes_wait_s() + unknown
        tokens = sum(count for level, count in self._tokens.items() if level <= priority)
        if tokens == 0:
            return unknown
        if s_per_token is None:
            s_per_token = self.s_per_token(now)
        head = next(iter(self.work.values()))
        head_s = head.missing_tokens * s_per_token
        done_s = min(head_s, max(0.0, now - self._head_since))
        return max(0.0, tokens * s_per_token - done_s) + unknown

    def s_per_token(self, now: float) -> float:
        """Return the learned speed, or a slower one where the oldest request is overdue."""
        learned = self.speed.s_per_token
        if not self.work or self.seen.lanes > 1:
            return learned
        head = next(iter(self.work.values()))
        elapsed = now - self._head_since - OVERDUE_SLACK_S
        if elapsed > OVERDUE_FACTOR * head.missing_tokens * learned:
            return elapsed / head.missing_tokens
        return learned

    def place(
        self,
        key: WorkKey,
        pieces: tuple[int, ...],
        prompt_tokens: int,
        priority: int,
        at: float,
        fetched_tokens: int = 0,
    ) -> None:
        """Enter a placement into the work ahead and the cache picture.

        `fetched_tokens` are those that the engine fetches from another one instead of prefilling.
        """
        forecasts = self.cache.forecasts(pieces)
        missing = max(1, self.missing_tokens(pieces, prompt_tokens) - fetched_tokens)
        if not self.work:
            self._head_since = at
        self.work[key] = Work(pieces, prompt_tokens, priority, at, missing, forecasts)
        self._sort_last(at)
        self._tokens[priority] = self._tokens.get(priority, 0) + missing
        self.cache.use(pieces, at + self.wait_s(priority, at))

    def predicted_cached(self, key: WorkKey) -> int:
        """Return the tokens that a placed request was predicted not to prefill."""
        work = self.work.get(key)
        return 0 if work is None else work.prompt_tokens - work.missing_tokens

    def first_token(self, key: WorkKey, cached_tokens: int | None, at: float) -> None:
        """Release the work of a request and learn from the engine's count, if any, and time."""
        work = self.work.get(key)
        if work is None:
            return
        missing = work.missing_tokens
        if cached_tokens is not None:
            self.cache.observe(work.pieces, work.forecasts, cached_tokens // self.piece_tokens)
            missing = work.prompt_tokens - cached_tokens
        if self.seen.lanes > 1:
            self.speed.observe_alone(work.placed_at, at, missing)
        else:
            self.speed.observe(work.placed_at, at, missing)
        self.drop(key, at)

    def drop(self, key: WorkKey, at: float) -> None:
        """Release the work of a request that ended without a token."""
        work = self.work.pop(key, None)
        if work is None:
            return
        self._tokens[work.priority] -= work.missing_tokens
        self._released.append((at, work))
        self._forget_released(at - REPORT_WINDOW_S)
        self._head_since = max(self._head_since, at)

    def drop_owner(self, owner: str, now: float) -> None:
        """Release the work of a lost peer."""
        for key in [key for key in self.work if key[0] == owner]:
            self.drop(key, now)

    def drop_stale(self, owner: str, limit: float, now: float) -> None:
        """Release work placed before `limit` by others than `owner`: its end was lost on the way."""
        stale = []
        for key, work in self.work.items():
            if work.placed_at >= limit:
                break
            if key[0] != owner:
                stale.append(key)
        for key in stale:
            self.drop(key, now)

    def report_load(self, msg: LoadReported, now: float) -> None:
        """Keep the waiting tokens that no known placement explains; forget work of an idle engine."""
        if msg.running == 0 and msg.waiting == 0:
            self._drop_placed_before(msg.measured_at - STALE_SLACK_S, now)
        measured_at = msg.measured_at
        self._forget_released(measured_at)
        known = [work for _, work in self._released]
        known.extend(self.work.values())
        explained = sum(work.prompt_tokens for work in known if work.placed_at <= measured_at)
        self._unknown_tokens = max(0, msg.waiting_tokens - explained)
        self._reported_at = measured_at

    def _lanes_wait_s(self) -> float:
        """Estimate the wait of a request for one of the lanes on which work goes on side by side."""
        lanes = self.seen.lanes
        ahead = len(self.work) - lanes + 1
        if ahead <= 0:
            return 0.0
        tokens = sum(work.missing_tokens for work in self.work.values()) / len(self.work)
        return ahead * tokens * self.speed.s_per_token / lanes

    def _forget_released(self, limit: float) -> None:
        while self._released and self._released[0][0] < limit:
            self._released.popleft()

    def _sort_last(self, at: float) -> None:
        """Move work that was placed after `at` behind the entry just added."""
        later = []
        for key in reversed(self.work):
            if self.work[key].placed_at < at:
                break
            if self.work[key].placed_at > at:
                later.append(key)
        for key in reversed(later):
            self.work.move_to_end(key)

    def _drop_placed_before(self, limit: float, now: float) -> None:
        for key in [key for key, work in self.work.items() if work.placed_at < limit]:
            self.drop(key, now)

    def _unknown_s(self, now: float) -> float:
        left_s = self._unknown_tokens * self.speed.s_per_token
        return max(0.0, left_s - (now - self._reported_at))
