"""Odd values in the headers of an endpoint's answer neither end nor hang an instance."""

from __future__ import annotations

import eliot
import pytest
import trio

from tests.front.deployment import (
    IDEMPOTENT_PATH,
    STREAM_PATH,
    Call,
    event,
    running_deployment,
)

NUMBERS = ["1e308", "1e9", "1e-308", "-1", "nan", "inf", "9" * 4_000, "x", ""]
HEADERS = ["Server-Limit", "Server-Brittle", "Retry-After", "Keep-Alive", "X-Server-Load"]
# Time for the periodic work with what the answers said.
TICKS_S = 0.5


def odd_headers(call: Call, number: str) -> bytes:
    """Return the headers of an answer with an odd number in each that the router reads."""
    values = dict.fromkeys(HEADERS, number)
    values |= {"Keep-Alive": f"timeout={number}", "X-Server-Load": f"{number},{number},{number}"}
    values |= {"X-Attempt-Id": call.headers["x-attempt-id"], "X-Server-Seal": "seal"}
    return "".join(f"{name}: {value}\r\n" for name, value in values.items()).encode()


@pytest.mark.parametrize("status", [b"200", b"503"])
@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:8])
def test_odd_numbers_in_the_headers_of_an_answer_change_nothing_for_other_requests(number, status):
    async def answer(call: Call) -> None:
        not_run = b"X-Not-Executed: 1\r\n" if status == b"503" else b""
        headers = odd_headers(call, number) + not_run
        body = event(1)
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        await call.stream.send_all(b"HTTP/1.1 " + status + b" X\r\n" + headers + length + body)

    async def main() -> None:
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        try:
            async with running_deployment(plain_handler=answer, engine_handler=answer) as odd:
                for path in (IDEMPOTENT_PATH, STREAM_PATH):
                    for number in range(3):
                        headers = {"X_Attempt_Id": f"a{number}", "X_Deadline_Ms": "300"}
                        resp = await odd.request(path, **headers)
                        assert resp.status_code in (200, 503)
                await trio.sleep(TICKS_S)
                assert (await odd.request("/none")).status_code == 404
        finally:
            eliot.remove_destination(lines.append)
        assert [line for line in lines if line["message_type"] == "internal_fault"] == []

    trio.run(main)
