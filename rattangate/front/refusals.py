"""The instance's own responses: only a request that cannot have run gets a retryable status."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from rattangate.errors import ErrorKind
from rattangate.platform.requests import refusal_headers

if TYPE_CHECKING:
    from rattangate.errors import Failure
    from rattangate.front.responder import Responder

DEFAULT_RETRY_AFTER_S = 1.0
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502
OUTCOME_UNKNOWN_STATUS = 504
MIN_SERVER_ERROR = 500
UNPROCESSABLE = 422


async def refuse(
    responder: Responder, attempt_id: str, failure: Failure, may_have_run: bool
) -> None:
    """Respond with a failure; `may_have_run` tells whether an endpoint may have run the request."""
    status = _response_status(failure, may_have_run)
    wait_s = None
    if status == NOT_RUN_STATUS:
        wait_s = failure.retry_delay_s or DEFAULT_RETRY_AFTER_S
    body = json.dumps({"error": failure.kind.value, "detail": failure.detail}).encode()
    await responder.respond(status, refusal_headers(attempt_id, wait_s), body)


def _response_status(failure: Failure, may_have_run: bool) -> int:
    if may_have_run and failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return OUTCOME_UNKNOWN_STATUS
    if may_have_run:
        return MAY_HAVE_RUN_STATUS
    status = failure.response.status
    # A quarantined request ran in an earlier attempt, not in this one.
    is_own_failure = status >= MIN_SERVER_ERROR or status == UNPROCESSABLE
    return NOT_RUN_STATUS if is_own_failure else status
