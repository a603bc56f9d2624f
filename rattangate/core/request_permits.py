"""The permits by which instances divide the request rate of an endpoint without messages.

A limit of `per_s` requests a second issues one permit every `1 / per_s` seconds of a clock that all
instances share. Hashing gives each permit to one of the registered instances, which may send one
request with it. Instances that are registered but not reachable keep their permits, as they may
send requests as well.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.endpoint_key import EndpointKey


# How long a permit can be used: this time, and that in which so many further ones are issued.
PERMIT_LIFETIME_S = 1.0
LIFETIME_PERMITS = 2.0
# An endpoint that accepts fewer gets so many: only an answer can tell that its limit has ended.
MIN_PER_S = 0.1
POINTS_PER_INSTANCE = 16


@dataclass(slots=True)
class _Ledger:
    """Hold the permits of one endpoint: when those at hand expire, and the last one considered."""

    per_s: float
    last_number: int
    deadlines: deque[float] = field(default_factory=deque)


class RequestPermits:
    """Hold the permits of one instance; without `configure` it has none."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._clock_offset_s = 0.0
        self._instances: frozenset[str] = frozenset()
        # Points of the instances on a ring of hashes, and the instance of each, in that order.
        self._points: list[int] = []
        self._owners: list[str] = []
        self._ledgers: dict[EndpointKey, _Ledger] = {}

    def configure(self, instances: Iterable[str]) -> None:
        """Set the registered instances, this one included."""
        names = frozenset(instances)
        if names == self._instances:
            return
        self._instances = names
        ring = sorted(
            (_hash(name.encode(), number), name)
            for name in names
            for number in range(POINTS_PER_INSTANCE)
        )
        self._points = [point for point, _ in ring]
        self._owners = [name for _, name in ring]

    def set_clock(self, offset_s: float) -> None:
        """Set what has to be added to `now` for the time of the shared clock, in seconds."""
        self._clock_offset_s = offset_s

    def shared_time(self, now: float) -> float:
        """Return the time of the shared clock, in seconds."""
        return now + self._clock_offset_s

    def is_available(self, key: EndpointKey, per_s: float, now: float) -> bool:
        """Tell whether a request may be sent to an endpoint that accepts `per_s` a second."""
        return bool(self._update(key, per_s, now).deadlines)

    def take(self, key: EndpointKey, per_s: float, now: float) -> None:
        """Use the permit that expires first, if there is one."""
        deadlines = self._update(key, per_s, now).deadlines
        if deadlines:
            deadlines.popleft()

    def wait_s(self, per_s: float) -> float:
        """Return the mean time between two permits of this instance, in seconds."""
        return max(1, len(self._instances)) / max(MIN_PER_S, per_s)

    def forget(self, key: EndpointKey) -> None:
        """Drop the permits of an endpoint that names no limit any more."""
        self._ledgers.pop(key, None)

    def _update(self, key: EndpointKey, per_s: float, now: float) -> _Ledger:
        """Add the permits that were issued to this instance, and drop those that expired."""
        per_s = max(MIN_PER_S, per_s)
        shared_now = self.shared_time(now)
        number = math.floor(shared_now * per_s)
        ledger = self._ledgers.get(key)
        if ledger is None:
            ledger = self._ledgers[key] = _Ledger(per_s, number)
        elif ledger.per_s != per_s:
            ledger.per_s = per_s
            ledger.last_number = number
        lifetime_s = PERMIT_LIFETIME_S + LIFETIME_PERMITS / per_s
        first = max(ledger.last_number + 1, math.ceil((shared_now - lifetime_s) * per_s))
        for issued in range(first, number + 1):
            if self._owns(key, issued):
                ledger.deadlines.append(issued / per_s + lifetime_s)
        ledger.last_number = max(ledger.last_number, number)
        while ledger.deadlines and ledger.deadlines[0] <= shared_now:
            ledger.deadlines.popleft()
        return ledger

    def _owns(self, key: EndpointKey, number: int) -> bool:
        if not self._points:
            return False
        point = _hash(f"{key[0]}/{key[1]}".encode(), number)
        index = bisect_right(self._points, point) % len(self._points)
        return self._owners[index] == self._instance


def _hash(text: bytes, number: int) -> int:
    digest = blake2b(text + number.to_bytes(8, "big"), digest_size=8).digest()
    return int.from_bytes(digest, "big")
