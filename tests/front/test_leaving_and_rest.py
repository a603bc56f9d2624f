"""Replicas that say in their answers that they leave, or that they want nothing for a while."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio

from rattangate.core.messages import EndpointState
from rattangate.peers.codec import decode_news, encode_news, news_of
from tests.front.site import BOOKING_PATH, LOOKUP_PATH, Call, running_site, say_done, wait_until


def state_of(site, endpoint: str) -> EndpointState:
    return site.app.state.driver.gateway.endpoints[endpoint].seen.state


def test_a_replica_that_says_that_it_leaves_gets_no_new_request():
    async def leave(call: Call) -> None:
        await call.answer(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_site(desk=leave, copies=3) as site:
            resp = await site.ask(LOOKUP_PATH)
            assert resp.status_code == 200
            assert "server-leaving" not in resp.headers
            (first,) = site.calls()
            for replica in site.replicas.values():
                replica.behaviour = say_done
            for number in range(6):
                await site.ask(BOOKING_PATH, X_Attempt_Id=f"c{number}")
            left = site.replicas[first.head["x-target-instance"]]
            assert len(left.calls) == 1
            assert state_of(site, left.name) is EndpointState.LEAVING

    trio.run(main)


def test_a_refusal_tells_too_that_a_replica_leaves():
    async def leave(call: Call) -> None:
        await call.answer(503, b"", X_Not_Executed="1", Server_Leaving="1")

    async def main() -> None:
        async with running_site(desk=leave) as site:
            assert (await site.ask(BOOKING_PATH)).status_code == 503
            assert len(site.calls()) == 2
            assert (await site.ask(BOOKING_PATH)).status_code == 503
            assert len(site.calls()) == 2

    trio.run(main)


def test_a_replica_that_starts_again_is_used_again():
    async def leave(call: Call) -> None:
        await call.answer(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_site(desk=leave, copies=1) as site:
            await site.ask(BOOKING_PATH)
            assert (await site.ask(BOOKING_PATH)).status_code == 503
            site.list_replica("desk-0", "desk", born=2000)
            await wait_until(lambda: state_of(site, "desk-0") is EndpointState.LIVE)
            assert (await site.ask(BOOKING_PATH)).status_code == 200

    trio.run(main)


def test_peers_are_told_of_a_replica_that_leaves():
    async def main() -> None:
        async with running_site() as site:
            sent: list[tuple[str, int]] = []
            site.app._peers.announce_leaving = lambda *mark: sent.append(mark)

            async def leave(call: Call) -> None:
                await call.answer(200, b"done", Server_Leaving="1")

            site.replicas["desk-0"].behaviour = leave
            for number in range(8):
                await site.ask(BOOKING_PATH, X_Attempt_Id=f"d{number}")
            assert sent == [("desk-0", 1000)]

    trio.run(main)


def test_a_mark_survives_the_way_to_a_peer():
    news = replace(news_of(None, "i1", 7, 1, leaving=False), leaving_endpoints=(("e1", 1000),))
    assert decode_news(encode_news(news)).leaving_endpoints == (("e1", 1000),)


@pytest.mark.parametrize("path", [BOOKING_PATH, LOOKUP_PATH])
def test_a_replica_that_asks_for_a_rest_is_left_alone_for_so_long(path):
    async def ask_for_rest(call: Call) -> None:
        await call.answer(503, b"", X_Not_Executed="1", Retry_After="0.8")

    async def main() -> None:
        async with running_site() as site:
            site.replicas["desk-0"].behaviour = ask_for_rest
            await wait_until(lambda: state_of(site, "desk-0") is EndpointState.LIVE)
            for number in range(8):
                resp = await site.ask(path, X_Attempt_Id=f"e{number}")
                assert resp.status_code == 200
            assert len(site.replicas["desk-0"].calls) == 1
            await wait_until(lambda: state_of(site, "desk-0") is EndpointState.LIVE)

    trio.run(main)


def test_where_all_rest_the_caller_is_told_when_to_come_back():
    async def ask_for_rest(call: Call) -> None:
        await call.answer(503, b"", X_Not_Executed="1", Retry_After="7")

    async def main() -> None:
        async with running_site(desk=ask_for_rest) as site:
            resp = await site.ask(BOOKING_PATH)
            assert resp.status_code == 503
            assert 6.0 < float(resp.headers["retry-after"]) < 9.0
            assert len(site.calls()) == 2
            resp = await site.ask(BOOKING_PATH)
            assert resp.status_code == 503
            assert len(site.calls()) == 2

    trio.run(main)


@pytest.mark.parametrize("advice", ["soon", "-1", "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"])
def test_advice_that_is_no_number_of_seconds_is_passed_over(advice):
    async def refuse(call: Call) -> None:
        await call.answer(503, b"", X_Not_Executed="1", Retry_After=advice)

    async def main() -> None:
        async with running_site(desk=refuse, copies=1) as site:
            assert (await site.ask(BOOKING_PATH)).status_code == 503
            assert state_of(site, "desk-0") is EndpointState.LIVE

    trio.run(main)
