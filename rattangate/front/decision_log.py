"""The log lines of the decisions on a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattangate.clock import boottime_now
from rattangate.log_events import LogEvent, log
from rattangate.platform.requests import decode_request
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from rattangate.core.messages import AttemptResult, Dispatch
    from rattangate.errors import Failure
    from rattangate.front.admission import AdmittedRequest
    from rattangate.front.caller_conn import CallerRequest
    from rattangate.front.state import FrontState


def log_placed(state: FrontState, admitted: AdmittedRequest, dispatch: Dispatch) -> None:
    """Log the choice of an endpoint and the values that it was based on."""
    config = state.config
    now = trio.current_time()
    listed = state.view.endpoints.get(dispatch.endpoint)
    origin = dispatch.stream_origin
    age_s = None if origin is None else origin.age_s
    log(
        LogEvent.REQUEST_PLACED,
        request_id=admitted.head.attempt_id,
        attempt=admitted.attempts,
        endpoint=dispatch.endpoint,
        incarnation=dispatch.incarnation,
        weights=dispatch.weights_version,
        source=dispatch.cache_source,
        reason=dispatch.retry_reason.value if dispatch.retry_reason else "first",
        config_version=config.version if config is not None else 0,
        list_age_ms=_list_age_ms(state),
        queued_ms=int((now - admitted.req.arrived_at) * 1000),
        missing=dispatch.missing_tokens,
        expected_ms=int(dispatch.first_token_s * 1000),
        software="" if listed is None else listed.software_version,
        resumes=admitted.head.resumes,
        after_event=admitted.splicer.last_id,
        service=admitted.service,
        known_by="" if origin is None else origin.known_by.value,
        stream_age_ms=None if age_s is None else int(age_s * MS_PER_S),
    )


def log_done(admitted: AdmittedRequest) -> None:
    """Log a request that was completed."""
    log(
        LogEvent.REQUEST_DONE,
        request_id=admitted.head.attempt_id,
        workspace=admitted.workspace_name,
        endpoint=admitted.endpoint,
        attempts=admitted.attempts,
        prompt=admitted.head.prompt_tokens,
        completion=admitted.splicer.forwarded,
        first_ms=int((admitted.first_token_at - admitted.req.arrived_at) * 1000),
        total_ms=int((trio.current_time() - admitted.req.arrived_at) * 1000),
    )


def log_abandoned(admitted: AdmittedRequest) -> None:
    """Log a request whose caller disconnected, and how far the request had got."""
    now = trio.current_time()
    placed_at = admitted.placed_at
    log(
        LogEvent.REQUEST_ABANDONED,
        request_id=admitted.head.attempt_id,
        workspace=admitted.workspace_name,
        stage=admitted.stage.value,
        attempts=admitted.attempts,
        endpoint=admitted.endpoint,
        waited_ms=int((now - admitted.req.arrived_at) * MS_PER_S),
        placed_ms=None if placed_at is None else int((now - placed_at) * MS_PER_S),
    )


def log_failed(admitted: AdmittedRequest, result: AttemptResult, detail: str) -> None:
    """Log an attempt that failed."""
    log(
        LogEvent.ATTEMPT_FAILED,
        request_id=admitted.head.attempt_id,
        attempt=admitted.attempts,
        endpoint=admitted.endpoint,
        result=result.value,
        detail=detail,
    )


def log_fault(req: CallerRequest, exc: Exception) -> None:
    """Log an unexpected exception that ended a request."""
    head = decode_request(req.headers)
    log(
        LogEvent.INTERNAL_FAULT,
        where="forward",
        error=repr(exc),
        request_id="" if head is None else head.attempt_id,
    )


def log_refused(
    state: FrontState,
    attempt_id: str,
    admitted: AdmittedRequest | None,
    failure: Failure,
    may_have_run: bool,
) -> None:
    """Log a request that this instance refused and the values that the refusal was based on."""
    now = trio.current_time()
    log(
        LogEvent.REQUEST_REFUSED,
        request_id=attempt_id,
        workspace="" if admitted is None else admitted.workspace_name,
        kind=failure.kind.value,
        run_state="may have run" if may_have_run else "not run",
        detail=failure.detail,
        attempts=0 if admitted is None else admitted.attempts,
        waited_ms=0 if admitted is None else int((now - admitted.req.arrived_at) * 1000),
        endpoints_live=None if admitted is None else state.count_live(admitted.service),
        config_version=0 if state.config is None else state.config.version,
        list_age_ms=_list_age_ms(state),
        credentials_left_ms=int(max(0.0, state.keys.deadline - boottime_now()) * 1000),
    )


def _list_age_ms(state: FrontState) -> int | None:
    if state.list_read_at is None:
        return None
    return int((boottime_now() - state.list_read_at) * 1000)
