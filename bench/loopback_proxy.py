"""A loopback proxy that delays, resets, silences or cuts one way the connections through it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import trio

from rattangate.sockets import reset_on_close

READ_BYTES = 65_536
DELAY_S = 0.15
# How often a silenced direction looks whether its bytes may go on.
POLL_S = 0.05
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Harm(Enum):
    """Name what the proxy does to all its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    NO_REQUESTS = "no_requests"
    NO_ANSWERS = "no_answers"


@dataclass
class LoopbackProxy:
    """Pass connections to `target` on from `address`; `harm` is in force for all of them."""

    address: str
    target: str
    harm: Harm = Harm.NONE
    _socks: set[trio.SocketStream] = field(default_factory=set)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = self.address.rsplit(":", 1)
        await trio.serve_tcp(self._serve, int(port), host=host)

    def reset_all(self) -> None:
        """Reset all connections."""
        for stream in list(self._socks):
            reset_on_close(stream.socket)
            stream.socket.close()

    async def _serve(self, client: trio.SocketStream) -> None:
        host, port = self.target.rsplit(":", 1)
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            reset_on_close(client.socket)
            await trio.aclose_forcefully(client)
            return
        self._socks |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, Harm.NO_REQUESTS)
                nursery.start_soon(self._pump, server, client, Harm.NO_ANSWERS)
        finally:
            self._socks -= {client, server}
            await trio.aclose_forcefully(client)
            await trio.aclose_forcefully(server)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, stopped_by: Harm
    ) -> None:
        """Pass bytes in one direction, and the end of the connection."""
        try:
            while data := await source.receive_some(READ_BYTES):
                while self.harm in (Harm.SILENCE, stopped_by):
                    await trio.sleep(POLL_S)
                if self.harm is Harm.DELAY:
                    await trio.sleep(DELAY_S)
                await sink.send_all(data)
            await sink.send_eof()
        except CONNECTION_ERRORS:
            _reset(sink)


def _reset(stream: trio.SocketStream) -> None:
    """Reset a connection whose other half broke, unless it is closed already."""
    if stream.socket.fileno() >= 0:
        reset_on_close(stream.socket)
        stream.socket.close()
