"""Build HTTP responses: JSON, errors and completions that are not streamed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec
from quart import Response, request

from rattangate.errors import ErrorKind, Failure
from rattangate.log_events import LogEvent, log

if TYPE_CHECKING:
    from quart_trio import QuartTrio

    from rattangate.core.streams import StreamChecker
    from rattangate.http.relay import ModelCall

JSON_CONTENT_TYPE = "application/json"


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(msgspec.json.encode(value), status, content_type=JSON_CONTENT_TYPE)


def error_body(failure: Failure) -> dict[str, Any]:
    """Return the JSON body of an error response."""
    return {
        "error": {
            "type": failure.kind.value,
            "message": failure.response.message,
            "detail": failure.detail,
            "run_state": failure.response.run_state.value,
            "retry_after_s": failure.retry_delay_s,
        }
    }


def error_response(failure: Failure, request_id: str) -> Response:
    """Return the error response for a failure."""
    resp = json_response(error_body(failure), failure.response.status)
    resp.headers["X-Request-Id"] = request_id
    if failure.retry_delay_s is not None:
        resp.headers["Retry-After"] = str(math.ceil(failure.retry_delay_s))
    return resp


def register_error_handlers(app: QuartTrio) -> None:
    """Answer framework errors and unhandled exceptions with the bodies of `error_response`."""

    @app.errorhandler(404)
    @app.errorhandler(405)
    async def not_found(_: Exception) -> Response:
        return error_response(Failure(ErrorKind.NOT_FOUND), "")

    @app.errorhandler(408)
    async def body_timeout(_: Exception) -> Response:
        detail = "body: did not arrive in time"
        return error_response(Failure(ErrorKind.BAD_REQUEST, detail), "")

    @app.errorhandler(413)
    async def too_large(_: Exception) -> Response:
        return error_response(Failure(ErrorKind.TOO_LARGE, "body: over the size limit"), "")

    @app.errorhandler(Exception)
    async def internal(exc: Exception) -> Response:
        log(LogEvent.INTERNAL_FAULT, where=request.path, error=repr(exc))
        return error_response(Failure(ErrorKind.INTERNAL), "")


def log_unknown_key() -> None:
    """Log that the current request carried an unknown API key."""
    address = request.remote_addr or ""
    log(LogEvent.AUTHENTICATION_FAILED, address=address, path=request.path)


def error_event(failure: Failure) -> bytes:
    """Return the server-sent event that reports an error within a stream."""
    return b"event: error\ndata: " + msgspec.json.encode(error_body(failure)) + b"\n\n"


def completion_body(call: ModelCall, checker: StreamChecker) -> dict[str, Any]:
    """Return the JSON body of a completed, non-streamed completion."""
    is_chat = "messages" in call.body
    choice: dict[str, Any] = {"index": 0, "finish_reason": checker.finish_reason}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": checker.text}
    else:
        choice["text"] = checker.text
    return {
        "id": call.request_id,
        "object": "chat.completion" if is_chat else "text_completion",
        "model": call.req.scope.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": call.req.prompt_tokens,
            "completion_tokens": checker.next_offset,
            "total_tokens": call.req.prompt_tokens + checker.next_offset,
            "prompt_tokens_details": {"cached_tokens": checker.cached_tokens},
        },
    }
