"""Simulate a few gateways and engines, with delayed updates between gateways, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import count

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    Dispatch,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    PeerLost,
    PeerUpdateReceived,
    Refuse,
    RequestArrived,
    SendPeerUpdate,
    Tick,
)
from rattangate.core.prefix import CacheScope
from rattangate.standins.engine_model import EngineModel, EngineSpec, Finished, FirstToken, Job

TICK_S = 0.1
UPDATE_DELAY_S = 0.1
REQUEST_DELAY_S = 0.001
CRASH_DETECTION_S = 0.3
RESTART_S = 1.0


@dataclass
class Outcome:
    """Record the dispatches and the result of one request."""

    digest: bytes
    workspace: str
    arrived_at: float
    deadline: float
    first_token_at: float | None = None
    completed: bool = False
    refusal: Refuse | None = None
    refused_at: float | None = None
    dispatches: list = field(default_factory=list)


class SimulatedDeployment:
    """Run gateways and engines from a queue of timed events.

    `poison` maps the digest of a request to the seconds after which it crashes its engine;
    `poison_parts` maps a part of prompts to the seconds from the first token to the crash. `cut`
    holds the gateways that are partitioned from the others, and `down` the crashed engines.
    """

    def __init__(
        self, instances=3, engines=6, seed=1, specs=None, delay=UPDATE_DELAY_S, **scheduler
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.poison = {}
        self.poison_parts = {}
        self.crashes = []
        self.outcomes = {}
        self.retries = Counter()
        self.cut = set()
        self.delay = delay
        self._events = []
        self._sequence = count()
        self._req_ids = count(1)
        self._jobs = {}
        self._wake_times = {}
        specs = specs or [EngineSpec(decode_tokens_per_s=100.0)] * engines
        self.engines = {f"e{i}": EngineModel(s, self.rng) for i, s in enumerate(specs)}
        self.incarnations = dict.fromkeys(self.engines, 1)
        self.down = set()
        self.gateways = {}
        for index in range(instances):
            name = f"g{index}"
            cfg = RequestSchedulerCfg(
                instance=name, instances=instances, can_cancel=True, **scheduler
            )
            self.gateways[name] = Gateway(GatewayCfg(4000, 1.0, scheduler=cfg), seed + index)
            self.at(self.rng.random() * TICK_S, self._tick, name)
        for gateway in self.gateways.values():
            gateway.limited.permits.configure(self.gateways)
        for endpoint in self.engines:
            self._report_state(endpoint, EndpointState.LIVE, 0.0)

    def at(self, when, action, *args):
        """Schedule a call of an action at a virtual time."""
        heapq.heappush(self._events, (when, next(self._sequence), action, args))

    def run(self, until):
        """Run the scheduled actions up to a virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    def send(
        self,
        instance,
        digest,
        blocks=(1,),
        tokens=4000,
        *,
        workspace="w",
        timeout_s=10.0,
        max_tokens=100,
        priority=0,
        repeatable=True,
        parts=(),
    ):
        """Deliver a new request to an instance now; return its id.

        `timeout_s` is the time from now to its deadline, in seconds.
        """
        req_id = next(self._req_ids)
        deadline = self.now + timeout_s
        self.outcomes[req_id] = Outcome(digest, workspace, self.now, deadline)
        scope = CacheScope(workspace, "m", "", "v1")
        req = RequestArrived(
            req_id,
            scope,
            blocks,
            tokens,
            max_tokens,
            digest,
            priority,
            deadline,
            repeatable=repeatable,
            parts=parts,
        )
        self.deliver(instance, req)
        return req_id

    def deliver(self, instance, msg):
        """Deliver a message to a gateway and execute the effects that it returns."""
        for effect in self.gateways[instance].handle(msg, self.now):
            self._execute(instance, effect)

    def crash(self, endpoint):
        """Crash an engine; it restarts after RESTART_S with an empty cache."""
        self.crashes.append((self.now, endpoint))
        self.down.add(endpoint)
        self.engines[endpoint].clear()
        self._wake_times[endpoint] = None
        for (req_id, attempt), (where, instance, _) in list(self._jobs.items()):
            if where == endpoint:
                del self._jobs[req_id, attempt]
                lost = AttemptEnded(req_id, attempt, AttemptResult.LOST)
                self.at(self.now + REQUEST_DELAY_S, self.deliver, instance, lost)
        self.at(
            self.now + CRASH_DETECTION_S,
            self._report_state,
            endpoint,
            EndpointState.DOWN,
            CRASH_DETECTION_S,
        )
        self.at(self.now + RESTART_S, self._restart, endpoint)

    def partition(self, instance):
        """Partition an instance from its peers."""
        self.cut.add(instance)
        for name in self.gateways:
            if name != instance:
                self.deliver(instance, PeerLost(name))
                self.deliver(name, PeerLost(instance))

    def refusals(self):
        """Return the number of refusals by reason."""
        return Counter(o.refusal.reason for o in self.outcomes.values() if o.refusal)

    def _tick(self, name):
        self.deliver(name, Tick())
        self.at(self.now + TICK_S, self._tick, name)

    def _execute(self, instance, effect):
        if isinstance(effect, Dispatch):
            if effect.attempt > 1:
                self.retries[effect.retry_reason] += 1
            self.at(self.now + REQUEST_DELAY_S, self._submit, instance, effect)
        elif isinstance(effect, CancelAttempt):
            self.at(self.now + REQUEST_DELAY_S, self._cancel, effect)
        elif isinstance(effect, Refuse):
            outcome = self.outcomes[effect.req_id]
            assert outcome.refusal is None and not outcome.completed
            outcome.refusal = effect
            outcome.refused_at = self.now
        elif isinstance(effect, SendPeerUpdate):
            update = PeerUpdateReceived(
                instance, 1, effect.seq, effect.placements, effect.releases, effect.limits
            )
            for peer in self.gateways:
                if peer != instance and not {peer, instance} & self.cut:
                    self.at(self.now + self.delay, self.deliver, peer, update)

    def _submit(self, instance, sent):
        key = (sent.req_id, sent.attempt)
        endpoint = sent.endpoint
        self.outcomes[sent.req_id].dispatches.append((self.now, endpoint))
        if endpoint in self.down or self.incarnations[endpoint] != sent.incarnation:
            refused = AttemptEnded(*key, AttemptResult.NOT_SENT)
            self.at(self.now + REQUEST_DELAY_S, self.deliver, instance, refused)
            return
        req = self.gateways[instance].scheduler.active_requests[sent.req_id].req
        self._jobs[key] = (endpoint, instance, req)
        job = Job(key, req.blocks, req.prompt_tokens, req.max_tokens, req.priority)
        self.engines[endpoint].submit(job, self.now)
        if req.digest in self.poison:
            self.at(self.now + self.poison[req.digest], self._crash_engine_of, key)
        self._wake(endpoint)

    def _crash_engine_of(self, key):
        if key in self._jobs:
            self.crash(self._jobs[key][0])

    def _cancel(self, effect):
        where = self._jobs.pop((effect.req_id, effect.attempt), None)
        if where is not None:
            self.engines[where[0]].cancel((effect.req_id, effect.attempt), self.now)
            self._wake(where[0])

    def _wake(self, endpoint):
        due = self.engines[endpoint].next_change()
        if due is not None and self._wake_times.get(endpoint) != due:
            self._wake_times[endpoint] = due
            self.at(max(due, self.now), self._advance, endpoint, due)

    def _advance(self, endpoint, due):
        if self._wake_times.get(endpoint) != due:
            return
        self._wake_times[endpoint] = None
        for event in self.engines[endpoint].advance(self.now):
            self._report(event)
        self._wake(endpoint)

    def _report(self, event):
        if not isinstance(event, FirstToken | Finished) or event.job_id not in self._jobs:
            return
        _, instance, req = self._jobs[event.job_id]
        outcome = self.outcomes[req.req_id]
        if isinstance(event, FirstToken):
            outcome.first_token_at = outcome.first_token_at or self.now
            msg = FirstTokenSeen(*event.job_id, event.cached_tokens)
            for part in self.poison_parts.keys() & set(req.parts):
                crash_at = self.now + self.poison_parts[part]
                self.at(crash_at, self._crash_engine_of, event.job_id)
        else:
            del self._jobs[event.job_id]
            outcome.completed = True
            msg = AttemptEnded(*event.job_id, AttemptResult.COMPLETED)
        self.at(self.now + REQUEST_DELAY_S, self.deliver, instance, msg)

    def _restart(self, endpoint):
        self.down.discard(endpoint)
        self.incarnations[endpoint] += 1
        self._report_state(endpoint, EndpointState.LIVE, 0.2)

    def _report_state(self, endpoint, state, max_delay):
        seen = EndpointStatus(endpoint, self.incarnations[endpoint], "v1", state, "m", 64)
        for name in self.gateways:
            self.at(self.now + max_delay * self.rng.random(), self.deliver, name, seen)


def percentile(values, share):
    """Return the quantile `share`, between 0 and 1, of unsorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def by_workspace(outcomes):
    """Group outcomes by workspace."""
    groups = defaultdict(list)
    for outcome in outcomes:
        groups[outcome.workspace].append(outcome)
    return groups
