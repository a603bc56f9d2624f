"""Requests whose callers have left are not sent on, and the logs tell how far they had got."""

from __future__ import annotations

from contextlib import contextmanager

import eliot
import pytest
import trio

from tests.front.callers import connect, encode_request
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    Call,
    event,
    running_deployment,
    wait_until,
)

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
