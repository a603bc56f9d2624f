"""Measure the gossip membership protocol at growing numbers of instances, in virtual time."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

from bench.membership_sim import MembershipSim
from rattangate.core.gossip import LeavingEndpoint

COUNTS = (7, 16, 32, 64, 128, 256, 350)
SETTLE_S = 20.0
MEASURE_S = 10.0
TIMEOUT_S = 60.0
STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class Point:
    """Hold the results for one number of instances; messages, bytes and CPU are per instance."""

    count: int
    messages_per_s: float
    bytes_per_s: float
    cpu_share: float
    first_detection_s: float
    full_detection_s: float
    restart_s: float
    cold_start_s: float
    version_s: float
    leaving_mark_s: float
    partition_recovery_s: float
    largest_bytes: int
    false_detections: int


def measure(count: int) -> Point:
    """Measure one number of instances."""
    sim = MembershipSim(count)
    cold_start_s = _measure_until(sim, lambda: _has_converged(sim))
    sim.run(SETTLE_S)
    sim.reset_counters()
    sim.run(MEASURE_S)
    messages = statistics.mean(sim.sent_messages.values()) / MEASURE_S
    size = statistics.mean(sim.sent_bytes.values()) / MEASURE_S
    cpu = sim.cpu_s / MEASURE_S / count
    false_detections = sum(not event.is_found for event in sim.membership_events)
    crashed = sim.names[3]
    first, full = _measure_detection(sim, crashed)
    sim.start(crashed)
    restart_s = _measure_until(sim, lambda: sim.seen_fraction(crashed, is_up=True) == 1.0)
    sim.run(SETTLE_S)
    version_s = _measure_version_spread(sim)
    leaving_mark_s = _measure_mark_spread(sim)
    partition_recovery_s, largest = _measure_partition_recovery(sim)
    return Point(
        count, messages, size, cpu, first, full, restart_s, cold_start_s, version_s,
        leaving_mark_s, partition_recovery_s, largest, false_detections,
    )  # fmt: skip


def main() -> None:
    """Print a table with one row for each number of instances."""
    print(
        "| instances | messages/s | bytes/s | CPU, % of a core | first / all know of a crash, s "
        "| restart known to all, s | simultaneous start, s | config version to all, s "
        "| leaving mark to all, s | converged after a 60 s partition, s | largest message, bytes "
        "| false detections in 10 s |"
    )
    print("|" + "---|" * 12)
    for count in COUNTS:
        point = measure(count)
        print(
            f"| {point.count} | {point.messages_per_s:.1f} | {point.bytes_per_s:.0f} "
            f"| {point.cpu_share * 100:.3f} "
            f"| {point.first_detection_s:.1f} / {point.full_detection_s:.1f} "
            f"| {point.restart_s:.1f} | {point.cold_start_s:.1f} | {point.version_s:.1f} "
            f"| {point.leaving_mark_s:.1f} | {point.partition_recovery_s:.1f} "
            f"| {point.largest_bytes} "
            f"| {point.false_detections} |",
            flush=True,
        )


def _measure_detection(sim: MembershipSim, crashed: str) -> tuple[float, float]:
    sim.reset_counters()
    started = sim.now
    sim.kill(crashed)
    full = _measure_until(sim, lambda: sim.seen_fraction(crashed, is_up=False) == 1.0)
    first = min(event.at for event in sim.membership_events if event.subject == crashed) - started
    return first, full


def _measure_version_spread(sim: MembershipSim) -> float:
    node = next(iter(sim.nodes.values()))
    node.set_config_version(node.config_version + 1)
    version = node.config_version
    return _measure_until(sim, lambda: all(n.config_version == version for n in sim.nodes.values()))


def _measure_mark_spread(sim: MembershipSim) -> float:
    node = next(iter(sim.nodes.values()))
    sim.apply(node.own.name, node.mark_endpoint_leaving(LeavingEndpoint("engine-1", 5)))
    return _measure_until(sim, lambda: all("engine-1" in n.marks for n in sim.nodes.values()))


def _measure_partition_recovery(sim: MembershipSim) -> tuple[float, int]:
    sim.reset_counters()
    sim.partitioned_regions = {frozenset((0, 1)), frozenset((0, 2))}
    sim.run(TIMEOUT_S)
    sim.partitioned_regions = set()
    return _measure_until(sim, lambda: _has_converged(sim)), sim.largest_message


def _has_converged(sim: MembershipSim) -> bool:
    return all(len(node.alive()) == len(sim.nodes) - 1 for node in sim.nodes.values())


def _measure_until(sim: MembershipSim, condition) -> float:  # type: ignore[no-untyped-def]
    started = sim.now
    while not condition():
        if sim.now > started + TIMEOUT_S:
            return float("inf")
        sim.run(STEP_S)
    return sim.now - started


if __name__ == "__main__":
    main()
