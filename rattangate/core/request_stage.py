"""The stages of a request, to tell how far one had got when its caller disconnected."""

from __future__ import annotations

from enum import Enum


class RequestStage(Enum):
    """Name the stages of a request at one instance.

    ARRIVED means read in full, QUEUED waiting for an endpoint at first or again, CONNECTING waiting
    for a connection to the chosen endpoint, SENT passed on to it at least in part, and ANSWERING that
    the caller has been sent the beginning of the answer.
    """

    ARRIVED = "arrived"
    QUEUED = "queued"
    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"

    @property
    def is_waiting(self) -> bool:
        """Tell whether no endpoint has the request."""
        return self in (RequestStage.ARRIVED, RequestStage.QUEUED, RequestStage.CONNECTING)
