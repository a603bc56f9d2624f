"""Track the peers of one instance: which are live, leaving or lost, and missed updates."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class PeerState(Enum):
    """Name the states of a peer as seen from one instance."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(slots=True)
class PeerRecord:
    """Hold what an instance knows of one peer; it is lost once `deadline` has passed.

    `last_seq` is the highest sequence number received from this incarnation, and `was_contacted`
    says that the peer was live at some time. `heard_at` is when its last update came, and
    `reported_at` when a third instance last reported it as live.
    """

    incarnation: int = 0
    config_version: int = 0
    deadline: float = 0.0
    state: PeerState = PeerState.LOST
    last_seq: int = 0
    was_contacted: bool = False
    heard_at: float | None = None
    reported_at: float | None = None


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Hold the status of the peer that sent an update.

    `seq` is the sequence number of the update, 0 for one without a number, such as a heartbeat.
    """

    instance: str
    incarnation: int
    config_version: int
    leaving: bool
    seq: int


@dataclass(frozen=True, slots=True)
class StatusChange:
    """Report what a received status changed.

    `is_stale` says that it came from an older incarnation and was ignored; `missed_updates` is the
    number of updates missing from the sequence before this one.
    """

    is_stale: bool = False
    is_found: bool = False
    is_newly_leaving: bool = False
    missed_updates: int = 0


class PeerRegistry:
    """Track all peers of one instance; the newest incarnation of each prevails.

    A peer is lost when nothing was received from it for `lost_after_s` seconds, unless a third
    instance reports it as live for longer.
    """

    def __init__(self, names: Iterable[str], lost_after_s: float) -> None:
        self.peers = {name: PeerRecord() for name in names}
        self._lost_after_s = lost_after_s

    def configure(self, names: Iterable[str], lost_after_s: float) -> None:
        """Replace the set of peers and the timeout; keep the records of the peers that remain."""
        self.peers = {name: self.peers.get(name, PeerRecord()) for name in names}
        self._lost_after_s = lost_after_s

    def record_indirect_contact(
        self, instance: str, incarnation: int, deadline: float, now: float
    ) -> bool:
        """Record that a third instance reports a peer as live; return whether it was lost before.

        A report does not override an incarnation that announced that it is leaving.
        """
        peer = self.peers.get(instance)
        if peer is None or incarnation < peer.incarnation:
            return False
        if incarnation == peer.incarnation and peer.state is PeerState.LEAVING:
            return False
        if incarnation > peer.incarnation:
            peer.last_seq = 0
        was_lost = peer.state is PeerState.LOST
        peer.incarnation = incarnation
        peer.deadline = max(peer.deadline, deadline)
        peer.reported_at = now
        peer.state = PeerState.LIVE
        peer.was_contacted = True
        return was_lost

    def record_status(self, status: PeerStatus, now: float) -> StatusChange:
        """Record the status that a peer sent, and extend its deadline."""
        peer = self.peers[status.instance]
        if status.incarnation < peer.incarnation:
            return StatusChange(is_stale=True)
        if status.incarnation > peer.incarnation:
            peer.last_seq = 0
            peer.deadline = 0.0
        previous_state = peer.state
        missed_updates = _count_missed(peer, status.seq)
        peer.incarnation = status.incarnation
        peer.config_version = status.config_version
        peer.deadline = max(peer.deadline, now + self._lost_after_s)
        peer.heard_at = now
        peer.state = PeerState.LEAVING if status.leaving else PeerState.LIVE
        peer.last_seq = max(peer.last_seq, status.seq)
        peer.was_contacted = True
        return StatusChange(
            is_found=previous_state is PeerState.LOST,
            is_newly_leaving=status.leaving and previous_state is not PeerState.LEAVING,
            missed_updates=missed_updates,
        )

    def expire(self, now: float, is_loss: Callable[[str], bool] = lambda name: True) -> list[str]:
        """Mark the peers whose deadline has passed as lost and return their names.

        `is_loss` tells whether the silence of a peer means that it is lost.
        """
        lost = []
        for name, peer in self.peers.items():
            is_silent = peer.state is not PeerState.LOST and now > peer.deadline
            if is_silent and is_loss(name):
                peer.state = PeerState.LOST
                lost.append(name)
        return lost

    def is_lost(self, instance: str) -> bool:
        """Tell whether a peer is unknown, was never heard of or is lost."""
        peer = self.peers.get(instance)
        return peer is None or peer.state is PeerState.LOST

    def mark_lost(self, instance: str) -> bool:
        """Mark a peer as lost whose process has ended; return whether it was not lost before."""
        if self.is_lost(instance):
            return False
        self.peers[instance].state = PeerState.LOST
        return True

    def count_reachable(self) -> int:
        """Return the number of peers that are not lost."""
        return sum(peer.state is not PeerState.LOST for peer in self.peers.values())

    def leaving_names(self) -> list[str]:
        """Return the names of the peers that said that they are leaving and are not lost."""
        return [name for name, peer in self.peers.items() if peer.state is PeerState.LEAVING]

    def live_names(self) -> list[str]:
        """Return the names of the peers that are live and not leaving."""
        return [name for name, peer in self.peers.items() if peer.state is PeerState.LIVE]

    def is_gone(self, instance: str, incarnation: int) -> bool:
        """Tell whether an incarnation of a peer has ended, or is presumed to have.

        That is so for an unknown peer, a lost one and an incarnation older than the newest. A peer
        that was never contacted may still be running.
        """
        peer = self.peers.get(instance)
        if peer is None:
            return True
        if not peer.was_contacted:
            return False
        return peer.state is PeerState.LOST or incarnation < peer.incarnation


def _count_missed(peer: PeerRecord, seq: int) -> int:
    if not seq or not peer.last_seq:
        return 0
    return max(0, seq - peer.last_seq - 1)
