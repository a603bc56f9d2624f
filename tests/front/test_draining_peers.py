"""An instance that drains serves on, so its peers hear of what it does and it hears of theirs."""

from __future__ import annotations

import trio

from rattangate.front import peers
from tests.front.cut_links import running_pair
from tests.front.deployment import (
    RESUMABLE_PATH,
    Call,
    event,
    stream_events,
    wait_until,
)


async def break_off(call: Call) -> None:
    """Break a new stream off after an event; continue one that is taken up."""
    if "last-event-id" in call.headers:
        await stream_events(call)
        return
    await call.start_stream()
    await call.send_chunk(event(1))
    await call.stream.aclose()


def is_leaving_known(app, name: str) -> bool:
    return name in app._peers._leaving_instances


def test_a_peer_hears_of_the_streams_that_a_draining_instance_begins(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            await deployment.app._peers.mark_leaving()
            other = links.other_app
            await wait_until(lambda: is_leaving_known(other, "entry-2"))
            await trio.sleep(1.0)
            await deployment.request(RESUMABLE_PATH, X_Attempt_Id="a1")
            versions = other.state.driver.gateway.stream_versions
            await wait_until(lambda: versions._streams, 3.0)

    trio.run(main)


def test_a_draining_instance_hears_of_the_streams_that_its_peers_begin(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            leaving = links.other_app
            await leaving._peers.mark_leaving()
            await wait_until(lambda: is_leaving_known(deployment.app, "entry-1"))
            await trio.sleep(1.0)
            await deployment.request(RESUMABLE_PATH, X_Attempt_Id="a1")
            versions = leaving.state.driver.gateway.stream_versions
            await wait_until(lambda: versions._streams, 3.0)

    trio.run(main)


def test_a_draining_instance_hears_of_the_endpoints_that_leave_in_their_answers(monkeypatch):
    async def leave(call: Call) -> None:
        await call.respond(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_pair(monkeypatch, plain_handler=leave) as (deployment, links):
            leaving = links.other_app
            await leaving._peers.mark_leaving()
            await wait_until(lambda: is_leaving_known(deployment.app, "entry-1"))
            await trio.sleep(1.0)
            await deployment.request("/lookup/1")
            (left,) = (name for name, one in deployment.replicas.items() if one.calls)
            view = leaving.state.view
            await wait_until(lambda: view.endpoints[left].is_leaving, 3.0)

    trio.run(main)


def test_a_draining_instance_is_neither_a_relay_nor_counted(monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            leaving = links.other_app
            assert leaving._peers.succession_rank("") + deployment.app._peers.succession_rank("")
            await leaving._peers.mark_leaving()
            staying = deployment.app._peers
            await wait_until(lambda: is_leaving_known(deployment.app, "entry-1"))
            await wait_until(lambda: not staying._view.live)
            assert not staying.delegates_endpoint_list()
            await wait_until(leaving._peers.delegates_endpoint_list)
            assert staying.succession_rank("") == 0

    trio.run(main)


def test_a_relay_that_is_leaving_forwards_until_the_others_send_elsewhere(monkeypatch):
    monkeypatch.setattr(peers, "RELAY_HANDOVER_S", 0.5)

    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            relay = next(
                app._peers
                for app in (deployment.app, links.other_app)
                if not app._peers.delegates_endpoint_list()
            )
            await relay.mark_leaving()
            assert not relay.delegates_endpoint_list()
            await wait_until(relay.delegates_endpoint_list)

    trio.run(main)
