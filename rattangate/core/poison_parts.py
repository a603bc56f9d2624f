"""Find the parts of prompts that crash the endpoints that answer on them.

A crashed run is an attempt that was lost when its endpoint crashed. A part is quarantined when runs
of different requests with it crashed endpoints one after the other, no run with it went well since
the first of them, and no other part explains the same crashes. All of this follows from sets of
runs and the times of good runs, which merge alike at all instances.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Crashes one after the other after which a part is quarantined.
CRASHES_NEEDED = 3
# Requests among them; a part of one request only is not told apart from the request itself.
REQUESTS_NEEDED = 2
# The first quarantine of a part ends this long after its last crash; the time doubles with each
# further crash, up to a maximum.
FIRST_QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 600.0

# The name and the incarnation of an endpoint.
IncarnationKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """Describe an attempt that ran on an endpoint from `started_at` until the crash."""

    digest: bytes
    parts: tuple[str, ...]
    endpoint: IncarnationKey
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class PoisonParts:
    """Name parts that crash endpoints; those of one entry never occurred apart from each other.

    A request with all of them is refused until `deadline`.
    """

    parts: frozenset[str]
    crashes: int
    endpoints: frozenset[IncarnationKey]
    deadline: float


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
        del self._suspect_since[part]
        self.merge_good_run(part, began_at)
        return True

    def merge_good_run(self, part: str, began_at: float) -> None:
        """Record an answer that went well and that a peer told of."""
        self._well_at[part] = max(began_at, self._well_at.get(part, -math.inf))

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
        self, runs: Iterable[CrashedRun], crashes_needed: Callable[[frozenset[IncarnationKey]], int]
    ) -> list[PoisonParts]:
        """Derive the entries anew from all crashed runs; return those that were added.

        `crashes_needed` is given the endpoints that crashed under a part. An entry stays in force
        if more crashes are needed later, as long as its crashes count against its parts.
        """
        runs_by_part = self._runs_by_part(runs)
        self._suspect_since = {
            part: min(run.ended_at for run in those) for part, those in runs_by_part.items()
        }
        known = {
            parts: entry
            for parts, entry in self._entries.items()
            if all(part in runs_by_part for part in parts)
        }
        found = {}
        for part in _suspects(runs_by_part):
            entry = self._judge(part, runs_by_part, crashes_needed)
            if entry is not None:
                found[entry.parts] = entry
        merged = {**known, **found}
        self._entries = {
            parts: entry for parts, entry in merged.items() if not any(o < parts for o in merged)
        }
        return [entry for parts, entry in found.items() if parts not in known]

    def expire(self, oldest: float) -> None:
        """Forget good runs that began before a time, as do all crashed runs that they refute."""
        self._well_at = {part: at for part, at in self._well_at.items() if at > oldest}

    def _runs_by_part(self, runs: Iterable[CrashedRun]) -> dict[str, frozenset[CrashedRun]]:
        """Return the runs of each part that ended after its last good run had begun."""
        grouped: defaultdict[str, set[CrashedRun]] = defaultdict(set)
        for run in runs:
            for part in run.parts:
                if run.ended_at > self._well_at.get(part, -math.inf):
                    grouped[part].add(run)
        return {part: frozenset(those) for part, those in grouped.items()}

    def _judge(
        self,
        part: str,
        runs_by_part: dict[str, frozenset[CrashedRun]],
        crashes_needed: Callable[[frozenset[IncarnationKey]], int],
    ) -> PoisonParts | None:
        runs = runs_by_part[part]
        crashed = _endpoints(runs)
        chain = _successive_crashes(runs)
        if chain < crashes_needed(crashed):
            return None
        inseparable = {part}
        for other in _suspects(runs_by_part):
            if runs_by_part[other] == runs:
                inseparable.add(other)
            elif _endpoints(runs_by_part[other]) >= crashed:
                return None
        last = max(run.ended_at for run in runs)
        return PoisonParts(
            frozenset(inseparable), chain, crashed, last + _quarantine_s(len(crashed))
        )


def _suspects(runs_by_part: dict[str, frozenset[CrashedRun]]) -> list[str]:
    """Return the parts with enough crashes and requests to be judged."""
    return [
        part
        for part, runs in runs_by_part.items()
        if len(_endpoints(runs)) >= CRASHES_NEEDED
        and len({run.digest for run in runs}) >= REQUESTS_NEEDED
    ]


def _endpoints(runs: frozenset[CrashedRun]) -> frozenset[IncarnationKey]:
    return frozenset(run.endpoint for run in runs)


def _successive_crashes(runs: frozenset[CrashedRun]) -> int:
    """Count the crashes of runs that each began after the crash that was counted before.

    Endpoints that crash together, for a common reason, count once.
    """
    count = 0
    last_crash = -math.inf
    for run in sorted(runs, key=lambda item: item.ended_at):
        if run.started_at >= last_crash:
            count += 1
            last_crash = run.ended_at
    return count


def _quarantine_s(crashes: int) -> float:
    doublings = max(0, crashes - CRASHES_NEEDED)
    return min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2.0**doublings)
