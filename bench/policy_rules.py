"""The baselines and the oracle that the policy bench sets beside the product's core."""

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
    EndpointSeen,
    EndpointState,
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
    """Take messages and return effects, as the gateway core does."""

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
    """Keep what every baseline needs: endpoint states, own attempts and reported loads."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.seen: dict[str, EndpointSeen] = {}
        self.reported: dict[str, int] = {}
        self.own_since: Counter[str] = Counter()
        self.attempts: dict[int, _Attempt] = {}

    def handle(self, msg: Message, now: float) -> list[Effect]:
        """Apply one message."""
        if isinstance(msg, RequestArrived):
            self.attempts[msg.req_id] = _Attempt(msg)
            return self._place(msg.req_id, now)
        if isinstance(msg, AttemptEnded):
            return self._end(msg, now)
        if isinstance(msg, EndpointSeen):
            self._see(msg)
        elif isinstance(msg, LoadReported):
            self.reported[msg.endpoint] = msg.running + msg.waiting
            self.own_since[msg.endpoint] = 0
        elif isinstance(msg, CacheChanged):
            self.on_cache(msg)
        elif isinstance(msg, FirstTokenSeen):
            pass
        return []

    def choose(self, req: RequestArrived, live: list[EndpointSeen], now: float) -> EndpointSeen:
        """Return the endpoint to use."""
        raise NotImplementedError

    def on_cache(self, msg: CacheChanged) -> None:
        """Take a cache event."""

    def on_reset(self, endpoint: str) -> None:
        """Forget the cache of an endpoint."""

    def pieces_at(self, req: RequestArrived, seen: EndpointSeen) -> tuple[int, ...]:
        """Return the prompt's pieces under the version that an endpoint runs."""
        for other in req.other_versions:
            if other.weights_version == seen.weights_version:
                return other.pieces
        return req.pieces

    def _see(self, msg: EndpointSeen) -> None:
        known = self.seen.get(msg.endpoint)
        if known is not None and known.incarnation > msg.incarnation:
            return
        if known is not None and (known.incarnation, known.weights_version) != (
            msg.incarnation,
            msg.weights_version,
        ):
            self.on_reset(msg.endpoint)
        self.seen[msg.endpoint] = msg

    def _end(self, msg: AttemptEnded, now: float) -> list[Effect]:
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
            seen
            for name, seen in self.seen.items()
            if seen.state is EndpointState.LIVE and name not in attempt.tried
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
        self.own_since[chosen.endpoint] += 1
        version = chosen.weights_version
        return [Dispatch(req_id, attempt.number, chosen.endpoint, chosen.incarnation, version)]


class RoundRobin(Baseline):
    """Use the endpoints in turn."""

    turn = 0

    def choose(self, req: RequestArrived, live: list[EndpointSeen], now: float) -> EndpointSeen:
        """Return the next endpoint."""
        self.turn += 1
        return live[self.turn % len(live)]


class RandomChoice(Baseline):
    """Use a random endpoint."""

    def choose(self, req: RequestArrived, live: list[EndpointSeen], now: float) -> EndpointSeen:
        """Return a random endpoint."""
        return self.rng.choice(live)


class LeastLoaded(Baseline):
    """Use the endpoint with the fewest requests by report and by own dispatches since."""

    def choose(self, req: RequestArrived, live: list[EndpointSeen], now: float) -> EndpointSeen:
        """Return the least loaded endpoint."""
        return min(live, key=lambda seen: (self._load(seen.endpoint), self.rng.random()))

    def _load(self, name: str) -> int:
        return self.reported.get(name, 0) + self.own_since[name]


class StaticRendezvous(Baseline):
    """Hash the document level of the prompt to one endpoint."""

    def choose(self, req: RequestArrived, live: list[EndpointSeen], now: float) -> EndpointSeen:
        """Return the endpoint with the highest score."""
        last = req.pieces[-1].to_bytes(8, "big")
        return max(live, key=lambda seen: blake2b(seen.endpoint.encode() + last).digest())


class PrefixFirst(Baseline):
    """Use the endpoint that holds the longest prefix by its events, whatever its load."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.held: dict[str, set[int]] = {}

    def choose(self, req: RequestArrived, live: list[EndpointSeen], now: float) -> EndpointSeen:
        """Return the endpoint with the longest prefix, ties by rendezvous."""
        first = req.pieces[0].to_bytes(8, "big")

        def rank(seen: EndpointSeen) -> tuple[int, bytes]:
            held = self.held.get(seen.endpoint, set())
            count = 0
            for piece in self.pieces_at(req, seen):
                if piece not in held:
                    break
                count += 1
            return (count, blake2b(seen.endpoint.encode() + first).digest())

        chosen = max(live, key=rank)
        self.held.setdefault(chosen.endpoint, set()).update(self.pieces_at(req, chosen))
        return chosen

    def on_cache(self, msg: CacheChanged) -> None:
        """Enter stored and remove evicted pieces."""
        held = self.held.setdefault(msg.endpoint, set())
        held.update(msg.stored)
        held.difference_update(msg.evicted)

    def on_reset(self, endpoint: str) -> None:
        """Forget the cache of an endpoint."""
        self.held.pop(endpoint, None)


class EngineFuture:
    """Know exactly when an engine will be free and what its cache will hold by then."""

    def __init__(self, engine: EngineModel) -> None:
        self.engine = engine
        self.free_at = 0.0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.queued: list[tuple[float, tuple[int, ...]]] = []

    def cached(self, pieces: tuple[int, ...], now: float) -> int:
        """Count the leading pieces that will be held."""
        if self.engine.spec.eviction is not Eviction.RANDOM:
            return _leading(pieces, self.cache)
        self.queued = [entry for entry in self.queued if entry[0] > now]
        coming = {piece for _, queued in self.queued for piece in queued}
        return _leading(pieces, coming | self.engine.cache.keys())

    def prefill_s(self, pieces: tuple[int, ...], prompt_tokens: int, now: float) -> float:
        """Return the time of prefilling a prompt after all that waits."""
        spec = self.engine.spec
        missing = max(1, prompt_tokens - self.cached(pieces, now) * spec.piece_tokens)
        return self.engine.slowdown * missing / spec.prefill_tokens_per_s

    def wait_s(self, now: float) -> float:
        """Return the time until all that waits is prefilled."""
        return max(0.0, max(self.free_at, self.engine.busy_until) - now)

    def submit(self, pieces: tuple[int, ...], prompt_tokens: int, now: float) -> None:
        """Enter a request."""
        took = self.prefill_s(pieces, prompt_tokens, now)
        self.free_at = now + self.wait_s(now) + took
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
        """Forget all, as the engine does when it crashes or loads other weights."""
        self.cache.clear()
        self.queued.clear()
        self.free_at = 0.0


class Oracle(Baseline):
    """Choose the least exact cost, knowing every cache and queue at once."""

    def __init__(self, seed: int, futures: dict[str, EngineFuture], weight: float) -> None:
        super().__init__(seed)
        self.futures = futures
        self.weight = weight

    def choose(self, req: RequestArrived, live: list[EndpointSeen], now: float) -> EndpointSeen:
        """Return the endpoint of least cost."""

        def cost(seen: EndpointSeen) -> float:
            future = self.futures[seen.endpoint]
            took = future.prefill_s(self.pieces_at(req, seen), req.prompt_tokens, now)
            return future.wait_s(now) + took * (1 + self.weight)

        chosen = min(live, key=cost)
        future = self.futures[chosen.endpoint]
        future.submit(self.pieces_at(req, chosen), req.prompt_tokens, now)
        return chosen


def _leading(pieces: tuple[int, ...], held: object) -> int:
    count = 0
    for piece in pieces:
        if piece not in held:  # type: ignore[operator]
            break
        count += 1
    return count
