"""The request rates that endpoints accept from all instances together, as their answers name them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointLimitChanged

if TYPE_CHECKING:
    from rattangate.core.messages import EndpointLimitReported

# A limit is rounded down to a power of this factor: instances that read slightly different values
# then use the same one.
ROUNDING_FACTOR = 1.05

# The name and the incarnation of an endpoint.
EndpointKey = tuple[str, int]


@dataclass(slots=True)
class _Belief:
    """Hold the limit of one endpoint, None for none; `named_at` is when an answer last named one."""

    per_s: float | None = None
    named_at: float = -math.inf


class EndpointLimits:
    """Track the limit of each endpoint incarnation, in requests a second."""

    def __init__(self) -> None:
        self._beliefs: dict[EndpointKey, _Belief] = {}

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
        belief = self._beliefs.get(key)
        if msg.per_s is not None:
            belief = self._beliefs.setdefault(key, _Belief())
            belief.named_at = now
        elif belief is None or msg.sent_at <= belief.named_at:
            return None
        per_s = None if msg.per_s is None else _round_down(msg.per_s)
        if per_s == belief.per_s:
            return None
        belief.per_s = per_s
        return EndpointLimitChanged(msg.endpoint, msg.incarnation, per_s, "answer")


def _round_down(per_s: float) -> float:
    if per_s <= 0.0:
        return 0.0
    steps = math.floor(math.log(per_s, ROUNDING_FACTOR) + 1e-9)
    return float(ROUNDING_FACTOR**steps)
