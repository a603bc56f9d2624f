"""Turns an admitted request into the gateway's message and into the request to an endpoint."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import trio

from rattangate.core.messages import RequestArrived, VersionedBlocks
from rattangate.core.prefix import CacheScope
from rattangate.front.endpoint_conn import OutboundRequest
from rattangate.front.prompts import count_blocks, hash_blocks
from rattangate.front.state import PIECE_TOKENS
from rattangate.front.stream_ids import stream_id, takes_up_stream
from rattangate.platform.requests import RoutingDirectives, forwarded_headers

if TYPE_CHECKING:
    from rattangate.core.messages import Dispatch
    from rattangate.front.admission import AdmittedRequest
    from rattangate.front.state import FrontState

# Work of a request to a service without models, in tokens, the gateway's unit of work.
PLAIN_WORK_TOKENS = 1_000
DIGEST_BYTES = 16


def make_request_arrived(state: FrontState, admitted: AdmittedRequest) -> RequestArrived:
    """Build the message that tells the gateway of a request."""
    head = admitted.head
    scope = _cache_scope(admitted, _newest_version(state, head.model))
    other_versions = ()
    pieces: tuple[int, ...] = ()
    if head.parts:
        pieces = hash_blocks(scope.salt, head.parts, PIECE_TOKENS)
        other_versions = _other_versions(state, admitted, scope)
    priority = admitted.route.priority
    if admitted.workspace is not None and admitted.workspace.priority is not None:
        priority = admitted.workspace.priority
    return RequestArrived(
        state.driver.next_req_id(),
        scope,
        pieces,
        head.prompt_tokens if head.parts else PLAIN_WORK_TOKENS,
        head.max_tokens,
        _request_digest(admitted),
        priority,
        admitted.deadline,
        other_versions,
        admitted.route.repeatable,
        admitted.route.max_attempts,
        count_blocks(head.parts[-1], PIECE_TOKENS) if head.parts else 0,
        admitted.req.arrived_at + admitted.route.target_latency_s,
        tuple(f"{admitted.service}/{part.part_id}" for part in head.parts[:-1]),
        stream_id(admitted.route, head),
        takes_up_stream(admitted.route, head),
    )


def make_outbound_request(
    state: FrontState, admitted: AdmittedRequest, dispatch: Dispatch
) -> OutboundRequest:
    """Build the request to the endpoint that the gateway chose."""
    req = admitted.req
    is_engine = bool(dispatch.weights_version)
    salt = _cache_scope(admitted, dispatch.weights_version).salt if is_engine else ""
    directives = RoutingDirectives(
        dispatch.endpoint,
        max(0.0, admitted.deadline - trio.current_time()),
        admitted.workspace.name if admitted.workspace is not None else None,
        urgency=dispatch.priority if is_engine else None,
        cache_salt=salt,
        weights_version=int(dispatch.weights_version) if is_engine else None,
        cache_source=state.address_of(dispatch.cache_source),
        cache_target=state.address_of(dispatch.cache_target),
        last_event_id=admitted.splicer.last_id if admitted.splicer.forwarded else None,
    )
    body_bytes = len(req.body) if req.has_body else None
    headers = forwarded_headers(req.raw_headers, directives, admitted.strips_api_key, body_bytes)
    return OutboundRequest(req.method, req.target, headers, req.body, admitted.head.attempt_id)


def _cache_scope(admitted: AdmittedRequest, version: str) -> CacheScope:
    """Return the cache scope of a request; it names the workspace only if that one is isolated."""
    workspace = admitted.workspace
    name = workspace.name if workspace is not None and workspace.is_isolated else ""
    return CacheScope(name, admitted.service, admitted.head.model, version)


def _newest_version(state: FrontState, model: str) -> str:
    version = state.desired_versions.newest(model)
    if version is None:
        running = [item.version_of(model) for item in state.view.replicas_of(model)]
        version = max((found for found in running if found is not None), default=None)
    return "" if version is None else str(version)


def _other_versions(
    state: FrontState, admitted: AdmittedRequest, scope: CacheScope
) -> tuple[VersionedBlocks, ...]:
    versions = []
    for version in state.driver.gateway.weights_versions(admitted.service):
        if version != scope.weights_version:
            salt = _cache_scope(admitted, version).salt
            pieces = hash_blocks(salt, admitted.head.parts, PIECE_TOKENS)
            versions.append(VersionedBlocks(version, pieces))
    return tuple(versions)


def _request_digest(admitted: AdmittedRequest) -> bytes:
    """Return a digest that is the same for identical requests with the same key."""
    req = admitted.req
    digest = blake2b(digest_size=DIGEST_BYTES)
    for item in (req.method, req.target, (admitted.head.key or "").encode(), req.body):
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    return digest.digest()
