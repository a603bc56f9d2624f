"""The calls that give an order to a replica and ask for its report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import msgspec

from rattangate.core.fleet import ModelVersion
from rattangate.core.orders import OrderResult
from rattangate.plain_http import EMPTY_TRUST
from rattangate.platform import wire
from rattangate.platform.operator import encode_order

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

CONNECT_TIMEOUT_S = 0.4
ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.5
FIRST_BYTE_EVENT = "http11.send_request_headers.started"

_RESULTS = {
    httpx.codes.OK: OrderResult.ACCEPTED,
    httpx.codes.ACCEPTED: OrderResult.ACCEPTED,
    httpx.codes.PRECONDITION_FAILED: OrderResult.OLD_NUMBER,
    httpx.codes.CONFLICT: OrderResult.BUSY,
}


@dataclass(frozen=True, slots=True)
class Report:
    """Hold a replica's own report of its weights, some hundred milliseconds old."""

    incarnation: int
    models: tuple[ModelVersion, ...]
    is_loading: bool
    order_seq: int


@dataclass(frozen=True, slots=True)
class NoReport:
    """Report that a replica gave no usable report."""

    detail: str


@dataclass(frozen=True, slots=True)
class OrderHeader:
    """Say who gives an order; `order_seq` is the number of orders that the replica took before."""

    holder: str
    fence: int
    order_seq: int


@dataclass(frozen=True, slots=True)
class OrderEnd:
    """Report how an order ended and why."""

    result: OrderResult
    detail: str


class _Withdrawn(Exception):  # noqa: N818
    """Stop an order before its first byte."""


class _Running(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    born: int
    models: list[_Running] = []
    busy: bool = False
    seq: int = 0


class OrderClient:
    """Give orders to replicas; every failure is an outcome with its reason."""

    def __init__(self) -> None:
        limits = httpx.Limits(max_keepalive_connections=0)
        self._client = httpx.AsyncClient(trust_env=False, verify=EMPTY_TRUST, limits=limits)

    async def __aenter__(self) -> OrderClient:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self._client.aclose()

    async def order(
        self,
        address: str,
        endpoint: str,
        wanted: ModelVersion,
        header: OrderHeader,
        may_send: Callable[[], bool],
    ) -> OrderEnd:
        """Order a weights version; `may_send` is asked right before the first byte."""

        async def check(event: str, info: dict[str, Any]) -> None:
            if event == FIRST_BYTE_EVENT and not may_send():
                raise _Withdrawn("the lease ended before the first byte")

        content = encode_order(
            wanted.model, wanted.version, header.holder, header.fence, header.order_seq
        )
        try:
            resp = await self._client.post(
                f"http://{address}{wire.ORDER_PATH}",
                content=content,
                headers={"Content-Type": "application/json", "X-Target-Instance": endpoint},
                timeout=httpx.Timeout(ORDER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
                extensions={"trace": check},
            )
        except (httpx.HTTPError, _Withdrawn) as exc:
            return OrderEnd(OrderResult.LOST, repr(exc))
        result = _RESULTS.get(resp.status_code, OrderResult.LOST)
        return OrderEnd(result, f"status {resp.status_code}")

    async def report(self, address: str) -> Report | NoReport:
        """Ask a replica for its report."""
        timeout = httpx.Timeout(REPORT_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        try:
            resp = await self._client.get(f"http://{address}{wire.REPORT_PATH}", timeout=timeout)
            raw = msgspec.json.decode(resp.content, type=_Report)
        except (httpx.HTTPError, msgspec.DecodeError) as exc:
            return NoReport(repr(exc))
        models = tuple(ModelVersion(item.name, item.version) for item in raw.models)
        return Report(raw.born, models, raw.busy, raw.seq)
