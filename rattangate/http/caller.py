"""The API for callers: completions, the list of models and forwarding to plain services."""

from __future__ import annotations

import uuid
from contextlib import AsyncExitStack, aclosing, contextmanager
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from rattangate.core.messages import RequestArrived, VersionedBlocks
from rattangate.core.prefix import CacheScope, count_tokens, hash_blocks
from rattangate.core.prompts import InvalidPrompt, prompt_bytes, shared_part_ids
from rattangate.errors import ErrorKind, Failure
from rattangate.http.relay import ModelCall, Relay, RelayError
from rattangate.http.responses import (
    completion_body,
    error_event,
    error_response,
    json_response,
    log_unknown_key,
    register_error_handlers,
)
from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterator

    from rattangate.active_settings import ActiveSettings
    from rattangate.config.model import WorkspaceCfg
    from rattangate.driver import Driver
    from rattangate.endpoints.client import EndpointClient
    from rattangate.http.relay import OpenStreams
    from rattangate.http.services import ServiceProxy
    from rattangate.metrics import Metrics

DEFAULT_MAX_TOKENS = 256
MAX_OUTPUT_TOKENS = 32_768
DEFAULT_PRIORITY = 0
LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class CallerDependencies:
    """Hold the dependencies of the caller API."""

    active_settings: ActiveSettings
    driver: Driver
    clients: dict[str, EndpointClient]
    metrics: Metrics
    streams: OpenStreams
    services: ServiceProxy
    is_ready: Callable[[], bool]


def make_caller_app(deps: CallerDependencies) -> QuartTrio:
    """Create the web application of the caller API."""
    app = QuartTrio("rattangate")
    limits = deps.active_settings.settings.limits
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = limits.body_timeout_s
    app.config["MAX_CONTENT_LENGTH"] = limits.max_body_bytes

    @app.post("/v1/completions")
    @app.post("/v1/chat/completions")
    async def complete() -> Response:
        return await _handle_completion(deps)

    @app.get("/v1/models")
    async def models() -> Response:
        if deps.active_settings.keyring.workspace(_authorization()) is None:
            log_unknown_key()
            return _refuse(deps, Failure(ErrorKind.UNAUTHENTICATED), "", "")
        entries = [
            {"id": model.name, "object": "model"} for model in deps.active_settings.settings.models
        ]
        return json_response({"object": "list", "data": entries})

    @app.get("/readyz")
    async def ready() -> Response:
        return json_response({"ready": deps.is_ready()}, 200 if deps.is_ready() else 503)

    register_error_handlers(app)

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "PATCH", "DELETE"])
    async def service(path: str) -> Response:
        return await deps.services.forward(f"/{path}")

    return app


async def _handle_completion(deps: CallerDependencies) -> Response:
    arrived_at = trio.current_time()
    request_id = f"req-{uuid.uuid4().hex}"
    workspace = deps.active_settings.keyring.workspace(_authorization())
    if workspace is None:
        log_unknown_key()
        return _refuse(deps, Failure(ErrorKind.UNAUTHENTICATED), request_id, "")
    deps.metrics.count_request("model")
    call = _parse_model_call(deps, workspace, await request.get_data(), request_id, arrived_at)
    if isinstance(call, Failure):
        return _refuse(deps, call, request_id, workspace.name)
    if deps.streams.count >= deps.active_settings.settings.limits.max_streams:
        return _refuse(deps, Failure(ErrorKind.OVERLOADED), request_id, workspace.name)
    relay = Relay(call, deps.driver, deps.clients, deps.metrics, deps.streams)
    if call.body.get("stream"):
        return await _stream_response(deps, relay)
    return await _buffered_response(deps, relay)


async def _stream_response(deps: CallerDependencies, relay: Relay) -> Response:
    events = relay.events()
    async with AsyncExitStack() as stack:
        stack.push_async_callback(_close_shielded, events)
        try:
            first_event = await anext(events)
        except RelayError as exc:
            return _refuse_after_relay(deps, relay, exc.failure)
        # From here on the body of the response closes the events.
        stack.pop_all()
    headers = {"Content-Type": "text/event-stream", "X-Request-Id": relay.call.request_id}
    return Response(_stream_body(deps, relay, first_event, events), headers=headers)


async def _close_shielded(events: AsyncGenerator[bytes, None]) -> None:
    """Close a stream of events also while the request is being cancelled."""
    with trio.CancelScope(shield=True):
        await events.aclose()


async def _stream_body(
    deps: CallerDependencies, relay: Relay, first_event: bytes, events: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    ended = False
    with _log_if_abandoned(relay, lambda: ended):
        async with aclosing(events):
            try:
                yield first_event
                async for data in events:
                    yield data
                ended = True
                yield b"data: [DONE]\n\n"
                _record_completion(deps, relay)
            except RelayError as exc:
                ended = True
                _record_refusal(deps, exc.failure, relay.call.request_id, _workspace_of(relay))
                yield error_event(exc.failure)


async def _buffered_response(deps: CallerDependencies, relay: Relay) -> Response:
    async with aclosing(relay.events()) as events:
        try:
            async for _ in events:
                pass
        except RelayError as exc:
            return _refuse_after_relay(deps, relay, exc.failure)
    _record_completion(deps, relay)
    resp = json_response(completion_body(relay.call, relay.checker))
    resp.headers["X-Request-Id"] = relay.call.request_id
    return resp


@contextmanager
def _log_if_abandoned(relay: Relay, has_ended: Callable[[], bool]) -> Iterator[None]:
    try:
        yield
    finally:
        if not has_ended():
            log(
                LogEvent.REQUEST_ABANDONED,
                request_id=relay.call.request_id,
                workspace=_workspace_of(relay),
            )


def _parse_model_call(
    deps: CallerDependencies,
    workspace: WorkspaceCfg,
    raw_body: bytes,
    request_id: str,
    arrived_at: float,
) -> ModelCall | Failure:
    try:
        body = decode_json(raw_body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(ErrorKind.BAD_REQUEST, f"body: {exc}")
    if not isinstance(body, dict):
        return Failure(ErrorKind.BAD_REQUEST, "body: must be a JSON object")
    model = deps.active_settings.models.get(body.get("model", ""))
    if model is None:
        return Failure(ErrorKind.NOT_FOUND, "model: unknown, see GET /v1/models")
    prompt = prompt_bytes(body)
    if isinstance(prompt, InvalidPrompt):
        return Failure(ErrorKind.BAD_REQUEST, f"{prompt.key}: {prompt.problem}")
    parsed = _parse_max_tokens_and_priority(body)
    if isinstance(parsed, Failure):
        return parsed
    max_tokens, priority = parsed
    limits = deps.active_settings.settings.limits
    if count_tokens(prompt) > limits.max_prompt_tokens:
        return Failure(ErrorKind.TOO_LARGE, f"prompt: over {limits.max_prompt_tokens} tokens")
    scope = CacheScope(
        workspace.name, model.name, str(body.get("adapter", "")), model.weights_version
    )
    req = RequestArrived(
        deps.driver.next_req_id(),
        scope,
        hash_blocks(scope.salt, prompt, deps.active_settings.settings.placement.piece_tokens),
        count_tokens(prompt),
        max_tokens,
        blake2b(scope.salt.encode() + prompt, digest_size=16).digest(),
        priority,
        arrived_at + limits.request_timeout_s,
        _hash_for_other_versions(deps, scope, prompt),
        parts=shared_part_ids(model.name, body),
    )
    return ModelCall(req, request.path, body, request_id, arrived_at)


def _hash_for_other_versions(
    deps: CallerDependencies, scope: CacheScope, prompt: bytes
) -> tuple[VersionedBlocks, ...]:
    """Hash the prompt for each other weights version that some endpoint still runs in a rollout."""
    piece_tokens = deps.active_settings.settings.placement.piece_tokens
    running_versions = deps.driver.gateway.weights_versions(scope.model)
    return tuple(
        VersionedBlocks(
            version,
            hash_blocks(replace(scope, weights_version=version).salt, prompt, piece_tokens),
        )
        for version in running_versions
        if version != scope.weights_version
    )


def _parse_max_tokens_and_priority(body: dict[str, Any]) -> tuple[int, int] | Failure:
    max_tokens = body.get("max_tokens", body.get("max_completion_tokens", DEFAULT_MAX_TOKENS))
    if not isinstance(max_tokens, int) or not 1 <= max_tokens <= MAX_OUTPUT_TOKENS:
        return Failure(ErrorKind.BAD_REQUEST, f"max_tokens: must be 1 to {MAX_OUTPUT_TOKENS}")
    priority = body.get("priority", DEFAULT_PRIORITY)
    if not isinstance(priority, int) or not 0 <= priority <= LOWEST_PRIORITY:
        return Failure(ErrorKind.BAD_REQUEST, f"priority: must be 0 to {LOWEST_PRIORITY}")
    return max_tokens, priority


def _authorization() -> str:
    return request.headers.get("Authorization", "")


def _workspace_of(relay: Relay) -> str:
    return relay.call.req.scope.workspace


def _refuse_after_relay(deps: CallerDependencies, relay: Relay, failure: Failure) -> Response:
    return _refuse(deps, failure, relay.call.request_id, _workspace_of(relay))


def _refuse(
    deps: CallerDependencies, failure: Failure, request_id: str, workspace: str
) -> Response:
    _record_refusal(deps, failure, request_id, workspace)
    return error_response(failure, request_id)


def _record_refusal(
    deps: CallerDependencies, failure: Failure, request_id: str, workspace: str
) -> None:
    deps.metrics.count_refusal(failure.kind)
    log(
        LogEvent.REQUEST_REFUSED,
        request_id=request_id,
        workspace=workspace,
        kind=failure.kind.value,
        run_state=failure.response.run_state.value,
        detail=failure.detail,
    )


def _record_completion(deps: CallerDependencies, relay: Relay) -> None:
    deps.metrics.prompt_tokens.inc(relay.call.req.prompt_tokens)
    deps.metrics.cache_hit_tokens.inc(relay.cached_tokens)
    log(
        LogEvent.REQUEST_DONE,
        request_id=relay.call.request_id,
        workspace=_workspace_of(relay),
        endpoint=relay.endpoint,
        attempts=relay.attempts,
        prompt=relay.call.req.prompt_tokens,
        cached=relay.cached_tokens,
        completion=relay.checker.next_offset,
    )
