"""Find the parts of prompts that crash the endpoints that answer on them.

A crashed run is an attempt that was lost when its endpoint crashed. A part is quarantined when runs
of different requests with it crashed endpoints one after the other, no answer on it went well since
the first of them, and no other part explains the same crashes. A part on which answers went well
before needs more crashes. All of this follows from sets of runs and the times of good runs, which
merge alike at all instances.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.endpoint_key import EndpointKey

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Crashes one after the other after which a part is quarantined.
CRASHES_NEEDED = 3
# Requests among them; a part of one request only is not told apart from the request itself.
REQUESTS_NEEDED = 2
# Further crashes required of a part on which answers went well before.
EXTRA_CRASHES_IF_KNOWN_GOOD = 2
# The first quarantine of a part ends this long after its last crash; the time doubles with each
# further crash, up to a maximum.
FIRST_QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 600.0
# Times of a peer's runs are late by the delay of its update.
MAX_PEER_DELAY_S = 0.1
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """Describe an attempt that ran on an endpoint from `started_at` until the crash."""

    digest: bytes
    parts: tuple[str, ...]
    endpoint: EndpointKey
    started_at: float
    ended_at: float


RunsByPart = dict[str, frozenset[CrashedRun]]


@dataclass(frozen=True, slots=True)
class PoisonParts:
    """Name parts that crash endpoints; those of one entry never occurred apart from each other.

    A request with all of them is refused until `deadline`.
    """

    parts: frozenset[str]
    crashes: int
    endpoints: frozenset[EndpointKey]
    deadline: float

    @property
    def digest(self) -> bytes:
        """Return the digest by which operators name the entry."""
        return blake2b("\n".join(sorted(self.parts)).encode(), digest_size=DIGEST_BYTES).digest()


class PartQuarantine:
    """Derive the quarantined parts from the crashed runs and the good runs of all instances."""

    def __init__(self) -> None:
        self._well_at: dict[str, float] = {}
        # When the first crash ended that counts against a part.
        self._suspect_since: dict[str, float] = {}
        self._entries: dict[frozenset[str], PoisonParts] = {}

    def record_good_run(self, part: str, began_at: float) -> bool:
        """Record an answer that went well; tell whether it refutes a crashed run with the part."""
        suspect_since = self._suspect_since.get(part)
        if suspect_since is None or began_at <= suspect_since:
            return False
        self.merge_good_run(part, began_at)
        return True

    def has_good_run(self, part: str) -> bool:
        """Tell whether an answer on the part is known to have gone well."""
        return part in self._well_at

    def merge_good_run(self, part: str, began_at: float) -> None:
        """Record an answer that went well before, or that a peer told of."""
        self._well_at[part] = max(began_at, self._well_at.get(part, -math.inf))
        if began_at > self._suspect_since.get(part, math.inf):
            del self._suspect_since[part]

    def good_runs(self) -> tuple[tuple[str, float], ...]:
        """Return the parts with the time at which their last good run began."""
        return tuple(self._well_at.items())

    def find(self, parts: tuple[str, ...], now: float) -> PoisonParts | None:
        """Return the entry in force that applies to a request with these parts, None if none."""
        if not self._entries:
            return None
        present = frozenset(parts)
        matching = (entry for entry in self._entries.values() if entry.parts <= present)
        return next((entry for entry in matching if now < entry.deadline), None)

    def entries(self) -> tuple[PoisonParts, ...]:
        """Return all entries, also those whose deadline has passed."""
        return tuple(self._entries.values())

    def update(
        self, runs: Iterable[CrashedRun], crashes_needed: Callable[[frozenset[EndpointKey]], int]
    ) -> list[PoisonParts]:
        """Derive the entries anew from all crashed runs; return those that were added.

        `crashes_needed` is given the endpoints that crashed under a part. An entry stays in force
        if more crashes are needed later, as long as its crashes count against its parts.
        """
        runs_by_part = self._runs_by_part(runs)
        self._suspect_since = {
            part: min(run.ended_at for run in those) for part, those in runs_by_part.items()
        }
        kept = [parts for parts in self._entries if self._still_holds(parts, runs_by_part)]
        added = []
        self._entries = {parts: _make_entry(parts, runs_by_part) for parts in kept}
        while found := self._find_poison(self._unexplained(runs_by_part), crashes_needed):
            for parts in found:
                self._entries[parts] = _make_entry(parts, runs_by_part)
                added.append(self._entries[parts])
        return added

    def expire(self, oldest: float) -> None:
        """Forget good runs that began before a time, as do all crashed runs that they refute."""
        self._well_at = {part: at for part, at in self._well_at.items() if at > oldest}

    def _runs_by_part(self, runs: Iterable[CrashedRun]) -> RunsByPart:
        """Return the runs of each part that ended after its last good run had begun."""
        grouped: defaultdict[str, set[CrashedRun]] = defaultdict(set)
        for run in runs:
            for part in run.parts:
                if run.ended_at > self._well_at.get(part, -math.inf):
                    grouped[part].add(run)
        return {part: frozenset(those) for part, those in grouped.items()}

    def _still_holds(self, parts: frozenset[str], runs_by_part: RunsByPart) -> bool:
        """Tell whether crashes count against all of these parts, in the same runs and enough."""
        runs_of_each = {runs_by_part.get(part, frozenset()) for part in parts}
        if len(runs_of_each) > 1:
            return False
        extra = max(self._extra_crashes(part) for part in parts)
        return _successive_crashes(runs_of_each.pop()) >= CRASHES_NEEDED + extra

    def _extra_crashes(self, part: str) -> int:
        return EXTRA_CRASHES_IF_KNOWN_GOOD if part in self._well_at else 0

    def _find_poison(
        self,
        runs_by_part: RunsByPart,
        crashes_needed: Callable[[frozenset[EndpointKey]], int],
    ) -> set[frozenset[str]]:
        """Return the parts to quarantine, each with those that occurred in exactly the same runs."""
        suspects = {}
        for part, runs in runs_by_part.items():
            crashed = _endpoints(runs)
            if len(crashed) < CRASHES_NEEDED or len({run.digest for run in runs}) < REQUESTS_NEEDED:
                continue
            needed = crashes_needed(crashed) + self._extra_crashes(part)
            if _successive_crashes(runs) >= needed:
                suspects[part] = runs
        return {
            frozenset(other for other, those in suspects.items() if those == runs)
            for runs in suspects.values()
            if not any(_explains_better(other, runs) for other in suspects.values())
        }

    def _unexplained(self, runs_by_part: RunsByPart) -> RunsByPart:
        """Leave out the crashes that the entries explain, and the parts that have no others."""
        explained = frozenset[EndpointKey]().union(
            *(entry.endpoints for entry in self._entries.values())
        )
        if not explained:
            return runs_by_part
        remaining = {
            part: frozenset(run for run in runs if run.endpoint not in explained)
            for part, runs in runs_by_part.items()
        }
        return {part: runs for part, runs in remaining.items() if runs}


def _explains_better(other: frozenset[CrashedRun], runs: frozenset[CrashedRun]) -> bool:
    """Tell whether another part is at least as likely to have caused the crashes of a part.

    Where a part occurred only together with a more frequent one, at the same crashes, the rarer one
    is the likely cause: the other would have crashed endpoints without it too.
    """
    if _endpoints(other) != _endpoints(runs):
        return _endpoints(other) > _endpoints(runs)
    return not other >= runs


def _make_entry(parts: frozenset[str], runs_by_part: RunsByPart) -> PoisonParts:
    runs = runs_by_part[next(iter(parts))]
    last_crash = max(run.ended_at for run in runs)
    crashed = _endpoints(runs)
    deadline = last_crash + _quarantine_s(len(crashed))
    return PoisonParts(parts, len(crashed), crashed, deadline)


def _endpoints(runs: frozenset[CrashedRun]) -> frozenset[EndpointKey]:
    return frozenset(run.endpoint for run in runs)


def _successive_crashes(runs: frozenset[CrashedRun]) -> int:
    """Count the crashes of runs that each began after the crash that was counted before.

    Endpoints that crash together, for a common reason, count once.
    """
    count = 0
    last_crash = -math.inf
    for run in sorted(runs, key=lambda item: item.ended_at):
        if (
            run.started_at >= last_crash - MAX_PEER_DELAY_S
            and run.ended_at > last_crash + MAX_PEER_DELAY_S
        ):
            count += 1
            last_crash = run.ended_at
    return count


def _quarantine_s(crashes: int) -> float:
    doublings = max(0, crashes - CRASHES_NEEDED)
    return min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2.0**doublings)
