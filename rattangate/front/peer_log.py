"""Logs which peers were found and lost, in one line where many change at once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.log_events import LogEvent, log

if TYPE_CHECKING:
    from collections.abc import Sequence

# Up to this many changes of one kind between two flushes have a line each.
MAX_SINGLE_LINES = 4


@dataclass(frozen=True, slots=True)
class FoundInstance:
    """Hold a peer that was found."""

    name: str
    incarnation: int
    data_centre: str


@dataclass(frozen=True, slots=True)
class LostInstance:
    """Hold a peer that was lost, and how long it and the lists that name it were silent."""

    name: str
    incarnation: int
    silent_ms: int | None
    list_age_ms: int | None


class PeerLog:
    """Collect the peers that were found and lost, and log them at each flush."""

    def __init__(self) -> None:
        self._found: list[FoundInstance] = []
        self._lost: list[LostInstance] = []

    def record_found(self, peer: FoundInstance) -> None:
        """Add a peer that was found."""
        self._found.append(peer)

    def record_lost(self, peer: LostInstance) -> None:
        """Add a peer that was lost."""
        self._lost.append(peer)

    def flush(self, live: int) -> None:
        """Log what was recorded since the last flush; `live` is the number of live peers."""
        found, self._found = self._found, []
        lost, self._lost = self._lost, []
        if len(found) > MAX_SINGLE_LINES:
            log(LogEvent.PEERS_FOUND, count=len(found), first=_first(found), live=live)
        else:
            for peer in found:
                log(
                    LogEvent.PEER_FOUND,
                    instance=peer.name,
                    incarnation=peer.incarnation,
                    data_centre=peer.data_centre,
                )
        if len(lost) > MAX_SINGLE_LINES:
            log(LogEvent.PEERS_LOST, count=len(lost), first=_first(lost), live=live)
        else:
            for gone in lost:
                log(
                    LogEvent.PEER_LOST,
                    instance=gone.name,
                    incarnation=gone.incarnation,
                    silent_ms=gone.silent_ms,
                    list_age_ms=gone.list_age_ms,
                )


def _first(peers: Sequence[FoundInstance | LostInstance]) -> str:
    return ",".join(peer.name for peer in peers[:MAX_SINGLE_LINES])
