"""Logging never holds requests up, and its lines suffice to explain them."""

from __future__ import annotations

import os
from contextlib import contextmanager

import eliot
import trio

from rattangate.explain.lines import read_log
from rattangate.explain.story import tell_story
from rattangate.front.state import boottime_now
from rattangate.log_events import LineWriter, LogEvent
from tests.front.site import BOOKING_PATH, Call, running_site, wait_until

QUEUED = 40


@contextmanager
def logged_to_pipe(max_lines: int):
    """Log to a pipe that nobody reads; yield the writer and the reading end."""
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


def fill(writer: LineWriter) -> None:
    """Log lines until the pipe is full."""
    while len(writer._lines) < QUEUED // 4:
        writer({"message_type": "platform_up", "timestamp": 0.0, "service": "x" * 500})


def test_requests_are_answered_while_nobody_reads_the_log():
    async def main() -> None:
        with logged_to_pipe(QUEUED) as (writer, reader):
            async with running_site(log_writer=writer) as site:
                fill(writer)
                for number in range(QUEUED):
                    resp = await site.ask(BOOKING_PATH, X_Attempt_Id=f"a{number}")
                    assert resp.status_code == 200
                for number in range(5):
                    await site.ask(BOOKING_PATH, key="wrong", X_Attempt_Id=f"r{number}")
                assert writer.dropped > 0
                log = read_log(read_pipe(writer, reader).splitlines())
                events = [line.event for line in log.lines]
                assert events.count(LogEvent.REQUEST_REFUSED) == 5
                assert events.count(LogEvent.REQUEST_DONE) < QUEUED
                await wait_until(lambda: writer.dropped == 0)

    trio.run(main)


def test_a_request_whose_replica_died_is_explained():
    async def die(call: Call) -> None:
        await call.stream.aclose()

    async def main() -> None:
        with logged_to_pipe(1000) as (writer, reader):
            async with running_site(desk=die, log_writer=writer) as site:
                resp = await site.ask(BOOKING_PATH, X_Attempt_Id="b1")
                assert resp.status_code == 504
            story = tell_story("b1", read_log(read_pipe(writer, reader).splitlines()))
            assert story is not None
            assert "ended as lost" in story.cause
            assert "must not be repeated" in story.cause

    trio.run(main)


def test_a_request_refused_for_a_stale_key_is_explained():
    async def main() -> None:
        with logged_to_pipe(1000) as (writer, reader):
            async with running_site(log_writer=writer) as site:
                site.platform.faults.refuses = True
                await wait_until(lambda: site.app.state.keys.deadline < boottime_now())
                resp = await site.ask(BOOKING_PATH, X_Attempt_Id="k1")
                assert resp.status_code == 503
            story = tell_story("k1", read_log(read_pipe(writer, reader).splitlines()))
            assert story is not None
            assert "keys may be out of date" in story.cause
            assert "The store fell silent" in story.cause

    trio.run(main)
