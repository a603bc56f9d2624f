"""The baseline policies and the oracle that the benchmark compares to the product's core."""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING, Protocol

from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CacheChanged,
    Dispatch,
    Effect,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    LoadReported,
    Message,
    Refuse,
    RequestArrived,
)
from rattangate.core.refusals import RefusalReason, make_failure
from rattangate.standins.engine_model import Eviction

if TYPE_CHECKING:
    from rattangate.standins.engine_model import EngineModel

MAX_ATTEMPTS = 3


class Router(Protocol):
    """Handle messages and return effects, as the gateway core does."""

    def handle(self, msg: Message, now: float) -> list[Effect]:
        """Apply one message."""
        ...


@dataclass(slots=True)
class _Attempt:
    req: RequestArrived
    number: int = 0
    endpoint: str = ""
    tried: set[str] = field(default_factory=set)


class Baseline:
    """Implement what all baselines share: endpoint states, retries and reported loads."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.statuses: dict[str, EndpointStatus] = {}
        self.reported: dict[str, int] = {}
        self.sent_since_report: Counter[str] = Counter()
        self.attempts: dict[int, _Attempt] = {}

    def handle(self, msg: Message, now: float) -> list[Effect]:
        """Apply one message."""
        if isinstance(msg, RequestArrived):
            self.attempts[msg.req_id] = _Attempt(msg)
            return self._place(msg.req_id, now)
        if isinstance(msg, AttemptEnded):
            return self._end_attempt(msg, now)
        if isinstance(msg, EndpointStatus):
            self._update_endpoint(msg)
        elif isinstance(msg, LoadReported):
            self.reported[msg.endpoint] = msg.running + msg.waiting
            self.sent_since_report[msg.endpoint] = 0
        elif isinstance(msg, CacheChanged):
            self.on_cache_event(msg)
        elif isinstance(msg, FirstTokenSeen):
            pass
        return []

    def choose(self, req: RequestArrived, live: list[EndpointStatus], now: float) -> EndpointStatus:
        """Return the endpoint for a request."""
        raise NotImplementedError

    def on_cache_event(self, msg: CacheChanged) -> None:
        """Apply a cache event."""

    def on_reset(self, endpoint: str) -> None:
        """Discard the recorded cache contents of an endpoint."""

    def pieces_at(self, req: RequestArrived, status: EndpointStatus) -> tuple[int, ...]:
        """Return the hashes of the prompt's blocks for the weights version of an endpoint."""
        for other in req.other_versions:
            if other.weights_version == status.weights_version:
                return other.blocks
        return req.blocks

    def _update_endpoint(self, msg: EndpointStatus) -> None:
        previous = self.statuses.get(msg.endpoint)
        if previous is not None and previous.incarnation > msg.incarnation:
            return
        if previous is not None and (previous.incarnation, previous.weights_version) != (
            msg.incarnation,
            msg.weights_version,
        ):
            self.on_reset(msg.endpoint)
        self.statuses[msg.endpoint] = msg

    def _end_attempt(self, msg: AttemptEnded, now: float) -> list[Effect]:
        attempt = self.attempts.get(msg.req_id)
        if attempt is None or attempt.number != msg.attempt:
            return []
        if msg.result in (AttemptResult.COMPLETED, AttemptResult.CANCELLED):
            del self.attempts[msg.req_id]
            return []
        return self._place(msg.req_id, now)

    def _place(self, req_id: int, now: float) -> list[Effect]:
        attempt = self.attempts[req_id]
        live = [
            status
            for name, status in self.statuses.items()
            if status.state is EndpointState.LIVE and name not in attempt.tried
        ]
        if not live or attempt.number >= MAX_ATTEMPTS:
            del self.attempts[req_id]
            return [
                Refuse(req_id, make_failure(RefusalReason.NO_ENDPOINT), RefusalReason.NO_ENDPOINT)
            ]
        chosen = self.choose(attempt.req, live, now)
        attempt.number += 1
        attempt.endpoint = chosen.endpoint
        attempt.tried.add(chosen.endpoint)
        self.sent_since_report[chosen.endpoint] += 1
        version = chosen.weights_version
        return [Dispatch(req_id, attempt.number, chosen.endpoint, chosen.incarnation, version)]


class RoundRobin(Baseline):
    """Use the endpoints in cyclic order."""

    next_index = 0

    def choose(self, req: RequestArrived, live: list[EndpointStatus], now: float) -> EndpointStatus:
        """Return the next endpoint."""
        self.next_index += 1
        return live[self.next_index % len(live)]


class RandomChoice(Baseline):
    """Use a random endpoint."""

    def choose(self, req: RequestArrived, live: list[EndpointStatus], now: float) -> EndpointStatus:
        """Return a random endpoint."""
        return self.rng.choice(live)


class LeastLoaded(Baseline):
    """Use the endpoint with the fewest requests: those reported plus those sent since."""

    def choose(self, req: RequestArrived, live: list[EndpointStatus], now: float) -> EndpointStatus:
        """Return the least loaded endpoint."""
        return min(live, key=lambda status: (self._load(status.endpoint), self.rng.random()))

    def _load(self, name: str) -> int:
        return self.reported.get(name, 0) + self.sent_since_report[name]


class StaticRendezvous(Baseline):
    """Map the last block of the prompt to an endpoint by rendezvous hashing."""

    def choose(self, req: RequestArrived, live: list[EndpointStatus], now: float) -> EndpointStatus:
        """Return the endpoint with the highest rendezvous score."""
        last = req.blocks[-1].to_bytes(8, "big")
        return max(live, key=lambda status: blake2b(status.endpoint.encode() + last).digest())


class PrefixFirst(Baseline):
    """Use the endpoint with the longest cached prefix by its events, regardless of load."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.cached_pieces: dict[str, set[int]] = {}

    def choose(self, req: RequestArrived, live: list[EndpointStatus], now: float) -> EndpointStatus:
        """Return the endpoint with the longest cached prefix; rendezvous hashing breaks ties."""
        first = req.blocks[0].to_bytes(8, "big")

        def rank(status: EndpointStatus) -> tuple[int, bytes]:
            cached_pieces = self.cached_pieces.get(status.endpoint, set())
            count = 0
            for piece in self.pieces_at(req, status):
                if piece not in cached_pieces:
                    break
                count += 1
            return (count, blake2b(status.endpoint.encode() + first).digest())

        chosen = max(live, key=rank)
        self.cached_pieces.setdefault(chosen.endpoint, set()).update(self.pieces_at(req, chosen))
        return chosen

    def on_cache_event(self, msg: CacheChanged) -> None:
        """Add stored and remove evicted blocks."""
        cached_pieces = self.cached_pieces.setdefault(msg.endpoint, set())
        cached_pieces.update(msg.stored)
        cached_pieces.difference_update(msg.evicted)

    def on_reset(self, endpoint: str) -> None:
        """Discard the recorded cache contents of an endpoint."""
        self.cached_pieces.pop(endpoint, None)


class EngineForecast:
    """Predict exactly when an engine will be idle and what its cache will hold by then."""

    def __init__(self, engine: EngineModel) -> None:
        self.engine = engine
        self.free_at = 0.0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.queued: list[tuple[float, tuple[int, ...]]] = []

    def cached(self, pieces: tuple[int, ...], now: float) -> int:
        """Count the leading blocks that will be cached."""
        if self.engine.spec.eviction is not Eviction.RANDOM:
            return _count_leading(pieces, self.cache)
        self.queued = [entry for entry in self.queued if entry[0] > now]
        pending_pieces = {piece for _, queued in self.queued for piece in queued}
        return _count_leading(pieces, pending_pieces | self.engine.cache.keys())

    def prefill_s(self, pieces: tuple[int, ...], prompt_tokens: int, now: float) -> float:
        """Return the prefill time of a prompt that starts after all waiting ones, in seconds."""
        spec = self.engine.spec
        uncached_tokens = max(1, prompt_tokens - self.cached(pieces, now) * spec.piece_tokens)
        return self.engine.slowdown * uncached_tokens / spec.prefill_tokens_per_s

    def wait_s(self, now: float) -> float:
        """Return the time until all waiting prompts are prefilled, in seconds."""
        return max(0.0, max(self.free_at, self.engine.busy_until) - now)

    def submit(self, pieces: tuple[int, ...], prompt_tokens: int, now: float) -> None:
        """Add a request to the queue."""
        prefill_time_s = self.prefill_s(pieces, prompt_tokens, now)
        self.free_at = now + self.wait_s(now) + prefill_time_s
        self.queued.append((self.free_at, pieces))
        for piece in pieces:
            if piece in self.cache:
                if self.engine.spec.eviction is Eviction.LRU:
                    self.cache.move_to_end(piece)
                continue
            while len(self.cache) >= self.engine.spec.cache_pieces:
                self.cache.popitem(last=False)
            self.cache[piece] = None

    def reset(self) -> None:
        """Reset the forecast when the engine crashes or loads other weights."""
        self.cache.clear()
        self.queued.clear()
        self.free_at = 0.0


class Oracle(Baseline):
    """Minimise the exact cost, given the current state of every cache and queue."""

    def __init__(self, seed: int, forecasts: dict[str, EngineForecast], weight: float) -> None:
        super().__init__(seed)
        self.forecasts = forecasts
        self.weight = weight

    def choose(self, req: RequestArrived, live: list[EndpointStatus], now: float) -> EndpointStatus:
        """Return the endpoint with the lowest cost."""

        def cost(status: EndpointStatus) -> float:
            forecast = self.forecasts[status.endpoint]
            prefill_time_s = forecast.prefill_s(self.pieces_at(req, status), req.prompt_tokens, now)
            return forecast.wait_s(now) + prefill_time_s * (1 + self.weight)

        chosen = min(live, key=cost)
        forecast = self.forecasts[chosen.endpoint]
        forecast.submit(self.pieces_at(req, chosen), req.prompt_tokens, now)
        return chosen


def _count_leading(pieces: tuple[int, ...], cached_pieces: object) -> int:
    count = 0
    for piece in pieces:
        if piece not in cached_pieces:  # type: ignore[operator]
            break
        count += 1
    return count
