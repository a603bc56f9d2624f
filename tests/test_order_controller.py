"""The order controller in virtual time; holders of its lease are killed, paused or restarted.

Eighteen replicas finish their running requests before they load, share the bandwidth of the weights
source, and must run a desired version within eight seconds of its being set.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
import trio
from trio.testing import MockClock

from rattangate.core.compare_and_swap import CompareAndSwapResult
from rattangate.core.leases import Holder, Lease, LeaseRead, LeaseRecord, LeaseSwapped, ReadLease
from rattangate.core.orders import LoadVersion, ObservedState, OrderResult, SendOrder
from rattangate.core.rollout import DesiredVersion, RolloutCfg
from rattangate.front.replica_orders import (
    FIRST_CANDIDATE_POLL_S,
    LEASE_TERM_S,
    MAX_LOADING,
    MAX_LOADING_SHARE,
    MAX_RETRY_S,
    URGENT_LOADING_SHARE,
    VERSION_DUE_SHARE,
    candidate_poll_s,
)
from rattangate.orders import Observation, OrderController, Permit

REPLICAS = 18
INSTANCES = 9
VERSION_LIMIT_S = 8.0
GUARD_S = 3.0
STORE_LATENCY_S = 0.01
LOSS_DETECTION_S = 2.0
RESTART_S = 1.5
# Concurrent loads that the weights source serves at full speed.
FULL_SPEED_LOADS = 3
LOAD_S = 0.57


@dataclass
class Replica:
    """Hold the version that a replica runs and the orders that it received."""

    version: int = 1
    loading: int = 0
    orders: list[tuple[float, str]] = field(default_factory=list)


@dataclass
class Simulation:
    """Hold the simulated lease row, replicas and instances."""

    rng: random.Random
    replicas: dict[str, Replica] = field(default_factory=dict)
    desired_at: dict[int, float] = field(default_factory=lambda: {1: 0.0})
    version: int = 0
    record: LeaseRecord | None = None
    controllers: dict[str, OrderController] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    lost_at: dict[str, float] = field(default_factory=dict)
    paused: set[str] = field(default_factory=set)
    loads: int = 0
    deadline_violations: list[str] = field(default_factory=list)
    # Whether candidates read the lease less often while no replica is outdated, as in production.
    waits_while_up_to_date: bool = False

    def set_next_version(self) -> int:
        """Set the next version as the desired one."""
        version = max(self.desired_at) + 1
        self.desired_at[version] = trio.current_time()
        return version

    def holder(self) -> str:
        """Return the instance that holds the lease according to the record."""
        return "" if self.record is None else self.record.holder.instance

    def rank(self, name: str, holder: str) -> int:
        """Return how many candidates precede an instance; a lost one counts until it is noticed."""
        now = trio.current_time()
        live = [other for other, at in self.lost_at.items() if now < at + LOSS_DETECTION_S]
        own = (self.incarnations[name], name)
        return sum((self.incarnations[other], other) > own for other in live if other != holder)

    def outdated_at(self) -> float:
        """Return when the oldest running version became outdated."""
        oldest = min(replica.version for replica in self.replicas.values())
        return min(
            (at for newer, at in self.desired_at.items() if newer > oldest), default=float("inf")
        )

    async def load(self, replica: Replica, version: int) -> None:
        """Finish the running requests, then load a version."""
        replica.loading += 1
        await trio.sleep(self.rng.uniform(0.2, 0.9))
        self.loads += 1
        await trio.sleep(LOAD_S * max(1.0, self.loads / FULL_SPEED_LOADS))
        self.loads -= 1
        replica.loading -= 1
        replica.version = max(replica.version, version)

    async def watch_deadline(self) -> None:
        """Record each replica that runs an outdated version for longer than the limit."""
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            for name, replica in self.replicas.items():
                newer = [at for version, at in self.desired_at.items() if version > replica.version]
                if newer and now > min(newer) + VERSION_LIMIT_S:
                    self.deadline_violations.append(
                        f"{name} runs version {replica.version} at {now:.1f}"
                    )


class SimulatedLeaseRow:
    """Carry out the effects of a lease on the simulated record."""

    key = "orders"

    def __init__(self, simulation: Simulation, name: str) -> None:
        self._simulation = simulation
        self._name = name

    async def carry_out(self, effect):
        """Read or swap the record."""
        simulation = self._simulation
        await self._wait_for_store()
        if isinstance(effect, ReadLease):
            reply: object = LeaseRead(True, simulation.version, simulation.record)
        elif effect.expected_version != simulation.version:
            reply = LeaseSwapped(
                CompareAndSwapResult.CONFLICT, simulation.version, simulation.record
            )
        else:
            simulation.version += 1
            simulation.record = effect.record
            reply = LeaseSwapped(CompareAndSwapResult.APPLIED, simulation.version)
        await self._wait_for_store()
        return reply

    async def _wait_for_store(self) -> None:
        await trio.sleep(STORE_LATENCY_S)
        while self._name in self._simulation.paused:
            await trio.sleep(STORE_LATENCY_S)


class SimulatedOrderSite:
    """Let one order controller observe the simulated replicas and send orders to them."""

    def __init__(self, simulation: Simulation, name: str, nursery: trio.Nursery) -> None:
        self._simulation = simulation
        self._name = name
        self._nursery = nursery

    def candidate_poll_s(self, holder: str) -> float:
        """Return the interval of the production code, by default that while one is outdated."""
        is_up_to_date = (
            self._simulation.waits_while_up_to_date
            and self._simulation.outdated_at() == float("inf")
        )
        return candidate_poll_s(self._simulation.rank(self._name, holder), is_up_to_date)

    def claim_guard_s(self) -> float:
        """Keep away from what another holder ordered."""
        return GUARD_S

    def rollout_cfg(self) -> RolloutCfg:
        """Return the same limits as the production code."""
        return RolloutCfg(
            load_interval_s=0.0,
            settle_s=0.0,
            max_loading=MAX_LOADING,
            max_loading_share=MAX_LOADING_SHARE,
            urgent_loading_share=URGENT_LOADING_SHARE,
        )

    async def observe(self) -> Observation:
        """Return all replicas; wait while the instance is paused."""
        while self._name in self._simulation.paused:
            await trio.sleep(STORE_LATENCY_S)
        seen = [
            ObservedState(name, 1, str(replica.version), "", ready=True, leaving=False)
            for name, replica in self._simulation.replicas.items()
        ]
        due_at = self._simulation.outdated_at() + VERSION_DUE_SHARE * VERSION_LIMIT_S
        newest = str(max(self._simulation.desired_at))
        return Observation((DesiredVersion("m", newest, newest, 0, due_at),), {"m": seen})

    async def serve_version(self, effect) -> None:
        """Do nothing."""

    async def send(self, sent: SendOrder, permit: Permit) -> OrderResult:
        """Start a load and wait until it has finished."""
        await trio.sleep(STORE_LATENCY_S)
        if not permit.is_valid() or self._name in self._simulation.paused:
            return OrderResult.LOST
        replica = self._simulation.replicas[sent.endpoint]
        replica.orders.append((trio.current_time(), self._name))
        assert isinstance(sent.order, LoadVersion)
        if replica.loading:
            return OrderResult.BUSY
        version = int(sent.order.weights_version)
        self._nursery.start_soon(self._simulation.load, replica, version)
        while replica.version < version:
            await trio.sleep(0.15)
        return OrderResult.ACCEPTED


class Cluster:
    """Start, kill, restart and pause instances."""

    def __init__(self, simulation: Simulation, nursery: trio.Nursery) -> None:
        self._simulation = simulation
        self._nursery = nursery
        self._scopes: dict[str, trio.CancelScope] = {}

    async def start(self, name: str) -> None:
        """Start an instance."""
        simulation = self._simulation
        simulation.incarnations[name] = int(trio.current_time() * 1000) + simulation.rng.randrange(
            200
        )
        simulation.lost_at[name] = float("inf")
        holder = Holder(name, simulation.incarnations[name])
        site = SimulatedOrderSite(simulation, name, self._nursery)
        controller = OrderController(
            Lease(holder, LEASE_TERM_S),
            SimulatedLeaseRow(simulation, name),
            site,
            trio.current_time,
            MAX_RETRY_S,
        )
        simulation.controllers[name] = controller
        scope = self._scopes[name] = trio.CancelScope()

        async def run() -> None:
            with scope:
                await controller.run()

        self._nursery.start_soon(run)

    async def kill(self, name: str) -> None:
        """Kill an instance and start it again."""
        self._scopes[name].cancel()
        self._simulation.lost_at[name] = trio.current_time()
        await trio.sleep(RESTART_S)
        await self.start(name)

    def lose(self, name: str) -> None:
        """Lose an instance for good."""
        self._scopes[name].cancel()
        self._simulation.lost_at[name] = trio.current_time()

    async def restart(self, name: str) -> None:
        """Let an instance release its lease, stop it and start it again."""
        self._simulation.controllers[name].stop()
        await trio.sleep(RESTART_S)
        await self.kill(name)

    async def pause(self, name: str, duration_s: float) -> None:
        """Pause an instance for a while."""
        self._simulation.paused.add(name)
        await trio.sleep(duration_s)
        self._simulation.paused.discard(name)


Fault = Callable[[Simulation, Cluster], object]


async def rolling_restart(simulation: Simulation, cluster: Cluster) -> None:
    async with trio.open_nursery() as nursery:
        for name in sorted(simulation.incarnations):
            nursery.start_soon(cluster.restart, name)
            await trio.sleep(2.0)


async def kill_holders(simulation: Simulation, cluster: Cluster) -> None:
    for _ in range(2):
        await trio.sleep(simulation.rng.uniform(0.2, 1.5))
        await cluster.kill(simulation.holder())
        await trio.sleep(9.0)


async def pause_holders(simulation: Simulation, cluster: Cluster) -> None:
    await trio.sleep(simulation.rng.uniform(0.2, 1.5))
    await cluster.pause(simulation.holder(), simulation.rng.uniform(1.0, 4.0))


async def no_fault(simulation: Simulation, cluster: Cluster) -> None:
    await trio.sleep(0)


def guard_violations(simulation: Simulation) -> list[str]:
    """Return the replicas to which two holders sent orders within the guard time."""
    violations = []
    for name, replica in simulation.replicas.items():
        for (at, holder), (next_at, other) in zip(replica.orders, replica.orders[1:], strict=False):
            if holder != other and next_at < at + GUARD_S:
                violations.append(f"{name}: {holder} at {at:.2f}, {other} at {next_at:.2f}")
    return violations


@pytest.fixture(autouse=True)
def _deterministic_schedule(monkeypatch) -> None:
    """Make trio schedule its tasks in the same order on each run."""
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio._core._run, "_r", random.Random(1))


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("fault", [no_fault, rolling_restart, kill_holders, pause_holders])
def test_versions_load_within_the_limit_and_holders_keep_the_guard_time(
    fault: Fault, seed: int
) -> None:
    simulation = Simulation(random.Random(seed))
    simulation.replicas = {f"r{number:02}": Replica() for number in range(REPLICAS)}

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(simulation, nursery)
            for number in range(INSTANCES):
                await cluster.start(f"i{number}")
            await trio.sleep(5.0)
            nursery.start_soon(simulation.watch_deadline)
            nursery.start_soon(fault, simulation, cluster)
            for _ in range(3):
                simulation.set_next_version()
                await trio.sleep(simulation.rng.uniform(3.0, 9.0))
            await trio.sleep(12.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert simulation.deadline_violations == []
    assert guard_violations(simulation) == []
    assert {replica.version for replica in simulation.replicas.values()} == {
        max(simulation.desired_at)
    }


def holder_and_next(simulation: Simulation, count: int) -> list[str]:
    """Return the holder of the lease and the first of the candidates after it."""
    holder = simulation.holder()
    others = [name for name in simulation.incarnations if name != holder]
    others.sort(key=lambda name: simulation.rank(name, holder))
    return [holder, *others[: count - 1]]


def versions_after(seed: int, harm: Callable[[Simulation, Cluster], None]) -> Simulation:
    """Harm a running cluster, then let it load a version that is set one second later."""
    simulation = Simulation(random.Random(seed), waits_while_up_to_date=True)
    simulation.replicas = {f"r{number:02}": Replica() for number in range(REPLICAS)}

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(simulation, nursery)
            for number in range(INSTANCES):
                await cluster.start(f"i{number}")
            await trio.sleep(8.0 + simulation.rng.random())
            harm(simulation, cluster)
            await trio.sleep(1.0)
            simulation.set_next_version()
            await trio.sleep(1.5 * VERSION_LIMIT_S)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return simulation


# Guards against VERSION: nobody orders for up to a minute after the holder and the next were lost.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [1, 2, 4, 8])
def test_versions_load_after_the_holder_and_the_next_candidates_were_lost(
    count: int, seed: int
) -> None:
    def lose(simulation: Simulation, cluster: Cluster) -> None:
        for name in holder_and_next(simulation, count):
            cluster.lose(name)

    simulation = versions_after(seed, lose)
    assert {replica.version for replica in simulation.replicas.values()} == {2}
    assert guard_violations(simulation) == []


# Guards against VERSION: the candidates next in line live, but do not reach the store.
@pytest.mark.parametrize("seed", range(6))
def test_versions_load_while_the_holder_and_the_next_candidates_are_cut_off(seed: int) -> None:
    def cut_off(simulation: Simulation, cluster: Cluster) -> None:
        simulation.paused.update(holder_and_next(simulation, 4))

    simulation = versions_after(seed, cut_off)
    assert {replica.version for replica in simulation.replicas.values()} == {2}


class SingleEngineSite:
    """Simulate one engine that is still loading when the operator returns to the old version."""

    def __init__(self) -> None:
        self.sent: list[tuple[float, str]] = []

    def candidate_poll_s(self, holder: str) -> float:
        """Return the shortest interval."""
        return FIRST_CANDIDATE_POLL_S

    def claim_guard_s(self) -> float:
        """Keep away from what another holder ordered."""
        return GUARD_S

    def rollout_cfg(self) -> RolloutCfg:
        """Return a configuration without delays before loads."""
        return RolloutCfg(load_interval_s=0.0, settle_s=0.0)

    async def observe(self) -> Observation:
        """Return the new version as desired for one second; the load that starts takes ten."""
        now = trio.current_time()
        desired = "v2" if now < 1.0 else "v1"
        has_loaded = now >= 10.0 and not any(order == "v1" for _, order in self.sent)
        version = "v2" if has_loaded else "v1"
        is_ready = not self.sent or now >= 10.0
        seen = ObservedState("e1", 1, version, "", is_ready, leaving=False)
        return Observation((DesiredVersion("m", desired, desired, 0),), {"m": [seen]})

    async def serve_version(self, effect) -> None:
        """Do nothing."""

    async def send(self, sent: SendOrder, permit: Permit) -> OrderResult:
        """Accept any order at once."""
        assert permit.is_valid()
        assert isinstance(sent.order, LoadVersion)
        self.sent.append((trio.current_time(), sent.order.weights_version))
        return OrderResult.ACCEPTED


def test_engine_that_finished_loading_an_outdated_version_is_ordered_back() -> None:
    simulation = Simulation(random.Random(1))
    site = SingleEngineSite()
    lease = Lease(Holder("i0", 1), LEASE_TERM_S)
    controller = OrderController(
        lease, SimulatedLeaseRow(simulation, "i0"), site, trio.current_time
    )

    async def main() -> None:
        with trio.move_on_after(30.0):
            await controller.run()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert site.sent[0][1] == "v2"
    assert site.sent[-1][1] == "v1"


class VanishingEngineSite(SingleEngineSite):
    """Simulate an engine that drops out of reach before the first byte of its order is sent.

    `permitted` tells for each order whether it may be sent then, `recorded` whether the lease record
    claims the engine.
    """

    def __init__(self, simulation: Simulation) -> None:
        super().__init__()
        self.permitted: list[bool] = []
        self.recorded: list[bool] = []
        self._simulation = simulation

    async def observe(self) -> Observation:
        """Return the engine during the first second, with an old version."""
        seen = ObservedState("e1", 1, "v1", "", True, leaving=False)
        replicas = [seen] if trio.current_time() < 1.0 else []
        return Observation((DesiredVersion("m", "v2", "v2", 0),), {"m": replicas})

    async def send(self, sent: SendOrder, permit: Permit) -> OrderResult:
        """Take five seconds to connect to the engine."""
        await trio.sleep(5.0)
        self.permitted.append(permit.is_valid())
        self.recorded.append("e1" in self._simulation.record.named)
        return OrderResult.LOST


# Guards against ONE: an order that no claim tells of, so that the next holder orders too soon.
def test_an_order_is_not_sent_once_the_claim_on_its_engine_has_expired() -> None:
    simulation = Simulation(random.Random(1))
    site = VanishingEngineSite(simulation)
    lease = Lease(Holder("i0", 1), LEASE_TERM_S)
    controller = OrderController(
        lease, SimulatedLeaseRow(simulation, "i0"), site, trio.current_time
    )

    async def main() -> None:
        with trio.move_on_after(10.0):
            await controller.run()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert site.recorded == [False]
    assert site.permitted == [False]
