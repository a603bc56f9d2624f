"""Measures membership at growing numbers of instances, with virtual time."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

from bench.membership_sim import MembershipSim
from rattangate.core.gossip import EndpointMark

COUNTS = (7, 16, 32, 64, 128, 256, 350)
SETTLE_S = 20.0
WATCH_S = 10.0
LIMIT_S = 60.0
STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class Point:
    """Hold what was measured at one number of instances, for each instance."""

    count: int
    messages_per_s: float
    bytes_per_s: float
    cpu_share: float
    first_detection_s: float
    full_detection_s: float
    restart_s: float
    herd_s: float
    version_s: float
    mark_s: float
    heal_s: float
    largest_bytes: int
    false_losses: int


def measure(count: int) -> Point:
    """Measure one number of instances."""
    sim = MembershipSim(count)
    herd_s = _wait(sim, lambda: _agree(sim))
    sim.run(SETTLE_S)
    sim.reset_counters()
    sim.run(WATCH_S)
    messages = statistics.mean(sim.sent_messages.values()) / WATCH_S
    size = statistics.mean(sim.sent_bytes.values()) / WATCH_S
    cpu = sim.cpu_s / WATCH_S / count
    false_losses = sum(not happening.is_found for happening in sim.happenings)
    victim = sim.names[3]
    first, full = _detect(sim, victim)
    sim.start(victim)
    restart_s = _wait(sim, lambda: sim.seen_fraction(victim, is_up=True) == 1.0)
    sim.run(SETTLE_S)
    version_s = _spread_version(sim)
    mark_s = _spread_mark(sim)
    heal_s, largest = _cut_and_heal(sim)
    return Point(
        count, messages, size, cpu, first, full, restart_s, herd_s, version_s, mark_s, heal_s,
        largest, false_losses,
    )  # fmt: skip


def main() -> None:
    """Print one line for each number of instances."""
    print(
        "| instances | messages/s | bytes/s | CPU, % of a core | first / all know of a crash, s "
        "| restart known to all, s | herd start, s | config version to all, s "
        "| leaving mark to all, s | agree after a 60 s cut, s | largest message, bytes "
        "| false losses in 10 s |"
    )
    print("|" + "---|" * 12)
    for count in COUNTS:
        point = measure(count)
        print(
            f"| {point.count} | {point.messages_per_s:.1f} | {point.bytes_per_s:.0f} "
            f"| {point.cpu_share * 100:.3f} "
            f"| {point.first_detection_s:.1f} / {point.full_detection_s:.1f} "
            f"| {point.restart_s:.1f} | {point.herd_s:.1f} | {point.version_s:.1f} "
            f"| {point.mark_s:.1f} | {point.heal_s:.1f} | {point.largest_bytes} "
            f"| {point.false_losses} |",
            flush=True,
        )


def _detect(sim: MembershipSim, victim: str) -> tuple[float, float]:
    sim.reset_counters()
    began = sim.now
    sim.kill(victim)
    full = _wait(sim, lambda: sim.seen_fraction(victim, is_up=False) == 1.0)
    first = min(item.at for item in sim.happenings if item.subject == victim) - began
    return first, full


def _spread_version(sim: MembershipSim) -> float:
    node = next(iter(sim.nodes.values()))
    node.set_config_version(node.config_version + 1)
    version = node.config_version
    return _wait(sim, lambda: all(n.config_version == version for n in sim.nodes.values()))


def _spread_mark(sim: MembershipSim) -> float:
    node = next(iter(sim.nodes.values()))
    sim.apply(node.own.name, node.mark_endpoint(EndpointMark("engine-1", 5)))
    return _wait(sim, lambda: all("engine-1" in n.marks for n in sim.nodes.values()))


def _cut_and_heal(sim: MembershipSim) -> tuple[float, int]:
    sim.reset_counters()
    sim.cut = {frozenset((0, 1)), frozenset((0, 2))}
    sim.run(LIMIT_S)
    sim.cut = set()
    return _wait(sim, lambda: _agree(sim)), sim.largest_message


def _agree(sim: MembershipSim) -> bool:
    return all(len(node.alive()) == len(sim.nodes) - 1 for node in sim.nodes.values())


def _wait(sim: MembershipSim, is_done) -> float:  # type: ignore[no-untyped-def]
    began = sim.now
    while not is_done():
        if sim.now > began + LIMIT_S:
            return float("inf")
        sim.run(STEP_S)
    return sim.now - began


if __name__ == "__main__":
    main()
