"""Requests on the users' platform: answers whole, refusals true, nothing run twice."""

from __future__ import annotations

import httpx
import pytest
import trio

from tests.front.site import (
    BOOKING_PATH,
    KEY,
    LOOKUP_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    Call,
    event,
    running_site,
    say_done,
    stream_events,
    wait_until,
)


def test_answer_and_headers_pass_unchanged():
    async def main() -> None:
        async with running_site() as site:
            resp = await site.ask(BOOKING_PATH, X_Mine="7", X_Tenant="forged", X_Hold="1")
            assert (resp.status_code, resp.content) == (200, b"done")
            assert resp.headers["x-server-seal"] == "seal"
            (call,) = site.calls()
            assert call.line == f"POST {BOOKING_PATH} HTTP/1.1"
            assert call.body == b"hello"
            assert (call.head["x-mine"], call.head["x-tenant"]) == ("7", "sese")
            assert not {"authorization", "x-hold"} & set(call.head)
            assert 0 < int(call.head["x-deadline-ms"]) <= 2000

    trio.run(main)


def test_unknown_route_and_unknown_key_are_refused():
    async def main() -> None:
        async with running_site() as site:
            assert (await site.ask("/nowhere/1")).status_code == 404
            assert (await site.ask(BOOKING_PATH, key="wrong")).status_code == 401
            assert (await site.ask(BOOKING_PATH, key=None)).status_code == 401
            assert site.calls() == []

    trio.run(main)


def test_a_refused_booking_goes_to_another_replica():
    refusals = iter([True, False])

    async def refuse_once(call: Call) -> None:
        await (call.refuse() if next(refusals) else say_done(call))

    async def main() -> None:
        async with running_site(desk=refuse_once) as site:
            assert (await site.ask(BOOKING_PATH)).status_code == 200
            assert len(site.calls()) == 2

    trio.run(main)


def test_callers_of_all_workspaces_are_not_bounded_together():
    async def main() -> None:
        async with running_site() as site:
            limits = site.app.state.driver.gateway.intake.limits
            now = trio.current_time()
            assert not any(limits.admit("", 100, now) for _ in range(1000))

    trio.run(main)


def test_refusals_everywhere_are_told_as_not_run():
    async def refuse(call: Call) -> None:
        await call.refuse()

    async def main() -> None:
        async with running_site(desk=refuse) as site:
            resp = await site.ask(BOOKING_PATH)
            assert resp.status_code == 503
            assert float(resp.headers["retry-after"]) > 0
            assert "x-server-seal" not in resp.headers

    trio.run(main)


@pytest.mark.parametrize("path", [BOOKING_PATH, STREAM_PATH])
def test_what_may_have_run_is_not_sent_again_and_not_called_unrun(path):
    async def drop(call: Call) -> None:
        await call.stream.aclose()

    async def main() -> None:
        async with running_site(desk=drop, llm=drop) as site:
            resp = await site.ask(path)
            assert resp.status_code in (502, 504)
            assert "retry-after" not in resp.headers
            assert len(site.calls()) == 1

    trio.run(main)


def test_a_busy_status_without_a_promise_is_not_passed_on_as_one():
    async def fail(call: Call) -> None:
        await call.answer(503, b"ran and failed")

    async def main() -> None:
        async with running_site(desk=fail) as site:
            assert (await site.ask(BOOKING_PATH)).status_code in (502, 504)
            assert len(site.calls()) == 1

    trio.run(main)


def test_a_lookup_is_asked_again_where_its_answer_is_lost():
    losses = iter([True, False])

    async def lose_once(call: Call) -> None:
        if next(losses):
            await call.stream.send_all(b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n")
            await call.stream.aclose()
        else:
            await say_done(call)

    async def main() -> None:
        async with running_site(desk=lose_once) as site:
            assert (await site.ask(LOOKUP_PATH)).content == b"done"
            assert len({call.head["x-target-instance"] for call in site.calls()}) == 2

    trio.run(main)


def test_an_error_of_all_replicas_is_passed_on_as_it_is():
    async def fail(call: Call) -> None:
        await call.answer(500, b"broken")

    async def main() -> None:
        async with running_site(desk=fail) as site:
            resp = await site.ask(LOOKUP_PATH)
            assert (resp.status_code, resp.content) == (500, b"broken")
            assert resp.headers["x-server-seal"] == "seal"
            assert len(site.calls()) == 2

    trio.run(main)


def test_an_answer_to_another_request_is_passed_over():
    async def answer_twice(call: Call) -> None:
        await say_done(call)
        stray = Call(call.stream, {"x-attempt-id": "a0"}, "", b"")
        await stray.answer(200, b"not yours")

    async def main() -> None:
        async with running_site(desk=answer_twice, copies=1) as site:
            for number in range(4):
                resp = await site.ask(BOOKING_PATH, X_Attempt_Id=f"b{number}")
                assert resp.content == b"done"

    trio.run(main)


def test_an_unsigned_success_is_not_an_answer():
    async def answer_unsigned(call: Call) -> None:
        await call.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

    async def main() -> None:
        async with running_site(desk=answer_unsigned) as site:
            assert (await site.ask(BOOKING_PATH)).status_code in (502, 504)

    trio.run(main)


def test_a_stream_arrives_whole_with_our_directions():
    async def main() -> None:
        async with running_site() as site:
            resp = await site.ask(STREAM_PATH)
            assert resp.content == event(1) + event(2) + event(3)
            (call,) = site.calls()
            assert call.head["x-expect-version"] == "1"
            assert call.head["x-cache-salt"]

    trio.run(main)


def test_a_stream_goes_on_at_another_replica_after_the_last_whole_event():
    cuts = iter([True, False])

    async def cut_once(call: Call) -> None:
        if next(cuts):
            await call.start_stream()
            await call.send_chunk(event(1) + b"id: 2\nda")
            await call.stream.aclose()
        else:
            await stream_events(call)

    async def main() -> None:
        async with running_site(llm=cut_once) as site:
            resp = await site.ask(RESUMABLE_PATH)
            assert resp.content == event(1) + event(2) + event(3)
            first, second = sorted(site.calls(), key=lambda call: "last-event-id" in call.head)
            assert second.head["last-event-id"] == "1"
            assert first.head["x-target-instance"] != second.head["x-target-instance"]

    trio.run(main)


def test_a_broken_stream_that_cannot_go_on_does_not_look_complete():
    async def cut(call: Call) -> None:
        await call.start_stream()
        await call.send_chunk(event(1))
        await call.stream.aclose()

    async def main() -> None:
        async with running_site(llm=cut) as site:
            with pytest.raises(httpx.RemoteProtocolError):
                await site.ask(STREAM_PATH)
            assert len(site.calls()) == 1

    trio.run(main)


def test_a_request_ends_at_its_routes_timeout():
    async def stay_silent(call: Call) -> None:
        await trio.sleep_forever()

    async def main() -> None:
        async with running_site(desk=stay_silent) as site:
            assert (await site.ask(BOOKING_PATH)).status_code == 504

    trio.run(main)


def test_a_replica_stops_when_its_caller_leaves():
    closed = trio.Event()

    async def notice(call: Call) -> None:
        if await call.stream.receive_some() == b"":
            closed.set()

    async def main() -> None:
        async with running_site(desk=notice) as site:
            with trio.move_on_after(0.3):
                await site.ask(BOOKING_PATH)
            with trio.fail_after(1.0):
                await closed.wait()

    trio.run(main)


def test_a_withdrawn_key_is_refused_and_a_dropped_route_is_gone():
    async def main() -> None:
        async with running_site() as site:
            site.configure(5, tenants=[{"name": "sese", "api_keys": ["new"]}], routes=[])
            await wait_until(lambda: site.app.state.config.version == 5)
            assert (await site.ask(BOOKING_PATH)).status_code == 404
            site.configure(4)
            site.configure(6, tenants=[{"name": "sese", "api_keys": ["new"]}])
            await wait_until(lambda: site.app.state.config.version == 6)
            assert (await site.ask(BOOKING_PATH, key=KEY)).status_code == 401
            assert (await site.ask(BOOKING_PATH, key="new")).status_code == 200

    trio.run(main)


def test_keys_are_not_accepted_long_after_the_store_fell_silent():
    async def main() -> None:
        async with running_site() as site:
            site.platform.faults.refuses = True
            await wait_until(lambda: not _keys_hold(site))
            resp = await site.ask(BOOKING_PATH)
            assert resp.status_code == 503
            assert site.calls() == []
            site.platform.faults.refuses = False
            await wait_until(lambda: _keys_hold(site))
            assert (await site.ask(BOOKING_PATH)).status_code == 200

    trio.run(main)


def test_changes_are_read_again_where_the_store_dropped_its_history():
    async def main() -> None:
        async with running_site() as site:
            site.platform.faults.refuses = True
            await trio.sleep(1.3)
            site.configure(9)
            site.platform.store.forget_history()
            site.platform.faults.refuses = False
            await wait_until(lambda: site.app.state.config.version == 9)

    trio.run(main)


def test_a_leaving_replica_gets_no_new_request():
    async def main() -> None:
        async with running_site() as site:
            site.list_replica("desk-0", "desk", state="draining")
            view = site.app.state.view
            await wait_until(lambda: view.endpoints["desk-0"].is_leaving)
            for number in range(6):
                await site.ask(BOOKING_PATH, X_Attempt_Id=f"c{number}")
            assert site.replicas["desk-0"].calls == []
            assert len(site.replicas["desk-1"].calls) == 6

    trio.run(main)


def test_entries_of_other_writers_name_no_endpoint():
    async def main() -> None:
        async with running_site() as site:
            site.platform.store.put("servers", "x", b"\xff\x00")
            site.platform.store.put("servers", "y", {"state": 7})
            site.platform.store.put("op", "config", b"{")
            await trio.sleep(1.2)
            assert set(site.app.state.view.endpoints) == set(site.replicas)
            assert (await site.ask(BOOKING_PATH)).status_code == 200

    trio.run(main)


def _keys_hold(site) -> bool:
    from rattangate.front.state import boottime_now

    return site.app.state.keys.holds(boottime_now())
