"""Refuses requests whose bodies do not fit into the memory for all of them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from rattangate.errors import ErrorKind, Failure
from rattangate.http.responses import JSON_CONTENT_TYPE, error_body

if TYPE_CHECKING:
    from rattangate.connection_budget import ConnectionBudget, Reservation
    from rattangate.http.serving import AsgiApp, Receive, Send

RETRY_AFTER_S = 1.0


class BodyLimiter:
    """Let an application read the bodies that fit into a budget."""

    def __init__(self, app: AsgiApp, budget: ConnectionBudget) -> None:
        self._app = app
        self._budget = budget

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request; refuse it if it is evicted before its body is complete."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        cancel_scope = trio.CancelScope()
        with cancel_scope, self._budget.reserve(cancel_scope.cancel) as reservation:
            exchange = _Exchange(reservation, receive, send)
            await self._app(scope, exchange.receive, exchange.send)
        if cancel_scope.cancelled_caught:
            await _refuse(send)


class _Exchange:
    """Report the size of a request's body as it arrives."""

    def __init__(self, reservation: Reservation, receive: Receive, send: Send) -> None:
        self._reservation = reservation
        self._receive = receive
        self._send = send
        self._size = 0

    async def receive(self) -> Any:
        message = await self._receive()
        if message["type"] == "http.request":
            self._size += len(message.get("body", b""))
            if not message.get("more_body", False):
                self._reservation.set_evictable(False)
            self._reservation.update(self._size)
        return message

    async def send(self, message: Any) -> None:
        self._reservation.set_evictable(False)
        await self._send(message)


async def _refuse(send: Send) -> None:
    failure = Failure(ErrorKind.OVERLOADED, "too many bodies are being read", RETRY_AFTER_S)
    body = msgspec.json.encode(error_body(failure))
    headers = [
        (b"content-type", JSON_CONTENT_TYPE.encode()),
        (b"content-length", str(len(body)).encode()),
        (b"retry-after", str(math.ceil(RETRY_AFTER_S)).encode()),
        (b"connection", b"close"),
    ]
    status = failure.response.status
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
