"""Hold the suspects of one instance and decide when they run, wait or get their final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.quarantine import Quarantine, Verdict
from rattangate.core.trials import Trials

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rattangate.core.messages import EndpointSeen, LimitsNews, TrialClaim
    from rattangate.core.runs import Run

RELAX_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Probe:
    """Run a suspect at the named endpoint."""

    run: Run
    endpoint: str


@dataclass(frozen=True, slots=True)
class Condemn:
    """Give a request its final answer; a repeat is of use after `retry_after_s`."""

    run: Run
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Absolve:
    """Treat a former suspect as any other request."""

    run: Run


@dataclass(frozen=True, slots=True)
class TimeOut:
    """Refuse a suspect whose deadline passed while it waited."""

    run: Run


Step = Probe | Condemn | Absolve | TimeOut
LiveNames = Callable[["Run"], list[str]]


class Suspects:
    """Join the cases, the turns and the suspects that wait or run at this instance."""

    def __init__(self, instance: str, settle_s: float) -> None:
        self.quarantine = Quarantine(settle_s)
        self._trials = Trials(instance, self.quarantine)
        self._waiting: dict[int, Run] = {}
        self._probed: dict[int, Run] = {}

    def note_endpoint(self, seen: EndpointSeen, now: float) -> None:
        """Take an endpoint's state, which confirms a crash or rules it out."""
        self.quarantine.note_endpoint(seen.endpoint, seen.incarnation, seen.state, now)

    def hold(self, run: Run, now: float) -> None:
        """Keep a suspect back until its turn."""
        if run.req.req_id in self._probed:
            del self._probed[run.req.req_id]
            self._trials.end(run.digest, now)
        else:
            self._trials.claim(run.digest, now)
        self._waiting[run.req.req_id] = run

    def discard(self, run: Run, now: float) -> None:
        """Forget a request that ended or is no longer suspect."""
        waiting = self._waiting.pop(run.req.req_id, None)
        probed = self._probed.pop(run.req.req_id, None)
        if probed is not None:
            self._trials.end(run.digest, now)
        if waiting is not None or probed is not None:
            self._trials.drop(run.digest)

    def holds(self, run: Run) -> bool:
        """Tell whether a request waits or runs as a suspect."""
        return run.req.req_id in self._waiting or run.req.req_id in self._probed

    def is_probed(self, run: Run) -> bool:
        """Tell whether a request runs as a trial."""
        return run.req.req_id in self._probed

    def steps(self, live: LiveNames, now: float) -> Iterator[Step]:
        """Yield what is due for the suspects held here."""
        self._relax(now)
        for run in list(self._waiting.values()):
            step = self._step(run, live, now)
            if step is not None:
                yield step

    def begin(self, run: Run, now: float) -> None:
        """Note that a suspect was sent to an endpoint."""
        assert run.placed_on is not None
        self._probed[run.req.req_id] = self._waiting.pop(run.req.req_id)
        self._trials.begin(run.digest, run.placed_on.name, now)

    def take_news(self, instance: str, news: LimitsNews, now: float) -> list[bytes]:
        """Merge a peer's cases and claims; return the digests that became suspect."""
        self._trials.take_claims(instance, news.claims)
        return self.quarantine.merge(news.suspicions, now)

    def claims(self) -> tuple[TrialClaim, ...]:
        """Return the claims of this instance, for its peers."""
        return self._trials.claims()

    def drop_peer(self, instance: str) -> None:
        """Forget the claims of a lost peer."""
        self._trials.drop_peer(instance)

    def _step(self, run: Run, live: LiveNames, now: float) -> Step | None:
        verdict = self.quarantine.judge(run.digest, now)
        if verdict is Verdict.GUILTY:
            return Condemn(run, self.quarantine.remaining_s(run.digest, now))
        if verdict is Verdict.FREE:
            return Absolve(run)
        if now > run.deadline:
            return TimeOut(run)
        if self.quarantine.awaits_verdict(run.digest, now):
            return None
        endpoint = self._trials.choose_endpoint(run.digest, live(run), now)
        return Probe(run, endpoint) if endpoint is not None else None

    def _relax(self, now: float) -> None:
        for run in self._probed.values():
            if run.first_token_at is None or now < run.first_token_at + RELAX_AFTER_S:
                continue
            if now - run.placed_at > self.quarantine.longest_run_s(run.digest) + RELAX_AFTER_S:
                self._trials.relax(run.digest)
