"""Orders: numbered commands to endpoints, retried until the endpoint reports the desired state.

An order names a state rather than a change, so it is idempotent. It counts as fulfilled only when
the endpoint's own report shows that state. An endpoint that checks order numbers rejects a late
order from an earlier lease holder. One that ignores them may return to an older state, which its
next report shows; the order is then sent again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch, singledispatchmethod

# Order numbers per fencing number: every order number under a newer one exceeds all older ones.
ORDERS_PER_FENCE = 1_000_000
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0


class OrderResult(Enum):
    """Name the outcomes of an order; one that is LOST may have taken effect, or may do so later.

    BUSY means that another order is in progress or was accepted in the meantime, OLD_NUMBER that
    the endpoint knows a higher number.
    """

    ACCEPTED = "accepted"
    BUSY = "busy"
    OLD_NUMBER = "old_number"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class LoadVersion:
    """Order an engine to load and run a weights version."""

    weights_version: str


@dataclass(frozen=True, slots=True)
class SetRole:
    """Order an endpoint to take a role."""

    role: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Order an endpoint to take no new work."""


Order = LoadVersion | SetRole | Drain


@dataclass(frozen=True, slots=True)
class ObservedState:
    """Hold an endpoint's own report; `ready` means that it serves `weights_version`.

    An endpoint that is `leaving` takes no new work.
    """

    endpoint: str
    incarnation: int
    weights_version: str
    role: str
    ready: bool
    leaving: bool


@dataclass(frozen=True, slots=True)
class SetDesiredOrders:
    """Replace the orders that an endpoint must fulfil."""

    endpoint: str
    orders: tuple[Order, ...]


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """Report the outcome of an order."""

    endpoint: str
    number: int
    result: OrderResult


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order; the sender checks `Lease.fence_at` before the first byte.

    The endpoint compares `number`, which rises with every order of every holder.
    """

    endpoint: str
    number: int
    order: Order


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """Report that an endpoint has orders from a newer lease holder than that of `fence`."""

    fence: int


OrderMessage = SetDesiredOrders | ObservedState | OrderEnded
OrderEffect = SendOrder | SteppedDown


@dataclass(slots=True)
class _Target:
    """Hold the orders that one endpoint must fulfil; `pending_number` is 0 if none is in flight."""

    orders: tuple[Order, ...] = ()
    pending_number: int = 0
    retry_at: float = 0.0
    backoff_s: float = FIRST_RETRY_S


class OrderReconciler:
    """Send the orders of one lease holder under one fencing number, one at a time per endpoint.

    The delay before a retry doubles up to `max_retry_s` seconds.
    """

    def __init__(self, fence: int, max_retry_s: float = MAX_RETRY_S) -> None:
        self.fence = fence
        self._max_retry_s = max_retry_s
        self._sent_count = 0
        self._targets: dict[str, _Target] = {}

    def handle(self, msg: OrderMessage, now: float) -> list[OrderEffect]:
        """Apply one message and return the effects to carry out."""
        return self._handle(msg, now)

    def is_done(self, observed: ObservedState) -> bool:
        """Tell whether an endpoint fulfils all its orders and none is in flight."""
        target = self._targets.get(observed.endpoint)
        if target is None:
            return True
        return not target.pending_number and all(
            is_fulfilled(order, observed) for order in target.orders
        )

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> list[OrderEffect]:
        raise TypeError(f"expected an OrderMessage, got {msg!r}")

    @_handle.register
    def _on_orders_wanted(self, msg: SetDesiredOrders, now: float) -> list[OrderEffect]:
        target = self._targets.setdefault(msg.endpoint, _Target())
        if target.orders != msg.orders:
            target.orders = msg.orders
            target.retry_at = now
            target.backoff_s = FIRST_RETRY_S
        return []

    @_handle.register
    def _on_observed(self, msg: ObservedState, now: float) -> list[OrderEffect]:
        target = self._targets.get(msg.endpoint)
        if target is None or target.pending_number:
            return []
        missing = [order for order in target.orders if not is_fulfilled(order, msg)]
        if not missing:
            target.backoff_s = FIRST_RETRY_S
            return []
        if now < target.retry_at:
            return []
        self._sent_count += 1
        target.pending_number = self.fence * ORDERS_PER_FENCE + self._sent_count
        return [SendOrder(msg.endpoint, target.pending_number, missing[0])]

    @_handle.register
    def _on_ended(self, msg: OrderEnded, now: float) -> list[OrderEffect]:
        target = self._targets.get(msg.endpoint)
        if target is None or target.pending_number != msg.number:
            return []
        target.pending_number = 0
        if msg.result is OrderResult.OLD_NUMBER:
            return [SteppedDown(self.fence)]
        if msg.result is not OrderResult.ACCEPTED:
            target.retry_at = now + target.backoff_s
            target.backoff_s = min(self._max_retry_s, 2 * target.backoff_s)
        return []


@singledispatch
def is_fulfilled(order: object, observed: ObservedState) -> bool:
    """Tell whether an endpoint's report shows that it fulfils an order."""
    raise TypeError(f"expected an Order, got {order!r}")


@is_fulfilled.register
def _runs_version(order: LoadVersion, observed: ObservedState) -> bool:
    return observed.weights_version == order.weights_version


@is_fulfilled.register
def _has_role(order: SetRole, observed: ObservedState) -> bool:
    return observed.role == order.role


@is_fulfilled.register
def _is_draining(order: Drain, observed: ObservedState) -> bool:
    return observed.leaving
