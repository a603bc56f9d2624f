"""Detect poison requests, which crash the endpoints that run them, and quarantine them everywhere.

A failure history holds, for one request digest, the endpoint incarnations that failed while they
ran it. Histories of peers are merged as sets, so that all instances reach the same verdict. The
same failures tell which parts of prompts crash endpoints, whatever request they are in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rattangate.core.messages import (
    CrashRecorded,
    EndpointState,
    Suspicion,
    SuspicionRecorded,
    Verdict,
    VerdictChanged,
)
from rattangate.core.poison_parts import CrashedRun

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Iterator

    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.messages import QuarantineChange

    _FailureKey = tuple[bytes, EndpointKey]

# Confirmed crashes after which a digest is quarantined.
QUARANTINE_CRASHES = 3
# Crashes of endpoints that did not run the digest, within the window, after which one crash more
# is required.
UNRELATED_CRASHES = 2
UNRELATED_WINDOW_S = 60.0
# Time within which an update reaches every instance.
PROPAGATION_S = 0.5
# A failure that is not confirmed as a crash within this time no longer counts.
CONFIRM_TIMEOUT_S = 3.0
# How long a failure makes a digest a suspect, and how long it stays on record,
# which is also how long a quarantine lasts.
SUSPECT_S = 60.0
QUARANTINE_S = 600.0
# What this instance has seen itself is told again this many times, at this interval: an update may
# be lost. What peers told is not told again, so that the cost of a crash does not grow with the
# instances that hear of it.
RESENDS = 2
RESEND_S = 1.0
# Failures that one update tells of take up to this many bytes; others wait for the next update.
# What is passed to a peer when a connection to it opens are the newest ones.
MAX_TOLD_BYTES = 300_000
# Of one failure without the parts of its prompt, and of each part beside its name.
FAILURE_BYTES = 160
PART_BYTES = 8


@dataclass(slots=True)
class _Failure:
    """Record the failure of an endpoint incarnation that ran a digest for `ran_s` seconds.

    `confirmed` says that this instance or a peer saw the endpoint crash; `cleared` says that the
    failure no longer counts against the digest, which completed elsewhere or was released by an
    operator. `parts` are the suspect parts of the prompt, and `is_own` says that this instance
    ran the request.
    """

    ran_s: float
    recorded_at: float
    deadline: float
    confirmed: bool = False
    cleared: bool = False
    parts: tuple[str, ...] = ()
    is_own: bool = False


@dataclass(slots=True)
class _FailureHistory:
    """Hold the failures of endpoint incarnations that ran one digest."""

    failures: dict[EndpointKey, _Failure] = field(default_factory=dict)
    changed_at: float = 0.0
    quarantined: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """Describe a suspect or quarantined digest for operators; the entry expires at `deadline`.

    `parts` are quarantined parts of prompts, whose digest it is then.
    """

    digest: bytes
    verdict: Verdict
    crashed: tuple[EndpointKey, ...]
    deadline: float
    parts: tuple[str, ...] = ()


class Quarantine:
    """Keep the failure histories of one instance and decide which digests are quarantined.

    `propagation_s` is the time within which an update reaches every instance, in seconds.
    """

    def __init__(self, propagation_s: float = PROPAGATION_S) -> None:
        self.propagation_s = propagation_s
        self._histories: dict[bytes, _FailureHistory] = {}
        self._endpoint_states: dict[str, tuple[int, EndpointState]] = {}
        self._crashes: dict[EndpointKey, float] = {}
        self._attributed: set[EndpointKey] = set()
        self._unsent: set[_FailureKey] = set()
        self._resends: dict[_FailureKey, int] = {}
        self._resend_at = 0.0
        self._changes: list[QuarantineChange] = []
        self._poison_crashes: frozenset[EndpointKey] = frozenset()
        self._has_new_evidence = False

    def take_changes(self) -> list[QuarantineChange]:
        """Return the changes since the last call, in their order."""
        taken, self._changes = self._changes, []
        return taken

    def record_endpoint(
        self, endpoint: str, incarnation: int, state: EndpointState, now: float
    ) -> None:
        """Record the state of an endpoint, which confirms a crash or rules it out."""
        known = self._endpoint_states.get(endpoint, (0, EndpointState.LEAVING))
        if incarnation < known[0]:
            return
        self._endpoint_states[endpoint] = (incarnation, state)
        if state is EndpointState.DOWN:
            # One that was leaving has left.
            if known != (incarnation, EndpointState.LEAVING):
                self._record_crash((endpoint, incarnation), now)
        elif incarnation > known[0] and known[1] in (EndpointState.LIVE, EndpointState.SUSPENDED):
            self._record_crash((endpoint, known[0]), now)

    def record_failure(
        self,
        digest: bytes,
        key: EndpointKey,
        ran_s: float,
        now: float,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Record a lost attempt, which makes its request and the parts of its prompt suspect."""
        is_crash = key in self._crashes
        failure = _Failure(ran_s, now, now + QUARANTINE_S, is_crash, parts=parts, is_own=True)
        if self._add(digest, key, failure, now):
            self._tell(digest, key)
        self._changes.append(SuspicionRecorded(digest, parts, *key, ran_s))

    def clear(self, digest: bytes, now: float) -> None:
        """Clear the failures of a request that completed."""
        self._clear(digest, now + SUSPECT_S)

    def release(self, digest: bytes) -> None:
        """Clear the failures of a digest on an operator's request."""
        self._clear(digest, math.inf)

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> list[bytes]:
        """Merge a peer's failure histories and return the digests with new failures."""
        new_digests = []
        for suspicion in suspicions:
            deadline = now + suspicion.expires_in_s
            failure = _Failure(
                suspicion.ran_s,
                deadline - QUARANTINE_S,
                deadline,
                suspicion.confirmed,
                suspicion.cleared,
                suspicion.parts,
            )
            if self._add(
                suspicion.digest, (suspicion.endpoint, suspicion.incarnation), failure, now
            ):
                new_digests.append(suspicion.digest)
        return new_digests

    @property
    def has_unsent(self) -> bool:
        """Tell whether a failure has changed since the last update to peers."""
        return bool(self._unsent)

    def suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return what this instance has seen itself and its peers were not told often enough."""
        if now >= self._resend_at:
            self._resend_at = now + RESEND_S
            self._unsent.update(self._resends)
            self._resends = {key: count - 1 for key, count in self._resends.items() if count > 1}
        due = [item for item in self._all_failures() if item[:2] in self._unsent]
        told = _fitting(due)
        self._unsent = {item[:2] for item in due[len(told) :]}
        return tuple(self._suspicion(*item, now) for item in told)

    def known_suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return all that is known here, for a peer that may have missed some of it."""
        newest_first = sorted(
            self._all_failures(), key=lambda item: item[2].recorded_at, reverse=True
        )
        return tuple(self._suspicion(*item, now) for item in _fitting(newest_first))

    def take_new_evidence(self) -> bool:
        """Tell whether crashed runs were added, confirmed or cleared since the last call."""
        taken, self._has_new_evidence = self._has_new_evidence, False
        return taken

    def crashed_runs(self) -> list[CrashedRun]:
        """Return the runs that were lost in confirmed crashes and not cleared since."""
        return [
            CrashedRun(
                digest, failure.parts, key, failure.recorded_at - failure.ran_s, failure.recorded_at
            )
            for digest, key, failure in self._all_failures()
            if failure.parts and not failure.cleared and self._is_crash(key, failure)
        ]

    def attribute(self, crashed: frozenset[EndpointKey]) -> None:
        """Attribute crashes to quarantined parts, so that they do not count against requests."""
        self._poison_crashes = crashed
        self._update_attributed()

    def crashes_needed(self, explained: Container[EndpointKey]) -> int:
        """Return the crashes required, one more while endpoints also crash for other reasons."""
        unrelated = sum(
            key not in explained and key not in self._attributed for key in self._crashes
        )
        return QUARANTINE_CRASHES + (unrelated >= UNRELATED_CRASHES)

    def verdict_on(self, digest: bytes, now: float) -> Verdict:
        """Return the verdict on a digest."""
        history = self._histories.get(digest)
        if history is None:
            return Verdict.FREE
        if not history.quarantined:
            self._try_quarantine(digest, history, now)
        if history.quarantined:
            return Verdict.GUILTY
        return Verdict.SUSPECT if self.failure_count(digest, now) else Verdict.FREE

    def failure_count(self, digest: bytes, now: float) -> int:
        """Count the failures of the last `SUSPECT_S` seconds that count against a digest."""
        inactive_s = QUARANTINE_S - SUSPECT_S
        failures = self._unexplained_failures(digest, now).values()
        return sum(now < failure.deadline - inactive_s for failure in failures)

    def is_propagated(self, digest: bytes, now: float) -> bool:
        """Tell whether the last change has reached all instances."""
        history = self._histories.get(digest)
        return history is None or now >= history.changed_at + self.propagation_s

    def awaits_verdict(self, digest: bytes, now: float) -> bool:
        """Tell whether enough failures to quarantine a digest await confirmation or propagation."""
        if self.failure_count(digest, now) < self.crashes_needed(self._histories[digest].failures):
            return False
        unconfirmed = len(self._unexplained_failures(digest, now)) > len(
            self._confirmed_crashes(digest, now)
        )
        return unconfirmed or not self.is_propagated(digest, now)

    def longest_run_s(self, digest: bytes) -> float:
        """Return the longest time that an attempt of a digest ran before it failed, in seconds."""
        history = self._histories.get(digest)
        return (
            max((failure.ran_s for failure in history.failures.values()), default=0.0)
            if history
            else 0.0
        )

    def remaining_s(self, digest: bytes, now: float) -> float:
        """Return the seconds until the entry of a digest expires."""
        history = self._histories[digest]
        return max(failure.deadline for failure in history.failures.values()) - now

    def expire(self, now: float) -> None:
        """Remove expired failures and update the verdicts on the remaining digests."""
        self._crashes = {
            key: at for key, at in self._crashes.items() if now < at + UNRELATED_WINDOW_S
        }
        for digest, history in list(self._histories.items()):
            history.failures = {
                key: failure for key, failure in history.failures.items() if failure.deadline > now
            }
            if not history.failures:
                del self._histories[digest]
            elif not history.quarantined and len(history.failures) >= QUARANTINE_CRASHES:
                self._try_quarantine(digest, history, now)
        self._update_attributed()

    def listing(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the suspect and quarantined digests, for operators."""
        return tuple(
            QuarantineEntry(
                digest, verdict, tuple(history.failures), now + self.remaining_s(digest, now)
            )
            for digest, history in list(self._histories.items())
            if (verdict := self.verdict_on(digest, now)) is not Verdict.FREE
        )

    def _add(self, digest: bytes, key: EndpointKey, failure: _Failure, now: float) -> bool:
        """Record a failure; return whether it is new and counts against the digest."""
        history = self._histories.setdefault(digest, _FailureHistory())
        known = history.failures.get(key)
        if known is None:
            history.failures[key] = failure
            history.changed_at = now
            self._has_new_evidence = True
            return not failure.cleared
        if failure.confirmed and not known.confirmed:
            known.confirmed = True
            self._has_new_evidence = True
        if failure.cleared and not known.cleared:
            known.cleared = True
            known.deadline = min(known.deadline, failure.deadline)
            history.quarantined = False
            self._has_new_evidence = True
            self._update_attributed()
        return False

    def _record_crash(self, key: EndpointKey, now: float) -> None:
        """Record a crash that this instance saw, and confirm the failures that it explains."""
        suspects = 0
        for digest, history in self._histories.items():
            failure = history.failures.get(key)
            if failure is None:
                continue
            suspects += 1
            if not failure.confirmed:
                failure.confirmed = True
                self._has_new_evidence = True
                if failure.is_own:
                    self._tell(digest, key)
        if key not in self._crashes:
            self._changes.append(CrashRecorded(*key, suspects))
        self._crashes[key] = now

    def _clear(self, digest: bytes, deadline: float) -> None:
        history = self._histories.get(digest)
        if history is None or all(failure.cleared for failure in history.failures.values()):
            return
        self._changes.append(VerdictChanged(digest.hex(), Verdict.FREE, 0))
        self._has_new_evidence = True
        for key, failure in history.failures.items():
            if not failure.cleared:
                failure.cleared = True
                failure.deadline = min(failure.deadline, deadline)
                self._tell(digest, key)
        history.quarantined = False
        self._update_attributed()

    def _tell(self, digest: bytes, key: EndpointKey) -> None:
        """Tell peers of a failure with the next update, and again later."""
        self._unsent.add((digest, key))
        self._resends[digest, key] = RESENDS

    def _suspicion(
        self, digest: bytes, key: EndpointKey, failure: _Failure, now: float
    ) -> Suspicion:
        return Suspicion(
            digest,
            *key,
            failure.ran_s,
            failure.deadline - now,
            failure.confirmed or self._is_replaced(key),
            failure.cleared,
            failure.parts,
        )

    def _update_attributed(self) -> None:
        """Collect the failures that are attributed to quarantined digests."""
        quarantined = [history for history in self._histories.values() if history.quarantined]
        self._attributed = {key for history in quarantined for key in history.failures}
        self._attributed |= self._poison_crashes

    def _try_quarantine(self, digest: bytes, history: _FailureHistory, now: float) -> None:
        if not self.is_propagated(digest, now):
            return
        crashed_on = set(self._confirmed_crashes(digest, now))
        if len(crashed_on) < self.crashes_needed(history.failures):
            return
        if self._has_other_suspect(digest, crashed_on, now):
            return
        history.quarantined = True
        self._changes.append(VerdictChanged(digest.hex(), Verdict.GUILTY, len(crashed_on)))
        self._update_attributed()

    def _has_other_suspect(self, digest: bytes, crashed_on: set[EndpointKey], now: float) -> bool:
        """Tell whether another digest is as likely to have caused one of these crashes."""
        for other in self._histories:
            if other == digest:
                continue
            other_crashed_on = self._confirmed_crashes(other, now)
            if len(other_crashed_on) >= len(crashed_on) and not crashed_on.isdisjoint(
                other_crashed_on
            ):
                return True
        return False

    def _confirmed_crashes(self, digest: bytes, now: float) -> list[EndpointKey]:
        failures = self._unexplained_failures(digest, now)
        return [key for key, failure in failures.items() if self._is_crash(key, failure)]

    def _unexplained_failures(self, digest: bytes, now: float) -> dict[EndpointKey, _Failure]:
        """Return the failures that count against a digest.

        Failures attributed to a quarantined digest do not count, nor those of endpoints that have
        not crashed within `CONFIRM_TIMEOUT_S` seconds.
        """
        history = self._histories.get(digest)
        if history is None:
            return {}
        return {
            key: failure
            for key, failure in history.failures.items()
            if not failure.cleared
            and now < failure.deadline
            and (self._is_crash(key, failure) or now < failure.recorded_at + CONFIRM_TIMEOUT_S)
            and (history.quarantined or key not in self._attributed)
        }

    def _is_crash(self, key: EndpointKey, failure: _Failure) -> bool:
        is_down = self._endpoint_states.get(key[0]) == (key[1], EndpointState.DOWN)
        return failure.confirmed or is_down or self._is_replaced(key)

    def _is_replaced(self, key: EndpointKey) -> bool:
        known = self._endpoint_states.get(key[0])
        return known is not None and known[0] > key[1]

    def _all_failures(self) -> Iterator[tuple[bytes, EndpointKey, _Failure]]:
        for digest, history in self._histories.items():
            for key, failure in history.failures.items():
                yield digest, key, failure


def _fitting(
    failures: list[tuple[bytes, EndpointKey, _Failure]],
) -> list[tuple[bytes, EndpointKey, _Failure]]:
    """Return the first failures that fit into one update, at least one."""
    size = 0
    for number, (_, _, failure) in enumerate(failures):
        size += FAILURE_BYTES + sum(len(part) + PART_BYTES for part in failure.parts)
        if number and size > MAX_TOLD_BYTES:
            return failures[:number]
    return failures
