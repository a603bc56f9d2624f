"""Logging never blocks requests, and the log lines suffice to explain a request."""

from __future__ import annotations

import os
from contextlib import contextmanager

import eliot
import trio

from rattangate.clock import boottime_now
from rattangate.explain.explanation import explain_request
from rattangate.explain.lines import read_log
from rattangate.front import forward
from rattangate.log_events import LineWriter, LogEvent
from tests.front.deployment import NON_IDEMPOTENT_PATH, Call, running_deployment, wait_until

MAX_QUEUED_LINES = 40


@contextmanager
def logged_to_pipe(max_lines: int):
    """Log to a pipe that nobody reads; yield the writer and the read end."""
    reader, fd = os.pipe()
    os.set_blocking(reader, False)
    writer = LineWriter(fd, max_lines=max_lines)
    eliot.add_destinations(writer)
    try:
        yield writer, reader
    finally:
        eliot.remove_destination(writer)
        os.close(fd)
        os.close(reader)


def read_pipe(writer: LineWriter, reader: int) -> str:
    """Return all that was logged."""
    received = b""
    while True:
        writer.flush()
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            return received.decode()


def fill_pipe(writer: LineWriter) -> None:
    """Log lines until the pipe is full."""
    while len(writer._lines) < MAX_QUEUED_LINES // 4:
        writer({"message_type": "platform_up", "timestamp": 0.0, "service": "x" * 500})


def test_requests_succeed_while_nobody_reads_the_log():
    async def main() -> None:
        with logged_to_pipe(MAX_QUEUED_LINES) as (writer, reader):
            async with running_deployment(log_writer=writer) as deployment:
                fill_pipe(writer)
                for number in range(MAX_QUEUED_LINES):
                    resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id=f"a{number}")
                    assert resp.status_code == 200
                for number in range(5):
                    await deployment.request(
                        NON_IDEMPOTENT_PATH, key="wrong", X_Attempt_Id=f"r{number}"
                    )
                assert writer.dropped > 0
                log = read_log(read_pipe(writer, reader).splitlines())
                events = [line.event for line in log.lines]
                assert events.count(LogEvent.REQUEST_REFUSED) == 5
                assert events.count(LogEvent.REQUEST_DONE) < MAX_QUEUED_LINES
                await wait_until(lambda: writer.dropped == 0)

    trio.run(main)


def test_a_request_that_an_internal_fault_ended_is_explained(monkeypatch):
    def fail(*args):
        raise KeyError("unexpected")

    async def main() -> None:
        with logged_to_pipe(1000) as (writer, reader):
            async with running_deployment(log_writer=writer) as deployment:
                monkeypatch.setattr(forward, "make_outbound_request", fail)
                resp = await deployment.request(NON_IDEMPOTENT_PATH)
                assert resp.status_code == 503
                log = read_log(read_pipe(writer, reader).splitlines())
                explanation = explain_request("a1", log)
                assert explanation is not None
                assert "internal fault" in explanation.cause

    trio.run(main)


def test_a_request_whose_replica_failed_is_explained():
    async def close(call: Call) -> None:
        await call.stream.aclose()

    async def main() -> None:
        with logged_to_pipe(1000) as (writer, reader):
            async with running_deployment(plain_handler=close, log_writer=writer) as deployment:
                resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id="b1")
                assert resp.status_code == 504
            story = explain_request("b1", read_log(read_pipe(writer, reader).splitlines()))
            assert story is not None
            assert "ended as lost" in story.cause
            assert "must not be repeated" in story.cause

    trio.run(main)


def test_a_request_refused_for_expired_keys_is_explained():
    async def main() -> None:
        with logged_to_pipe(1000) as (writer, reader):
            async with running_deployment(log_writer=writer) as deployment:
                deployment.platform.faults.refuses = True
                await wait_until(lambda: deployment.app.state.keys.deadline < boottime_now())
                resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id="k1")
                assert resp.status_code == 503
            story = explain_request("k1", read_log(read_pipe(writer, reader).splitlines()))
            assert story is not None
            assert "keys may be out of date" in story.cause
            assert "The store fell silent" in story.cause

    trio.run(main)
