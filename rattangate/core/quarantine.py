"""Find the request that crashes the endpoints that run it, and keep it from all instances.

A case holds, for one request digest, the endpoint incarnations that failed with it aboard. Cases
are merged with those of peers as sets, so that all instances come to the same verdict.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointState, Suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

GUILTY_CRASHES = 3
UNRELATED_CRASHES = 2
UNRELATED_S = 60.0
SETTLE_S = 0.5
CONFIRM_S = 3.0
SUSPECT_S = 60.0
QUARANTINE_S = 600.0
RESEND_S = 1.0

Life = tuple[str, int]


class Verdict(Enum):
    """Name the states of a request digest."""

    FREE = "free"
    SUSPECT = "suspect"
    GUILTY = "guilty"


@dataclass(slots=True)
class _Mark:
    """Record one failed endpoint incarnation of a case."""

    ran_s: float
    noted_at: float
    deadline: float
    confirmed: bool = False
    cleared: bool = False


@dataclass(slots=True)
class _Case:
    marks: dict[Life, _Mark] = field(default_factory=dict)
    changed_at: float = 0.0
    guilty: bool = False


@dataclass(frozen=True, slots=True)
class Listed:
    """Describe one digest to an operator; `deadline` ends the entry."""

    digest: bytes
    verdict: Verdict
    crashed: tuple[Life, ...]
    deadline: float


class Quarantine:
    """Keep the cases of one instance.

    `settle_s` is the time in which news reaches every instance, in seconds.
    """

    def __init__(self, settle_s: float = SETTLE_S) -> None:
        self.settle_s = settle_s
        self._cases: dict[bytes, _Case] = {}
        self._lives: dict[str, tuple[int, EndpointState]] = {}
        self._crashes: dict[Life, float] = {}
        self._explained: set[Life] = set()
        self._unsent: set[tuple[bytes, Life]] = set()
        self._resend_at = 0.0

    def note_endpoint(
        self, endpoint: str, incarnation: int, state: EndpointState, now: float
    ) -> None:
        """Take an endpoint's state, which confirms a crash or rules it out."""
        known = self._lives.get(endpoint, (0, EndpointState.LEAVING))
        if incarnation < known[0]:
            return
        self._lives[endpoint] = (incarnation, state)
        if state is EndpointState.DOWN:
            self._crashes[endpoint, incarnation] = now
        elif incarnation > known[0] and known[1] is EndpointState.LIVE:
            self._crashes[endpoint, known[0]] = now

    def note_failure(self, digest: bytes, life: Life, ran_s: float, now: float) -> None:
        """Make a suspect of a request whose attempt was lost with the endpoint."""
        self._add(digest, life, _Mark(ran_s, now, now + QUARANTINE_S), now)

    def clear(self, digest: bytes, now: float) -> None:
        """Settle the case of a request that ran to its end."""
        self._clear(digest, now + SUSPECT_S)

    def release(self, digest: bytes) -> None:
        """Settle a case by order of an operator."""
        self._clear(digest, math.inf)

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> list[bytes]:
        """Take in a peer's cases and return the digests with new marks."""
        news = []
        for told in suspicions:
            deadline = now + told.expires_in_s
            mark = _Mark(told.ran_s, now, deadline, told.confirmed, told.cleared)
            if self._add(told.digest, (told.endpoint, told.incarnation), mark, now):
                news.append(told.digest)
        return news

    @property
    def has_unsent(self) -> bool:
        """Tell whether peers have yet to hear of a mark."""
        return bool(self._unsent)

    def suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return what peers have yet to hear; all marks are repeated from time to time."""
        if now >= self._resend_at:
            self._resend_at = now + RESEND_S
            self._unsent = {(digest, life) for digest, life, _ in self._marks()}
        sent = tuple(
            Suspicion(
                digest,
                *life,
                mark.ran_s,
                mark.deadline - now,
                mark.confirmed or self._is_replaced(life),
                mark.cleared,
            )
            for digest, life, mark in self._marks()
            if (digest, life) in self._unsent
        )
        self._unsent.clear()
        return sent

    def judge(self, digest: bytes, now: float) -> Verdict:
        """Return the verdict on a digest."""
        case = self._cases.get(digest)
        if case is None:
            return Verdict.FREE
        if not case.guilty:
            self._try_convict(digest, case, now)
        if case.guilty:
            return Verdict.GUILTY
        return Verdict.SUSPECT if self.count(digest, now) else Verdict.FREE

    def count(self, digest: bytes, now: float) -> int:
        """Count the late failures that speak against a digest."""
        suspect_until = QUARANTINE_S - SUSPECT_S
        marks = self._open_marks(digest, now).values()
        return sum(now < mark.deadline - suspect_until for mark in marks)

    def settled(self, digest: bytes, now: float) -> bool:
        """Tell whether all instances have heard of the last change."""
        case = self._cases.get(digest)
        return case is None or now >= case.changed_at + self.settle_s

    def awaits_verdict(self, digest: bytes, now: float) -> bool:
        """Tell whether a digest has failures enough, but not yet a verdict."""
        if self.count(digest, now) < self._crashes_needed(digest):
            return False
        unconfirmed = len(self._open_marks(digest, now)) > len(self._confirmed(digest, now))
        return unconfirmed or not self.settled(digest, now)

    def longest_run_s(self, digest: bytes) -> float:
        """Return the longest time that a failed attempt of a digest had run, in seconds."""
        case = self._cases.get(digest)
        return max((mark.ran_s for mark in case.marks.values()), default=0.0) if case else 0.0

    def remaining_s(self, digest: bytes, now: float) -> float:
        """Return the seconds until the entry of a digest expires."""
        case = self._cases[digest]
        return max(mark.deadline for mark in case.marks.values()) - now

    def resend_soon(self) -> None:
        """Repeat all marks with the next news, for a peer that is new."""
        self._resend_at = 0.0

    def expire(self, now: float) -> None:
        """Drop the marks whose deadline has passed and judge the other cases."""
        self._crashes = {life: at for life, at in self._crashes.items() if now < at + UNRELATED_S}
        for digest, case in list(self._cases.items()):
            case.marks = {life: mark for life, mark in case.marks.items() if mark.deadline > now}
            if not case.marks:
                del self._cases[digest]
            elif not case.guilty and len(case.marks) >= GUILTY_CRASHES:
                self._try_convict(digest, case, now)
        self._note_explained()

    def listing(self, now: float) -> tuple[Listed, ...]:
        """Return the suspects and the guilty, for operators."""
        return tuple(
            Listed(digest, verdict, tuple(case.marks), now + self.remaining_s(digest, now))
            for digest, case in list(self._cases.items())
            if (verdict := self.judge(digest, now)) is not Verdict.FREE
        )

    def _add(self, digest: bytes, life: Life, mark: _Mark, now: float) -> bool:
        """Enter a mark; return whether it speaks anew against the digest."""
        case = self._cases.setdefault(digest, _Case())
        known = case.marks.get(life)
        if known is None:
            case.marks[life] = mark
            case.changed_at = now
            self._unsent.add((digest, life))
            return not mark.cleared
        known.confirmed = known.confirmed or mark.confirmed
        if mark.cleared and not known.cleared:
            known.cleared = True
            known.deadline = min(known.deadline, mark.deadline)
            case.guilty = False
            self._unsent.add((digest, life))
            self._note_explained()
        return False

    def _clear(self, digest: bytes, deadline: float) -> None:
        case = self._cases.get(digest)
        if case is None:
            return
        for life, mark in case.marks.items():
            if not mark.cleared:
                mark.cleared = True
                mark.deadline = min(mark.deadline, deadline)
                self._unsent.add((digest, life))
        case.guilty = False
        self._note_explained()

    def _note_explained(self) -> None:
        """Collect the failures that guilty digests explain."""
        guilty = [case for case in self._cases.values() if case.guilty]
        self._explained = {life for case in guilty for life in case.marks}

    def _try_convict(self, digest: bytes, case: _Case, now: float) -> None:
        if not self.settled(digest, now):
            return
        lives = set(self._confirmed(digest, now))
        if len(lives) < self._crashes_needed(digest) or self._has_rival(digest, lives, now):
            return
        case.guilty = True
        self._note_explained()

    def _crashes_needed(self, digest: bytes) -> int:
        """Ask for one crash more while endpoints crash without the request, too."""
        unrelated = sum(
            life not in self._cases[digest].marks and life not in self._explained
            for life in self._crashes
        )
        return GUILTY_CRASHES + (unrelated >= UNRELATED_CRASHES)

    def _has_rival(self, digest: bytes, lives: set[Life], now: float) -> bool:
        """Tell whether another digest is as likely to have caused one of the failures."""
        for other in self._cases:
            if other == digest:
                continue
            shared = self._confirmed(other, now)
            if len(shared) >= len(lives) and not lives.isdisjoint(shared):
                return True
        return False

    def _confirmed(self, digest: bytes, now: float) -> list[Life]:
        marks = self._open_marks(digest, now)
        return [life for life, mark in marks.items() if self._is_crash(life, mark)]

    def _open_marks(self, digest: bytes, now: float) -> dict[Life, _Mark]:
        """Return the failures that neither a guilty digest nor a live endpoint explains."""
        case = self._cases.get(digest)
        if case is None:
            return {}
        return {
            life: mark
            for life, mark in case.marks.items()
            if not mark.cleared
            and now < mark.deadline
            and (self._is_crash(life, mark) or now < mark.noted_at + CONFIRM_S)
            and (case.guilty or life not in self._explained)
        }

    def _is_crash(self, life: Life, mark: _Mark) -> bool:
        is_down = self._lives.get(life[0]) == (life[1], EndpointState.DOWN)
        return mark.confirmed or is_down or self._is_replaced(life)

    def _is_replaced(self, life: Life) -> bool:
        known = self._lives.get(life[0])
        return known is not None and known[0] > life[1]

    def _marks(self) -> Iterator[tuple[bytes, Life, _Mark]]:
        for digest, case in self._cases.items():
            for life, mark in case.marks.items():
                yield digest, life, mark
