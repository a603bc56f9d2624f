"""Schedule trial runs of suspect requests, isolated from each other over all instances."""

from __future__ import annotations

from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.messages import TrialClaim
from rattangate.core.quarantine import QUARANTINE_CRASHES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.quarantine import Quarantine

# From this many crashes on, a suspect runs on an endpoint without other trials.
EXCLUSIVE_CRASHES = QUARANTINE_CRASHES - 1


@dataclass(slots=True)
class _HeldSuspect:
    """Count the copies of one suspect at this instance; it has waited since `since`."""

    claim: TrialClaim
    since: float
    copies: int


class TrialScheduler:
    """Decide when and where a suspect that this instance holds may run.

    Only one copy of a digest runs at a time over all instances. Suspects of one crash are divided
    among the endpoints by rendezvous hashing; from the second crash on, an endpoint runs one such
    suspect at a time.
    """

    def __init__(self, instance: str, quarantine: Quarantine) -> None:
        self._instance = instance
        self._quarantine = quarantine
        self._held: dict[bytes, _HeldSuspect] = {}
        self._peers: dict[str, dict[bytes, TrialClaim]] = {}

    @property
    def peer_count(self) -> int:
        """Return the number of peers that have told of their claims and were not lost since."""
        return len(self._peers)

    def add_copy(self, digest: bytes, now: float) -> None:
        """Add a copy of a suspect and announce the suspect to peers."""
        held = self._held.get(digest)
        if held is None:
            self._held[digest] = _HeldSuspect(TrialClaim(digest, "", False), now, 1)
        else:
            held.copies += 1

    def remove_copy(self, digest: bytes) -> None:
        """Remove a copy of a suspect; the last one withdraws the claim."""
        held = self._held.get(digest)
        if held is None:
            return
        held.copies -= 1
        if held.copies <= 0:
            del self._held[digest]

    def choose_endpoint(
        self, digest: bytes, live_endpoints: Iterable[str], now: float
    ) -> str | None:
        """Return where a held suspect may run now, or None while it has to wait."""
        held = self._held[digest]
        ready = (
            now >= held.since + self._quarantine.propagation_s
            and self._quarantine.is_propagated(digest, now)
        )
        if not ready or not self._is_elected(digest):
            return None
        endpoints = sorted(live_endpoints)
        if not endpoints:
            return None
        assigned = self._assigned_endpoint(digest, endpoints, now)
        if self._is_exclusive(digest, now) and not self._is_next(digest, assigned, endpoints, now):
            return None
        return assigned

    def begin_trial(self, digest: bytes, endpoint: str, now: float) -> None:
        """Announce that a suspect runs at an endpoint."""
        held = self._held[digest]
        held.claim = TrialClaim(digest, endpoint, self._is_exclusive(digest, now))

    def end_exclusivity(self, digest: bytes) -> None:
        """Admit other trials to the endpoint of a suspect that has outlived its earlier runs."""
        held = self._held.get(digest)
        if held is not None:
            held.claim = replace(held.claim, exclusive=False)

    def end_trial(self, digest: bytes, now: float) -> None:
        """Announce that a suspect waits again."""
        held = self._held.get(digest)
        if held is not None:
            held.claim = TrialClaim(digest, "", False)
            held.since = now

    def claims(self) -> tuple[TrialClaim, ...]:
        """Return all claims of this instance, for its peers."""
        return tuple(held.claim for held in self._held.values())

    def set_peer_claims(self, instance: str, claims: Iterable[TrialClaim]) -> None:
        """Replace the known claims of a peer."""
        self._peers[instance] = {claim.digest: claim for claim in claims}

    def drop_peer(self, instance: str) -> None:
        """Forget the claims of a lost peer."""
        self._peers.pop(instance, None)

    def _is_elected(self, digest: bytes) -> bool:
        """Tell whether no copy runs and this instance is the one that runs the next.

        Of the instances that hold the digest, the one with the highest rendezvous hash is elected.
        """
        if self._held[digest].claim.endpoint:
            return False
        peer_claims = {name: held[digest] for name, held in self._peers.items() if digest in held}
        if any(claim.endpoint for claim in peer_claims.values()):
            return False
        own = _rendezvous_hash(digest, self._instance)
        return all(own > _rendezvous_hash(digest, name) for name in peer_claims)

    def _is_exclusive(self, digest: bytes, now: float) -> bool:
        return self._quarantine.failure_count(digest, now) >= EXCLUSIVE_CRASHES

    def _assigned_endpoint(self, digest: bytes, endpoints: list[str], now: float) -> str:
        salt = bytes([self._quarantine.failure_count(digest, now)])
        return max(endpoints, key=lambda name: _rendezvous_hash(digest + salt, name))

    def _is_next(self, digest: bytes, assigned: str, endpoints: list[str], now: float) -> bool:
        """Tell whether no exclusive trial runs at the endpoint or is due there before this one.

        Waiting trials run in the order of their digests.
        """
        for claim in self._all_claims():
            if claim.digest == digest:
                continue
            if claim.endpoint:
                if claim.exclusive and claim.endpoint == assigned:
                    return False
            elif self._is_exclusive(claim.digest, now) and claim.digest < digest:
                if self._assigned_endpoint(claim.digest, endpoints, now) == assigned:
                    return False
        return True

    def _all_claims(self) -> list[TrialClaim]:
        claims = [held.claim for held in self._held.values()]
        for peer in self._peers.values():
            claims.extend(peer.values())
        return claims


def _rendezvous_hash(digest: bytes, name: str) -> bytes:
    return blake2b(digest + name.encode(), digest_size=8).digest()
