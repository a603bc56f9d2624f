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


@dataclass(frozen=True, slots=True)
class Report:
    """Hold a replica's own report of its weights, some hundred milliseconds old."""

    incarnation: int
    models: tuple[ModelVersion, ...]
    is_loading: bool
    order_seq: int


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
    """Give orders to replicas."""

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
        holder: str,
        fence: int,
        order_seq: int,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        """Order a weights version; `may_send` is asked right before the first byte."""

        async def check(event: str, info: dict[str, Any]) -> None:
            if event == FIRST_BYTE_EVENT and not may_send():
                raise _Withdrawn

        try:
            resp = await self._client.post(
                f"http://{address}{wire.ORDER_PATH}",
                content=encode_order(wanted.model, wanted.version, holder, fence, order_seq),
                headers={"Content-Type": "application/json", "X-Target-Instance": endpoint},
                timeout=httpx.Timeout(ORDER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
                extensions={"trace": check},
            )
        except (httpx.HTTPError, _Withdrawn):
            return OrderResult.LOST
        if resp.status_code in (httpx.codes.OK, httpx.codes.ACCEPTED):
            return OrderResult.ACCEPTED
        if resp.status_code == httpx.codes.PRECONDITION_FAILED:
            return OrderResult.OLD_NUMBER
        if resp.status_code == httpx.codes.CONFLICT:
            return OrderResult.BUSY
        return OrderResult.LOST

    async def report(self, address: str) -> Report | None:
        """Ask a replica for its report; return None where it gives none."""
        timeout = httpx.Timeout(REPORT_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        try:
            resp = await self._client.get(f"http://{address}{wire.REPORT_PATH}", timeout=timeout)
            raw = msgspec.json.decode(resp.content, type=_Report)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None
        models = tuple(ModelVersion(item.name, item.version) for item in raw.models)
        return Report(raw.born, models, raw.busy, raw.seq)
