"""An endpoint that restarted under its id gets no stream as long as its old entry is believed."""

from __future__ import annotations

import httpx
import pytest
import trio

from rattangate.core.messages import EndpointState
from tests.front.deployment import (
    BORN,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    Call,
    event,
    respond_report,
    running_deployment,
    wait_until,
)


def state_of(deployment, endpoint: str) -> EndpointState:
    """Return the state of an endpoint as requests are placed by."""
    return deployment.app.state.driver.gateway.endpoints[endpoint].status.state


def engines(deployment):
    """Return the replicas of the service with a model."""
    return [item for name, item in deployment.replicas.items() if name.startswith("llm")]


def test_a_broken_stream_does_not_go_on_at_an_endpoint_that_restarted_unnoticed():
    async def main() -> None:
        async def break_off(call: Call) -> None:
            for replica in engines(deployment):
                if call not in replica.calls:
                    replica.born = BORN + 1
            await call.start_stream()
            await call.send_chunk(event(1))
            await call.stream.aclose()

        async with running_deployment(engine_handler=break_off) as deployment:
            with pytest.raises(httpx.RemoteProtocolError):
                await deployment.request(RESUMABLE_PATH)
            assert [bool(item.calls) for item in engines(deployment)].count(True) == 1

    trio.run(main)


def test_a_stream_does_not_begin_at_an_endpoint_that_restarted_unnoticed():
    async def main() -> None:
        async with running_deployment() as deployment:
            restarted, sound = engines(deployment)
            restarted.born = BORN + 1
            for number in range(4):
                headers = {"X_Attempt_Id": f"a{number}", "X_Prefix_Hash": f"a{number}:600"}
                resp = await deployment.request(RESUMABLE_PATH, **headers)
                assert resp.content == event(1) + event(2) + event(3)
            assert len(sound.calls) == 4
            assert not restarted.calls

    trio.run(main)


def test_a_restarted_endpoint_gets_streams_once_its_new_entry_was_read():
    async def main() -> None:
        async with running_deployment(replicas_per_service=1) as deployment:
            (engine,) = engines(deployment)
            engine.born = BORN + 1
            resp = await deployment.request(RESUMABLE_PATH)
            assert resp.status_code == 503
            deployment.write_replica_entry("llm-0", "llm", born=BORN + 1, version="v2")
            view = deployment.app.state.view
            await wait_until(lambda: view.endpoints["llm-0"].incarnation == BORN + 1)
            resp = await deployment.request(RESUMABLE_PATH, X_Attempt_Id="a2")
            assert resp.content == event(1) + event(2) + event(3)

    trio.run(main)


def test_a_connection_is_asked_for_its_incarnation_once_and_only_for_streams_that_may_be_resumed():
    async def main() -> None:
        async with running_deployment(replicas_per_service=1) as deployment:
            (engine,) = engines(deployment)
            for number in range(3):
                resp = await deployment.request(STREAM_PATH, X_Attempt_Id=f"a{number}")
                assert resp.status_code == 200
            assert engine.reports == 0
            for number in range(3):
                resp = await deployment.request(RESUMABLE_PATH, X_Attempt_Id=f"b{number}")
                assert resp.status_code == 200
            assert engine.reports == 1

    trio.run(main)


def test_an_endpoint_that_closes_the_connection_after_its_report_serves():
    async def main() -> None:
        async def report_and_close(call: Call) -> None:
            await respond_report(call, BORN, "Connection: close\r\n")
            await call.stream.aclose()

        async with running_deployment() as deployment:
            for replica in engines(deployment):
                replica.report_handler = report_and_close
            resp = await deployment.request(RESUMABLE_PATH)
            assert resp.content == event(1) + event(2) + event(3)

    trio.run(main)


def test_a_stream_does_not_go_to_an_endpoint_that_restarts_after_it_closed_the_connection_of_its_report():
    async def main() -> None:
        async with running_deployment() as deployment:
            restarting, sound = engines(deployment)

            async def report_and_restart(call: Call) -> None:
                await respond_report(call, restarting.born, "Connection: close\r\n")
                restarting.born = BORN + 1
                await call.stream.aclose()

            restarting.report_handler = report_and_restart
            for number in range(4):
                headers = {"X_Attempt_Id": f"a{number}", "X_Prefix_Hash": f"a{number}:600"}
                resp = await deployment.request(RESUMABLE_PATH, **headers)
                assert resp.content == event(1) + event(2) + event(3)
            assert restarting.reports
            assert len(sound.calls) == 4

    trio.run(main)


ODD_REPORTS = {
    "none": b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
    "no fields": b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}",
    "no answer in the protocol": b"garbage\r\n\r\n",
    "the answer to another request": b"HTTP/1.1 200 X\r\nX-Attempt-Id: a0\r\nContent-Length: 0\r\n\r\n",
    "half an answer": b"HTTP/1.1 200 X\r\nContent-Length: 20\r\n\r\n{",
}


@pytest.mark.parametrize("odd", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_a_stream_goes_to_an_endpoint_that_says_which_incarnation_it_is(odd):
    async def report(call: Call) -> None:
        await call.stream.send_all(odd)
        await call.stream.aclose()

    async def main() -> None:
        async with running_deployment() as deployment:
            silent, sound = engines(deployment)
            silent.report_handler = report
            for number in range(4):
                headers = {"X_Attempt_Id": f"a{number}", "X_Prefix_Hash": f"a{number}:600"}
                resp = await deployment.request(RESUMABLE_PATH, **headers)
                assert resp.content == event(1) + event(2) + event(3)
            assert len(sound.calls) == 4
            assert not silent.calls

    trio.run(main)


async def wait_until_list_is_being_read(deployment):
    """Wait for a read of the list without changes, which the next one follows at once."""
    state = deployment.app.state
    read_before = state.list_read_at
    await wait_until(lambda: state.list_read_at != read_before)


def test_an_endpoint_that_says_it_leaves_before_its_new_entry_was_read_gets_no_request_after_it():
    async def announce_leaving(call: Call) -> None:
        await call.respond(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_deployment(
            plain_handler=announce_leaving, replicas_per_service=1
        ) as deployment:
            state = deployment.app.state
            await wait_until_list_is_being_read(deployment)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200
            deployment.write_replica_entry("desk-0", "desk", born=BORN + 1)
            await wait_until(lambda: state.view.endpoints["desk-0"].incarnation == BORN + 1)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 503
            deployment.write_replica_entry("desk-0", "desk", born=BORN + 1, state="draining")
            await wait_until(lambda: state_of(deployment, "desk-0") is EndpointState.LEAVING)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 503
            assert len(deployment.calls()) == 1

    trio.run(main)


def test_an_endpoint_that_restarted_after_it_said_it_leaves_gets_requests_again():
    async def announce_leaving(call: Call) -> None:
        await call.respond(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_deployment(
            plain_handler=announce_leaving, replicas_per_service=1
        ) as deployment:
            await wait_until_list_is_being_read(deployment)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200
            deployment.write_replica_entry("desk-0", "desk", born=BORN + 1)
            await wait_until(lambda: state_of(deployment, "desk-0") is EndpointState.LIVE)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200

    trio.run(main)
