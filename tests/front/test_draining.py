"""Each request that an instance has read gets an answer before the instance ends."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest
import trio

from rattangate.front.endpoint_conn import EndpointConn, EndpointPool
from tests.front.deployment import (
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    Call,
    Deployment,
    respond_done,
    running_deployment,
    wait_until,
)

if TYPE_CHECKING:
    import httpx

# Longer than the deployment's grace period.
TIMEOUT_MS = 8_000


async def _send(
    deployment: Deployment, path: str, attempt: str, answers: dict[str, httpx.Response]
) -> None:
    answers[attempt] = await deployment.request(
        path, X_Attempt_Id=attempt, X_Deadline_Ms=str(TIMEOUT_MS)
    )


async def _stay_silent(call: Call) -> None:
    await trio.sleep_forever()


def test_requests_that_wait_in_the_queue_of_a_draining_instance_are_refused():
    async def main() -> None:
        async with running_deployment(engine_handler=_stay_silent) as deployment:
            await deployment.set_timeouts(TIMEOUT_MS)
            answers: dict[str, httpx.Response] = {}
            queue = deployment.app.state.driver.gateway.scheduler.queue
            async with trio.open_nursery() as nursery:
                count = 0
                while len(queue) < 3:
                    assert count < 100
                    count += 1
                    nursery.start_soon(_send, deployment, STREAM_PATH, f"a{count}", answers)
                    await trio.sleep(0.02)
                signal.raise_signal(signal.SIGTERM)
            ran = {call.headers["x-attempt-id"] for call in deployment.calls()}
            waited = set(answers) - ran
            assert len(answers) == count
            assert len(waited) >= 3
            for attempt in waited:
                assert answers[attempt].status_code == 503
                assert float(answers[attempt].headers["retry-after"]) < 1.0

    trio.run(main)


def test_requests_that_run_when_a_draining_instance_ends_are_answered():
    async def main() -> None:
        async with running_deployment(_stay_silent, _stay_silent) as deployment:
            await deployment.set_timeouts(TIMEOUT_MS)
            answers: dict[str, httpx.Response] = {}
            async with trio.open_nursery() as nursery:
                for path in (NON_IDEMPOTENT_PATH, STREAM_PATH):
                    nursery.start_soon(_send, deployment, path, path, answers)
                await wait_until(lambda: len(deployment.calls()) == 2)
                signal.raise_signal(signal.SIGTERM)
            assert {resp.status_code for resp in answers.values()} == {504}

    trio.run(main)


def test_a_request_that_waits_for_a_connection_of_a_draining_instance_is_refused(monkeypatch):
    connecting = trio.Event()

    async def hang(pool: EndpointPool) -> EndpointConn:
        connecting.set()
        await trio.sleep_forever()

    async def main() -> None:
        async with running_deployment() as deployment:
            await deployment.set_timeouts(TIMEOUT_MS)
            monkeypatch.setattr(EndpointPool, "acquire", hang)
            answers: dict[str, httpx.Response] = {}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send, deployment, NON_IDEMPOTENT_PATH, "a1", answers)
                await connecting.wait()
                signal.raise_signal(signal.SIGTERM)
            assert answers["a1"].status_code == 503

    trio.run(main)


def test_a_request_that_is_refused_as_the_instance_drains_is_not_sent_later():
    released = trio.Event()

    async def answer_when_released(call: Call) -> None:
        await released.wait()
        await call.refuse()

    async def main() -> None:
        async with running_deployment(
            engine_handler=answer_when_released, grace_s=5.0
        ) as deployment:
            await deployment.set_timeouts(TIMEOUT_MS)
            answers: dict[str, httpx.Response] = {}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send, deployment, STREAM_PATH, "a1", answers)
                await wait_until(lambda: len(deployment.calls()) == 1)
                signal.raise_signal(signal.SIGTERM)
                await wait_until(lambda: deployment.app.forwarder.sends_no_more)
                released.set()
            assert answers["a1"].status_code == 503
            assert len(deployment.calls()) == 1

    trio.run(main)


@pytest.mark.parametrize("further", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_a_signal_to_a_draining_instance_does_not_end_its_requests(further):
    unhandled: list[int] = []

    async def answer_late(call: Call) -> None:
        await trio.sleep(1.0)
        await respond_done(call)

    async def main() -> None:
        async with running_deployment(answer_late) as deployment:
            answers: dict[str, httpx.Response] = {}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send, deployment, NON_IDEMPOTENT_PATH, "a1", answers)
                await wait_until(lambda: len(deployment.calls()) == 1)
                signal.raise_signal(signal.SIGTERM)
                await wait_until(lambda: deployment.app.is_leaving)
                for _ in range(3):
                    signal.raise_signal(further)
                    await trio.sleep(0.1)
            assert answers["a1"].status_code == 200

    # In place of the default action, which would end the tests.
    before = signal.signal(further, lambda number, frame: unhandled.append(number))
    try:
        trio.run(main)
    finally:
        signal.signal(further, before)
    assert unhandled == []


def test_requests_are_served_while_an_instance_drains():
    async def main() -> None:
        async with running_deployment(respond_done) as deployment:
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: deployment.app.is_leaving)
            resp = await deployment.request(NON_IDEMPOTENT_PATH)
            assert resp.status_code == 200

    trio.run(main)
