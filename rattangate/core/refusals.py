"""The reasons for refusing a request, which label a metric, and the error kind of each."""

from __future__ import annotations

from enum import Enum

from rattangate.errors import ErrorKind, Failure


class RefusalReason(Enum):
    """Name the reasons for which the gateway refuses a request."""

    NO_ENDPOINT = "no_endpoint"
    DEADLINE_ON_ARRIVAL = "deadline_on_arrival"
    DEADLINE_IN_QUEUE = "deadline_in_queue"
    QUEUE_FULL = "queue_full"
    STREAM_LIMIT = "stream_limit"
    RATE_LIMIT = "rate_limit"
    QUARANTINED = "quarantined"
    ATTEMPTS_USED = "attempts_used"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    NOT_REPEATABLE = "not_repeatable"
    DEADLINE_IN_RETRY = "deadline_in_retry"
    STREAM_UNKNOWN = "stream_unknown"
    STREAM_ELSEWHERE = "stream_elsewhere"


KINDS: dict[RefusalReason, ErrorKind] = {
    RefusalReason.NO_ENDPOINT: ErrorKind.NO_ENDPOINT,
    RefusalReason.DEADLINE_ON_ARRIVAL: ErrorKind.DEADLINE_UNREACHABLE,
    RefusalReason.DEADLINE_IN_QUEUE: ErrorKind.DEADLINE_UNREACHABLE,
    RefusalReason.QUEUE_FULL: ErrorKind.OVERLOADED,
    RefusalReason.STREAM_LIMIT: ErrorKind.OVER_LIMIT,
    RefusalReason.RATE_LIMIT: ErrorKind.OVER_LIMIT,
    RefusalReason.QUARANTINED: ErrorKind.QUARANTINED,
    RefusalReason.ATTEMPTS_USED: ErrorKind.RETRIES_EXHAUSTED,
    RefusalReason.RETRY_BUDGET_EMPTY: ErrorKind.RETRIES_EXHAUSTED,
    RefusalReason.NOT_REPEATABLE: ErrorKind.OUTCOME_UNKNOWN,
    RefusalReason.DEADLINE_IN_RETRY: ErrorKind.RETRIES_EXHAUSTED,
    RefusalReason.STREAM_UNKNOWN: ErrorKind.NO_ENDPOINT,
    RefusalReason.STREAM_ELSEWHERE: ErrorKind.NO_ENDPOINT,
}


def make_failure(reason: RefusalReason, retry_after_s: float | None = None) -> Failure:
    """Build the failure with which a refused request is answered."""
    return Failure(KINDS[reason], reason.value, retry_after_s)
