"""Listens on an address, however long that takes: others may hold the port or all descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattangate.log_events import LogEvent, log

if TYPE_CHECKING:
    from collections.abc import Sequence

RETRY_INTERVAL_S = 0.2


async def listen(address: str, backlog: int | None = None) -> Sequence[trio.SocketListener]:
    """Return the listeners of an address HOST:PORT; try again until it can be listened on."""
    host, port = address.rsplit(":", 1)
    last_error = ""
    while True:
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=backlog)
        except OSError as exc:
            if str(exc) != last_error:
                last_error = str(exc)
                log(LogEvent.LISTEN_FAILED, address=address, error=last_error)
            await trio.sleep(RETRY_INTERVAL_S)
        else:
            return listeners
