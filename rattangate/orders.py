"""Sends the orders of rollouts to endpoints while this instance holds the orders lease."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import trio

from rattangate.core.endpoint_claims import EndpointClaims
from rattangate.core.leases import DISTANT_PAST, LeaseWakeUp
from rattangate.core.orders import (
    MAX_RETRY_S,
    OrderEnded,
    OrderReconciler,
    SendOrder,
    SetDesiredOrders,
)
from rattangate.core.rollout import Rollout, RolloutCfg, UseVersion
from rattangate.log_events import LogEvent, log

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.leases import Lease, LeaseMessage
    from rattangate.core.orders import ObservedState, OrderResult
    from rattangate.core.rollout import DesiredVersion
    from rattangate.records.lease_row import LeaseRow

STEP_S = 0.05
# Step interval without the lease, and the longest sleep of the task that keeps the lease.
IDLE_STEP_S = 0.25


@dataclass(frozen=True, slots=True)
class Observation:
    """Hold the desired versions and, for each model, the observed state of its replicas."""

    desired: tuple[DesiredVersion, ...]
    replicas: dict[str, list[ObservedState]]


@dataclass(frozen=True, slots=True)
class Permit:
    """Permit one order.

    Call `is_valid` right before the first byte is sent: it returns whether the lease is still held.
    """

    fencing_number: int
    is_valid: Callable[[], bool]


class OrderAdapter(Protocol):
    """Access to the endpoints that the orders are sent to."""

    def candidate_poll_s(self, holder: str) -> float:
        """Return the interval, in seconds, at which a candidate reads the lease of `holder`."""

    def claim_guard_s(self) -> float:
        """Return for how long a holder sends no orders to endpoints that another one ordered.

        The time is in seconds.
        """

    def rollout_cfg(self) -> RolloutCfg:
        """Return the limits of concurrent loads that a new holder applies."""

    async def observe(self) -> Observation:
        """Return the desired versions and the current state of the replicas."""

    async def serve_version(self, effect: UseVersion) -> None:
        """Make a version the one that serves its model."""

    async def send(self, sent: SendOrder, permit: Permit) -> OrderResult:
        """Send an order if the permit holds right before its first byte."""


class OrderController:
    """Send orders while this instance holds the orders lease.

    `clock` is the clock of the lease deadlines. The delay before an order is retried doubles up to
    `max_retry_s`.
    """

    def __init__(
        self,
        lease: Lease,
        row: LeaseRow,
        adapter: OrderAdapter,
        clock: Callable[[], float],
        max_retry_s: float = MAX_RETRY_S,
    ) -> None:
        self.lease = lease
        self._row = row
        self._adapter = adapter
        self._clock = clock
        self._max_retry_s = max_retry_s
        self._is_leaving = False
        self._reconciler = OrderReconciler(0)
        self._rollout = Rollout(RolloutCfg(), 0.0)
        self._claims = EndpointClaims()
        self._renewal_due = trio.Event()
        self._logged_fence: int | None = None

    def stop(self) -> None:
        """Send no more orders and release the lease for another instance."""
        self._is_leaving = True

    async def run(self) -> None:
        """Acquire and renew the lease and send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            while True:
                is_holder = await self._step(nursery)
                await trio.sleep(STEP_S if is_holder else IDLE_STEP_S)

    async def _keep_lease(self) -> None:
        while True:
            msg: LeaseMessage = LeaseWakeUp()
            poll_s = self._adapter.candidate_poll_s(self.lease.last_known_holder)
            self.lease.poll_every(poll_s, self._clock())
            self.lease.guard_s = self._adapter.claim_guard_s()
            while effects := self.lease.handle(msg, self._clock()):
                msg = await self._row.carry_out(effects[0])
            if self._is_leaving:
                await self._release()
                return
            wait_s = self.lease.wake_at - self._clock()
            self._renewal_due = trio.Event()
            with trio.move_on_after(min(max(wait_s, STEP_S), IDLE_STEP_S)):
                await self._renewal_due.wait()

    async def _release(self) -> None:
        for effect in self.lease.release(self._clock()):
            await self._row.carry_out(effect)

    async def _step(self, nursery: trio.Nursery) -> bool:
        """Send the orders that are due; return whether this instance holds the lease."""
        now = self._clock()
        fence = self.lease.fence_at(now)
        self._log_lease(fence)
        if fence is None or self._is_leaving:
            return False
        if fence != self._reconciler.fence:
            self._begin_term(fence, now)
        observation = await self._adapter.observe()
        await self._plan_rollout(observation, now)
        observed = {
            item.endpoint: item for replicas in observation.replicas.values() for item in replicas
        }
        self._update_claims(observed, now)
        for item in observed.values():
            if not self._claims.may_order(item.endpoint, self.lease.recorded_claims, now):
                continue
            for order in self._reconciler.handle(item, now):
                if isinstance(order, SendOrder):
                    nursery.start_soon(self._send_order, self._reconciler, order)
        return True

    def _begin_term(self, fence: int, now: float) -> None:
        self._reconciler = OrderReconciler(fence, self._max_retry_s)
        self._rollout = Rollout(self._adapter.rollout_cfg(), now)
        guard_s = self._adapter.claim_guard_s()
        # After a restart of the holder there was no other holder, but its claims still apply.
        previous_holder_until = (
            now
            if self.lease.previous_holder_until == DISTANT_PAST
            else self.lease.previous_holder_until
        )
        self._claims = EndpointClaims(
            self.lease.inherited_claims, previous_holder_until + guard_s, guard_s
        )

    def _update_claims(self, observed: dict[str, ObservedState], now: float) -> None:
        """Claim the endpoints with current or recent orders in the lease record."""
        for item in observed.values():
            if not self._reconciler.is_done(item):
                self._claims.claim(item.endpoint)
        for endpoint in self._claims.active():
            if endpoint not in observed or self._reconciler.is_done(observed[endpoint]):
                self._claims.expire(endpoint)
        self.lease.claim(self._claims.claimed(now), now)
        if self.lease.wake_at <= now:
            self._renewal_due.set()

    async def _plan_rollout(self, observation: Observation, now: float) -> None:
        guarded = self._claims.guarded(now)
        for effect in self._rollout.plan(observation.desired, observation.replicas, now, guarded):
            if isinstance(effect, SetDesiredOrders):
                self._claims.claim(effect.endpoint)
                self._reconciler.handle(effect, now)
            elif isinstance(effect, UseVersion):
                await self._adapter.serve_version(effect)

    async def _send_order(self, reconciler: OrderReconciler, order: SendOrder) -> None:
        permit = Permit(reconciler.fence, lambda: self._may_send(reconciler.fence, order.endpoint))
        result = await self._adapter.send(order, permit)
        reconciler.handle(OrderEnded(order.endpoint, order.number, result), self._clock())

    def _may_send(self, fence: int, endpoint: str) -> bool:
        now = self._clock()
        if self.lease.fence_at(now) != fence:
            return False
        if not self._claims.may_send(endpoint, self.lease.recorded_claims, now):
            return False
        self._claims.record_sent(endpoint, now)
        return True

    def _log_lease(self, fence: int | None) -> None:
        if fence == self._logged_fence:
            return
        if self._logged_fence is not None:
            log(LogEvent.LEASE_LOST, lease=self._row.key, fencing=self._logged_fence)
        if fence is not None:
            log(LogEvent.LEASE_TAKEN, lease=self._row.key, fencing=fence)
        self._logged_fence = fence
