"""Sending on a connection while another task receives, such as a long request and its response.

The kernel reports a reset once. If sending meets it, receiving sees a regular end, and the error of
sending is passed on only after other tasks have run. So whoever receives an end has to let sending
end before it can tell whether the connection was reset.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SEND_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Upload:
    """Send in one task, and tell the task that receives how that ended.

    `is_complete` tells that all was sent, and `is_cut` that the connection broke before.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.is_cut = False
        self._scope = trio.CancelScope()
        self._ended = trio.Event()

    async def run(self, send: Callable[[], Awaitable[None]]) -> None:
        """Send until all is sent, the connection breaks or it is stopped."""
        try:
            with self._scope:
                await send()
                self.is_complete = True
        except SEND_ERRORS:
            self.is_cut = True
        finally:
            self._ended.set()

    async def stop(self) -> None:
        """Stop sending, and wait until that has ended, so that `is_cut` is known."""
        self._scope.cancel()
        await self._ended.wait()
