"""The clock that goes on while an instance is suspended."""

from __future__ import annotations

import time


def boottime_now() -> float:
    """Return the seconds of CLOCK_BOOTTIME, which also advances while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
