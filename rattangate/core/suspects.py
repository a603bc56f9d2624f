"""Hold the suspect requests of one instance and decide when each runs, waits or is refused."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.messages import Evidence, Verdict
from rattangate.core.part_evidence import PartEvidence
from rattangate.core.quarantine import Quarantine, QuarantineEntry
from rattangate.core.trials import TrialScheduler

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rattangate.core.active_requests import ActiveRequest
    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.messages import EndpointStatus, LimitsUpdate, QuarantineChange, TrialClaim

# Other trials may join one at its endpoint once it has run for this much longer than each failed
# attempt of its digest, and for this long after its first token.
EXCLUSIVITY_MARGIN_S = 1.0


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

    `quarantine` decides which digests are suspect, and `parts` which parts of prompts crash
    endpoints; the trial scheduler decides where and when a suspect runs.
    """

    def __init__(self, instance: str, propagation_s: float) -> None:
        self.quarantine = Quarantine(propagation_s)
        self.parts = PartEvidence(instance, self.quarantine)
        self._trials = TrialScheduler(instance, self.quarantine)
        self._waiting: dict[int, ActiveRequest] = {}
        self._in_trial: dict[int, ActiveRequest] = {}

    def quarantined_for_s(self, request: ActiveRequest, now: float) -> float | None:
        """Return for how many seconds a request or its parts stay quarantined, None if not."""
        if self.quarantine.verdict_on(request.digest, now) is Verdict.GUILTY:
            return self.quarantine.remaining_s(request.digest, now)
        entry = self.parts.part_quarantine.find(request.req.parts, now)
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
            for entry in self.parts.part_quarantine.entries()
            if now < entry.deadline
        )
        return (*self.quarantine.listing(now), *parts)

    def release(self, digest: bytes, now: float) -> None:
        """Release a request or parts of prompts on an operator's request."""
        self.quarantine.release(digest)
        self.parts.release(digest, now)

    def record_lost(self, request: ActiveRequest, key: EndpointKey, now: float) -> None:
        """Record a lost attempt, which makes its request suspect and the parts of its prompt."""
        parts = self.parts.suspect_parts(request, now)
        ran_s = now - request.placed_at
        self.quarantine.record_failure(request.digest, key, ran_s, now, parts)
        self.parts.recall_good_runs(parts, self._trials.peer_count, now)

    def record_completed(self, request: ActiveRequest, now: float) -> None:
        """Clear a request that completed, and the parts of its prompt."""
        self.quarantine.clear(request.digest, now)
        began_at = now if request.first_token_at is None else request.first_token_at
        self.parts.record_good_run(request, began_at, now)

    def take_changes(self) -> list[QuarantineChange]:
        """Return the changes of suspects and verdicts since the last call."""
        return [*self.quarantine.take_changes(), *self.parts.take_changes()]

    @property
    def has_unsent(self) -> bool:
        """Tell whether peers were not told of all evidence."""
        return self.quarantine.has_unsent or self.parts.has_unsent

    def known_evidence(self, now: float) -> Evidence:
        """Return all evidence that is known here, for a peer that may have missed some of it."""
        return Evidence(self.quarantine.known_suspicions(now), self.parts.known_good_runs(now))

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
        return self.merge(Evidence(update.suspicions, update.good_runs), now)

    def merge(self, evidence: Evidence, now: float) -> list[bytes]:
        """Merge what a peer knows; return the digests that became suspect."""
        self.parts.merge(evidence.good_runs, now)
        for suspicion in evidence.suspicions:
            if not suspicion.cleared:
                peers = self._trials.peer_count
                self.parts.recall_good_runs(suspicion.parts, peers, now)
        return self.quarantine.merge(evidence.suspicions, now)

    def claims(self) -> tuple[TrialClaim, ...]:
        """Return the trial claims of this instance, for its peers."""
        return self._trials.claims()

    def drop_peer(self, instance: str) -> None:
        """Forget the trial claims of a lost peer."""
        self._trials.drop_peer(instance)

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
