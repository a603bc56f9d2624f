"""Hold the suspect requests of one instance and decide when each runs, waits or is refused."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.messages import GoodRun, Verdict, VerdictChanged
from rattangate.core.poison_parts import PartQuarantine
from rattangate.core.quarantine import (
    PROPAGATION_S,
    QUARANTINE_S,
    RESEND_S,
    Quarantine,
    QuarantineEntry,
)
from rattangate.core.trials import TrialScheduler

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rattangate.core.active_requests import ActiveRequest
    from rattangate.core.messages import (
        EndpointStatus,
        LimitsUpdate,
        QuarantineChange,
        TrialClaim,
    )
    from rattangate.core.poison_parts import PoisonParts
    from rattangate.core.quarantine import IncarnationKey

# Other trials may join one at its endpoint once it has run for this much longer than each failed
# attempt of its digest, and for this long after its first token.
EXCLUSIVITY_MARGIN_S = 1.0
# An endpoint that produces tokens of an answer for this long does not crash under its prompt.
SURVIVAL_S = 1.0
# Number of parts of prompts whose last good run an instance remembers.
MAX_GOOD_RUNS = 4096
# Interval of judging the parts of prompts while there is new evidence.
JUDGE_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class StartTrial:
    """Run a suspect as a trial at the named endpoint."""

    request: ActiveRequest
    endpoint: str


@dataclass(frozen=True, slots=True)
class RefuseQuarantined:
    """Refuse a request whose digest is quarantined for another `retry_after_s` seconds."""

    request: ActiveRequest
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Requeue:
    """Return a request that is no longer suspect to the queue."""

    request: ActiveRequest


@dataclass(frozen=True, slots=True)
class TimeOut:
    """Refuse a suspect whose deadline passed while it waited."""

    request: ActiveRequest


Step = StartTrial | RefuseQuarantined | Requeue | TimeOut
LiveEndpoints = Callable[["ActiveRequest"], list[str]]


class Suspects:
    """Hold the suspects that wait or run at this instance.

    `quarantine` decides which digests are suspect, and `part_quarantine` which parts of prompts
    crash endpoints; the trial scheduler decides where and when a suspect runs.
    """

    def __init__(self, instance: str, propagation_s: float) -> None:
        self.quarantine = Quarantine(propagation_s)
        self.part_quarantine = PartQuarantine()
        self._unsent_good_runs: set[str] = set()
        self._judge_until = -math.inf
        self._next_judge_at = -math.inf
        self._resend_at = 0.0
        self._good_runs: OrderedDict[str, float] = OrderedDict()
        self._answers_begun: deque[tuple[float, ActiveRequest]] = deque()
        self._changes: list[QuarantineChange] = []
        self._trials = TrialScheduler(instance, self.quarantine)
        self._waiting: dict[int, ActiveRequest] = {}
        self._in_trial: dict[int, ActiveRequest] = {}

    def quarantined_for_s(self, request: ActiveRequest, now: float) -> float | None:
        """Return for how many seconds a request or its parts stay quarantined, None if not."""
        if self.quarantine.verdict_on(request.digest, now) is Verdict.GUILTY:
            return self.quarantine.remaining_s(request.digest, now)
        entry = self.part_quarantine.find(request.req.parts, now)
        return None if entry is None else entry.deadline - now

    def listing(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the suspect and quarantined requests and parts of prompts, for operators."""
        parts = tuple(
            QuarantineEntry(
                entry.digest,
                Verdict.GUILTY,
                tuple(sorted(entry.endpoints)),
                entry.deadline,
                tuple(sorted(entry.parts)),
            )
            for entry in self.part_quarantine.entries()
            if now < entry.deadline
        )
        return (*self.quarantine.listing(now), *parts)

    def release(self, digest: bytes, now: float) -> None:
        """Release a request or parts of prompts as if they had run well now."""
        self.quarantine.release(digest)
        for entry in self.part_quarantine.entries():
            if entry.digest != digest:
                continue
            for part in entry.parts:
                self.part_quarantine.merge_good_run(part, now)
                self._unsent_good_runs.add(part)
            self._judge_soon(now)

    def record_lost(self, request: ActiveRequest, key: IncarnationKey, now: float) -> None:
        """Record a lost attempt, which makes its request suspect and the parts of its prompt."""
        began_at = request.first_token_at
        parts = request.req.parts
        if began_at is not None and now > began_at + SURVIVAL_S:
            parts = ()
        ran_s = now - request.placed_at
        self.quarantine.record_failure(request.digest, key, ran_s, now, parts)
        self._recall_good_runs(parts)

    def record_completed(self, request: ActiveRequest, now: float) -> None:
        """Clear a request that completed, and the parts of its prompt."""
        self.quarantine.clear(request.digest, now)
        began_at = now if request.first_token_at is None else request.first_token_at
        self._record_good_run(request, began_at, now)

    def record_first_token(self, request: ActiveRequest, now: float) -> None:
        """Clear the parts of a request once its answer has run well for long enough."""
        self._answers_begun.append((now, request))

    def record_survivors(self, now: float) -> None:
        """Clear the parts of the requests whose answers have run well for long enough."""
        while self._answers_begun and now > self._answers_begun[0][0] + SURVIVAL_S:
            began_at, request = self._answers_begun.popleft()
            if request.placed_on is not None and request.first_token_at == began_at:
                self._record_good_run(request, began_at, now)

    def _recall_good_runs(self, parts: Iterable[str]) -> None:
        """Tell peers of the last good runs of parts that became suspect, unless one did already."""
        for part in parts:
            began_at = self._good_runs.get(part)
            if began_at is not None and not self.part_quarantine.has_good_run(part):
                self.part_quarantine.merge_good_run(part, began_at)
                self._unsent_good_runs.add(part)

    def _record_good_run(self, request: ActiveRequest, began_at: float, now: float) -> None:
        for part in request.req.parts:
            self._good_runs[part] = began_at
            self._good_runs.move_to_end(part)
            if len(self._good_runs) > MAX_GOOD_RUNS:
                self._good_runs.popitem(last=False)
            if self.part_quarantine.record_good_run(part, began_at):
                self._unsent_good_runs.add(part)
                self._judge_soon(now)

    def judge_parts(self, now: float) -> list[PoisonParts]:
        """Apply new evidence to the parts of prompts; return those quarantined since last time."""
        if self.quarantine.take_new_evidence():
            self._judge_until = now + PROPAGATION_S + 2 * JUDGE_INTERVAL_S
        if now > self._judge_until or now < self._next_judge_at:
            return []
        self._next_judge_at = now + JUDGE_INTERVAL_S
        self.part_quarantine.expire(now - QUARANTINE_S)
        runs = self.quarantine.crashed_runs()
        # Several instances report the runs of one crash.
        settled = [run for run in runs if run.ended_at <= now - PROPAGATION_S]
        before = {entry.parts for entry in self.part_quarantine.entries()}
        added = self.part_quarantine.update(settled, self.quarantine.crashes_needed)
        after = {entry.parts for entry in self.part_quarantine.entries()}
        for entry in added:
            self._report_verdict(entry.parts, Verdict.GUILTY, entry.crashes)
        for parts in before - after:
            self._report_verdict(parts, Verdict.FREE, 0)
        crashed = (entry.endpoints for entry in self.part_quarantine.entries())
        self.quarantine.attribute(frozenset().union(*crashed))
        return added

    def take_changes(self) -> list[QuarantineChange]:
        """Return the changes of suspects and verdicts since the last call."""
        taken, self._changes = self._changes, []
        return [*self.quarantine.take_changes(), *taken]

    def good_runs(self, now: float) -> tuple[GoodRun, ...]:
        """Return the good runs that peers were not told of, and all every `RESEND_S` seconds."""
        if now >= self._resend_at:
            self._resend_at = now + RESEND_S
            self._unsent_good_runs.update(part for part, _ in self.part_quarantine.good_runs())
        sent = tuple(
            GoodRun(part, now - began_at)
            for part, began_at in self.part_quarantine.good_runs()
            if part in self._unsent_good_runs
        )
        self._unsent_good_runs.clear()
        return sent

    @property
    def has_unsent(self) -> bool:
        """Tell whether peers were not told of all evidence."""
        return self.quarantine.has_unsent or bool(self._unsent_good_runs)

    def resend_all(self) -> None:
        """Send all evidence with the next update, for a new peer."""
        self.quarantine.schedule_resend()
        self._resend_at = 0.0

    def record_endpoint(self, seen: EndpointStatus, now: float) -> None:
        """Record the state of an endpoint, which confirms a crash or rules it out."""
        self.quarantine.record_endpoint(seen.endpoint, seen.incarnation, seen.state, now)

    def hold(self, request: ActiveRequest, now: float) -> None:
        """Hold a suspect back until its trial may run."""
        if request.req.req_id in self._in_trial:
            del self._in_trial[request.req.req_id]
            self._trials.end_trial(request.digest, now)
        else:
            self._trials.add_copy(request.digest, now)
        self._waiting[request.req.req_id] = request

    def discard(self, request: ActiveRequest, now: float) -> None:
        """Forget a request that ended or is no longer a suspect."""
        waiting = self._waiting.pop(request.req.req_id, None)
        in_trial = self._in_trial.pop(request.req.req_id, None)
        if in_trial is not None:
            self._trials.end_trial(request.digest, now)
        if waiting is not None or in_trial is not None:
            self._trials.remove_copy(request.digest)

    def holds(self, request: ActiveRequest) -> bool:
        """Tell whether a request waits or runs as a suspect."""
        return request.req.req_id in self._waiting or request.req.req_id in self._in_trial

    def is_in_trial(self, request: ActiveRequest) -> bool:
        """Tell whether a request runs as a trial."""
        return request.req.req_id in self._in_trial

    def steps(self, live_endpoints: LiveEndpoints, now: float) -> Iterator[Step]:
        """Yield the next steps that are due for the waiting suspects."""
        self._end_exclusivity(now)
        for request in list(self._waiting.values()):
            step = self._step(request, live_endpoints, now)
            if step is not None:
                yield step

    def begin_trial(self, request: ActiveRequest, now: float) -> None:
        """Record that the trial of a suspect was sent to an endpoint."""
        assert request.placed_on is not None
        self._in_trial[request.req.req_id] = self._waiting.pop(request.req.req_id)
        self._trials.begin_trial(request.digest, request.placed_on.name, now)

    def apply_peer_update(self, instance: str, update: LimitsUpdate, now: float) -> list[bytes]:
        """Merge a peer's failure histories and claims; return the digests that became suspect."""
        self._trials.set_peer_claims(instance, update.claims)
        for good_run in update.good_runs:
            self.part_quarantine.merge_good_run(good_run.part, now - good_run.age_s)
            self._judge_soon(now)
        for suspicion in update.suspicions:
            self._recall_good_runs(suspicion.parts)
        return self.quarantine.merge(update.suspicions, now)

    def claims(self) -> tuple[TrialClaim, ...]:
        """Return the trial claims of this instance, for its peers."""
        return self._trials.claims()

    def drop_peer(self, instance: str) -> None:
        """Forget the trial claims of a lost peer."""
        self._trials.drop_peer(instance)

    def _report_verdict(self, parts: frozenset[str], verdict: Verdict, crashes: int) -> None:
        self._changes.append(VerdictChanged("+".join(sorted(parts)), verdict, crashes))

    def _judge_soon(self, now: float) -> None:
        self._judge_until = max(self._judge_until, now + 2 * JUDGE_INTERVAL_S)

    def _step(
        self, request: ActiveRequest, live_endpoints: LiveEndpoints, now: float
    ) -> Step | None:
        verdict = self.quarantine.verdict_on(request.digest, now)
        if verdict is Verdict.GUILTY:
            return RefuseQuarantined(request, self.quarantine.remaining_s(request.digest, now))
        if verdict is Verdict.FREE:
            return Requeue(request)
        if now > request.deadline:
            return TimeOut(request)
        if self.quarantine.awaits_verdict(request.digest, now):
            return None
        endpoint = self._trials.choose_endpoint(request.digest, live_endpoints(request), now)
        return StartTrial(request, endpoint) if endpoint is not None else None

    def _end_exclusivity(self, now: float) -> None:
        for request in self._in_trial.values():
            if (
                request.first_token_at is None
                or now < request.first_token_at + EXCLUSIVITY_MARGIN_S
            ):
                continue
            if (
                now - request.placed_at
                > self.quarantine.longest_run_s(request.digest) + EXCLUSIVITY_MARGIN_S
            ):
                self._trials.end_exclusivity(request.digest)
