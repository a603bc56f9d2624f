"""Find out which incarnation of an endpoint a connection leads to, from the endpoint's own report.

An endpoint may restart under its id, with other software, before its new entry is read. A connection
that was opened since then leads to the new incarnation, while the list still names the old one.
"""

from __future__ import annotations

from contextlib import AsyncExitStack, aclosing
from typing import TYPE_CHECKING

import httpx
import trio

from rattangate.front.endpoint_conn import (
    ConnectFailed,
    Exchange,
    ExchangeLost,
    OutboundRequest,
    begin_exchange,
)
from rattangate.platform import wire
from rattangate.platform.reports import MAX_REPORT_BYTES, NoReport, Report, decode_report

if TYPE_CHECKING:
    from rattangate.front.endpoint_conn import EndpointConn, EndpointPool

REPORT_TIMEOUT_S = 0.5


class OtherIncarnation(Exception):  # noqa: N818
    """Report an endpoint that runs as another incarnation than the listed one."""


async def open_identified_exchange(
    pool: EndpointPool, req: OutboundRequest, stack: AsyncExitStack, incarnation: int
) -> Exchange:
    """Take a connection that leads to an incarnation of an endpoint; nothing of `req` is sent.

    Raise OtherIncarnation if the endpoint runs as another one, and ConnectFailed if it does not say.
    """
    conn = await pool.acquire()
    if not conn.is_identified:
        conn = await _identify(pool, conn, incarnation)
    return begin_exchange(pool, conn, req, stack)


async def _identify(pool: EndpointPool, conn: EndpointConn, incarnation: int) -> EndpointConn:
    """Return an identified connection: one that carried a report, or was opened between two."""
    if await _confirm(pool, conn, incarnation):
        return conn
    async with AsyncExitStack() as stack:
        opened = await pool.open()
        stack.push_async_callback(opened.aclose)
        other = await pool.open()
        if await _confirm(pool, other, incarnation):
            return other
        stack.pop_all()
    opened.is_identified = True
    return opened


async def _confirm(pool: EndpointPool, conn: EndpointConn, incarnation: int) -> bool:
    """Ask which incarnation a connection leads to; tell whether it is open for a request.

    Raise OtherIncarnation if it is another one, and ConnectFailed if the endpoint does not say.
    """
    async with AsyncExitStack() as stack:
        stack.push_async_callback(conn.aclose)
        exchange = Exchange(pool, conn, _report_request(pool.address))
        report = await _read_report(exchange)
        if isinstance(report, NoReport):
            raise ConnectFailed(f"{pool.address} does not say what it is: {report.detail}")
        if report.incarnation != incarnation:
            raise OtherIncarnation(f"runs as incarnation {report.incarnation}")
        if not exchange.is_conn_reusable():
            return False
        stack.pop_all()
    conn.is_identified = True
    return True


def _report_request(address: str) -> OutboundRequest:
    headers = [(b"Host", address.encode()), (b"Accept-Encoding", b"identity")]
    return OutboundRequest(b"GET", wire.REPORT_PATH.encode(), headers, b"", "")


async def _read_report(exchange: Exchange) -> Report | NoReport:
    body = bytearray()
    try:
        with trio.fail_after(REPORT_TIMEOUT_S):
            await exchange.send_request()
            await exchange.read_head()
            async with aclosing(exchange.chunks()) as chunks:
                async for data in chunks:
                    body += data
                    if len(body) > MAX_REPORT_BYTES:
                        return NoReport(f"report of more than {MAX_REPORT_BYTES} bytes")
    except (ExchangeLost, trio.TooSlowError) as exc:
        return NoReport(repr(exc))
    if exchange.response_head.status != httpx.codes.OK:
        return NoReport(f"status {exchange.response_head.status}")
    return decode_report(bytes(body))
