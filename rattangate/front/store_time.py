"""Times on the store's clock, as rows hold them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from rattangate.clock import boottime_now
from rattangate.units import MS_PER_S
from rattangate.value_checks import MAX_INT64

if TYPE_CHECKING:
    from rattangate.core.shared_clock import SharedClock

# Milliseconds of the store's clock.
StoreMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]


def store_now_ms(clock: SharedClock) -> int:
    """Return the time on the store's clock, in milliseconds."""
    return max(0, int((boottime_now() + clock.offset_s) * MS_PER_S))
