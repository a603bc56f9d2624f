"""Serve the web applications on trio and drain them at shutdown."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattangate.config.model import LimitsCfg

    Receive = Callable[[], Awaitable[Any]]
    Send = Callable[[Any], Awaitable[None]]
    AsgiApp = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]

# Longer than any stream, because the server aborts all requests that still run after it.
GRACEFUL_TIMEOUT_S = 86_400.0
KEEP_ALIVE_TIMEOUT_S = 30.0
# A caller may send a request before it notices that its idle connection is being closed; such a
# request arrives within this time.
LATE_REQUEST_GRACE_S = 0.25
DRAIN_POLL_S = 0.02
SLOW_CALLER_TIMEOUT_MS = 20_000
SEND_BUFFER_BYTES = 256 * 1024
CLOSE_HEADER = (b"connection", b"close")


class DrainableApp:
    """Count the requests in flight; while draining, close each connection after its response."""

    def __init__(self, app: AsgiApp) -> None:
        self.in_flight = 0
        self.draining = False
        self._app = app

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return

        async def send_with_close_header(message: dict[str, Any]) -> None:
            if self.draining and message["type"] == "http.response.start":
                message["headers"] = [*message.get("headers", ()), CLOSE_HEADER]
            await send(message)

        self.in_flight += 1
        try:
            await self._app(scope, receive, send_with_close_header)
        finally:
            self.in_flight -= 1

    async def wait_idle(self) -> None:
        """Wait until no request has been in flight for `LATE_REQUEST_GRACE_S` seconds."""
        idle_since = trio.current_time()
        while trio.current_time() < idle_since + LATE_REQUEST_GRACE_S:
            await trio.sleep(DRAIN_POLL_S)
            if self.in_flight:
                idle_since = trio.current_time()


async def serve_app(
    app: DrainableApp,
    address: str,
    limits: LimitsCfg,
    stop: trio.Event,
    on_listening: Callable[[], None] | None = None,
) -> None:
    """Serve until `stop` is set, then accept no new connections and finish all responses."""
    listener = _listen(address)
    cfg = Config()
    cfg.bind = [f"fd://{listener.detach()}"]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = GRACEFUL_TIMEOUT_S
    cfg.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    cfg.h11_max_incomplete_size = limits.max_header_bytes
    async with trio.open_nursery() as nursery:
        await nursery.start(_run_server, app, cfg, stop)
        if on_listening is not None:
            on_listening()
        await stop.wait()
        app.draining = True
        # The shutdown of hypercorn would also wait for idle connections, until they time out.
        await app.wait_idle()
        nursery.cancel_scope.cancel()


def _listen(address: str) -> socket.socket:
    """Bind the listening socket.

    The kernel closes a connection whose peer acknowledges no data for `SLOW_CALLER_TIMEOUT_MS`.
    """
    host, port = address.rsplit(":", 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SLOW_CALLER_TIMEOUT_MS)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    return listener


async def _run_server(
    app: DrainableApp,
    cfg: Config,
    stop: trio.Event,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve(app, cfg, mode="asgi", shutdown_trigger=stop.wait, task_status=task_status)
