"""The weights versions that the operator wants each model to run, and since when."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from rattangate.core.fleet import ModelVersion

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Replicas that must run a version that was not read; the entry of a single one may be wrong.
MIN_REPLICAS = 2


class DesiredVersions:
    """Record when each desired version was set; times are in seconds on one clock."""

    def __init__(self) -> None:
        self._set_at: dict[str, dict[int, float]] = {}

    def add(self, desired: ModelVersion, at: float) -> bool:
        """Record a version set at `at`; return whether it is newer than all earlier ones."""
        if desired.version <= (self.newest(desired.model) or 0):
            return False
        self._set_at.setdefault(desired.model, {})[desired.version] = at
        return True

    def infer(self, model: str, running: Iterable[int], at: float) -> int | None:
        """Record the newest version that several replicas run; return it if it was not known.

        Replicas run only versions that were set, and the store may have an older one again.
        """
        counts = Counter(running)
        newest = max((one for one, count in counts.items() if count >= MIN_REPLICAS), default=0)
        return newest if newest and self.add(ModelVersion(model, newest), at) else None

    def postpone(self, at: float) -> None:
        """Treat all versions as set no earlier than `at`.

        While no instance can send orders, replicas fall behind; an outdated replica serves callers
        better than none.
        """
        for times in self._set_at.values():
            for version in times:
                times[version] = max(at, times[version])

    def newest(self, model: str) -> int | None:
        """Return the version that a model should run, None if none was set."""
        return max(self._set_at.get(model, ()), default=None)

    def models(self) -> tuple[str, ...]:
        """Return the models that have a desired version."""
        return tuple(self._set_at)

    def outdated_at(self, model: str, versions: Iterable[int]) -> float:
        """Return when the oldest of `versions` became outdated, infinity if it is not."""
        oldest = min(versions, default=None)
        if oldest is None:
            return math.inf
        newer = (at for version, at in self._set_at.get(model, {}).items() if version > oldest)
        return min(newer, default=math.inf)

    def minimum_versions(self, until: float) -> Mapping[str, int]:
        """Return for each model the newest version that was set at or before `until`."""
        minimum = {}
        for model, times in self._set_at.items():
            set_before = [version for version, at in times.items() if at <= until]
            if set_before:
                minimum[model] = max(set_before)
        return minimum
