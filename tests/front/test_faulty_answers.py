"""Answers of faulty replicas: repeated refusals, errors within a stream, heads that break off."""

from __future__ import annotations

import httpx
import pytest
import trio

from tests.front.deployment import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    Call,
    event,
    running_deployment,
)

SILENCE_S = 1.2
REFUSAL = b"HTTP/1.1 503 X\r\n%bX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("names_attempt", [True, False])
def test_an_earlier_refusal_that_is_repeated_does_not_refuse_the_next_request(names_attempt):
    """The connection is kept after the refusal, and the replica runs what comes next on it."""
    refused: list[bytes] = []
    ran: list[str] = []

    async def repeat_refusal(call: Call) -> None:
        attempt = call.headers["x-attempt-id"]
        if not refused:
            line = f"X-Attempt-Id: {attempt}\r\n".encode() if names_attempt else b""
            refused.append(REFUSAL % line)
            await call.stream.send_all(refused[0])
            return
        ran.append(attempt)
        await call.stream.send_all(refused[0])
        await trio.sleep(0.05)
        await call.respond(200, b"done")

    async def main() -> None:
        async with running_deployment(
            plain_handler=repeat_refusal, replicas_per_service=1
        ) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 503
            resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id="a2")
            assert ran == ["a2"]
            assert resp.status_code == (200 if names_attempt else 504)

    trio.run(main)


@pytest.mark.parametrize("status", [404, 500, 503])
def test_an_error_of_the_next_replica_does_not_get_into_a_stream_that_has_begun(status):
    async def break_off_then_fail(call: Call) -> None:
        if len(calls) == 0:
            calls.append(call)
            await call.start_stream()
            await call.send_chunk(event(1))
            await call.stream.aclose()
            return
        calls.append(call)
        headers = {"X_Not_Executed": "1"} if status == 503 else {}
        await call.respond(status, b"an error text", **headers)

    calls: list[Call] = []

    async def main() -> None:
        async with running_deployment(engine_handler=break_off_then_fail) as deployment:
            received = b""
            headers = {
                "Host": "jepu9.example",
                "X-Attempt-Id": "s1",
                "X-Deadline-Ms": "3000",
                "Authorization": "Bearer key-of-sese",
                "X-Model": "daka",
                "X-Token-Counts": "900,20",
                "X-Prefix-Hash": "aa:600,bb:300",
            }
            request = deployment.client.stream("POST", RESUMABLE_PATH, headers=headers)
            with pytest.raises(httpx.RemoteProtocolError):
                async with request as resp:
                    assert resp.status_code == 200
                    async for data in resp.aiter_raw():
                        received += data
            assert len(calls) > 1
            assert received == event(1)

    trio.run(main)


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n",
        b"HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Length: 1",
        b"HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 200 OK\nX-Server-Seal: seal\nContent-Length: 0\n",
    ],
)
@pytest.mark.parametrize("path", [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH])
def test_a_head_that_breaks_off_is_no_answer(path, head):
    async def break_off(call: Call) -> None:
        await call.stream.send_all(head)
        await call.stream.aclose()

    async def main() -> None:
        async with running_deployment(break_off, break_off) as deployment:
            resp = await deployment.request(path)
            assert resp.status_code in (502, 504)
            assert "x-server-seal" not in resp.headers

    trio.run(main)


@pytest.mark.parametrize("path", [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH])
def test_a_replica_that_falls_silent_for_a_moment_is_waited_for(path):
    async def fall_silent(call: Call) -> None:
        if path == STREAM_PATH:
            await call.start_stream()
            await call.send_chunk(event(1))
            await trio.sleep(SILENCE_S)
            await call.send_chunk(event(2))
            await call.send_chunk(b"")
            return
        await trio.sleep(SILENCE_S)
        await call.respond(200, b"done")

    async def main() -> None:
        async with running_deployment(fall_silent, fall_silent) as deployment:
            resp = await deployment.request(path)
            assert resp.status_code == 200
            assert resp.content == (event(1) + event(2) if path == STREAM_PATH else b"done")
            assert len(deployment.calls()) == 1

    trio.run(main)
