"""The transport of all HTTP clients: no answer that was cut off, or whose head is malformed.

The library goes on to read the answer when sending the request fails, and then takes the end of
the connection for the end of an answer without a length, although the connection was reset.
"""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING, Any

import httpcore
import httpx

from rattangate.answer_heads import find_head_end, find_head_fault

if TYPE_CHECKING:
    from collections.abc import Iterable

# Without trusted certificates, TLS connections fail and no CA bundle is unpacked to disk.
EMPTY_TRUST_STORE = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class StrictTransport(httpx.AsyncHTTPTransport):
    """Send requests over connections that report what the library overlooks."""

    def __init__(self, limits: httpx.Limits) -> None:
        super().__init__(verify=EMPTY_TRUST_STORE, trust_env=False, limits=limits)
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=EMPTY_TRUST_STORE,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_StrictBackend(),
        )


class _StrictBackend(httpcore.TrioBackend):
    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await super().connect_tcp(host, port, timeout, local_address, socket_options)
        return _StrictStream(stream)


class _StrictStream(httpcore.AsyncNetworkStream):
    """Wrap a connection on which requests and answers take turns."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._is_write_broken = False
        # What has arrived of the head of the current answer, None after its end.
        self._head: bytearray | None = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receive bytes; raise ReadError for an end after a failed write."""
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._is_write_broken:
            raise httpcore.ReadError("the connection broke while the request was sent")
        self._check_head(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request."""
        if self._head is None:
            self._head = bytearray()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._is_write_broken = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the connection tells of itself."""
        return self._stream.get_extra_info(info)

    def _check_head(self, data: bytes) -> None:
        """Raise RemoteProtocolError if the head of an answer is malformed."""
        if self._head is not None:
            self._head += data
        while self._head is not None:
            fault = find_head_fault(self._head)
            if fault is not None:
                raise httpcore.RemoteProtocolError(fault)
            end = find_head_end(self._head)
            if end is None:
                return
            if _is_interim(self._head):
                del self._head[:end]
            else:
                self._head = None


def _is_interim(head: bytearray) -> bool:
    """Tell whether another head follows this one."""
    return head.split(b" ", 2)[1].startswith(b"1")
