"""The list of all error kinds and the HTTP response to a caller for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RunState(Enum):
    """Say whether a failed request may have been executed by an endpoint."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class ErrorKind(Enum):
    """Name every kind of failure of a request, as callers see it."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    VERSION_CONFLICT = "version_conflict"
    CONFIG_INVALID = "config_invalid"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_ENDPOINT = "no_endpoint"
    QUARANTINED = "quarantined"
    RETRIES_EXHAUSTED = "retries_exhausted"
    SHUTTING_DOWN = "shutting_down"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    ENDPOINT_FAILED = "endpoint_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_BROKEN = "stream_broken"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Describe the HTTP response for one error kind.

    `retry_after_s` is the default delay before a retry in seconds; None means that a retry cannot
    succeed.
    """

    status: int
    run_state: RunState
    retry_after_s: float | None
    message: str


_NOT_RUN = RunState.NOT_RUN
_MAY_HAVE_RUN = RunState.MAY_HAVE_RUN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _NOT_RUN, None, "The request is malformed."),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, _NOT_RUN, None, "The bearer key is unknown."),
    ErrorKind.FORBIDDEN: ErrorResponse(403, _NOT_RUN, None, "The key does not permit this."),
    ErrorKind.NOT_FOUND: ErrorResponse(404, _NOT_RUN, None, "There is no such path or model."),
    ErrorKind.TOO_LARGE: ErrorResponse(413, _NOT_RUN, None, "The request exceeds a size limit."),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: ErrorResponse(
        400, _NOT_RUN, None, "This path requires an Idempotency-Key header."
    ),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        422, _NOT_RUN, None, "The Idempotency-Key was used with another body."
    ),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(
        409, _NOT_RUN, None, "The configuration changed since the version that was edited."
    ),
    ErrorKind.CONFIG_INVALID: ErrorResponse(422, _NOT_RUN, None, "The configuration is invalid."),
    ErrorKind.OVER_LIMIT: ErrorResponse(429, _NOT_RUN, 1.0, "The workspace exceeds its limit."),
    ErrorKind.OVERLOADED: ErrorResponse(503, _NOT_RUN, 1.0, "All endpoints are fully loaded."),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        503, _NOT_RUN, 1.0, "No endpoint can answer before the deadline."
    ),
    ErrorKind.NO_ENDPOINT: ErrorResponse(
        503, _NOT_RUN, 2.0, "No endpoint serves this model or path."
    ),
    ErrorKind.QUARANTINED: ErrorResponse(
        422, _MAY_HAVE_RUN, 600.0, "This request crashed endpoints and is quarantined."
    ),
    ErrorKind.RETRIES_EXHAUSTED: ErrorResponse(
        503, _MAY_HAVE_RUN, 2.0, "The endpoints failed and the retry budget is used up."
    ),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, _NOT_RUN, 0.5, "This instance is shutting down."),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(
        503, _NOT_RUN, 2.0, "The platform's store is unavailable."
    ),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, _MAY_HAVE_RUN, 1.0, "The endpoint failed."),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        504, _MAY_HAVE_RUN, 5.0, "The request was sent and its outcome is unknown."
    ),
    ErrorKind.STREAM_BROKEN: ErrorResponse(
        502, _MAY_HAVE_RUN, 1.0, "The stream broke and could not be continued."
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, _MAY_HAVE_RUN, 1.0, "The instance met an internal fault."
    ),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """Describe why one request failed.

    `retry_after_s` overrides the default of the kind, in seconds.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def response(self) -> ErrorResponse:
        """Return the HTTP response for the kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def retry_delay_s(self) -> float | None:
        """Return the delay before a retry, in seconds, or None if a retry cannot succeed."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return self.response.retry_after_s
