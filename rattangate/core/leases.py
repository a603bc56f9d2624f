"""A leader-election lease in the platform's table, with a fencing number that rises per holder.

The holder measures its deadline on its own monotonic clock, from before it requested the lease. A
candidate takes the lease over once it has seen the record unchanged for the whole term on its own
clock, so the clocks of two instances are never compared. A holder may be paused between its last
check of the lease and the sending of an order; the fencing number lets endpoints reject that order.

After the store has returned from an older copy, the record may be missing or be an older one, and
fencing numbers above it may have been given out. So numbers start anew above all of earlier eras.
Whoever holds the lease then may go on under a new number; a candidate waits until any holder of the
earlier era has stopped and its orders are no longer in flight.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod

from rattangate.core.compare_and_swap import CompareAndSwapResult
from rattangate.core.store_version import era_of, lowest_fence

# Fractions of the lease term: when the holder renews, and how often a candidate reads the record.
RENEW_SHARE = 0.3
POLL_SHARE = 0.25
# Extra time that a candidate waits after the term of a lease that was not released.
TAKEOVER_MARGIN_S = 0.5
# Earlier than any time; marks a time that is not known or a deadline that has passed.
DISTANT_PAST = float("-inf")


@dataclass(frozen=True, slots=True)
class Holder:
    """Identify a lease holder by its instance and incarnation."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Hold a lease as it is stored.

    `fence` is the fencing number and rises with each new holder; `renewal` rises with each write.
    The lease lasts for `term_s` seconds, 0 once it is released. `named` are the endpoints that the
    holder claims: it may send orders to them, or may have sent some recently.
    """

    holder: Holder
    fence: int
    renewal: int
    term_s: float
    named: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Report a read; `succeeded` is true if the store answered.

    The lease record does not exist if `succeeded` is true and `record` is None.
    """

    succeeded: bool
    version: int = 0
    record: LeaseRecord | None = None


@dataclass(frozen=True, slots=True)
class LeaseSwapped:
    """Report a compare-and-swap; after a conflict, `record` and `version` are the stored ones."""

    result: CompareAndSwapResult
    version: int = 0
    record: LeaseRecord | None = None


@dataclass(frozen=True, slots=True)
class LeaseWakeUp:
    """Report that `Lease.wake_at` may have passed."""


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease record."""


@dataclass(frozen=True, slots=True)
class SwapLease:
    """Write the lease record if its stored version equals `expected_version`."""

    expected_version: int
    record: LeaseRecord


LeaseMessage = LeaseRead | LeaseSwapped | LeaseWakeUp
LeaseEffect = ReadLease | SwapLease


class Lease:
    """Acquire, renew and lose one lease; each effect is answered by one message.

    `poll_s` is the interval, in seconds, at which a candidate reads the record; `guard_s` is for how
    many seconds after a holder's last order no other holder may order the same endpoint. A previous
    holder on another instance may have been active until `previous_holder_until`.
    `inherited_claims` are the endpoints that the record claimed when this holder took it over,
    `recorded_claims` those that the stored record claims now.
    """

    def __init__(self, holder: Holder, term_s: float) -> None:
        self.poll_s = POLL_SHARE * term_s
        self.guard_s = 0.0
        self.previous_holder_until = DISTANT_PAST
        self.inherited_claims: tuple[str, ...] = ()
        self.recorded_claims: frozenset[str] = frozenset()
        self.holder = holder
        self.wake_at = DISTANT_PAST
        self._term_s = term_s
        self._deadline = DISTANT_PAST
        self._fence = 0
        self._last_version = -1
        self._last_record: LeaseRecord | None = None
        self._takeover_at = DISTANT_PAST
        self._pending_swap: SwapLease | None = None
        self._requested_at = DISTANT_PAST
        self._is_awaiting_reply = False
        self._claims: frozenset[str] = frozenset()
        # Until when a holder of an earlier era of the store may go on in the current one.
        self._may_continue_until = DISTANT_PAST

    @property
    def last_known_holder(self) -> str:
        """Return the instance that holds the lease in the last known record, empty if none is."""
        return "" if self._last_record is None else self._last_record.holder.instance

    def fence_at(self, now: float) -> int | None:
        """Return the fencing number to act under, None when the lease is not held."""
        return self._fence if now < self._deadline else None

    def poll_every(self, poll_s: float, now: float) -> None:
        """Set the interval at which a candidate reads the record; a shorter one holds at once."""
        self.poll_s = poll_s
        self.wake_at = min(self.wake_at, now + poll_s)

    def claim(self, endpoints: frozenset[str], now: float) -> None:
        """Claim endpoints in the held record; write it at once if it lacks one of them."""
        self._claims = endpoints
        if not endpoints <= self.recorded_claims:
            self.wake_at = min(self.wake_at, now)

    def handle(self, msg: LeaseMessage, now: float) -> list[LeaseEffect]:
        """Apply one message and return the effects to carry out."""
        return self._handle(msg, now)

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> list[LeaseEffect]:
        raise TypeError(f"expected a LeaseMessage, got {msg!r}")

    @_handle.register
    def _on_wake_up(self, msg: LeaseWakeUp, now: float) -> list[LeaseEffect]:
        if self._is_awaiting_reply or now < self.wake_at:
            return []
        self._is_awaiting_reply = True
        if self._pending_swap is not None:
            return [self._pending_swap]
        if self._is_own(self._last_record):
            return self._request(now)
        return [ReadLease()]

    @_handle.register
    def _on_read(self, msg: LeaseRead, now: float) -> list[LeaseEffect]:
        self._is_awaiting_reply = False
        self.wake_at = now + self.poll_s
        if not msg.succeeded:
            return []
        if msg.version != self._last_version:
            self._observe(msg.version, msg.record, now)
        if now < self._takeover_at and now >= self._may_continue_until:
            return []
        self._is_awaiting_reply = True
        return self._request(now)

    @_handle.register
    def _on_swapped(self, msg: LeaseSwapped, now: float) -> list[LeaseEffect]:
        self._is_awaiting_reply = False
        self.wake_at = now + self.poll_s
        pending = self._pending_swap
        if pending is None or msg.result in (
            CompareAndSwapResult.NOT_SENT,
            CompareAndSwapResult.UNKNOWN,
        ):
            return []
        self._pending_swap = None
        is_written = msg.result is CompareAndSwapResult.APPLIED or msg.record == pending.record
        if is_written and not self._is_of_earlier_era(msg.version, pending.record):
            self._confirm(msg.version, pending.record, now)
            return []
        self._observe(msg.version, msg.record, now)
        self._deadline = DISTANT_PAST
        return []

    def release(self, now: float) -> list[LeaseEffect]:
        """Release a held lease, so that a candidate need not wait for the end of its term."""
        last = self._last_record
        if last is None or not self._is_own(last) or now >= self._deadline:
            return []
        self._deadline = DISTANT_PAST
        record = LeaseRecord(self.holder, last.fence, last.renewal + 1, 0.0, last.named)
        self._is_awaiting_reply = True
        return [SwapLease(self._last_version, record)]

    def _request(self, now: float) -> list[LeaseEffect]:
        last = self._last_record
        renewal = 1 if last is None else last.renewal + 1
        fence = (
            lowest_fence(era_of(self._last_version)) + 1
            if last is None
            else last.fence + (not self._is_own(last))
        )
        if now < self._may_continue_until:
            self.inherited_claims = tuple(sorted(self._claims))
        elif not self._is_own(last):
            # Keep the previous holder's claims: a third holder must know what the first ordered.
            self.inherited_claims = () if last is None else last.named
            self._claims = frozenset(self.inherited_claims)
        record = LeaseRecord(self.holder, fence, renewal, self._term_s, tuple(sorted(self._claims)))
        self._pending_swap = SwapLease(self._last_version, record)
        self._requested_at = now
        return [self._pending_swap]

    def _confirm(self, version: int, record: LeaseRecord, now: float) -> None:
        self._last_version = version
        self._last_record = record
        self._may_continue_until = DISTANT_PAST
        self._fence = record.fence
        self.recorded_claims = frozenset(record.named)
        self._deadline = self._requested_at + record.term_s
        self.wake_at = min(now, self._requested_at) + RENEW_SHARE * record.term_s

    def _observe(self, version: int, record: LeaseRecord | None, now: float) -> None:
        self._last_version = version
        if self._is_of_earlier_era(version, record):
            self._begin_era(now)
            return
        self._last_record = record
        self._may_continue_until = DISTANT_PAST
        self._takeover_at = DISTANT_PAST
        if record is None or record.holder.instance == self.holder.instance:
            return
        self.previous_holder_until = now + record.term_s
        # A released lease needs no margin: its holder sends no more orders.
        margin_s = TAKEOVER_MARGIN_S if record.term_s else 0.0
        self._takeover_at = self.previous_holder_until + margin_s

    def _begin_era(self, now: float) -> None:
        """Wait for the end of an unknown holder; this one, if it is the holder, goes on at once."""
        self._last_record = None
        self.previous_holder_until = now + self._term_s
        # Its claims may be lost, so the time for which its orders count passes too. A holder that
        # goes on may do so for another term.
        wait_s = max(self.guard_s, self._term_s) + TAKEOVER_MARGIN_S
        self._takeover_at = self.previous_holder_until + wait_s
        if now < self._deadline:
            self._may_continue_until = self._deadline + self._term_s
            self.wake_at = now

    def _is_of_earlier_era(self, version: int, record: LeaseRecord | None) -> bool:
        """Tell whether a record in the store was not written in the era of its row's version."""
        era = era_of(version)
        return era > 0 and (record is None or record.fence <= lowest_fence(era))

    def _is_own(self, record: LeaseRecord | None) -> bool:
        return record is not None and record.holder == self.holder
