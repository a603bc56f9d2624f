"""An instance whose port is still in use at its start waits for it."""

from __future__ import annotations

import socket

import eliot
import pytest
import trio

from tests.front import deployment as parts
from tests.front.deployment import IDEMPOTENT_PATH, running_deployment, wait_until

# The places of the instance's addresses among those that a deployment takes.
ADDRESSES = {"callers": 1, "readiness": 2, "peers": 3, "metrics": 4}


def occupy(address: str) -> socket.socket:
    """Listen on an address as another process does."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.bind((host, int(port)))
    sock.listen()
    return sock


async def accepts_connections(address: str) -> bool:
    """Tell whether an address can be connected to."""
    host, port = address.rsplit(":", 1)
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError:
        return False
    await stream.aclose()
    return True


@pytest.mark.parametrize("place", ADDRESSES.values(), ids=ADDRESSES)
def test_an_instance_whose_port_is_in_use_at_its_start_serves_once_it_is_free(monkeypatch, place):
    occupied: list[socket.socket] = []
    held: list[str] = []
    lines: list[dict] = []
    take = parts.free_addresses

    def take_and_occupy(count: int) -> list[str]:
        addresses = take(count)
        held.append(addresses[place])
        occupied.append(occupy(addresses[place]))
        return addresses

    async def release() -> None:
        await wait_until(lambda: any(line["message_type"] == "listen_failed" for line in lines))
        occupied[0].close()

    async def main() -> None:
        monkeypatch.setattr(parts, "free_addresses", take_and_occupy)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(release)
            async with running_deployment() as deployment:
                assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200
                await wait_until(lambda: occupied[0].fileno() == -1)
                with trio.fail_after(5.0):
                    while not await accepts_connections(held[0]):
                        await trio.sleep(0.05)

    eliot.add_destinations(lines.append)
    try:
        trio.run(main)
    finally:
        eliot.remove_destination(lines.append)
