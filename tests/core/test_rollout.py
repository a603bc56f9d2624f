"""The rollout plan, with replicas that take time to load and lease holders that are replaced."""

from __future__ import annotations

import random

import pytest

from rattangate.core.orders import LoadVersion, ObservedState, SetDesiredOrders
from rattangate.core.rollout import (
    MAX_LOADING,
    Blocked,
    DesiredVersion,
    Rollout,
    RolloutCfg,
    UseVersion,
)

CFG = RolloutCfg(load_interval_s=0.5, settle_s=2.0)
STEP_S = 0.25


class Fleet:
    """Simulate replicas that run an ordered version after a random load time."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.versions = {f"r{number}": "v1" for number in range(count)}
        self.loads: dict[str, tuple[str, float]] = {}
        self.in_use = "v1"
        self.now = 0.0
        self.load_starts: list[float] = []
        self.rollout = Rollout(CFG, 0.0)

    def observe(self) -> list[ObservedState]:
        return [
            ObservedState(name, 1, version, "serve", name not in self.loads, leaving=False)
            for name, version in self.versions.items()
        ]

    def step(self, desired: str, min_replicas: int) -> list:
        self.now += STEP_S
        for name, (version, ends_at) in list(self.loads.items()):
            if ends_at <= self.now:
                self.versions[name] = version
                del self.loads[name]
        item = DesiredVersion("m", desired, self.in_use, min_replicas)
        effects = self.rollout.plan([item], {"m": self.observe()}, self.now)
        for effect in effects:
            if isinstance(effect, UseVersion):
                self.in_use = effect.weights_version
            if isinstance(effect, SetDesiredOrders):
                (order,) = effect.orders
                assert isinstance(order, LoadVersion)
                self.load_starts.append(self.now)
                ends_at = self.now + self.rng.uniform(0.5, 3.0)
                self.loads[effect.endpoint] = (order.weights_version, ends_at)
        return effects

    def check_limits(self, min_replicas: int) -> None:
        assert len(self.loads) <= MAX_LOADING
        ready = [name for name in self.versions if name not in self.loads]
        assert sum(self.versions[name] == self.in_use for name in ready) >= min_replicas


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(("count", "min_replicas"), [(6, 3), (6, 2), (5, 2), (2, 1)])
def test_limits_hold_during_a_rollout_that_is_rolled_back(seed, count, min_replicas) -> None:
    fleet = Fleet(count, seed)
    rollback_at = fleet.rng.uniform(2.0, 20.0)
    holder_replaced_at = fleet.rng.uniform(2.0, 20.0)
    for desired in ("v2", "v1"):
        while fleet.now < (rollback_at if desired == "v2" else rollback_at + 60.0):
            fleet.step(desired, min_replicas)
            fleet.check_limits(min_replicas)
            if holder_replaced_at <= fleet.now:
                holder_replaced_at = float("inf")
                fleet.rollout = Rollout(CFG, fleet.now)
    assert set(fleet.versions.values()) == {"v1"}
    assert fleet.in_use == "v1"


def test_rollout_ends_with_every_replica_on_the_desired_version() -> None:
    fleet = Fleet(6, 1)
    while fleet.now < 30.0:
        fleet.step("v2", 3)
        fleet.check_limits(3)
    assert set(fleet.versions.values()) == {"v2"}
    intervals = [
        after - before
        for before, after in zip(fleet.load_starts, fleet.load_starts[1:], strict=False)
    ]
    assert min(intervals) >= CFG.load_interval_s
    assert fleet.load_starts[0] >= CFG.settle_s


def test_rollout_with_too_few_replicas_is_reported_as_blocked() -> None:
    fleet = Fleet(3, 1)
    effects = [effect for _ in range(40) for effect in fleet.step("v2", 2)]
    assert Blocked("m", 4) in effects
    assert sum(version == "v1" for version in fleet.versions.values()) == 2


def test_stalled_load_of_an_earlier_holder_is_ordered_again() -> None:
    fleet = Fleet(3, 1)
    fleet.loads["r0"] = ("v2", 1_000.0)
    effects = [effect for _ in range(200) for effect in fleet.step("v2", 1)]
    assert SetDesiredOrders("r0", (LoadVersion("v2"),)) in effects
    assert set(fleet.versions.values()) == {"v2"}


def test_number_of_concurrent_loads_grows_with_the_number_of_replicas():
    for count, expected in ((2, 1), (4, 2), (12, 3), (30, 8), (70, 18)):
        assert count_first_orders(count, due_s=8.0) == expected


def count_first_orders(count: int, due_s: float, guarded: frozenset[str] = frozenset()) -> int:
    """Return how many replicas are ordered to load at once if the version is due in `due_s`."""
    cfg = RolloutCfg(
        load_interval_s=0.0,
        settle_s=0.0,
        max_loading=2,
        max_loading_share=0.45,
        urgent_loading_share=0.75,
        load_s=2.0,
    )
    replicas = [
        ObservedState(f"e{number:02}", 1, "v1", "", ready=True, leaving=False)
        for number in range(count)
    ]
    desired = DesiredVersion("m", "v2", in_use="v2", min_replicas=0, due_at=due_s)
    return len(Rollout(cfg, 0.0).plan([desired], {"m": replicas}, 0.0, guarded))


def test_as_many_replicas_load_concurrently_as_the_due_time_requires():
    assert count_first_orders(18, due_s=60.0) == 2
    assert count_first_orders(18, due_s=7.2) == 5
    assert count_first_orders(18, due_s=4.8) == 8
    assert count_first_orders(18, due_s=0.0) == 14
    assert count_first_orders(6, due_s=7.2) == 2
    assert count_first_orders(2, due_s=-1.0) == 2


def test_guarded_replicas_count_as_loading():
    guarded = frozenset({"e00", "e01"})
    assert count_first_orders(18, due_s=60.0, guarded=guarded) == 0
    assert count_first_orders(18, due_s=4.8, guarded=guarded) == 6


def test_slow_loads_raise_the_number_of_concurrent_loads():
    fleet = Fleet(18, 1)
    fleet.rollout = Rollout(
        RolloutCfg(load_interval_s=0.0, settle_s=0.0, max_loading=1, load_s=1.0), 0.0
    )
    desired = DesiredVersion("m", "v2", "v2", 0, due_at=40.0)
    max_concurrent = 0
    while set(fleet.versions.values()) != {"v2"}:
        fleet.now += STEP_S
        fleet.versions |= {name: v for name, (v, at) in fleet.loads.items() if at <= fleet.now}
        fleet.loads = {name: load for name, load in fleet.loads.items() if load[1] > fleet.now}
        for effect in fleet.rollout.plan([desired], {"m": fleet.observe()}, fleet.now):
            if isinstance(effect, SetDesiredOrders):
                fleet.loads[effect.endpoint] = ("v2", fleet.now + 6.0)
        max_concurrent = max(max_concurrent, len(fleet.loads))
    assert max_concurrent > 1
    assert fleet.now < 40.0
