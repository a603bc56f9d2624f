"""The state machine that places, limits and retries requests, without I/O of its own.

Instances tell each other about their placements in sequenced updates, so that each can estimate the
queue and the cache of every endpoint.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from rattangate.core.active_requests import incarnation_key
from rattangate.core.endpoint_state import Endpoint
from rattangate.core.intake import RequestScheduler, RequestSchedulerCfg
from rattangate.core.limited_endpoints import LimitedEndpoints
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    BrittlenessReported,
    CacheChanged,
    CacheSnapshotReceived,
    Dispatch,
    Effect,
    EndpointLimitReported,
    EndpointListRead,
    EndpointState,
    EndpointStatus,
    EvidenceReceived,
    FirstTokenSeen,
    LimitsUpdate,
    LoadReported,
    PeerLost,
    PeerUpdateReceived,
    Placement,
    PlacementRelease,
    QuarantineReleased,
    RequestAbandoned,
    RequestArrived,
    RequestRejected,
    SendPeerUpdate,
    StreamHistoryReceived,
    Tick,
)
from rattangate.core.placement import PlacementCfg, add_permit_waits, find_candidates
from rattangate.core.stream_versions import StreamVersions

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.active_requests import ActiveRequest
    from rattangate.core.messages import Message
    from rattangate.core.placement import Candidate
    from rattangate.core.stream_history import StreamOrigin

# Owner of the placements of this instance; those of a peer are owned by its name.
LOCAL_OWNER = ""
# Interval of the search for stale requests of peers, in seconds.
STALE_CHECK_INTERVAL_S = 1.0
# Interval of sending the limits to peers although they are unchanged, in seconds.
LIMITS_RESEND_INTERVAL_S = 1.0
# Interval of sending changes of usage and queue length to peers, in seconds.
USAGE_INTERVAL_S = 0.25
# Added to the priority of late requests so that an engine queues them behind all others.
LATE_PRIORITY_OFFSET = 100
# A cache store may restart empty or evict without a report, so entries are sent to it again if
# they were last sent more than this many seconds ago.
CACHE_SERVER_REFRESH_S = 15.0


@dataclass(frozen=True, slots=True)
class GatewayCfg:
    """Hold the settings of the gateway core.

    `learn_caches` selects learning cache models; `scheduler` configures admission and queueing. A
    request placed by a peer is dropped after `peer_request_timeout_s` seconds without a report of
    its first token, as that report was probably lost. `news_interval_s` is the interval between
    updates to peers, `usage_interval_s` that of usage and queue length in them. `PlacementCfg`
    describes the other settings.
    """

    block_tokens: int
    recompute_weight: float
    learn_caches: bool = True
    scheduler: RequestSchedulerCfg = RequestSchedulerCfg()
    fetch_s_per_token: float = math.inf
    old_version_cost_s: float = 0.0
    failure_cost_s: float = 0.0
    peer_request_timeout_s: float = math.inf
    news_interval_s: float = 0.0
    usage_interval_s: float = USAGE_INTERVAL_S


class Gateway:
    """Decide where each request runs: take messages and return effects, without I/O.

    `endpoints` are the known endpoints by name, and `limited` those of them that named a request
    rate; `stream_versions` tell which software began recent streams; `scheduler` admits, queues
    and retries requests.
    """

    def __init__(self, cfg: GatewayCfg, seed: int) -> None:
        self.cfg = cfg
        self.endpoints: dict[str, Endpoint] = {}
        self.limited = LimitedEndpoints(cfg.scheduler.instance)
        self.stream_versions = StreamVersions()
        self.scheduler = RequestScheduler(cfg.scheduler, seed, self)
        # Recorded since the last peer update, each with the time of its record.
        self._placements: list[tuple[float, Placement]] = []
        self._releases: list[tuple[float, PlacementRelease]] = []
        self._last_number = 0
        self._last_seq = 0
        self._sent_limits = LimitsUpdate()
        self._limits_sent_at = -LIMITS_RESEND_INTERVAL_S
        self._next_update_at = 0.0
        self._next_stale_check_at = 0.0
        # Incarnation and sequence number of the last update from each peer.
        self._last_updates: dict[str, tuple[int, int]] = {}
        # Each access to a singledispatchmethod creates a new wrapper, so one is kept.
        self._apply: Callable[[Message, float], list[Effect]] = self._handle

    def handle(self, msg: Message, now: float) -> list[Effect]:
        """Apply one message and return the effects to carry out."""
        effects = self._apply(msg, now)
        return [*effects, *self.scheduler.suspects.take_changes()]

    def weights_versions(self, model: str) -> tuple[str, ...]:
        """Return the weights versions of a model that live endpoints run."""
        live = [
            endpoint.status
            for endpoint in self.endpoints.values()
            if endpoint.status.state is EndpointState.LIVE
        ]
        return tuple(
            sorted({status.weights_version for status in live if status.serves in ("", model)})
        )

    def cache_contents(self) -> tuple[CacheSnapshotReceived, ...]:
        """Return the predicted caches of all endpoints, for a snapshot or a restarted peer."""
        return tuple(
            CacheSnapshotReceived(
                endpoint.name,
                endpoint.status.incarnation,
                endpoint.status.weights_version,
                tuple(endpoint.cache.best_model.blocks),
                int(endpoint.cache.capacity),
            )
            for endpoint in self.endpoints.values()
        )

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> list[Effect]:
        return []

    @_handle.register
    def _on_request(self, msg: RequestArrived, now: float) -> list[Effect]:
        return self.scheduler.arrive(msg, now)

    @_handle.register
    def _on_first_token(self, msg: FirstTokenSeen, now: float) -> list[Effect]:
        request = self._find_request(msg.req_id, msg.attempt)
        if request is None or request.placed_on is None or request.first_token_at is not None:
            return []
        request.pin()
        cached = msg.cached_tokens
        if cached is None:
            cached = request.placed_on.predicted_cached_tokens(
                (LOCAL_OWNER, request.placement_number)
            )
        self.limited.brittle.record_completed(request.placed_on, now)
        request.placed_on.record_first_token(
            (LOCAL_OWNER, request.placement_number), msg.cached_tokens, now
        )
        self._record_release(request, cached, now)
        return self.scheduler.record_first_token(request, now)

    @_handle.register
    def _on_attempt_ended(self, msg: AttemptEnded, now: float) -> list[Effect]:
        request = self._find_request(msg.req_id, msg.attempt)
        if request is None or request.placed_on is None:
            return []
        _record_outcome(request.placed_on, msg, now)
        if msg.completion_tokens:
            request.pin()
        return self.scheduler.end_attempt(request, msg, now)

    @_handle.register
    def _on_abandoned(self, msg: RequestAbandoned, now: float) -> list[Effect]:
        request = self.scheduler.active_requests.get(msg.req_id)
        return [] if request is None else self.scheduler.abandon(request, now)

    @_handle.register
    def _on_quarantine_released(self, msg: QuarantineReleased, now: float) -> list[Effect]:
        self.scheduler.suspects.release(msg.digest, now)
        return []

    @_handle.register
    def _on_endpoint(self, msg: EndpointStatus, now: float) -> list[Effect]:
        self.scheduler.suspects.record_endpoint(msg, now)
        self.stream_versions.record_endpoint(msg, now)
        known = self.endpoints.get(msg.endpoint)
        if known is None or msg.incarnation > known.status.incarnation:
            self.endpoints[msg.endpoint] = self._new_endpoint(msg, now)
        elif msg.incarnation == known.status.incarnation:
            self._update(known, msg, now)
        return []

    @_handle.register
    def _on_list_read(self, msg: EndpointListRead, now: float) -> list[Effect]:
        self.stream_versions.record_list_read(msg.listed, now)
        return []

    @_handle.register
    def _on_stream_history(self, msg: StreamHistoryReceived, now: float) -> list[Effect]:
        self.stream_versions.merge(msg.history, now)
        return []

    @_handle.register
    def _on_evidence(self, msg: EvidenceReceived, now: float) -> list[Effect]:
        return self.scheduler.merge_evidence(msg.evidence, now)

    @_handle.register
    def _on_endpoint_limit(self, msg: EndpointLimitReported, now: float) -> list[Effect]:
        if self._current(msg.endpoint, msg.incarnation) is None:
            return []
        return [*self.limited.apply_report(msg, now)]

    @_handle.register
    def _on_brittleness(self, msg: BrittlenessReported, now: float) -> list[Effect]:
        endpoint = self._current(msg.endpoint, msg.incarnation)
        if endpoint is None:
            return []
        return [*self.limited.brittle.apply_report(msg, endpoint.status.serves, now)]

    @_handle.register
    def _on_rejected(self, msg: RequestRejected, now: float) -> list[Effect]:
        endpoint = self._current(msg.endpoint, msg.incarnation)
        if endpoint is not None:
            key = incarnation_key(endpoint)
            self.limited.brittle.record_rejection(key, endpoint.status.serves, now)
        return []

    @_handle.register
    def _on_load_reported(self, msg: LoadReported, now: float) -> list[Effect]:
        endpoint = self._current(msg.endpoint, msg.incarnation)
        if endpoint is not None:
            endpoint.apply_load_report(msg, now)
        return []

    @_handle.register
    def _on_cache_changed(self, msg: CacheChanged, now: float) -> list[Effect]:
        endpoint = self._current(msg.endpoint, msg.incarnation)
        if endpoint is not None:
            endpoint.cache.apply_events(msg, now)
        return []

    @_handle.register
    def _on_peer_update(self, msg: PeerUpdateReceived, now: float) -> list[Effect]:
        position = (msg.instance_incarnation, msg.seq)
        last_position = self._last_updates.get(msg.instance, (0, 0))
        if position <= last_position:
            return []
        if last_position[0] and position[0] != last_position[0]:
            self._drop_peer(msg.instance, now)
        self._last_updates[msg.instance] = position
        for placement in msg.placements:
            self._apply_placement(msg.instance, placement, now)
        for release in msg.releases:
            self._apply_release(msg.instance, release, now)
        if msg.limits is None:
            return []
        if not self.scheduler.has_heard_from(msg.instance):
            self.limited.schedule_resend()
        effects = self.scheduler.apply_peer_update(msg.instance, msg.limits, now)
        return [*effects, *self.limited.apply_peer(msg.limits, now)]

    @_handle.register
    def _on_peer_lost(self, msg: PeerLost, now: float) -> list[Effect]:
        self._drop_peer(msg.instance, now)
        return []

    @_handle.register
    def _on_cache_snapshot(self, msg: CacheSnapshotReceived, now: float) -> list[Effect]:
        endpoint = self._current(msg.endpoint, msg.incarnation)
        if endpoint is not None and endpoint.status.weights_version == msg.weights_version:
            endpoint.cache.restore(msg.blocks, msg.capacity, now)
        return []

    @_handle.register
    def _on_tick(self, msg: Tick, now: float) -> list[Effect]:
        if now >= self._next_stale_check_at:
            self._next_stale_check_at = now + STALE_CHECK_INTERVAL_S
            for endpoint in self.endpoints.values():
                endpoint.drop_stale(LOCAL_OWNER, now - self.cfg.peer_request_timeout_s, now)
            incarnations = {
                endpoint.name: endpoint.status.incarnation for endpoint in self.endpoints.values()
            }
            self.limited.drop_stale(incarnations, now)
        return [*self.scheduler.tick(now), *self._send_peer_update(now)]

    # Interface to the endpoints for the request scheduler

    def candidates(self, request: ActiveRequest, now: float) -> list[Candidate]:
        """Return the endpoints that can run a request, with their costs."""
        weight = self.cfg.recompute_weight + self.scheduler.extra_recompute_weight(request)
        cfg = PlacementCfg(
            weight,
            self.cfg.fetch_s_per_token,
            self.cfg.old_version_cost_s,
            self.cfg.failure_cost_s,
        )
        candidates = [
            candidate
            for candidate in find_candidates(self.endpoints.values(), request.req, cfg, now)
            if request.may_continue_at(candidate.endpoint)
        ]
        waits = {
            candidate.endpoint.name: self.limited.wait_s(candidate.endpoint, now)
            for candidate in candidates
        }
        return add_permit_waits(candidates, waits)

    def stream_news(self, request: ActiveRequest, now: float) -> StreamOrigin | None:
        """Return the software that began a request's stream by the news of it."""
        return self.stream_versions.news_of(request.req.stream, now)

    def stream_origin(self, request: ActiveRequest, now: float) -> StreamOrigin | None:
        """Return the software that began a request's stream, None if it cannot be known."""
        req = request.req
        return self.stream_versions.origin_of(req.stream, req.scope.model, now)

    def may_continue(self, request: ActiveRequest) -> bool:
        """Tell whether an answer that has begun may go on at an endpoint, now or after a pause."""
        states = (EndpointState.LIVE, EndpointState.SUSPENDED)
        model = request.req.scope.model
        return any(
            endpoint.status.state in states
            and endpoint.status.serves in ("", model)
            and request.may_continue_at(endpoint)
            and incarnation_key(endpoint) not in request.tried
            for endpoint in self.endpoints.values()
        )

    def backoff_s(self, request: ActiveRequest, now: float) -> float | None:
        """Return the seconds until a paused endpoint takes requests again, None for none."""
        statuses = (endpoint.status for endpoint in self.endpoints.values())
        model = request.req.scope.model
        waits = (
            status.available_at - now
            for status in statuses
            if status.available_at and status.serves in ("", model)
        )
        return min((wait_s for wait_s in waits if wait_s > 0), default=None)

    def dispatch(self, request: ActiveRequest, chosen: Candidate, now: float) -> Dispatch:
        """Place a request on an endpoint and record the placement for the next peer update."""
        req = request.req
        endpoint = chosen.endpoint
        self.limited.record_sent(endpoint, now)
        self._last_number += 1
        request.attempt += 1
        request.placement_number = self._last_number
        request.placed_on = endpoint
        endpoint.place(
            (LOCAL_OWNER, request.placement_number),
            chosen.blocks,
            req.prompt_tokens,
            req.priority,
            now,
            chosen.fetched_tokens,
        )
        target = self._choose_cache_target(request, chosen, now)
        placement = Placement(
            endpoint.name,
            endpoint.status.incarnation,
            req.scope.workspace,
            chosen.blocks,
            req.prompt_tokens,
            req.max_tokens,
            req.priority,
            request.placement_number,
            digest=request.digest,
            fetched_tokens=chosen.fetched_tokens,
            cache_target=target,
            stream=req.stream,
        )
        self.stream_versions.record_placement(req.stream, incarnation_key(endpoint), now)
        self._placements.append((now, placement))
        return Dispatch(
            req.req_id,
            request.attempt,
            endpoint.name,
            endpoint.status.incarnation,
            endpoint.status.weights_version,
            request.retry_reason,
            req.priority + (LATE_PRIORITY_OFFSET if request.is_late else 0),
            chosen.source.name if chosen.source is not None else "",
            target,
            chosen.missing_tokens,
            chosen.first_token_s,
            request.stream_origin,
        )

    def _choose_cache_target(self, request: ActiveRequest, chosen: Candidate, now: float) -> str:
        """Return the cache store that lacks the shared blocks of a prompt, empty if none does."""
        shared = chosen.blocks[: max(0, len(chosen.blocks) - request.req.unshared_blocks)]
        for endpoint in self.endpoints.values():
            if shared and endpoint.status.state is EndpointState.CACHE_STORE:
                is_cached = endpoint.cache.count_cached(shared) == len(shared)
                if (
                    not is_cached
                    or endpoint.cache.last_used_at(shared[-1]) < now - CACHE_SERVER_REFRESH_S
                ):
                    endpoint.cache.record_use(chosen.blocks, now)
                    return endpoint.name
        return ""

    def release(self, request: ActiveRequest, now: float) -> None:
        """Remove a request from its endpoint; tell peers if it ended before its first token."""
        if request.placed_on is not None and request.first_token_at is None:
            request.placed_on.drop((LOCAL_OWNER, request.placement_number), now)
            self._record_release(request, None, now)
        request.placed_on = None

    def _find_request(self, req_id: int, attempt: int) -> ActiveRequest | None:
        request = self.scheduler.active_requests.get(req_id)
        return request if request is not None and request.attempt == attempt else None

    def _send_peer_update(self, now: float) -> list[Effect]:
        if now < self._next_update_at:
            return []
        self._next_update_at = now + self.cfg.news_interval_s
        limits = self._limits_update(now)
        if not self._placements and not self._releases and limits is None:
            return []
        self._last_seq += 1
        placements = tuple(replace(placement, age_s=now - at) for at, placement in self._placements)
        releases = tuple(replace(release, age_s=now - at) for at, release in self._releases)
        self._placements.clear()
        self._releases.clear()
        return [SendPeerUpdate(self._last_seq, placements, releases, limits)]

    def _limits_update(self, now: float) -> LimitsUpdate | None:
        """Return the limits if due: at intervals for usage and queue, at once for all else."""
        age_s = now - self._limits_sent_at
        has_unsent = self.limited.has_unsent
        is_urgent = has_unsent or self.scheduler.has_urgent_update(self._sent_limits)
        if age_s < self.cfg.usage_interval_s and not is_urgent:
            return None
        limits = self.scheduler.make_peer_update(now)
        if limits == self._sent_limits and age_s < LIMITS_RESEND_INTERVAL_S and not has_unsent:
            return None
        self._sent_limits = limits
        self._limits_sent_at = now
        return self.limited.add_unsent(limits, now)

    def _record_release(
        self, request: ActiveRequest, cached_tokens: int | None, now: float
    ) -> None:
        """Record for the next peer update that a request left the queue of its endpoint."""
        assert request.placed_on is not None
        status = request.placed_on.status
        req = request.req
        release = PlacementRelease(
            status.endpoint,
            status.incarnation,
            req.prompt_tokens,
            req.max_tokens,
            request.placement_number,
            cached_tokens,
        )
        self._releases.append((now, release))

    def _apply_placement(self, peer: str, placement: Placement, now: float) -> None:
        self.scheduler.take_placement(placement, now)
        began_at = (placement.endpoint, placement.incarnation)
        self.stream_versions.record_placement(placement.stream, began_at, now)
        endpoint = self._current(placement.endpoint, placement.incarnation)
        if endpoint is None:
            return
        endpoint.place(
            (peer, placement.number),
            placement.blocks,
            placement.prompt_tokens,
            placement.priority,
            now - placement.age_s,
            placement.fetched_tokens,
        )
        cache_server = self.endpoints.get(placement.cache_target)
        if cache_server is not None:
            cache_server.cache.record_use(placement.blocks, now - placement.age_s)

    def _apply_release(self, peer: str, release: PlacementRelease, now: float) -> None:
        endpoint = self._current(release.endpoint, release.incarnation)
        if endpoint is None:
            return
        key = (peer, release.number)
        at = now - release.age_s
        if release.cached_tokens is None:
            endpoint.drop(key, at)
        else:
            self.limited.brittle.record_completed(endpoint, now)
            endpoint.record_first_token(key, release.cached_tokens, at)

    def _drop_peer(self, peer: str, now: float) -> None:
        self.scheduler.drop_peer(peer)
        for endpoint in self.endpoints.values():
            endpoint.drop_owner(peer, now)

    def _current(self, name: str, incarnation: int) -> Endpoint | None:
        """Return an endpoint if the incarnation is its current one."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.status.incarnation != incarnation:
            return None
        return endpoint

    def _new_endpoint(self, status: EndpointStatus, now: float) -> Endpoint:
        return Endpoint(status, self.cfg.block_tokens, self.cfg.learn_caches, now)

    def _update(self, known: Endpoint, status: EndpointStatus, now: float) -> None:
        """Apply a new state; a new weights version clears the cache and the pending requests."""
        if status.weights_version != known.status.weights_version:
            replacement = self._new_endpoint(status, now)
            if known.status.state is EndpointState.LEAVING:
                replacement.status = replace(status, state=EndpointState.LEAVING)
            replacement.speed = known.speed
            replacement.failures = known.failures
            self.endpoints[status.endpoint] = replacement
            return
        known.update(status)


def _record_outcome(endpoint: Endpoint, msg: AttemptEnded, now: float) -> None:
    """Update the failure rate of an endpoint unless the attempt was not sent or was cancelled."""
    if msg.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
        return
    failed = msg.reports_error or msg.result is not AttemptResult.COMPLETED
    endpoint.failures.record(failed, now)
