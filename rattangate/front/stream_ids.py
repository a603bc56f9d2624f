"""Identifies the streams that callers may take up again."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattangate.core.routes import Route
    from rattangate.platform.requests import RequestHead

STREAM_ID_BYTES = 8


def takes_up_stream(route: Route, head: RequestHead) -> bool:
    """Tell whether the caller has events of the stream already."""
    return route.can_resume and head.last_event_id > 0


def stream_id(route: Route, head: RequestHead) -> bytes:
    """Return what identifies a stream that can be taken up again, empty for another request."""
    if not route.can_resume:
        return b""
    began_as = head.resumes if takes_up_stream(route, head) else head.attempt_id
    if not began_as:
        return b""
    return blake2b(began_as.encode(), digest_size=STREAM_ID_BYTES).digest()
