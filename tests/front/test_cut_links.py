"""An instance that loses its own links to the endpoints still serves its callers."""

from __future__ import annotations

import itertools
import socket
import struct

import httpx
import pytest
import trio
import trio.testing

from rattangate.core.messages import EndpointState
from rattangate.front.endpoint_paths import FIRST_SEARCH_WAIT_S
from tests.front.cut_links import Cut, running_pair
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    Call,
    event,
    respond_done,
    wait_until,
)

PATHS = (IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH)
# The platform's bound until which an instance must have noticed a lost link.
CONTACT_S = 3.0
DESKS = ("desk-0", "desk-1")
# More than the endpoints have open connections, so that new ones are needed.
SIMULTANEOUS = 4


async def _respond_slowly(call: Call) -> None:
    await trio.sleep(0.05)
    await respond_done(call)


async def _request_all(deployment, name: str, simultaneous: int = SIMULTANEOUS) -> list[int]:
    """Send requests of each kind at the same time; return the statuses of the whole responses."""
    statuses: list[int] = []

    async def send(path: str, number: int) -> None:
        resp = await deployment.request(path, X_Attempt_Id=f"{path[1]}{name}-{number}")
        if path == STREAM_PATH and resp.status_code == 200:
            assert resp.content == b"".join(map(event, (1, 2, 3)))
        statuses.append(resp.status_code)

    async with trio.open_nursery() as nursery:
        for path in PATHS:
            for number in range(simultaneous):
                nursery.start_soon(send, path, number)
    return statuses


@pytest.mark.parametrize("cut", Cut)
def test_callers_of_an_instance_without_links_to_endpoints_are_served(cut, monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch, _respond_slowly) as (deployment, links):
            assert set(await _request_all(deployment, "before", 1)) == {200}
            links.apply(cut)
            with trio.move_on_after(CONTACT_S):
                for number in range(1000):
                    await _request_all(deployment, f"notice-{number}")
                    await trio.sleep(0.1)
            ran = len(deployment.calls())
            for number in range(10):
                assert set(await _request_all(deployment, f"cut-{number}")) == {200}
            assert len(deployment.calls()) == ran + 10 * len(PATHS) * SIMULTANEOUS

    trio.run(main)


def _served_at_tunnels(links_app) -> int:
    return links_app.state.paths.tunnels.server.open_count


async def _serve_through_peer(deployment, links, cut: Cut = Cut.CLOSE) -> None:
    """Cut the links and wait until every endpoint is reached through the peer."""
    await _request_all(deployment, "before", 1)
    links.apply(cut)
    view = deployment.app.state.view
    endpoints = deployment.app.state.driver.gateway.endpoints.values()
    number = 0
    while view.count_unreachable() < len(deployment.replicas) or not all(
        item.status.state is EndpointState.LIVE for item in endpoints
    ):
        await _request_all(deployment, f"until-{number}", 2)
        number += 1


def test_requests_go_directly_again_after_the_links_have_healed(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await _serve_through_peer(deployment, links)
            links.apply(None)
            await wait_until(lambda: deployment.app.state.view.count_unreachable() == 0)
            assert set(await _request_all(deployment, "healed")) == {200}
            await wait_until(lambda: _served_at_tunnels(links.other_app) == 0)

    trio.run(main)


def test_a_caller_who_leaves_ends_the_work_that_a_peer_passed_on(monkeypatch):
    async def stall(call: Call) -> None:
        await call.start_stream()
        await call.send_chunk(event(1))
        with pytest.raises(trio.BrokenResourceError):
            await call.stream.receive_some()
        ended.set()

    ended = trio.Event()

    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await _serve_through_peer(deployment, links)
            for replica in deployment.replicas.values():
                replica.handler = stall
            with trio.move_on_after(0.5):
                await deployment.request(STREAM_PATH, X_Attempt_Id="leaves")
            with trio.fail_after(0.5):
                await ended.wait()

    trio.run(main)


@pytest.mark.parametrize("ends", ["resets", "stops"])
def test_a_stream_that_breaks_behind_a_peer_does_not_look_complete(ends, monkeypatch):
    async def break_off(call: Call) -> None:
        await call.start_stream()
        await call.send_chunk(event(1))
        if ends == "resets":
            linger = struct.pack("ii", 1, 0)
            call.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await call.stream.aclose()

    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await _serve_through_peer(deployment, links)
            for replica in deployment.replicas.values():
                replica.handler = break_off
            with pytest.raises(httpx.RemoteProtocolError):
                await deployment.request(STREAM_PATH, X_Attempt_Id="broken")

    trio.run(main)


def test_a_retry_after_that_came_through_a_peer_holds_for_that_peer_too(monkeypatch):
    async def refuse(call: Call) -> None:
        await call.respond(503, b"", X_Not_Executed="1", Retry_After="5")

    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await _serve_through_peer(deployment, links)
            for name in DESKS:
                deployment.replicas[name].handler = refuse
            before = len(deployment.calls())
            for number in range(6):
                resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id=f"x{number}")
                assert resp.status_code == 503
            assert len(deployment.calls()) == before + len(DESKS)
            view = links.other_app.state.view
            await wait_until(
                lambda: all(view.rest_s(name, 1000, trio.current_time()) > 0 for name in DESKS)
            )

    trio.run(main)


def test_an_endpoint_that_rests_for_the_peer_gets_no_requests_through_it(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await _serve_through_peer(deployment, links)
            for name in DESKS:
                links.other_app.state.back_off(name, 1000, 5.0)
            await trio.testing.wait_all_tasks_blocked(0.02)
            before = len(deployment.calls())
            for number in range(6):
                resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id=f"y{number}")
                assert resp.status_code == 503
            assert len(deployment.calls()) == before

    trio.run(main)


def test_an_endpoint_that_no_instance_reaches_is_down(monkeypatch):
    async def main() -> None:
        # Slow enough that one endpoint alone cannot run the simultaneous requests.
        async with running_pair(monkeypatch, _respond_slowly) as (deployment, links):
            await _request_all(deployment, "before", 1)
            # Bound without listening: connections are refused, and no other process gets the port.
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                host, port = unused.getsockname()
                deployment.replicas["desk-0"].address = f"{host}:{port}"
                deployment.write_replica_entry("desk-0", "desk")
                gateway = deployment.app.state.driver.gateway
                number = 0
                while gateway.endpoints["desk-0"].status.state is not EndpointState.DOWN:
                    await _request_all(deployment, f"z{number}")
                    number += 1

    trio.run(main)


def _listed_keys(paths):
    return [(item.endpoint, item.incarnation) for item in paths._view.endpoints.values()]


def test_peers_are_asked_ever_less_often_for_an_endpoint_that_nobody_reaches(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, _links):
            paths = deployment.app.state.paths
            searched = []

            async def find_none(listed):
                searched.append(trio.current_time())

            async def fail() -> bool:
                return False

            monkeypatch.setattr(paths.tunnels, "find", find_none)
            (key,) = (key for key in _listed_keys(paths) if key[0] == "desk-0")
            monkeypatch.setattr(paths.pool_of(*key), "probe", fail)
            paths.mark_lost(*key, "no connection")
            await trio.sleep(6.0)
        assert 1 <= len(searched) <= 5
        assert all(
            later - earlier >= FIRST_SEARCH_WAIT_S
            for earlier, later in itertools.pairwise(searched)
        )

    trio.run(main)


def test_instances_that_are_leaving_still_serve_those_without_links(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await _serve_through_peer(deployment, links)
            await links.other_app._peers.mark_leaving()
            await wait_until(lambda: deployment.app._peers.count == 0)
            for number in range(5):
                assert set(await _request_all(deployment, f"leaving-{number}")) == {200}

    trio.run(main)


def test_tunnels_end_without_loss_when_their_server_closes_them(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await _serve_through_peer(deployment, links)
            assert _served_at_tunnels(links.other_app) > 0
            links.other_app.state.paths.tunnels.close()
            await wait_until(lambda: _served_at_tunnels(links.other_app) == 0)
            assert 502 not in await _request_all(deployment, "stopped")

    trio.run(main)
