"""Take turns, over all instances, at running suspects apart from each other."""

from __future__ import annotations

from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.messages import TrialClaim
from rattangate.core.quarantine import GUILTY_CRASHES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.quarantine import Quarantine

EXCLUSIVE_CRASHES = GUILTY_CRASHES - 1


@dataclass(slots=True)
class _Held:
    """Hold the copies of one suspect at this instance."""

    claim: TrialClaim
    since: float
    copies: int


class Trials:
    """Decide when and where a suspect that this instance holds may run.

    One copy of a digest runs at a time over the whole system. Suspects of one crash are divided
    among the endpoints by hashing; from the second crash on, an endpoint tries one at a time.
    """

    def __init__(self, instance: str, quarantine: Quarantine) -> None:
        self._instance = instance
        self._quarantine = quarantine
        self._held: dict[bytes, _Held] = {}
        self._peers: dict[str, dict[bytes, TrialClaim]] = {}

    def claim(self, digest: bytes, now: float) -> None:
        """Announce one more copy of a suspect."""
        held = self._held.get(digest)
        if held is None:
            self._held[digest] = _Held(TrialClaim(digest, "", False), now, 1)
        else:
            held.copies += 1

    def drop(self, digest: bytes) -> None:
        """Withdraw one copy of a suspect."""
        held = self._held.get(digest)
        if held is None:
            return
        held.copies -= 1
        if held.copies <= 0:
            del self._held[digest]

    def choose_endpoint(self, digest: bytes, live: Iterable[str], now: float) -> str | None:
        """Return where a held suspect may run now, or None while it has to wait."""
        held = self._held[digest]
        ready = now >= held.since + self._quarantine.settle_s and self._quarantine.settled(
            digest, now
        )
        if not ready or not self._is_first_holder(digest):
            return None
        names = sorted(live)
        if not names:
            return None
        home = self._home(digest, names, now)
        if self._is_exclusive(digest, now) and not self._has_turn(digest, home, names, now):
            return None
        return home

    def begin(self, digest: bytes, endpoint: str, now: float) -> None:
        """Announce that the suspect runs."""
        held = self._held[digest]
        held.claim = TrialClaim(digest, endpoint, self._is_exclusive(digest, now))

    def relax(self, digest: bytes) -> None:
        """Admit other trials to the endpoint of one that has outlived its earlier runs."""
        held = self._held.get(digest)
        if held is not None:
            held.claim = replace(held.claim, exclusive=False)

    def end(self, digest: bytes, now: float) -> None:
        """Announce that the suspect waits again."""
        held = self._held.get(digest)
        if held is not None:
            held.claim = TrialClaim(digest, "", False)
            held.since = now

    def claims(self) -> tuple[TrialClaim, ...]:
        """Return all claims of this instance, for its peers."""
        return tuple(held.claim for held in self._held.values())

    def take_claims(self, instance: str, claims: Iterable[TrialClaim]) -> None:
        """Replace what is known of a peer's claims."""
        self._peers[instance] = {claim.digest: claim for claim in claims}

    def drop_peer(self, instance: str) -> None:
        """Forget the claims of a lost peer."""
        self._peers.pop(instance, None)

    def _is_first_holder(self, digest: bytes) -> bool:
        """Tell whether this instance comes first among those that hold the digest."""
        if self._held[digest].claim.endpoint:
            return False
        rivals = {name: held[digest] for name, held in self._peers.items() if digest in held}
        if any(claim.endpoint for claim in rivals.values()):
            return False
        own = _score(digest, self._instance)
        return all(own > _score(digest, name) for name in rivals)

    def _is_exclusive(self, digest: bytes, now: float) -> bool:
        return self._quarantine.count(digest, now) >= EXCLUSIVE_CRASHES

    def _home(self, digest: bytes, names: list[str], now: float) -> str:
        salt = bytes([self._quarantine.count(digest, now)])
        return max(names, key=lambda name: _score(digest + salt, name))

    def _has_turn(self, digest: bytes, home: str, names: list[str], now: float) -> bool:
        """Tell whether no exclusive trial runs at the endpoint and none waits before this one."""
        for claim in self._all_claims():
            if claim.digest == digest:
                continue
            if claim.endpoint:
                if claim.exclusive and claim.endpoint == home:
                    return False
            elif self._is_exclusive(claim.digest, now) and claim.digest < digest:
                if self._home(claim.digest, names, now) == home:
                    return False
        return True

    def _all_claims(self) -> list[TrialClaim]:
        claims = [held.claim for held in self._held.values()]
        for peer in self._peers.values():
            claims.extend(peer.values())
        return claims


def _score(digest: bytes, name: str) -> bytes:
    return blake2b(digest + name.encode(), digest_size=8).digest()
