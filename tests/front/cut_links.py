"""Two entry instances, one of which can lose its links to the replicas in one of several ways."""

from __future__ import annotations

import errno
from contextlib import asynccontextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

import httpx
import trio

from rattangate.front.app import FrontApp
from rattangate.log_events import LineWriter
from tests.front.deployment import (
    Deployment,
    Handler,
    respond_done,
    running_deployment,
    stream_events,
    wait_until,
)
from tests.small_deployment import free_addresses

if TYPE_CHECKING:
    from collections.abc import Collection


class Cut(Enum):
    """Name what becomes of the connections to replicas."""

    HANG = "hang"
    CLOSE = "close"
    REFUSE_NEW = "refuse_new"


@dataclass
class Links:
    """Hold the cut that is in force between an instance and the replicas at `addresses`.

    `other_app` is the instance that keeps its links.
    """

    addresses: set[str] = field(default_factory=set)
    cut: Cut | None = None
    other_app: FrontApp | None = None
    socks: list[trio.socket.SocketType] = field(default_factory=list)

    def apply(self, cut: Cut | None) -> None:
        """Cut the links, or heal them."""
        self.cut = cut
        if cut is Cut.CLOSE:
            for sock in self.socks:
                if sock.fileno() >= 0:
                    sock.shutdown(trio.socket.SHUT_RDWR)
            self.socks.clear()


# Inherited by all tasks of the instance that was started with it.
_links: ContextVar[Links | None] = ContextVar("links", default=None)


@asynccontextmanager
async def running_pair(
    monkeypatch, plain_handler: Handler = respond_done, engine_handler: Handler = stream_events
):
    """Run two instances; yield the deployment, whose requests go to the second, and its links."""
    links = Links()
    monkeypatch.setattr(trio.socket, "socket", _make_socket_factory(trio.socket.socket))
    async with running_deployment(plain_handler, engine_handler) as deployment:
        links.addresses.update(replica.address for replica in deployment.replicas.values())
        async with running_second(deployment, links) as second:
            yield second, links


@asynccontextmanager
async def running_second(
    deployment: Deployment,
    links: Links | None = None,
    instance: str = "entry-2",
    data_centre: str = "riverside",
    others: Collection[FrontApp] = (),
):
    """Run a further instance in a deployment; yield the deployment with requests going to it.

    `others` are the instances that run beside the first one.
    """
    caller, ready, peer, metrics = free_addresses(4)
    boot = replace(
        deployment.boot,
        instance=instance,
        data_centre=data_centre,
        caller_address=caller,
        ready_address=ready,
        first_free_port=int(peer.rsplit(":", 1)[1]),
    )
    app = FrontApp(boot, LineWriter(1, max_lines=0), int(metrics.rsplit(":", 1)[1]))
    scope = trio.CancelScope()
    async with (
        trio.open_nursery() as nursery,
        httpx.AsyncClient(base_url=f"http://{caller}", trust_env=False, timeout=10.0) as client,
    ):
        _links.set(links)
        nursery.start_soon(_run_within, scope, app)
        _links.set(None)
        await wait_until(lambda: hasattr(app, "state") and app.is_ready)
        if links is not None:
            links.other_app = deployment.app
        peers = (deployment.app, *others, app)
        await wait_until(lambda: all(item._peers.count == len(peers) - 1 for item in peers))
        yield Deployment(deployment.platform, app, deployment.replicas, client, boot, scope)
        nursery.cancel_scope.cancel()


async def _run_within(scope: trio.CancelScope, app: FrontApp) -> None:
    with scope:
        await app.run()


def _make_socket_factory(make_socket):
    def make(*args, **kwargs):
        sock = make_socket(*args, **kwargs)
        links = _links.get()
        if links is not None:
            _attach(sock, links)
        return sock

    return make


def _attach(sock: trio.socket.SocketType, links: Links) -> None:
    connect, recv, send = sock.connect, sock.recv, sock.send

    async def cut_connect(address) -> None:
        if f"{address[0]}:{address[1]}" in links.addresses:
            if links.cut is Cut.HANG:
                await trio.sleep_forever()
            if links.cut is not None:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
            links.socks.append(sock)
        await connect(address)

    async def cut_recv(*args) -> bytes:
        data = await recv(*args)
        if links.cut is Cut.HANG and sock in links.socks:
            await trio.sleep_forever()
        return data

    async def cut_send(*args) -> int:
        if links.cut is Cut.HANG and sock in links.socks:
            # As the kernel does once sent data was not acknowledged for the user timeout.
            await trio.sleep(1.5)
            raise TimeoutError(errno.ETIMEDOUT, "timed out")
        return await send(*args)

    sock.connect, sock.recv, sock.send = cut_connect, cut_recv, cut_send
