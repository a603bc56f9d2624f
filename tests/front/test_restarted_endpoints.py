"""An endpoint that restarted under its id gets no stream as long as its old entry is believed."""

from __future__ import annotations

import httpx
import pytest
import trio

from tests.front.deployment import (
    BORN,
    RESUMABLE_PATH,
    STREAM_PATH,
    Call,
    event,
    respond_report,
    running_deployment,
    wait_until,
)


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
