"""Serving of the web applications on trio."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypercorn.config import Config
from hypercorn.trio import serve

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quart_trio import QuartTrio

    from rattangate.config.model import LimitsCfg

# Longer than any stream, because the server cuts what still runs at its end.
GRACEFUL_TIMEOUT_S = 86_400.0
KEEP_ALIVE_S = 30.0


async def serve_app(
    app: QuartTrio,
    address: str,
    limits: LimitsCfg,
    shutdown_trigger: Callable[[], Awaitable[None]],
) -> None:
    """Serve until the trigger fires and the last answer is finished."""
    cfg = Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = GRACEFUL_TIMEOUT_S
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.h11_max_incomplete_size = limits.max_header_bytes
    await serve(app, cfg, mode="asgi", shutdown_trigger=shutdown_trigger)
