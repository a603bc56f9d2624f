"""A simulation of attempts at one booking, with faults from a seeded random generator."""

from __future__ import annotations

import random
from collections import Counter

from rattangate.core.at_most_once import Booking
from rattangate.core.at_most_once_messages import (
    AttemptId,
    BookingRecord,
    BookingRequest,
    ReadEnded,
    ReadRecord,
    RecordKey,
    RefuseCaller,
    ReplyToCaller,
    SendBooking,
    SendEnded,
    SendResult,
    Start,
    StoredAnswer,
    SwapEnded,
    SwapRecord,
    WakeUp,
)
from rattangate.core.compare_and_swap import CompareAndSwapResult
from rattangate.errors import RunState

KEY = RecordKey("town", "/passes", "k1")
ANSWER = StoredAnswer(201, (), b"pass 7")


class BookingSimulation:
    """Simulate the table, the endpoint and the clock for three attempts at one booking.

    Messages are delivered in random order. Swaps and reads of the table fail or lose their reply,
    sends have a random result, and attempts crash. `runs` counts the runs by attempt.
    """

    def __init__(self, seed: int, booking_class: type[Booking] = Booking) -> None:
        self.rng = random.Random(seed)
        self.bookings = [booking_class(_request(number)) for number in range(3)]
        self.version = 0
        self.record: BookingRecord | None = None
        self.in_flight: list[tuple[int, object]] = [(i, Start()) for i in range(3)]
        self.runs: Counter[int] = Counter()
        self.responses: dict[int, list] = {0: [], 1: [], 2: []}
        self.crashed: set[int] = set()
        self.now = 0.0

    @property
    def false_refusals(self) -> int:
        """Count the refusals that report an attempt as not run although it ran."""
        return sum(
            isinstance(effect, RefuseCaller)
            and effect.failure.response.run_state is RunState.NOT_RUN
            and self.runs[index] > 0
            for index, responses in self.responses.items()
            for effect in responses
        )

    def run(self) -> None:
        """Run the schedule that the seed determines."""
        for _ in range(400):
            self.now += self.rng.choice((0.0, 0.0, 0.1, 0.5))
            if self.rng.random() < 0.005:
                self.crashed.add(self.rng.randrange(3))
            if self.in_flight and self.rng.random() < 0.8:
                self._deliver(*self.in_flight.pop(self.rng.randrange(len(self.in_flight))))
                continue
            index = self.rng.randrange(3)
            wake_at = self.bookings[index].wake_at
            if wake_at is not None and wake_at <= self.now:
                self._handle_message(index, WakeUp())

    def _deliver(self, index: int, item: object) -> None:
        if isinstance(item, SwapRecord):
            self._apply_swap(index, item)
        elif isinstance(item, ReadRecord):
            succeeded = self.rng.random() < 0.8
            self._enqueue(index, ReadEnded(item.call_id, succeeded, self.version, self.record))
        elif isinstance(item, SendBooking):
            self._serve_send(index, item)
        else:
            self._handle_message(index, item)

    def _apply_swap(self, index: int, swap: SwapRecord) -> None:
        if self.rng.random() < 0.15:
            self._handle_message(index, SwapEnded(swap.call_id, CompareAndSwapResult.UNKNOWN))
            if self.rng.random() < 0.5:
                self.in_flight.append((index, swap))
            return
        if swap.expected_version != self.version:
            result = SwapEnded(
                swap.call_id, CompareAndSwapResult.CONFLICT, self.version, self.record
            )
        else:
            self.version += 1
            self.record = swap.record
            result = SwapEnded(swap.call_id, CompareAndSwapResult.APPLIED, self.version)
        if self.rng.random() < 0.2:
            result = SwapEnded(swap.call_id, CompareAndSwapResult.UNKNOWN)
        self._enqueue(index, result)

    def _serve_send(self, index: int, send: SendBooking) -> None:
        if index in self.crashed:
            return
        result = self.rng.choice(list(SendResult))
        if not self.bookings[index].begin_send(send.call_id, self.now):
            result = SendResult.UNSENT
        elif result is SendResult.UNSENT:
            result = SendResult.LOST
        if result is SendResult.ANSWERED or result is SendResult.LOST:
            self.runs[index] += 1
        self._enqueue(index, SendEnded(send.call_id, result, ANSWER))

    def _enqueue(self, index: int, msg: object) -> None:
        self.in_flight.append((index, msg))

    def _handle_message(self, index: int, msg) -> None:
        if index in self.crashed:
            return
        for effect in self.bookings[index].handle(msg, self.now):
            if isinstance(effect, RefuseCaller | ReplyToCaller):
                self.responses[index].append(effect)
            else:
                self.in_flight.append((index, effect))


def _request(number: int) -> BookingRequest:
    return BookingRequest(KEY, b"d", AttemptId("a", 1, number), 8.0 + number, 86_400.0)
