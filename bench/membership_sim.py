"""Simulate many membership cores in one process, with virtual time, lossy links and real codecs."""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from rattangate.core.gossip import ConfigVersionSeen, MemberFound, MemberLost, SendGossip
from rattangate.core.membership import Membership, MembershipCfg
from rattangate.peers.gossip_codec import decode_gossip, encode_gossip

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.gossip import MembershipEffect

TICK_S = 0.05
FRAME_OVERHEAD_BYTES = 44  # IP and UDP or TCP headers, and the length of the frame.
DATA_CENTRES = 6
REGIONS = 3
SAME_REGION_DELAY_S = 0.0005
CROSS_REGION_DELAY_S = 0.030


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """Record that one instance saw another one join or fail."""

    at: float
    seen_by: str
    subject: str
    is_found: bool


@dataclass
class MembershipSim:
    """Run the membership cores; all times but `cpu_s` are virtual.

    `loss` is the share of messages lost; no message passes between the pairs of regions in
    `partitioned_regions`.
    """

    count: int
    cfg: MembershipCfg = field(default_factory=MembershipCfg)
    seed: int = 1
    loss: float = 0.0

    def __post_init__(self) -> None:
        self.now = 0.0
        self.rng = Random(self.seed)
        self.names = [f"entry-{number}" for number in range(self.count)]
        self.nodes: dict[str, Membership] = {}
        self.partitioned_regions: set[frozenset[int]] = set()
        self.sent_bytes: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()
        self.largest_message = 0
        self.cpu_s = 0.0
        self.membership_events: list[MembershipEvent] = []
        self._queue: list[tuple[float, int, str, int, bytes]] = []
        self._sequence = itertools.count()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance, or a new incarnation of it."""
        incarnation = int(self.now * 1000) + 1
        peers = [other for other in self.names if other != name]
        self.nodes[name] = Membership(
            self.cfg, name, incarnation, peers, Random(self.rng.getrandbits(32))
        )
        self._schedule(self.now + self.rng.random() * TICK_S, name, incarnation, b"")

    def kill(self, name: str) -> None:
        """Crash an instance: its peers get no message about it."""
        del self.nodes[name]

    def region(self, name: str) -> int:
        """Return the region of an instance."""
        return self.data_centre(name) % REGIONS

    def data_centre(self, name: str) -> int:
        """Return the data centre of an instance."""
        return int(name.removeprefix("entry-")) % DATA_CENTRES

    def run(self, seconds: float) -> None:
        """Process all events of the next `seconds` of virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, name, incarnation, data = heapq.heappop(self._queue)
            node = self.nodes.get(name)
            if node is None or (incarnation and node.own.incarnation != incarnation):
                continue
            self._step(node, data)
        self.now = end

    def reset_counters(self) -> None:
        """Reset the counters and keep the state of the protocol."""
        self.sent_bytes.clear()
        self.sent_messages.clear()
        self.membership_events.clear()
        self.cpu_s = 0.0
        self.largest_message = 0

    def apply(self, name: str, effects: Iterable[MembershipEffect]) -> None:
        """Apply the effects that one core returned."""
        for effect in effects:
            if isinstance(effect, SendGossip):
                self._transmit(name, effect)
            elif isinstance(effect, ConfigVersionSeen):
                self.nodes[name].set_config_version(effect.version)
            elif isinstance(effect, MemberFound | MemberLost):
                is_found = isinstance(effect, MemberFound)
                self.membership_events.append(
                    MembershipEvent(self.now, name, effect.name, is_found)
                )

    def seen_fraction(self, subject: str, *, is_up: bool) -> float:
        """Return the share of the running instances that consider an instance up or down."""
        others = [node for name, node in self.nodes.items() if name != subject]
        agree = sum(node.is_up(subject) == is_up for node in others)
        return agree / len(others)

    def _step(self, node: Membership, data: bytes) -> None:
        name = node.own.name
        started = time.process_time()
        if data:
            effects = node.receive(decode_gossip(data), self.now)
        else:
            effects = node.tick(self.now)
            self._schedule(self.now + TICK_S, name, node.own.incarnation, b"")
        self.apply(name, effects)
        self.cpu_s += time.process_time() - started

    def _transmit(self, sender: str, effect: SendGossip) -> None:
        data = encode_gossip(effect.gossip)
        self.sent_messages[sender] += 1
        self.sent_bytes[sender] += len(data) + FRAME_OVERHEAD_BYTES
        self.largest_message = max(self.largest_message, len(data))
        regions = frozenset((self.region(sender), self.region(effect.to)))
        if regions in self.partitioned_regions or self.rng.random() < self.loss:
            return
        delay = SAME_REGION_DELAY_S if len(regions) == 1 else CROSS_REGION_DELAY_S
        self._schedule(self.now + delay * (0.5 + self.rng.random()), effect.to, 0, data)

    def _schedule(self, at: float, name: str, incarnation: int, data: bytes) -> None:
        heapq.heappush(self._queue, (at, next(self._sequence), name, incarnation, data))
