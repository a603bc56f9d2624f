"""The driver of leases, orders and rollouts: carries out the effects of their cores."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from rattangate.config.model import EndpointKind
from rattangate.core.leases import (
    Holder,
    Lease,
    LeaseRead,
    LeaseRecord,
    LeaseSwapped,
    LeaseWakeUp,
    ReadLease,
)
from rattangate.core.messages import EndpointState
from rattangate.core.once_messages import SwapResult
from rattangate.core.orders import (
    ORDERS_PER_FENCE,
    Drain,
    LoadVersion,
    Observed,
    OrderDriver,
    OrderEnded,
    OrderResult,
    SendOrder,
    SetRole,
    WantOrders,
)
from rattangate.core.rollout import Rollout, RolloutCfg, UseVersion, WantedVersion
from rattangate.log_events import LogEvent, log
from rattangate.platform.client import Conflict, Rows, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.config.model import ModelCfg, Settings
    from rattangate.core.leases import LeaseEffect, LeaseMessage, SwapLease
    from rattangate.core.orders import Order
    from rattangate.endpoints.client import EndpointClient
    from rattangate.endpoints.monitor import Watched
    from rattangate.platform.client import PlatformClient, Row

LEASE_KEY = "leases/orders"
ROLLOUTS_PREFIX = "rollouts/"
TERM_S = 4.0
STEP_S = 0.1
ORDER_TIMEOUT_S = 10.0
FIRST_BYTE_EVENT = "http11.send_request_headers.started"


class _Withdrawn(Exception):  # noqa: N818
    """Stop an order before its first byte."""


class OrderKeeper:
    """Hold the lease of orders, if no other instance does, and roll wanted versions out.

    `settings` and `watched` return the present settings and what is seen of the endpoints.
    """

    def __init__(
        self,
        holder: Holder,
        platform: PlatformClient,
        clients: dict[str, EndpointClient],
        settings: Callable[[], Settings],
        watched: Callable[[], dict[str, Watched]],
    ) -> None:
        self.lease = Lease(holder, TERM_S)
        self._platform = platform
        self._clients = clients
        self._settings = settings
        self._watched = watched
        self._driver = OrderDriver(0)
        self._rollout = Rollout(RolloutCfg(), 0.0)
        self._in_use: dict[str, Row] = {}
        self._logged_fence: int | None = None

    async def run(self) -> None:
        """Keep the lease and give orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            while True:
                await trio.sleep(STEP_S)
                await self._step(nursery)

    async def _keep_lease(self) -> None:
        while True:
            msg: LeaseMessage = LeaseWakeUp()
            while effects := self.lease.handle(msg, trio.current_time()):
                msg = await self._ask_table(effects[0])
            await trio.sleep(STEP_S)

    async def _ask_table(self, effect: LeaseEffect) -> LeaseMessage:
        if isinstance(effect, ReadLease):
            read = await self._platform.get_rows([LEASE_KEY])
            if isinstance(read, Unavailable):
                return LeaseRead(found=False)
            return LeaseRead(True, read.rows[0].version, _lease_record(read.rows[0]))
        return await self._swap_lease(effect)

    async def _swap_lease(self, effect: SwapLease) -> LeaseSwapped:
        value = msgspec.to_builtins(effect.record)
        outcome = await self._platform.swap_row(LEASE_KEY, effect.expected_version, value)
        if isinstance(outcome, Unavailable):
            result = SwapResult.UNKNOWN if outcome.may_have_applied else SwapResult.UNSENT
            return LeaseSwapped(result)
        row = outcome.rows[0]
        if isinstance(outcome, Conflict):
            return LeaseSwapped(SwapResult.CONFLICT, row.version, _lease_record(row))
        return LeaseSwapped(SwapResult.APPLIED, row.version)

    async def _step(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        fence = self.lease.fence_at(now)
        self._log_lease(fence)
        if fence is None:
            return
        if fence != self._driver.fence:
            self._driver = OrderDriver(fence)
            self._rollout = Rollout(RolloutCfg(), now)
            self._in_use.clear()
        replicas = self._observe()
        wanted = []
        for model in self._settings().models:
            in_use = await self._version_in_use(model, replicas[model.name])
            if in_use is not None:
                item = WantedVersion(model.name, model.weights_version, in_use, model.min_replicas)
                wanted.append(item)
        for effect in self._rollout.plan(wanted, replicas, now):
            if isinstance(effect, WantOrders):
                self._driver.handle(effect, now)
            elif isinstance(effect, UseVersion):
                await self._use_version(effect)
        for seen in (item for group in replicas.values() for item in group):
            for sent in self._driver.handle(seen, now):
                if isinstance(sent, SendOrder):
                    nursery.start_soon(self._send, self._driver, sent)

    def _log_lease(self, fence: int | None) -> None:
        if fence == self._logged_fence:
            return
        if self._logged_fence is not None:
            log(LogEvent.LEASE_LOST, lease=LEASE_KEY, fencing=self._logged_fence)
        if fence is not None:
            log(LogEvent.LEASE_TAKEN, lease=LEASE_KEY, fencing=fence)
        self._logged_fence = fence

    def _observe(self) -> dict[str, list[Observed]]:
        settings = self._settings()
        watched = self._watched()
        replicas: dict[str, list[Observed]] = {model.name: [] for model in settings.models}
        for endpoint in settings.endpoints:
            seen = watched.get(endpoint.name)
            if endpoint.kind is not EndpointKind.ENGINE or seen is None or not seen.is_reachable:
                continue
            observed = Observed(
                endpoint.name,
                seen.incarnation,
                seen.weights_version,
                role="",
                ready=seen.state is EndpointState.LIVE,
                leaving=seen.state is EndpointState.LEAVING,
            )
            replicas.setdefault(endpoint.serves, []).append(observed)
        return replicas

    async def _version_in_use(self, model: ModelCfg, replicas: list[Observed]) -> str | None:
        row = self._in_use.get(model.name)
        if row is None:
            outcome = await self._platform.get_rows([ROLLOUTS_PREFIX + model.name])
            if isinstance(outcome, Unavailable):
                return None
            row = self._in_use[model.name] = outcome.rows[0]
        if row.value is not None:
            return str(row.value["in_use"])
        versions = Counter(item.weights_version for item in replicas if item.ready)
        return versions.most_common(1)[0][0] if versions else None

    async def _use_version(self, effect: UseVersion) -> None:
        row = self._in_use.pop(effect.model)
        outcome = await self._platform.swap_row(
            row.key, row.version, {"in_use": effect.weights_version}
        )
        if isinstance(outcome, Rows):
            self._in_use[effect.model] = outcome.rows[0]

    async def _send(self, driver: OrderDriver, sent: SendOrder) -> None:
        async def check_lease(event: str, info: dict[str, Any]) -> None:
            if event != FIRST_BYTE_EVENT:
                return
            if self.lease.fence_at(trio.current_time()) != sent.number // ORDERS_PER_FENCE:
                raise _Withdrawn

        result = OrderResult.LOST
        name = type(sent.order).__name__
        log(LogEvent.ORDER_SENT, endpoint=sent.endpoint, order=name, fencing=sent.number)
        try:
            resp = await self._clients[sent.endpoint].http.post(
                "/orders",
                content=msgspec.json.encode(_order_body(sent.order, sent.number)),
                timeout=ORDER_TIMEOUT_S,
                extensions={"trace": check_lease},
            )
            if resp.status_code == httpx.codes.CONFLICT:
                result = OrderResult.OLD_NUMBER
                detail = "old fencing number"
                log(LogEvent.ORDER_REFUSED, endpoint=sent.endpoint, order=name, detail=detail)
            elif resp.status_code == httpx.codes.OK:
                result = OrderResult.ACCEPTED
        except (httpx.HTTPError, _Withdrawn):
            pass
        driver.handle(OrderEnded(sent.endpoint, sent.number, result), trio.current_time())


def _order_body(order: Order, number: int) -> dict[str, Any]:
    match order:
        case LoadVersion(version):
            return {"order": "load", "weights_version": version, "fencing": number}
        case SetRole(role):
            return {"order": "role", "role": role, "fencing": number}
        case Drain():
            return {"order": "drain", "fencing": number}


def _lease_record(row: Row) -> LeaseRecord | None:
    return None if row.value is None else msgspec.convert(row.value, LeaseRecord)
