"""Requests whose callers have left are not sent on, and the logs tell how far they had got."""

from __future__ import annotations

import socket
from contextlib import contextmanager, suppress

import eliot
import httpx
import pytest
import trio

from rattangate.front.caller_conn import CallerConn
from rattangate.front.endpoint_conn import EndpointConn, EndpointPool
from tests.front.callers import connect, encode_request, receive, reset
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    Call,
    Deployment,
    event,
    running_deployment,
    stream_events,
    wait_until,
)

TIMEOUT_MS = 10_000
PATHS = (IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH)


@contextmanager
def recorded_log():
    """Yield the list of all log lines."""
    lines: list[dict] = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def abandonments(lines: list[dict]) -> list[dict]:
    """Return the log lines of requests whose callers left."""
    return [line for line in lines if line["message_type"] == "request_abandoned"]


def _has_arrived(lines: list[dict], deployment: Deployment, count: int):
    """Return whether so many requests were placed or are in the queue."""
    queue = deployment.app.state.driver.gateway.scheduler.queue

    def has_arrived() -> bool:
        placed = {line["request_id"] for line in lines if line["message_type"] == "request_placed"}
        return len(placed) + len(queue) >= count

    return has_arrived


async def _stay_silent(call: Call) -> None:
    await trio.sleep_forever()


async def _send_one_event(call: Call) -> None:
    await call.start_stream()
    await call.send_chunk(event(1))
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ("path", "handler", "stage"),
    [
        (NON_IDEMPOTENT_PATH, _stay_silent, "sent"),
        (STREAM_PATH, _stay_silent, "sent"),
        (STREAM_PATH, _send_one_event, "answering"),
    ],
)
def test_a_caller_that_leaves_is_logged_with_the_stage_of_its_request(path, handler, stage):
    async def main() -> None:
        with recorded_log() as lines:
            async with running_deployment(handler, handler) as deployment:
                sock = connect(deployment.boot)
                sock.sendall(encode_request(path, "a1"))
                await wait_until(lambda: len(deployment.calls()) == 1)
                await trio.sleep(0.1)
                assert abandonments(lines) == []
                sock.close()
                await wait_until(lambda: bool(abandonments(lines)))
                (line,) = abandonments(lines)
                assert (line["request_id"], line["stage"], line["attempts"]) == ("a1", stage, 1)
                assert line["endpoint"] in deployment.replicas
                assert 100 <= line["placed_ms"] <= line["waited_ms"]
                counts = deployment.app.metrics.abandoned_requests.values
                assert {name for name, count in counts.items() if count} == {stage}

    trio.run(main)


def test_a_caller_that_leaves_after_its_answer_is_not_logged():
    async def main() -> None:
        with recorded_log() as lines:
            async with running_deployment() as deployment:
                with connect(deployment.boot) as sock:
                    sock.sendall(encode_request(NON_IDEMPOTENT_PATH, "a1"))
                    await wait_until(lambda: any("total_ms" in line for line in lines))
                await trio.sleep(0.1)
                assert abandonments(lines) == []

    trio.run(main)


# More than enough for the order of two tasks, which is left to chance, to go either way.
LEAVING_CALLERS = 20


async def _count_calls(deployment) -> int:
    """Wait until nothing happens any more; return how many requests reached replicas."""
    await trio.sleep(0.5)
    return len(deployment.calls())


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
@pytest.mark.parametrize("path", PATHS)
def test_a_request_whose_caller_left_before_it_was_read_is_not_sent(path, leave):
    async def main() -> None:
        async with running_deployment() as deployment:
            for number in range(LEAVING_CALLERS):
                sock = connect(deployment.boot)
                sock.sendall(encode_request(path, f"a{number}"))
                leave(sock)
            assert await _count_calls(deployment) == 0

    trio.run(main)


def test_a_request_on_a_kept_connection_whose_caller_left_before_it_was_read_is_not_sent():
    async def main() -> None:
        async with running_deployment() as deployment:
            socks = [connect(deployment.boot) for _ in range(LEAVING_CALLERS)]
            for number, sock in enumerate(socks):
                sock.sendall(encode_request(NON_IDEMPOTENT_PATH, f"first{number}"))
            for sock in socks:
                assert b" 200 " in await receive(sock)
            for number, sock in enumerate(socks):
                sock.sendall(encode_request(NON_IDEMPOTENT_PATH, f"second{number}"))
                sock.close()
            assert await _count_calls(deployment) == LEAVING_CALLERS

    trio.run(main)


def test_a_request_whose_caller_left_while_it_waited_for_a_connection_is_not_sent(monkeypatch):
    waiting: list[trio.Event] = []

    acquire = EndpointPool.acquire

    async def acquire_late(pool: EndpointPool) -> EndpointConn:
        conn = await acquire(pool)
        waiting.append(trio.Event())
        await waiting[-1].wait()
        return conn

    async def main() -> None:
        async with running_deployment() as deployment:
            monkeypatch.setattr(EndpointPool, "acquire", acquire_late)
            for number in range(LEAVING_CALLERS):
                sock = connect(deployment.boot)
                sock.sendall(encode_request(NON_IDEMPOTENT_PATH, f"a{number}"))
                await wait_until(lambda: bool(waiting))
                # No task of the instance runs between the two.
                waiting.pop().set()
                sock.close()
                await trio.sleep(0.02)
            assert await _count_calls(deployment) == 0

    trio.run(main)


def test_callers_that_stay_are_served_after_the_instance_stood_still():
    async def main() -> None:
        async with running_deployment() as deployment:
            socks = [connect(deployment.boot) for _ in range(LEAVING_CALLERS)]
            for number, sock in enumerate(socks):
                sock.sendall(encode_request(NON_IDEMPOTENT_PATH, f"a{number}"))
                if number % 2:
                    sock.close()
            for sock in socks[::2]:
                assert b" 200 " in await receive(sock)
            assert await _count_calls(deployment) == LEAVING_CALLERS // 2

    trio.run(main)


def test_a_connection_on_which_nothing_was_sent_for_a_caller_that_left_is_used_again(monkeypatch):
    async def main() -> None:
        async with running_deployment(replicas_per_service=1) as deployment:
            app = deployment.app
            is_connected = CallerConn.is_caller_connected
            answers = iter([True, False])

            async def leave_while_connecting(conn: CallerConn) -> bool:
                return next(answers, True) and await is_connected(conn)

            monkeypatch.setattr(CallerConn, "is_caller_connected", leave_while_connecting)
            with pytest.raises(httpx.RemoteProtocolError):
                await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id="leaves")
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200
            assert len(deployment.calls()) == 1
            assert app.state.paths.pool_of("desk-0", 1000).opened == 1

    trio.run(main)


def test_a_queued_request_whose_caller_leaves_is_not_sent():
    gate = trio.Event()

    async def answer_late(call: Call) -> None:
        await gate.wait()
        await stream_events(call)

    async def main() -> None:
        with recorded_log() as lines:
            async with running_deployment(engine_handler=answer_late) as deployment:
                # Requests that time out meanwhile would keep the queue empty.
                await deployment.set_timeouts(TIMEOUT_MS)
                socks = []
                while not deployment.app.state.driver.gateway.scheduler.queue:
                    attempt = f"a{len(socks)}"
                    request = encode_request(STREAM_PATH, attempt, deadline_ms=TIMEOUT_MS)
                    socks.append(connect(deployment.boot))
                    socks[-1].sendall(request)
                    await wait_until(_has_arrived(lines, deployment, len(socks)))
                    assert len(socks) < 100
                sent = len(deployment.calls())
                socks[-1].close()
                await wait_until(lambda: bool(abandonments(lines)))
                assert abandonments(lines)[0]["stage"] == "queued"
                gate.set()
                assert await _count_calls(deployment) == sent

    trio.run(main)


def test_a_caller_that_leaves_after_pipelining_much_ends_its_request():
    closed = trio.Event()

    async def detect_end(call: Call) -> None:
        with suppress(trio.BrokenResourceError):
            assert await call.stream.receive_some() == b""
        closed.set()

    async def main() -> None:
        async with running_deployment(plain_handler=detect_end) as deployment:
            sock = connect(deployment.boot)
            sock.sendall(encode_request(NON_IDEMPOTENT_PATH, "a1"))
            sock.sendall(encode_request(NON_IDEMPOTENT_PATH, "a2", bytes(100_000)))
            await wait_until(lambda: len(deployment.calls()) == 1)
            await trio.sleep(0.1)
            sock.close()
            with trio.fail_after(1.0):
                await closed.wait()

    trio.run(main)


@pytest.mark.parametrize("path", [NON_IDEMPOTENT_PATH, STREAM_PATH])
def test_an_abandoned_request_is_reset_so_that_no_byte_of_it_arrives_later(path):
    was_reset = trio.Event()

    async def detect_reset(call: Call) -> None:
        if path == STREAM_PATH:
            await call.start_stream()
        try:
            await call.stream.receive_some()
        except trio.BrokenResourceError:
            was_reset.set()

    async def main() -> None:
        async with running_deployment(detect_reset, detect_reset) as deployment:
            sock = connect(deployment.boot)
            sock.sendall(encode_request(path, "a1"))
            await wait_until(lambda: len(deployment.calls()) == 1)
            sock.close()
            with trio.fail_after(1.0):
                await was_reset.wait()

    trio.run(main)
