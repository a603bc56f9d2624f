"""Discrete-event simulation of routers and engines with fixed network delays."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from bench.policy_rules import EngineForecast
from rattangate.core.gateway import Gateway
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CacheChanged,
    CacheSnapshotReceived,
    Dispatch,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    LoadReported,
    PeerUpdateReceived,
    Refuse,
    RequestArrived,
    SendPeerUpdate,
    Tick,
    VersionedBlocks,
)
from rattangate.core.prefix import CacheScope
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

    RouterFactory = Callable[["Simulation", int, int], Router]

TICK_S = 0.02
REPORT_INTERVAL_S = 0.5
SNAPSHOT_INTERVAL_S = 5.0
DEADLINE_S = 10.0
# Sizes of the parts of a peer update: header, placement or other record, block hash.
UPDATE_HEADER_BYTES = 32
RECORD_BYTES = 40
HASH_BYTES = 8
MODEL = "model"


@dataclass(frozen=True, slots=True)
class Fault:
    """Schedule one fault: `kind` is crash, return, slow, rollout or restart.

    `value` is the slowdown factor of slow and the loading time of rollout, in seconds.
    """

    at: float
    kind: str
    endpoint: int = 0
    value: float = 1.0


@dataclass(frozen=True, slots=True)
class Conditions:
    """Set how engines evict and how late and how exact the routers' information is.

    `declared_capacity` is the declared cache capacity as a factor of the real one.
    """

    eviction: Eviction = Eviction.LRU
    declared_capacity: float = 1.0
    event_loss: float = 0.0
    event_lag_s: float = 0.5
    report_lag_s: float = 0.5
    detection_s: float = 1.0
    learn: bool = True


@dataclass(slots=True)
class Outcome:
    """Record the outcome of one request; times are in seconds, negative while unknown."""

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
    """Hold one engine model with its incarnation and the sequence number of its last event.

    `jobs` maps a job ID to the request ID, the attempt and the index of the engine.
    """

    model: EngineModel
    forecast: EngineForecast
    incarnation: int = 1
    version: str = "v1"
    alive: bool = True
    seq: int = 0
    wake_at: float = -1.0
    jobs: dict[int, tuple[int, int, int]] = field(default_factory=dict)


class Simulation:
    """Simulate one policy on the engines of a deployment under the conditions of a scenario.

    `owners` maps a request ID to the router that received it, the index of its entry instance and
    its incarnation, `generation`.
    """

    def __init__(
        self,
        deployment: Deployment,
        conditions: Conditions,
        create_router: RouterFactory,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self.conditions = conditions
        self.create_router = create_router
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.control_bytes = 0
        self.outcomes: dict[int, Outcome] = {}
        self.engines = [self._make_engine(index) for index in range(len(deployment.speeds))]
        self.routers = [
            create_router(self, instance, seed) for instance in range(deployment.instances)
        ]
        self.generation = 1
        self.owners: dict[int, tuple[Router, int, int]] = {}
        self.snapshot: tuple[CacheSnapshotReceived, ...] = ()
        self._arrivals: dict[int, Arrival] = {}
        self._jobs = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def run(self, arrivals: list[Arrival], faults: tuple[Fault, ...], until: float) -> None:
        """Process all arrivals and faults and stop at time `until`."""
        for index in range(len(self.engines)):
            self._announce(index, EndpointState.LIVE)
            self._schedule_at(REPORT_INTERVAL_S, partial(self._report_load, index))
        if isinstance(self.routers[0], Gateway):
            for instance in range(len(self.routers)):
                self._schedule_at(
                    TICK_S * (instance + 1) / len(self.routers), partial(self._tick, instance)
                )
            self._schedule_at(SNAPSHOT_INTERVAL_S, self._take_snapshot)
        for arrival in arrivals:
            self._arrivals[arrival.req_id] = arrival
            self._schedule_at(
                arrival.at + self.deployment.caller_delay_s, partial(self._arrive, arrival)
            )
        for fault in faults:
            self._schedule_at(fault.at, partial(self._inject, fault))
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()

    def _schedule_at(self, when: float, callback: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (when, self._order, callback))

    def _schedule_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._schedule_at(self.now + delay_s, callback)

    # Entry instances

    def _arrive(self, arrival: Arrival) -> None:
        self.outcomes[arrival.req_id] = Outcome(
            arrival.workspace, arrival.at, arrival.prompt_tokens
        )
        versions = sorted({engine.version for engine in self.engines if engine.alive})
        first, *rest = versions or ["v1"]
        scope = CacheScope(str(arrival.workspace), MODEL, "", first)
        others = tuple(VersionedBlocks(v, arrival.document.hashes(v)) for v in rest)
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
        router = self.routers[arrival.instance]
        self.owners[arrival.req_id] = (router, arrival.instance, self.generation)
        self._deliver(router, request, arrival.instance)

    def _deliver(self, router: Router, msg: Message, instance: int) -> None:
        for effect in router.handle(msg, self.now):
            self._apply_effect(effect, instance)

    def _deliver_to_owner(self, req_id: int, msg: Message) -> None:
        router, instance, _ = self.owners[req_id]
        self._deliver(router, msg, instance)

    def _deliver_to_all(self, msg: Message) -> None:
        for instance, router in enumerate(self.routers):
            self._deliver(router, msg, instance)

    def _apply_effect(self, effect: Effect, instance: int) -> None:
        if isinstance(effect, Dispatch):
            index = int(effect.endpoint)
            self._record_best_cache(effect.req_id)
            self._schedule_after(
                self.deployment.inner_delay_s, partial(self._submit, index, effect)
            )
        elif isinstance(effect, Refuse):
            outcome = self.outcomes[effect.req_id]
            outcome.refused_s = self.now - outcome.at
        elif isinstance(effect, SendPeerUpdate):
            self._send_peer_update(effect, instance)

    def _send_peer_update(self, sent: SendPeerUpdate, instance: int) -> None:
        update = PeerUpdateReceived(
            str(instance), self.generation, sent.seq, sent.placements, sent.releases
        )
        records = len(sent.placements) + len(sent.releases)
        hashes = sum(len(placement.blocks) for placement in sent.placements)
        if sent.limits is not None:
            records += len(sent.limits.usages) + len(sent.limits.claims)
            records += len(sent.limits.suspicions)
        size = UPDATE_HEADER_BYTES + RECORD_BYTES * records + HASH_BYTES * hashes
        for peer, router in enumerate(self.routers):
            if peer != instance:
                self.control_bytes += size
                callback = partial(self._deliver, router, update, peer)
                self._schedule_after(self.deployment.inner_delay_s, callback)

    def _tick(self, instance: int) -> None:
        self._deliver(self.routers[instance], Tick(), instance)
        self._schedule_after(TICK_S, partial(self._tick, instance))

    def _take_snapshot(self) -> None:
        router = self.routers[0]
        if isinstance(router, Gateway):
            self.snapshot = router.cache_contents()
        self._schedule_after(SNAPSHOT_INTERVAL_S, self._take_snapshot)

    # Engines

    def _make_engine(self, index: int) -> Engine:
        spec = self.deployment.engine_spec(index, self.conditions.eviction)
        model = EngineModel(spec, random.Random(self.seed * 100 + index))
        return Engine(model, EngineForecast(model))

    def _announce(self, index: int, state: EndpointState) -> None:
        engine = self.engines[index]
        declared = int(engine.model.spec.cache_pieces * self.conditions.declared_capacity)
        version = engine.version
        self._deliver_to_all(
            EndpointStatus(str(index), engine.incarnation, version, state, MODEL, declared)
        )

    def _submit(self, index: int, effect: Dispatch) -> None:
        engine = self.engines[index]
        expected = (effect.incarnation, effect.weights_version)
        if not engine.alive or (engine.incarnation, engine.version) != expected:
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

    def _record_best_cache(self, req_id: int) -> None:
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
            self._schedule_at(max(due, self.now), partial(self._wake, index, due))

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
        self._schedule_after(delay_s, partial(self._deliver_to_owner, req_id, msg))

    def _end_attempt(self, req_id: int, attempt: int, result: AttemptResult) -> None:
        msg = AttemptEnded(req_id, attempt, result)
        self._schedule_after(
            self.deployment.inner_delay_s, partial(self._deliver_to_owner, req_id, msg)
        )

    def _publish(self, index: int, delta: CacheDelta) -> None:
        engine = self.engines[index]
        engine.seq += 1
        if self.rng.random() < self.conditions.event_loss:
            return
        name, seq = str(index), engine.seq
        msg = CacheChanged(name, engine.incarnation, seq, seq, delta.stored, delta.evicted)
        self._schedule_after(self.conditions.event_lag_s, partial(self._deliver_to_all, msg))

    def _report_load(self, index: int) -> None:
        engine = self.engines[index]
        if engine.alive:
            load = engine.model.load()
            tokens = load.waiting_tokens
            msg = LoadReported(
                str(index), engine.incarnation, load.running, load.waiting, tokens, self.now
            )
            self._schedule_after(self.conditions.report_lag_s, partial(self._deliver_to_all, msg))
        self._schedule_after(REPORT_INTERVAL_S, partial(self._report_load, index))

    # Faults

    def _inject(self, fault: Fault) -> None:
        index = fault.endpoint
        if fault.kind == "crash":
            self._crash(index)
            state = EndpointState.DOWN
            self._schedule_after(self.conditions.detection_s, partial(self._announce, index, state))
        elif fault.kind == "return":
            self._restart_engine(index)
        elif fault.kind == "slow":
            self._slow_down(index, fault.value)
        elif fault.kind == "rollout":
            self._begin_weights_load(index, fault.value)
        elif fault.kind == "restart":
            self._restart_entries()

    def _crash(self, index: int) -> None:
        engine = self.engines[index]
        engine.alive = False
        engine.model.clear()
        engine.forecast.reset()
        engine.wake_at = -1.0
        jobs, engine.jobs = engine.jobs, {}
        for req_id, attempt, _ in jobs.values():
            self._end_attempt(req_id, attempt, AttemptResult.LOST)

    def _restart_engine(self, index: int) -> None:
        engine = self.engines[index]
        engine.alive = True
        engine.incarnation += 1
        engine.seq = 0
        self._announce(index, EndpointState.LIVE)

    def _slow_down(self, index: int, factor: float) -> None:
        engine = self.engines[index]
        remaining_s = engine.forecast.wait_s(self.now) * factor / engine.model.slowdown
        engine.model.slowdown = factor
        engine.forecast.free_at = self.now + remaining_s

    def _begin_weights_load(self, index: int, load_s: float) -> None:
        self._announce(index, EndpointState.DOWN)
        self._drain_then_load(index, load_s)

    def _drain_then_load(self, index: int, load_s: float) -> None:
        engine = self.engines[index]
        if engine.jobs:
            self._schedule_after(0.1, partial(self._drain_then_load, index, load_s))
            return
        engine.alive = False
        engine.model.clear()
        engine.forecast.reset()
        engine.version = "v2"
        self._schedule_after(load_s, partial(self._restart_engine, index))

    def _restart_entries(self) -> None:
        self.generation += 1
        instances = range(len(self.routers))
        self.routers = [self.create_router(self, instance, self.seed + 1) for instance in instances]
        for index, engine in enumerate(self.engines):
            if engine.alive:
                self._announce(index, EndpointState.LIVE)
        for contents in self.snapshot:
            self._deliver_to_all(contents)
