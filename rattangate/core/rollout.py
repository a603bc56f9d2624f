"""The rollout of weights versions: which replica loads next, and which version serves requests.

The plan is recomputed from the endpoints' reports each time, so a new lease holder resumes where
the previous one stopped, and a change of the desired version stops a rollout or reverses it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.orders import LoadVersion, SetDesiredOrders

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from rattangate.core.orders import ObservedState

MAX_LOADING = 2
# Smoothing factor of the moving average of load times.
LOAD_TIME_SMOOTHING = 0.3


@dataclass(frozen=True, slots=True)
class RolloutCfg:
    """Limit the rate and the number of loads; times are in seconds.

    New loads begin at least `load_interval_s` apart. `settle_s` is how long a late order of an
    earlier holder may still take effect; `stall_s` is how long a replica may load without an order
    of this holder before it is sent one. At most `max_loading` replicas load concurrently, or as
    many as it takes to finish when the version is due if that is more. This number is capped at
    `max_loading_share` of the live replicas, or at `urgent_loading_share` if the first cap is too
    low to finish in time. `load_s` is the expected duration of a load until one has ended.
    """

    load_interval_s: float = 0.5
    settle_s: float = 3.0
    stall_s: float = 5.0
    max_loading: int = MAX_LOADING
    max_loading_share: float = 1.0
    urgent_loading_share: float = 1.0
    load_s: float = 1.5


@dataclass(frozen=True, slots=True)
class DesiredVersion:
    """Hold the version that a model should run and the one that serves it now.

    All replicas should run `weights_version` at `due_at`.
    """

    model: str
    weights_version: str
    in_use: str
    min_replicas: int
    due_at: float = math.inf


@dataclass(frozen=True, slots=True)
class UseVersion:
    """Let a version serve a model; replicas of other versions may then be reloaded."""

    model: str
    weights_version: str


@dataclass(frozen=True, slots=True)
class Blocked:
    """Report that no replica may load until the model has `replicas_needed` replicas."""

    model: str
    replicas_needed: int


RolloutEffect = SetDesiredOrders | UseVersion | Blocked


class Rollout:
    """Plan the loads of one lease holder, few at a time, replicas with the oldest version first."""

    def __init__(self, cfg: RolloutCfg, lease_acquired_at: float) -> None:
        self._cfg = cfg
        self._next_load_at = lease_acquired_at + cfg.settle_s
        self._ordered: dict[str, str] = {}
        self._ordered_at: dict[str, float] = {}
        self._loading_since: dict[str, float] = {}
        self._guarded: frozenset[str] = frozenset()
        self._expected_load_s = cfg.load_s

    def plan(
        self,
        desired: Iterable[DesiredVersion],
        replicas: Mapping[str, Sequence[ObservedState]],
        now: float,
        guarded: frozenset[str] = frozenset(),
    ) -> list[RolloutEffect]:
        """Return the effects to carry out now; `replicas` holds the live replicas of each model.

        Those in `guarded` may have orders from an earlier holder and are sent none for now.
        """
        observed = {item.endpoint: item for reports in replicas.values() for item in reports}
        self._guarded = guarded
        self._drop_finished(observed, now)
        self._track_loading(observed, now)
        effects: list[RolloutEffect] = []
        for item in desired:
            effects += self._plan_model(item, replicas.get(item.model, ()), now)
        return effects

    def _plan_model(
        self,
        desired: DesiredVersion,
        replicas: Sequence[ObservedState],
        now: float,
    ) -> list[RolloutEffect]:
        if desired.in_use != desired.weights_version:
            if _count_ready(replicas, desired.weights_version) >= desired.min_replicas:
                return [UseVersion(desired.model, desired.weights_version)]
        effects = self._redirect_loads(desired, replicas) + self._retry_stalled(
            desired, replicas, now
        )
        candidates = [item for item in replicas if self._is_candidate(item, desired)]
        spare = self._count_spare(desired, replicas)
        # Replicas that do not serve the version in use can load without loss of capacity.
        candidates.sort(key=lambda item: (_serves(item, desired.in_use), *_version_sort_key(item)))
        for item in candidates:
            takes_capacity = _serves(item, desired.in_use)
            if takes_capacity and spare <= 0:
                break
            if now < self._next_load_at:
                return effects
            if self._count_loading(desired, replicas) >= self._max_loading(desired, replicas, now):
                return effects
            spare -= takes_capacity
            self._ordered[item.endpoint] = desired.weights_version
            self._ordered_at[item.endpoint] = now
            self._next_load_at = now + self._cfg.load_interval_s
            order = LoadVersion(desired.weights_version)
            effects.append(SetDesiredOrders(item.endpoint, (order,)))
        if candidates and not effects and not self._count_loading(desired, replicas):
            effects.append(Blocked(desired.model, 2 * desired.min_replicas))
        return effects

    def _redirect_loads(
        self, desired: DesiredVersion, replicas: Sequence[ObservedState]
    ) -> list[RolloutEffect]:
        """Order the desired version where an earlier one was ordered."""
        effects: list[RolloutEffect] = []
        for item in replicas:
            ordered = self._ordered.get(item.endpoint, desired.weights_version)
            if ordered != desired.weights_version:
                self._ordered[item.endpoint] = desired.weights_version
                order = LoadVersion(desired.weights_version)
                effects.append(SetDesiredOrders(item.endpoint, (order,)))
        return effects

    def _retry_stalled(
        self, desired: DesiredVersion, replicas: Sequence[ObservedState], now: float
    ) -> list[RolloutEffect]:
        """Repeat the orders for loads that another holder began and that do not finish."""
        effects: list[RolloutEffect] = []
        for item in replicas:
            since = self._loading_since.get(item.endpoint, now)
            if item.endpoint not in self._ordered and now >= since + self._cfg.stall_s:
                self._ordered[item.endpoint] = desired.weights_version
                order = LoadVersion(desired.weights_version)
                effects.append(SetDesiredOrders(item.endpoint, (order,)))
        return effects

    def _count_spare(self, desired: DesiredVersion, replicas: Sequence[ObservedState]) -> int:
        kept = [item for item in replicas if item.endpoint not in self._ordered]
        return _count_ready(kept, desired.in_use) - desired.min_replicas

    def _max_loading(
        self, desired: DesiredVersion, replicas: Sequence[ObservedState], now: float
    ) -> int:
        """Return how many replicas may load concurrently."""
        cfg = self._cfg
        live = [item for item in replicas if not item.leaving]
        remaining = sum(item.weights_version != desired.weights_version for item in live)
        rounds = max(1.0, (desired.due_at - now) / self._expected_load_s)
        needed = math.ceil(remaining / rounds)
        target = max(cfg.max_loading, needed)
        cap = round(cfg.max_loading_share * len(live))
        if needed > cap:
            cap = round(cfg.urgent_loading_share * len(live))
        return max(1, min(target, cap))

    def _count_loading(self, desired: DesiredVersion, replicas: Sequence[ObservedState]) -> int:
        guarded = {
            item.endpoint
            for item in replicas
            if item.endpoint in self._guarded and item.weights_version != desired.weights_version
        }
        return len(self._loading_since.keys() | self._ordered.keys() | guarded)

    def _is_candidate(self, item: ObservedState, desired: DesiredVersion) -> bool:
        if item.leaving or not item.ready or item.endpoint in self._guarded:
            return False
        ordered = self._ordered.get(item.endpoint)
        if ordered is not None:
            return False
        return item.weights_version != desired.weights_version

    def _track_loading(self, observed: dict[str, ObservedState], now: float) -> None:
        loading = {name for name, item in observed.items() if not item.ready and not item.leaving}
        self._loading_since = {name: self._loading_since.get(name, now) for name in loading}

    def _drop_finished(self, observed: dict[str, ObservedState], now: float) -> None:
        for endpoint, version in list(self._ordered.items()):
            item = observed.get(endpoint)
            if item is not None and _serves(item, version):
                self._update_expected_load(
                    now - self._ordered_at.get(endpoint, now - self._expected_load_s)
                )
            elif item is not None and not item.leaving:
                continue
            del self._ordered[endpoint]
            self._ordered_at.pop(endpoint, None)

    def _update_expected_load(self, duration_s: float) -> None:
        self._expected_load_s += LOAD_TIME_SMOOTHING * (duration_s - self._expected_load_s)


def _count_ready(replicas: Iterable[ObservedState], version: str) -> int:
    return sum(_serves(item, version) for item in replicas)


def _version_sort_key(item: ObservedState) -> tuple[int, str, str]:
    """Return a key that sorts version numbers of any length from the oldest to the newest."""
    return len(item.weights_version), item.weights_version, item.endpoint


def _serves(item: ObservedState, version: str) -> bool:
    return item.ready and not item.leaving and item.weights_version == version
