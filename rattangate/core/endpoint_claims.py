"""Which endpoints the holder of the orders lease may send orders to.

Before its first order to an endpoint, a holder claims it by naming it in the lease record, and
keeps the claim until a guard time after its last order. A new holder thus knows which endpoints
the previous one may have ordered recently: it waits for the guard time to end before it sends
orders to those, and may send orders to all others at once.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable


class EndpointClaims:
    """Track the endpoints that one holder claims.

    Endpoints that are `inherited` from the record of an earlier holder may be ordered from
    `guard_until` on. A later holder must not order an endpoint within `guard_s` seconds of its last
    order. If that is 0, endpoints tolerate orders from two holders, and none is claimed.
    """

    def __init__(
        self, inherited: Iterable[str] = (), guard_until: float = -math.inf, guard_s: float = 0.0
    ) -> None:
        self._guard_until = guard_until
        self._guard_s = guard_s
        self._inherited = frozenset(inherited)
        self._claimed_until = dict.fromkeys(self._inherited, guard_until)
        self._sent_at: dict[str, float] = {}

    def claim(self, endpoint: str) -> None:
        """Claim an endpoint from the next lease record on."""
        if self._guard_s:
            self._claimed_until[endpoint] = math.inf

    def record_sent(self, endpoint: str, now: float) -> None:
        """Record that the first byte of an order is sent now."""
        self._sent_at = {name: at for name, at in self._sent_at.items() if at + self._guard_s > now}
        self._sent_at[endpoint] = now

    def expire(self, endpoint: str) -> None:
        """Let the claim of an endpoint expire, as no order to it is due or in flight."""
        if self._claimed_until.get(endpoint) == math.inf:
            # Kept: an endpoint that is unknown for a moment may be claimed and expire again.
            sent_at = self._sent_at.get(endpoint, -math.inf)
            inherited_until = self._guard_until if endpoint in self._inherited else -math.inf
            self._claimed_until[endpoint] = max(sent_at + self._guard_s, inherited_until)

    def active(self) -> tuple[str, ...]:
        """Return the endpoints to which orders are due or in flight."""
        return tuple(
            endpoint for endpoint, until in self._claimed_until.items() if until == math.inf
        )

    def may_send(self, endpoint: str, recorded: Collection[str], now: float) -> bool:
        """Tell whether a planned order may be sent still, as its claim has not expired since."""
        is_active = self._claimed_until.get(endpoint) == math.inf or not self._guard_s
        return is_active and self.may_order(endpoint, recorded, now)

    def claimed(self, now: float) -> frozenset[str]:
        """Return the endpoints that the lease record must claim."""
        return frozenset(endpoint for endpoint, until in self._claimed_until.items() if until > now)

    def guarded(self, now: float) -> frozenset[str]:
        """Return the endpoints that an earlier holder may have ordered recently."""
        return self._inherited if now < self._guard_until else frozenset()

    def may_order(self, endpoint: str, recorded: Collection[str], now: float) -> bool:
        """Tell whether an order may be sent; `recorded` are the claims in the stored record."""
        is_claimed = endpoint in recorded or not self._guard_s
        return is_claimed and endpoint not in self.guarded(now)
