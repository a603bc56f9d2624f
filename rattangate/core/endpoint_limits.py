"""The request rates that endpoints accept from all instances together, as their answers name them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointLimit, EndpointLimitChanged

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.messages import EndpointLimitReported

# A limit is rounded down to a power of this factor: instances that read slightly different values
# then use the same one.
ROUNDING_FACTOR = 1.05
# An answer that confirms what a peer said longer ago is sent to the peers.
CONFIRM_AFTER_S = 5.0
# What was said of an endpoint that is not listed is kept for this time.
UNLISTED_RETENTION_S = 60.0


@dataclass(slots=True)
class _Belief:
    """Hold the limit of one endpoint, None for none, and when it was said.

    A limit is said when its answer arrives; that there is none, already when the request was sent.
    `shared_at` is when this instance last told its peers, if `is_own`, or was told by one.
    """

    per_s: float | None = None
    said_at: float = -math.inf
    shared_at: float = -math.inf
    is_own: bool = False


class EndpointLimits:
    """Track the limit of each endpoint incarnation; among all instances the newest word counts."""

    def __init__(self) -> None:
        self._beliefs: dict[EndpointKey, _Belief] = {}
        self._unsent: set[EndpointKey] = set()

    @property
    def has_unsent(self) -> bool:
        """Tell whether peers were not told of all that this instance read itself."""
        return bool(self._unsent)

    def limit_of(self, key: EndpointKey) -> float | None:
        """Return the limit of an endpoint in requests a second, None if it has none."""
        belief = self._beliefs.get(key)
        return None if belief is None else belief.per_s

    def apply_report(self, msg: EndpointLimitReported, now: float) -> EndpointLimitChanged | None:
        """Apply what an answer says; return the change if there is one.

        An answer without a limit ends one only if its request was sent after the limit was last
        named: answers of different connections overtake each other.
        """
        key = (msg.endpoint, msg.incarnation)
        belief = self._beliefs.get(key, _Belief())
        if msg.per_s is None and (belief.per_s is None or msg.sent_at <= belief.said_at):
            return None
        per_s = None if msg.per_s is None else _round_down(msg.per_s)
        said_at = msg.sent_at if per_s is None else now
        is_unconfirmed = not belief.is_own and now > belief.shared_at + CONFIRM_AFTER_S
        if per_s == belief.per_s and not is_unconfirmed:
            belief.said_at = said_at
            return None
        self._unsent.add(key)
        return self._set(key, _Belief(per_s, said_at, now, is_own=True), "answer")

    def apply_peer(self, limit: EndpointLimit, now: float) -> EndpointLimitChanged | None:
        """Apply what a peer has read, unless something newer is known; return the change."""
        key = (limit.endpoint, limit.incarnation)
        said_at = now - limit.age_s
        if said_at <= self._beliefs.get(key, _Belief()).said_at:
            return None
        self._unsent.discard(key)
        return self._set(key, _Belief(limit.per_s, said_at, now), "peer")

    def schedule_resend(self) -> None:
        """Send all that this instance read itself with the next update, for a new peer."""
        self._unsent.update(key for key, belief in self._beliefs.items() if belief.is_own)

    def take_unsent(self, now: float) -> tuple[EndpointLimit, ...]:
        """Return what the peers were not told, and count it as told."""
        unsent, self._unsent = self._unsent, set()
        return tuple(
            EndpointLimit(*key, belief.per_s, now - belief.said_at)
            for key, belief in self._beliefs.items()
            if key in unsent
        )

    def drop_stale(self, incarnations: Mapping[str, int], now: float) -> list[EndpointKey]:
        """Forget, and return, the endpoints that have restarted or are not known any more."""
        stale = [
            key
            for key, belief in self._beliefs.items()
            if incarnations.get(key[0], key[1]) > key[1]
            or (key[0] not in incarnations and belief.said_at < now - UNLISTED_RETENTION_S)
        ]
        for key in stale:
            del self._beliefs[key]
            self._unsent.discard(key)
        return stale

    def _set(self, key: EndpointKey, belief: _Belief, source: str) -> EndpointLimitChanged | None:
        previous = self.limit_of(key)
        self._beliefs[key] = belief
        if belief.per_s == previous:
            return None
        return EndpointLimitChanged(*key, belief.per_s, source)


def _round_down(per_s: float) -> float:
    if per_s <= 0.0:
        return 0.0
    # Powers of the factor themselves must not fall to the next lower one.
    steps = math.floor(math.log(per_s, ROUNDING_FACTOR) + 1e-9)
    return float(ROUNDING_FACTOR**steps)
