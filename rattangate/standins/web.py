"""Helpers that serve the web application of a stand-in on trio."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response
from quart_trio import QuartTrio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

MAX_BODY_BYTES = 64_000_000


def make_app(name: str) -> QuartTrio:
    """Create an application without timeouts for request bodies and responses."""
    app = QuartTrio(name)
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = None
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    return app


async def run_app(app: QuartTrio, address: str, *background: Callable[[], Awaitable[None]]) -> None:
    """Serve the application and run its background tasks until cancelled."""
    cfg = Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.keep_alive_timeout = 60.0
    async with trio.open_nursery() as nursery:
        for task in background:
            nursery.start_soon(task)
        await serve(app, cfg, mode="asgi")
        nursery.cancel_scope.cancel()


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(value), status, content_type="application/json")


def aborted_response() -> Response:
    """Return a response whose connection is aborted before the body is complete."""
    return Response(_aborted_body(), headers={"Content-Length": "1000000"})


async def _aborted_body() -> AsyncIterator[bytes]:
    yield b" "
    raise ConnectionAbortedError
