"""The client that sends orders to replicas and reads their reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import trio

from rattangate.core.orders import OrderResult
from rattangate.plain_http import AnswerTooLong, send_bounded
from rattangate.platform import wire
from rattangate.platform.operator import encode_load_order
from rattangate.platform.reports import MAX_REPORT_BYTES, NoReport, Report, decode_report
from rattangate.strict_transport import StrictTransport

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from rattangate.core.fleet import ModelVersion

CONNECT_TIMEOUT_S = 0.4
ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 262_144
# The trace event that httpcore emits right before it sends the first byte of a request.
FIRST_BYTE_EVENT = "http11.send_request_headers.started"

_RESULT_BY_STATUS = {
    httpx.codes.OK: OrderResult.ACCEPTED,
    httpx.codes.ACCEPTED: OrderResult.ACCEPTED,
    httpx.codes.PRECONDITION_FAILED: OrderResult.OLD_NUMBER,
    httpx.codes.CONFLICT: OrderResult.BUSY,
}


@dataclass(frozen=True, slots=True)
class OrderFencing:
    """Identify the sender of an order; the replica checks `fence` and `order_seq`.

    `fence` is the fencing number of the lease of `holder`. `order_seq` is the number of orders that
    the replica must have accepted before.
    """

    holder: str
    fence: int
    order_seq: int


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Hold the result of an order and its reason."""

    result: OrderResult
    detail: str


class _OrderCancelled(Exception):  # noqa: N818
    """Cancel an order before its first byte is sent."""


_CALL_FAILURES = (httpx.HTTPError, trio.TooSlowError, AnswerTooLong)


class OrderClient:
    """Send orders to replicas; failures are returned with their reason, never raised."""

    def __init__(self) -> None:
        limits = httpx.Limits(max_keepalive_connections=0)
        headers = {"Accept-Encoding": "identity"}
        self._client = httpx.AsyncClient(
            trust_env=False, transport=StrictTransport(limits), headers=headers
        )

    async def __aenter__(self) -> OrderClient:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self._client.aclose()

    async def send_order(
        self,
        address: str,
        endpoint: str,
        desired: ModelVersion,
        fencing: OrderFencing,
        may_send: Callable[[], bool],
    ) -> OrderOutcome:
        """Order a replica to load a weights version.

        `may_send` is called right before the first byte; if it returns False, nothing is sent.
        """

        async def cancel_if_not_allowed(event: str, info: dict[str, Any]) -> None:
            if event == FIRST_BYTE_EVENT and not may_send():
                raise _OrderCancelled("the lease expired before the first byte was sent")

        content = encode_load_order(
            desired.model, desired.version, fencing.holder, fencing.fence, fencing.order_seq
        )
        req = self._client.build_request(
            "POST",
            f"http://{address}{wire.ORDER_PATH}",
            content=content,
            headers={"Content-Type": "application/json", "X-Target-Instance": endpoint},
            timeout=httpx.Timeout(ORDER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            extensions={"trace": cancel_if_not_allowed},
        )
        try:
            timeout_s = ORDER_TIMEOUT_S + CONNECT_TIMEOUT_S
            answer = await send_bounded(self._client, req, timeout_s, MAX_ANSWER_BYTES)
        except (*_CALL_FAILURES, _OrderCancelled) as exc:
            return OrderOutcome(OrderResult.LOST, repr(exc))
        result = _RESULT_BY_STATUS.get(answer.status, OrderResult.LOST)
        return OrderOutcome(result, f"status {answer.status}")

    async def get_report(self, address: str) -> Report | NoReport:
        """Read the report of a replica."""
        timeout = httpx.Timeout(REPORT_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{wire.REPORT_PATH}"
        req = self._client.build_request("GET", url, timeout=timeout)
        try:
            timeout_s = REPORT_TIMEOUT_S + CONNECT_TIMEOUT_S
            answer = await send_bounded(self._client, req, timeout_s, MAX_REPORT_BYTES)
        except _CALL_FAILURES as exc:
            return NoReport(repr(exc))
        return decode_report(answer.body)
