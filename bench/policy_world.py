"""Join routers and engine models by an event heap with fixed delays, in virtual time."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from bench.policy_rules import EngineFuture
from rattangate.core.gateway import Gateway
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CacheChanged,
    Dispatch,
    EndpointSeen,
    EndpointState,
    FirstTokenSeen,
    LoadReported,
    NewsReceived,
    PictureReceived,
    Refuse,
    RequestArrived,
    SendNews,
    Tick,
    VersionedPieces,
)
from rattangate.core.prefix import Scope
from rattangate.standins.engine_model import (
    CacheDelta,
    EngineModel,
    Eviction,
    Finished,
    FirstToken,
    Job,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.policy_rules import Router
    from bench.policy_workload import Arrival, Deployment
    from rattangate.core.messages import Effect, Message

    MakeRouter = Callable[["World", int, int], Router]

TICK_S = 0.02
REPORT_INTERVAL_S = 0.5
SNAPSHOT_INTERVAL_S = 5.0
DEADLINE_S = 10.0
NEWS_HEADER_BYTES = 32
RECORD_BYTES = 40
HASH_BYTES = 8
MODEL = "model"


@dataclass(frozen=True, slots=True)
class Fault:
    """Ask for one fault: `kind` is crash, return, slow, rollout or restart."""

    at: float
    kind: str
    endpoint: int = 0
    value: float = 1.0


@dataclass(frozen=True, slots=True)
class Conditions:
    """Set what the routers see and how the engines evict."""

    eviction: Eviction = Eviction.LRU
    declared_capacity: float = 1.0
    event_loss: float = 0.0
    event_lag_s: float = 0.5
    report_lag_s: float = 0.5
    detection_s: float = 1.0
    learn: bool = True


@dataclass(slots=True)
class Outcome:
    """Record what became of one request; times are seconds, negative while unknown."""

    workspace: int
    at: float
    prompt_tokens: int
    first_token_s: float = -1.0
    cached_tokens: int = 0
    best_cached_tokens: int = 0
    refused_s: float = -1.0
    attempts: int = 0
    endpoint: int = -1


@dataclass(slots=True)
class Engine:
    """Hold one engine model with its incarnation and the events that it has published."""

    model: EngineModel
    future: EngineFuture
    incarnation: int = 1
    version: str = "v1"
    alive: bool = True
    seq: int = 0
    wake_at: float = -1.0
    jobs: dict[int, tuple[int, int, int]] = field(default_factory=dict)


class World:
    """Run one rule against one deployment's engines under one scenario's conditions."""

    def __init__(
        self, deployment: Deployment, conditions: Conditions, make_router: MakeRouter, seed: int
    ) -> None:
        self.deployment = deployment
        self.conditions = conditions
        self.make_router = make_router
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.control_bytes = 0
        self.outcomes: dict[int, Outcome] = {}
        self.engines = [self._make_engine(index) for index in range(len(deployment.speeds))]
        self.routers = [make_router(self, entry, seed) for entry in range(deployment.entries)]
        self.generation = 1
        self.homes: dict[int, tuple[Router, int, int]] = {}
        self.snapshot: tuple[PictureReceived, ...] = ()
        self._arrivals: dict[int, Arrival] = {}
        self._jobs = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def run(self, arrivals: list[Arrival], faults: tuple[Fault, ...], until: float) -> None:
        """Play all arrivals and faults and stop at `until`."""
        for index in range(len(self.engines)):
            self._announce(index, EndpointState.LIVE)
            self._at(REPORT_INTERVAL_S, partial(self._report_load, index))
        if isinstance(self.routers[0], Gateway):
            for entry in range(len(self.routers)):
                self._at(TICK_S * (entry + 1) / len(self.routers), partial(self._tick, entry))
            self._at(SNAPSHOT_INTERVAL_S, self._take_snapshot)
        for arrival in arrivals:
            self._arrivals[arrival.req_id] = arrival
            self._at(arrival.at + self.deployment.caller_delay_s, partial(self._arrive, arrival))
        for fault in faults:
            self._at(fault.at, partial(self._inject, fault))
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self._heap)
            act()

    def _at(self, when: float, act: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (when, self._order, act))

    def _later(self, delay_s: float, act: Callable[[], None]) -> None:
        self._at(self.now + delay_s, act)

    # Entry instances

    def _arrive(self, arrival: Arrival) -> None:
        self.outcomes[arrival.req_id] = Outcome(
            arrival.workspace, arrival.at, arrival.prompt_tokens
        )
        versions = sorted({engine.version for engine in self.engines if engine.alive})
        first, *rest = versions or ["v1"]
        scope = Scope(str(arrival.workspace), MODEL, "", first)
        others = tuple(VersionedPieces(v, arrival.document.hashes(v)) for v in rest)
        request = RequestArrived(
            arrival.req_id,
            scope,
            arrival.document.hashes(first),
            arrival.prompt_tokens,
            arrival.answer_tokens,
            arrival.req_id.to_bytes(8, "big"),
            0,
            arrival.at + DEADLINE_S,
            others,
        )
        router = self.routers[arrival.entry]
        self.homes[arrival.req_id] = (router, arrival.entry, self.generation)
        self._give(router, request, arrival.entry)

    def _give(self, router: Router, msg: Message, entry: int) -> None:
        for effect in router.handle(msg, self.now):
            self._carry_out(effect, entry)

    def _give_home(self, req_id: int, msg: Message) -> None:
        router, entry, _ = self.homes[req_id]
        self._give(router, msg, entry)

    def _give_all(self, msg: Message) -> None:
        for entry, router in enumerate(self.routers):
            self._give(router, msg, entry)

    def _carry_out(self, effect: Effect, entry: int) -> None:
        if isinstance(effect, Dispatch):
            index = int(effect.endpoint)
            self._note_best_cache(effect.req_id)
            self._later(self.deployment.inner_delay_s, partial(self._submit, index, effect))
        elif isinstance(effect, Refuse):
            outcome = self.outcomes[effect.req_id]
            outcome.refused_s = self.now - outcome.at
        elif isinstance(effect, SendNews):
            self._send_news(effect, entry)

    def _send_news(self, sent: SendNews, entry: int) -> None:
        news = NewsReceived(str(entry), self.generation, sent.seq, sent.placements, sent.departures)
        records = len(sent.placements) + len(sent.departures)
        hashes = sum(len(placement.pieces) for placement in sent.placements)
        if sent.limits is not None:
            records += len(sent.limits.usages) + len(sent.limits.claims)
            records += len(sent.limits.suspicions)
        size = NEWS_HEADER_BYTES + RECORD_BYTES * records + HASH_BYTES * hashes
        for peer, router in enumerate(self.routers):
            if peer != entry:
                self.control_bytes += size
                act = partial(self._give, router, news, peer)
                self._later(self.deployment.inner_delay_s, act)

    def _tick(self, entry: int) -> None:
        self._give(self.routers[entry], Tick(), entry)
        self._later(TICK_S, partial(self._tick, entry))

    def _take_snapshot(self) -> None:
        router = self.routers[0]
        if isinstance(router, Gateway):
            self.snapshot = router.pictures()
        self._later(SNAPSHOT_INTERVAL_S, self._take_snapshot)

    # Engines

    def _make_engine(self, index: int) -> Engine:
        spec = self.deployment.engine_spec(index, self.conditions.eviction)
        model = EngineModel(spec, random.Random(self.seed * 100 + index))
        return Engine(model, EngineFuture(model))

    def _announce(self, index: int, state: EndpointState) -> None:
        engine = self.engines[index]
        declared = int(engine.model.spec.cache_pieces * self.conditions.declared_capacity)
        version = engine.version
        self._give_all(
            EndpointSeen(str(index), engine.incarnation, version, state, MODEL, declared)
        )

    def _submit(self, index: int, effect: Dispatch) -> None:
        engine = self.engines[index]
        wanted = (effect.incarnation, effect.weights_version)
        if not engine.alive or (engine.incarnation, engine.version) != wanted:
            self._end_attempt(effect.req_id, effect.attempt, AttemptResult.REFUSED)
            return
        arrival = self._arrivals[effect.req_id]
        pieces = arrival.document.hashes(engine.version)
        self._jobs += 1
        engine.jobs[self._jobs] = (effect.req_id, effect.attempt, index)
        job = Job(self._jobs, pieces, arrival.prompt_tokens, arrival.answer_tokens)
        outcome = self.outcomes[effect.req_id]
        outcome.attempts = max(outcome.attempts, effect.attempt)
        engine.model.submit(job, self.now)
        self._advance(index)

    def _note_best_cache(self, req_id: int) -> None:
        document = self._arrivals[req_id].document
        hashes = {e.version: document.hashes(e.version) for e in self.engines if e.alive}
        best = max(
            (e.model.cached_prefix(hashes[e.version]) for e in self.engines if e.alive), default=0
        )
        spec = self.engines[0].model.spec
        self.outcomes[req_id].best_cached_tokens = best * spec.piece_tokens

    def _advance(self, index: int) -> None:
        engine = self.engines[index]
        for event in engine.model.advance(self.now):
            if isinstance(event, FirstToken):
                self._on_first_token(index, event)
            elif isinstance(event, Finished):
                req_id, attempt, _ = engine.jobs.pop(event.job_id)
                self._end_attempt(req_id, attempt, AttemptResult.COMPLETED)
            elif isinstance(event, CacheDelta):
                self._publish(index, event)
        due = engine.model.next_change()
        if due is not None and due != engine.wake_at:
            engine.wake_at = due
            self._at(max(due, self.now), partial(self._wake, index, due))

    def _wake(self, index: int, due: float) -> None:
        if self.engines[index].wake_at == due:
            self.engines[index].wake_at = -1.0
            self._advance(index)

    def _on_first_token(self, index: int, event: FirstToken) -> None:
        req_id, attempt, _ = self.engines[index].jobs[event.job_id]
        delay_s = self.deployment.inner_delay_s
        outcome = self.outcomes[req_id]
        if outcome.first_token_s < 0:
            total_s = self.now + delay_s + self.deployment.caller_delay_s - outcome.at
            outcome.first_token_s = total_s
            outcome.cached_tokens = event.cached_tokens
            outcome.endpoint = index
        msg = FirstTokenSeen(req_id, attempt, event.cached_tokens)
        self._later(delay_s, partial(self._give_home, req_id, msg))

    def _end_attempt(self, req_id: int, attempt: int, result: AttemptResult) -> None:
        msg = AttemptEnded(req_id, attempt, result)
        self._later(self.deployment.inner_delay_s, partial(self._give_home, req_id, msg))

    def _publish(self, index: int, delta: CacheDelta) -> None:
        engine = self.engines[index]
        engine.seq += 1
        if self.rng.random() < self.conditions.event_loss:
            return
        name, seq = str(index), engine.seq
        msg = CacheChanged(name, engine.incarnation, seq, seq, delta.stored, delta.evicted)
        self._later(self.conditions.event_lag_s, partial(self._give_all, msg))

    def _report_load(self, index: int) -> None:
        engine = self.engines[index]
        if engine.alive:
            load = engine.model.load()
            tokens = load.waiting_tokens
            msg = LoadReported(
                str(index), engine.incarnation, load.running, load.waiting, tokens, self.now
            )
            self._later(self.conditions.report_lag_s, partial(self._give_all, msg))
        self._later(REPORT_INTERVAL_S, partial(self._report_load, index))

    # Faults

    def _inject(self, fault: Fault) -> None:
        index = fault.endpoint
        if fault.kind == "crash":
            self._crash(index)
            state = EndpointState.DOWN
            self._later(self.conditions.detection_s, partial(self._announce, index, state))
        elif fault.kind == "return":
            self._revive(index)
        elif fault.kind == "slow":
            self._slow_down(index, fault.value)
        elif fault.kind == "rollout":
            self._begin_load(index, fault.value)
        elif fault.kind == "restart":
            self._restart_entries()

    def _crash(self, index: int) -> None:
        engine = self.engines[index]
        engine.alive = False
        engine.model.clear()
        engine.future.reset()
        engine.wake_at = -1.0
        jobs, engine.jobs = engine.jobs, {}
        for req_id, attempt, _ in jobs.values():
            self._end_attempt(req_id, attempt, AttemptResult.LOST)

    def _revive(self, index: int) -> None:
        engine = self.engines[index]
        engine.alive = True
        engine.incarnation += 1
        engine.seq = 0
        self._announce(index, EndpointState.LIVE)

    def _slow_down(self, index: int, factor: float) -> None:
        engine = self.engines[index]
        left_s = engine.future.wait_s(self.now) * factor / engine.model.slowdown
        engine.model.slowdown = factor
        engine.future.free_at = self.now + left_s

    def _begin_load(self, index: int, load_s: float) -> None:
        self._announce(index, EndpointState.DOWN)
        self._drain_then_load(index, load_s)

    def _drain_then_load(self, index: int, load_s: float) -> None:
        engine = self.engines[index]
        if engine.jobs:
            self._later(0.1, partial(self._drain_then_load, index, load_s))
            return
        engine.alive = False
        engine.model.clear()
        engine.future.reset()
        engine.version = "v2"
        self._later(load_s, partial(self._revive, index))

    def _restart_entries(self) -> None:
        self.generation += 1
        entries = range(len(self.routers))
        self.routers = [self.make_router(self, entry, self.seed + 1) for entry in entries]
        for index, engine in enumerate(self.engines):
            if engine.alive:
                self._announce(index, EndpointState.LIVE)
        for picture in self.snapshot:
            self._give_all(picture)
