"""The holder of orders: keeps the lease and brings engines to the named weights versions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from rattangate.core.fleet import ModelVersion, WeightsNews
from rattangate.core.leases import (
    Holder,
    Lease,
    LeaseRead,
    LeaseRecord,
    LeaseSwapped,
    LeaseWakeUp,
    ReadLease,
)
from rattangate.core.once_messages import SwapResult
from rattangate.core.orders import (
    LoadVersion,
    Observed,
    OrderDriver,
    OrderEnded,
    OrderResult,
    SendOrder,
    WantOrders,
)
from rattangate.core.rollout import Rollout, RolloutCfg, WantedVersion
from rattangate.front.state import boot_time
from rattangate.log_events import LogEvent, log
from rattangate.platform.client import Unavailable
from rattangate.platform.orders import OrderClient, Report
from rattangate.platform.store import StoreConflict

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.fleet import ListedEndpoint
    from rattangate.core.leases import LeaseEffect, LeaseMessage, SwapLease
    from rattangate.front.state import FrontState
    from rattangate.platform.store import Store, StoreRow

LEASE_TABLE = "rattangate"
LEASE_KEY = "lease/orders"
TERM_S = 1.2
# The first candidate watches the lease closely, the others in case that it is gone too.
FIRST_POLL_S = 0.36
OTHER_POLL_S = 2.0
STEP_S = 0.05
# A replica that was ordered to load refuses new requests until it is done.
LOAD_DEADLINE_S = 8.0
FIRST_REPORT_S = 1.0
REPORT_INTERVAL_S = 0.15
REPORTS = 46
# Replicas finish what runs before they load, so that of three ordered about two load at once.
MAX_LOADING = 3
# The others must bear the traffic meanwhile.
MAX_LOADING_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class _Target:
    """Name the endpoint and version of an order."""

    listed: ListedEndpoint
    found: ModelVersion


class OrderHolder:
    """Give orders while this instance holds the lease of orders."""

    def __init__(
        self,
        store: Store,
        state: FrontState,
        incarnation: int,
        tell_peers: Callable[[WeightsNews], None],
        is_first: Callable[[], bool],
    ) -> None:
        self._tell_peers = tell_peers
        self._is_first = is_first
        self._is_leaving = False
        self._store = store
        self._state = state
        self._name = state.boot.instance
        self.lease = Lease(Holder(self._name, incarnation), TERM_S)
        self._driver = OrderDriver(0)
        self._rollout = Rollout(RolloutCfg(), 0.0)
        self._logged_fence: int | None = None

    def leave(self) -> None:
        """Give no more orders and let another instance take the lease."""
        self._is_leaving = True

    async def run(self) -> None:
        """Keep the lease and give orders until cancelled."""
        async with OrderClient() as client, trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            while True:
                self._step(client, nursery)
                await trio.sleep(STEP_S)

    async def _keep_lease(self) -> None:
        while True:
            msg: LeaseMessage = LeaseWakeUp()
            self.lease.poll_s = FIRST_POLL_S if self._is_first() else OTHER_POLL_S
            while effects := self.lease.handle(msg, boot_time()):
                msg = await self._ask_store(effects[0])
            if self._is_leaving:
                await self._release()
                return
            await trio.sleep(STEP_S)

    async def _release(self) -> None:
        for effect in self.lease.release(boot_time()):
            await self._ask_store(effect)

    async def _ask_store(self, effect: LeaseEffect) -> LeaseMessage:
        if isinstance(effect, ReadLease):
            read = await self._store.read_row(LEASE_TABLE, LEASE_KEY)
            if isinstance(read, Unavailable):
                return LeaseRead(found=False)
            return LeaseRead(True, read.version, _record(read))
        return await self._swap_lease(effect)

    async def _swap_lease(self, effect: SwapLease) -> LeaseSwapped:
        value = msgspec.json.encode(effect.record)
        outcome = await self._store.write_row(
            LEASE_TABLE, LEASE_KEY, value, effect.expected_version
        )
        if isinstance(outcome, Unavailable):
            result = SwapResult.UNKNOWN if outcome.may_have_applied else SwapResult.UNSENT
            return LeaseSwapped(result)
        if isinstance(outcome, StoreConflict):
            row = next((row for row in outcome.rows if row.key == LEASE_KEY), None)
            version = 0 if row is None else row.version
            return LeaseSwapped(SwapResult.CONFLICT, version, _record(row))
        return LeaseSwapped(SwapResult.APPLIED, outcome.version)

    def _step(self, client: OrderClient, nursery: trio.Nursery) -> None:
        now = boot_time()
        fence = self.lease.fence_at(now)
        self._log_lease(fence)
        if fence is None or self._is_leaving:
            return
        if fence != self._driver.fence:
            self._driver = OrderDriver(fence)
            rivals_until = self.lease.rivals_until
            settle_s = max(0.0, rivals_until + self._state.boot.bounds.lease_s - now)
            cfg = RolloutCfg(
                load_interval_s=0.0,
                settle_s=settle_s,
                max_loading=MAX_LOADING,
                max_loading_share=MAX_LOADING_SHARE,
            )
            self._rollout = Rollout(cfg, now)
        wanted, replicas = self._observe()
        for effect in self._rollout.plan(wanted, replicas, now):
            if isinstance(effect, WantOrders):
                self._driver.handle(effect, now)
        for group in replicas.values():
            for observed in group:
                for order in self._driver.handle(observed, now):
                    if isinstance(order, SendOrder):
                        nursery.start_soon(self._give, client, order)

    def _observe(self) -> tuple[list[WantedVersion], dict[str, list[Observed]]]:
        wanted = []
        replicas: dict[str, list[Observed]] = {}
        for model, version in self._state.named_versions.items():
            text = str(version)
            wanted.append(WantedVersion(model, text, in_use=text, min_replicas=0))
            replicas[model] = [
                _observed(item, model)
                for item in self._state.view.endpoints.values()
                if item.version_of(model) is not None and self._state.view.is_reachable(item)
            ]
        return wanted, replicas

    async def _give(self, client: OrderClient, order: SendOrder) -> None:
        result = await self._send(client, order)
        ended = OrderEnded(order.endpoint, order.number, result)
        self._driver.handle(ended, boot_time())

    async def _send(self, client: OrderClient, order: SendOrder) -> OrderResult:
        assert isinstance(order.order, LoadVersion)
        target = self._find_target(order)
        if target is None:
            return OrderResult.LOST
        listed = target.listed
        fence = self._driver.fence
        report = await client.report(listed.address)
        if report is None or report.incarnation != listed.incarnation:
            detail = "no report of this incarnation; not sent"
            version = order.order.weights_version
            log(LogEvent.ORDER_REFUSED, endpoint=order.endpoint, order=version, detail=detail)
            return OrderResult.LOST
        body = (target.found, self._name, fence, report.order_seq)

        def may_send() -> bool:
            return self.lease.fence_at(boot_time()) == fence

        result = await client.order(listed.address, listed.endpoint, *body, may_send)
        self._log_order(order, report, result)
        if result is not OrderResult.ACCEPTED:
            return result
        self._tell(target, 0, LOAD_DEADLINE_S)
        await self._await_load(client, target)
        return result

    async def _await_load(self, client: OrderClient, target: _Target) -> None:
        """Ask the engine until it runs the ordered version, which its entry tells later."""
        listed = target.listed
        await trio.sleep(FIRST_REPORT_S)
        for _ in range(REPORTS):
            report = await client.report(listed.address)
            if report is not None and report.incarnation == listed.incarnation:
                for found in report.models:
                    if found.model == target.found.model and found.version >= target.found.version:
                        self._tell(target, found.version)
                        return
            await trio.sleep(REPORT_INTERVAL_S)

    def _tell(self, target: _Target, version: int, loading_s: float = 0.0) -> None:
        listed = target.listed
        news = WeightsNews(
            listed.endpoint, listed.incarnation, target.found.model, version, loading_s
        )
        self._state.take_weights(news)
        self._tell_peers(news)

    def _find_target(self, order: SendOrder) -> _Target | None:
        listed = self._state.view.endpoints.get(order.endpoint)
        if listed is None or listed.is_leaving or not isinstance(order.order, LoadVersion):
            return None
        for running in listed.models:
            version = self._state.named_versions.get(running.model)
            if str(version) == order.order.weights_version:
                return _Target(listed, ModelVersion(running.model, version or 0))
        return None

    def _log_lease(self, fence: int | None) -> None:
        if fence == self._logged_fence:
            return
        if fence is None:
            log(LogEvent.LEASE_LOST, lease=LEASE_KEY, fencing=self._logged_fence)
        else:
            log(LogEvent.LEASE_TAKEN, lease=LEASE_KEY, fencing=fence)
        self._logged_fence = fence

    def _log_order(self, order: SendOrder, report: Report, result: OrderResult) -> None:
        text = f"weights version {order.order.weights_version}, orders accepted {report.order_seq}"
        if result is OrderResult.ACCEPTED:
            fence = self._driver.fence
            log(LogEvent.ORDER_SENT, endpoint=order.endpoint, order=text, fencing=fence)
        else:
            log(LogEvent.ORDER_REFUSED, endpoint=order.endpoint, order=text, detail=result.value)


def _observed(item: ListedEndpoint, model: str) -> Observed:
    return Observed(
        item.endpoint,
        item.incarnation,
        str(item.version_of(model)),
        role="",
        ready=True,
        leaving=item.is_leaving,
    )


def _record(row: StoreRow | None) -> LeaseRecord | None:
    if row is None or row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=LeaseRecord)
    except msgspec.DecodeError as exc:
        log(LogEvent.ENTRY_MALFORMED, table=LEASE_TABLE, row=row.key, error=str(exc))
        return None
