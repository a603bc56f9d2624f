"""Choose the peers through which an instance reaches endpoints that it cannot reach itself.

Hashing orders the peers differently for each instance, so that the instances of a whole data centre
that lost its links spread over the others. An instance keeps to the first peer that works.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

# A peer that opened no tunnel is asked last for this time.
FAILED_PEER_S = 2.0


class TunnelPeers:
    """Order the peers of one instance, named `name`, for opening tunnels."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._failed_until: dict[str, float] = {}
        self._hashes: dict[str, int] = {}

    def record_failure(self, peer: str, now: float) -> None:
        """Record that a peer opened no tunnel."""
        self._failed_until[peer] = now + FAILED_PEER_S

    def ranked(
        self,
        data_centres: Mapping[str, str],
        data_centre: str,
        now: float,
        leaving: Collection[str] = (),
    ) -> list[str]:
        """Return the names of the peers, by their data centres, in the order to ask them.

        Those in the data centre of the endpoint come first: the way through them crosses between
        data centres no more often than a direct one. Those that just failed come last, and before
        them those that are leaving.
        """
        self._failed_until = {
            peer: until
            for peer, until in self._failed_until.items()
            if until > now and peer in data_centres
        }

        if self._hashes.keys() != data_centres.keys():
            self._hashes = {peer: crc32(f"{self._name}/{peer}".encode()) for peer in data_centres}

        def rank(peer: str) -> tuple[float, bool, bool, int]:
            failed_until = self._failed_until.get(peer, 0.0)
            is_remote = data_centres[peer] != data_centre
            return failed_until, peer in leaving, is_remote, self._hashes[peer]

        return sorted(data_centres, key=rank)
