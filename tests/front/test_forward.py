"""Forwarded requests: responses are complete, refusals truthful, and nothing runs twice."""

from __future__ import annotations

import eliot
import httpx
import pytest
import trio

from rattangate.core.events import EventSplicer
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    KEY,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    Call,
    event,
    respond_done,
    running_deployment,
    stream_events,
    wait_until,
)


def test_response_and_caller_headers_are_forwarded():
    async def main() -> None:
        async with running_deployment() as deployment:
            resp = await deployment.request(
                NON_IDEMPOTENT_PATH, X_Mine="7", X_Tenant="forged", X_Hold="1"
            )
            assert (resp.status_code, resp.content) == (200, b"done")
            assert resp.headers["x-server-seal"] == "seal"
            (call,) = deployment.calls()
            assert call.request_line == f"POST {NON_IDEMPOTENT_PATH} HTTP/1.1"
            assert call.body == b"hello"
            assert (call.headers["x-mine"], call.headers["x-tenant"]) == ("7", "sese")
            assert not {"authorization", "x-hold"} & set(call.headers)
            assert 0 < int(call.headers["x-deadline-ms"]) <= 2000

    trio.run(main)


def test_unknown_route_and_unknown_key_are_refused():
    async def main() -> None:
        async with running_deployment() as deployment:
            assert (await deployment.request("/nowhere/1")).status_code == 404
            assert (await deployment.request(NON_IDEMPOTENT_PATH, key="wrong")).status_code == 401
            assert (await deployment.request(NON_IDEMPOTENT_PATH, key=None)).status_code == 401
            assert deployment.calls() == []

    trio.run(main)


def test_a_refused_non_idempotent_request_is_retried_at_another_replica():
    refusals = iter([True, False])

    async def refuse_once(call: Call) -> None:
        await (call.refuse() if next(refusals) else respond_done(call))

    async def main() -> None:
        async with running_deployment(plain_handler=refuse_once) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200
            assert len(deployment.calls()) == 2

    trio.run(main)


def test_no_stream_limit_is_shared_by_all_workspaces():
    async def main() -> None:
        async with running_deployment() as deployment:
            limits = deployment.app.state.driver.gateway.scheduler.limits
            now = trio.current_time()
            assert not any(limits.admit("", 100, now) for _ in range(1000))

    trio.run(main)


def test_refusals_by_all_replicas_give_a_503_with_retry_after():
    async def refuse(call: Call) -> None:
        await call.refuse()

    async def main() -> None:
        async with running_deployment(plain_handler=refuse) as deployment:
            resp = await deployment.request(NON_IDEMPOTENT_PATH)
            assert resp.status_code == 503
            assert float(resp.headers["retry-after"]) > 0
            assert "x-server-seal" not in resp.headers

    trio.run(main)


@pytest.mark.parametrize("path", [NON_IDEMPOTENT_PATH, STREAM_PATH])
def test_a_request_that_may_have_run_is_not_retried_nor_reported_as_not_run(path):
    async def close(call: Call) -> None:
        await call.stream.aclose()

    async def main() -> None:
        async with running_deployment(plain_handler=close, engine_handler=close) as deployment:
            resp = await deployment.request(path)
            assert resp.status_code in (502, 504)
            assert "retry-after" not in resp.headers
            assert len(deployment.calls()) == 1

    trio.run(main)


def test_a_503_without_the_not_run_header_is_not_forwarded_as_503():
    async def fail(call: Call) -> None:
        await call.respond(503, b"ran and failed")

    async def main() -> None:
        async with running_deployment(plain_handler=fail) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code in (502, 504)
            assert len(deployment.calls()) == 1

    trio.run(main)


def test_an_idempotent_request_with_a_lost_response_is_retried():
    losses = iter([True, False])

    async def lose_once(call: Call) -> None:
        if next(losses):
            await call.stream.send_all(b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n")
            await call.stream.aclose()
        else:
            await respond_done(call)

    async def main() -> None:
        async with running_deployment(plain_handler=lose_once) as deployment:
            assert (await deployment.request(IDEMPOTENT_PATH)).content == b"done"
            assert len({call.headers["x-target-instance"] for call in deployment.calls()}) == 2

    trio.run(main)


def test_an_error_of_all_replicas_is_forwarded_unchanged():
    async def fail(call: Call) -> None:
        await call.respond(500, b"broken")

    async def main() -> None:
        async with running_deployment(plain_handler=fail) as deployment:
            resp = await deployment.request(IDEMPOTENT_PATH)
            assert (resp.status_code, resp.content) == (500, b"broken")
            assert resp.headers["x-server-seal"] == "seal"
            assert len(deployment.calls()) == 2

    trio.run(main)


def test_a_response_to_another_request_is_skipped():
    async def respond_twice(call: Call) -> None:
        await respond_done(call)
        mismatched = Call(call.stream, {"x-attempt-id": "a0"}, "", b"")
        await mismatched.respond(200, b"not yours")

    async def main() -> None:
        async with running_deployment(
            plain_handler=respond_twice, replicas_per_service=1
        ) as deployment:
            for number in range(4):
                resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id=f"b{number}")
                assert resp.content == b"done"

    trio.run(main)


def test_an_unsigned_success_is_not_forwarded():
    async def respond_unsigned(call: Call) -> None:
        await call.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

    async def main() -> None:
        async with running_deployment(plain_handler=respond_unsigned) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code in (502, 504)

    trio.run(main)


def test_a_stream_is_complete_and_its_replica_gets_the_routing_headers():
    async def main() -> None:
        async with running_deployment() as deployment:
            resp = await deployment.request(STREAM_PATH)
            assert resp.content == event(1) + event(2) + event(3)
            (call,) = deployment.calls()
            assert call.headers["x-expect-version"] == "1"
            assert call.headers["x-cache-salt"]

    trio.run(main)


@pytest.mark.parametrize("number", [1, 2])
def test_no_event_is_lost_if_its_attempt_is_withdrawn_before_it_is_written(monkeypatch, number):
    async def main() -> None:
        async with running_deployment(engine_handler=fall_silent) as deployment:
            splice = EventSplicer.feed

            def feed_and_withdraw(splicer: EventSplicer, data: bytes) -> bytes:
                events = splice(splicer, data)
                if event(number) in events:
                    for exchange in deployment.app.state.driver._exchanges.values():
                        exchange.cancel_attempt()
                return events

            monkeypatch.setattr(EventSplicer, "feed", feed_and_withdraw)
            resp = await deployment.request(RESUMABLE_PATH)
            assert resp.content == event(1) + event(2) + event(3)

    async def fall_silent(call: Call) -> None:
        if "last-event-id" in call.headers:
            await stream_events(call)
            return
        await call.start_stream()
        await call.send_chunk(event(1))
        await trio.sleep(0.1)
        await call.send_chunk(event(2))
        await trio.sleep_forever()

    trio.run(main)


def test_events_before_a_faulty_one_reach_the_caller():
    async def repeat_an_event(call: Call) -> None:
        if "last-event-id" in call.headers:
            await stream_events(call)
            return
        await call.start_stream()
        await call.send_chunk(event(1) + event(2) + event(2))

    async def main() -> None:
        async with running_deployment(engine_handler=repeat_an_event) as deployment:
            resp = await deployment.request(RESUMABLE_PATH)
            assert resp.content == event(1) + event(2) + event(3)

    trio.run(main)


def test_a_stream_resumes_at_another_replica_after_the_last_complete_event():
    cuts = iter([True, False])

    async def cut_once(call: Call) -> None:
        if next(cuts):
            await call.start_stream()
            await call.send_chunk(event(1) + b"id: 2\nda")
            await call.stream.aclose()
        else:
            await stream_events(call)

    async def main() -> None:
        async with running_deployment(engine_handler=cut_once) as deployment:
            resp = await deployment.request(RESUMABLE_PATH)
            assert resp.content == event(1) + event(2) + event(3)
            first, second = sorted(
                deployment.calls(), key=lambda call: "last-event-id" in call.headers
            )
            assert second.headers["last-event-id"] == "1"
            assert first.headers["x-target-instance"] != second.headers["x-target-instance"]

    trio.run(main)


def test_a_broken_stream_that_cannot_resume_does_not_look_complete():
    async def cut(call: Call) -> None:
        await call.start_stream()
        await call.send_chunk(event(1))
        await call.stream.aclose()

    async def main() -> None:
        async with running_deployment(engine_handler=cut) as deployment:
            with pytest.raises(httpx.RemoteProtocolError):
                await deployment.request(STREAM_PATH)
            assert len(deployment.calls()) == 1

    trio.run(main)


async def _start_unframed(call: Call) -> None:
    await call.stream.send_all(
        b"HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: "
        + call.headers["x-attempt-id"].encode()
        + b"\r\nContent-Type: text/event-stream\r\n\r\n"
    )


def test_a_stream_without_length_or_chunks_ends_with_its_connection():
    async def stream_unframed(call: Call) -> None:
        await _start_unframed(call)
        await call.stream.send_all(event(1) + event(2))
        await call.stream.aclose()

    async def main() -> None:
        async with running_deployment(engine_handler=stream_unframed) as deployment:
            resp = await deployment.request(STREAM_PATH)
            assert resp.content == event(1) + event(2)

    trio.run(main)


@pytest.mark.parametrize("rest", [b"i", b"id: 2\ndata: tok", b"id: 2\ndata: token2\n"])
def test_a_stream_without_length_or_chunks_that_ends_inside_an_event_is_resumed(rest):
    cuts = iter([True, False])

    async def end_inside_an_event(call: Call) -> None:
        if next(cuts):
            await _start_unframed(call)
            await call.stream.send_all(event(1) + rest)
            await call.stream.aclose()
        else:
            await stream_events(call)

    async def main() -> None:
        async with running_deployment(engine_handler=end_inside_an_event) as deployment:
            resp = await deployment.request(RESUMABLE_PATH)
            assert resp.content == event(1) + event(2) + event(3)

    trio.run(main)


def test_a_stream_that_ends_inside_an_event_and_cannot_resume_does_not_look_complete():
    async def end_inside_an_event(call: Call) -> None:
        await call.start_stream()
        await call.send_chunk(event(1) + b"id: 2\ndata: tok")
        await call.send_chunk(b"")

    async def main() -> None:
        async with running_deployment(engine_handler=end_inside_an_event) as deployment:
            with pytest.raises(httpx.RemoteProtocolError):
                await deployment.request(STREAM_PATH)

    trio.run(main)


def test_a_lost_attempt_makes_the_shared_parts_of_its_prompt_suspect():
    lines: list[dict[str, object]] = []

    async def cut(call: Call) -> None:
        await call.stream.aclose()

    async def main() -> None:
        async with running_deployment(engine_handler=cut) as deployment:
            await deployment.request(STREAM_PATH)

    eliot.add_destinations(lines.append)
    try:
        trio.run(main)
    finally:
        eliot.remove_destination(lines.append)
    (suspected,) = [line for line in lines if line["message_type"] == "request_suspected"]
    assert suspected["parts"] == "llm/aa"


def test_a_request_ends_at_its_routes_timeout():
    async def stay_silent(call: Call) -> None:
        await trio.sleep_forever()

    async def main() -> None:
        async with running_deployment(plain_handler=stay_silent) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 504

    trio.run(main)


def test_the_replica_connection_is_reset_when_the_caller_disconnects():
    closed = trio.Event()

    async def detect_close(call: Call) -> None:
        with pytest.raises(trio.BrokenResourceError):
            await call.stream.receive_some()
        closed.set()

    async def main() -> None:
        async with running_deployment(plain_handler=detect_close) as deployment:
            with trio.move_on_after(0.3):
                await deployment.request(NON_IDEMPOTENT_PATH)
            with trio.fail_after(1.0):
                await closed.wait()

    trio.run(main)


def test_a_revoked_key_gets_401_and_a_removed_route_gets_404():
    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.configure(5, tenants=[{"name": "sese", "api_keys": ["new"]}], routes=[])
            await wait_until(lambda: deployment.app.state.config.version == 5)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 404
            deployment.configure(4)
            deployment.configure(6, tenants=[{"name": "sese", "api_keys": ["new"]}])
            await wait_until(lambda: deployment.app.state.config.version == 6)
            assert (await deployment.request(NON_IDEMPOTENT_PATH, key=KEY)).status_code == 401
            assert (await deployment.request(NON_IDEMPOTENT_PATH, key="new")).status_code == 200

    trio.run(main)


def test_keys_expire_while_the_store_does_not_respond():
    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.platform.faults.refuses = True
            await wait_until(lambda: not _keys_are_valid(deployment))
            resp = await deployment.request(NON_IDEMPOTENT_PATH)
            assert resp.status_code == 503
            assert deployment.calls() == []
            deployment.platform.faults.refuses = False
            await wait_until(lambda: _keys_are_valid(deployment))
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200

    trio.run(main)


def test_tables_are_read_in_full_after_the_store_dropped_its_history():
    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.platform.faults.refuses = True
            await trio.sleep(1.3)
            deployment.configure(9)
            deployment.platform.store.drop_history()
            deployment.platform.faults.refuses = False
            await wait_until(lambda: deployment.app.state.config.version == 9)

    trio.run(main)


def test_a_leaving_replica_gets_no_new_request():
    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.write_replica_entry("desk-0", "desk", state="draining")
            view = deployment.app.state.view
            await wait_until(lambda: view.endpoints["desk-0"].is_leaving)
            for number in range(6):
                await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id=f"c{number}")
            assert deployment.replicas["desk-0"].calls == []
            assert len(deployment.replicas["desk-1"].calls) == 6

    trio.run(main)


def test_malformed_entries_are_ignored():
    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.platform.store.put("servers", "x", b"\xff\x00")
            deployment.platform.store.put("servers", "y", {"state": 7})
            deployment.platform.store.put("op", "config", b"{")
            await trio.sleep(1.2)
            assert set(deployment.app.state.view.endpoints) == set(deployment.replicas)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200

    trio.run(main)


def _keys_are_valid(deployment) -> bool:
    from rattangate.clock import boottime_now

    return deployment.app.state.keys.holds(boottime_now())
