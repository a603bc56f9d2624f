"""Callers that stop reading do not keep connections and requests open."""

from __future__ import annotations

import socket

import trio

from rattangate.config.model import LimitsCfg
from rattangate.http import serving
from rattangate.http.serving import DrainableApp, serve_app
from tests.small_deployment import free_addresses

CHUNK = b"x" * 65_536
DISCONNECT_TIMEOUT_S = 30.0


async def _endless_app(scope, receive, send):
    """Respond to each request with an endless body, as fast as the caller reads it."""
    if scope["type"] == "lifespan":
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        await send({"type": "http.response.start", "status": 200, "headers": []})
        while True:
            await send({"type": "http.response.body", "body": CHUNK, "more_body": True})
            await trio.lowlevel.checkpoint()


async def _cancel_on_disconnect(receive, scope):
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def test_caller_that_reads_no_data_is_disconnected(monkeypatch):
    monkeypatch.setattr(serving, "SLOW_CALLER_TIMEOUT_MS", 500)
    address = free_addresses(1)[0]
    host, port = address.rsplit(":", 1)
    app = DrainableApp(_endless_app)

    async def main():
        async with trio.open_nursery() as nursery:
            listening = trio.Event()
            nursery.start_soon(serve_app, app, address, LimitsCfg(), trio.Event(), listening.set)
            await listening.wait()
            caller = trio.socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await caller.connect((host, int(port)))
            await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            with trio.fail_after(DISCONNECT_TIMEOUT_S):
                while app.in_flight == 0:
                    await trio.sleep(0.01)
                while app.in_flight:
                    await trio.sleep(0.05)
            caller.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
