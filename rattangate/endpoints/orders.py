"""Sends orders to the configured endpoints and stores the weights version in use of each model."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from rattangate.config.model import EndpointKind
from rattangate.core.messages import EndpointState
from rattangate.core.orders import Drain, LoadVersion, ObservedState, OrderResult, SetRole
from rattangate.core.rollout import DesiredVersion, RolloutCfg
from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log
from rattangate.orders import Observation
from rattangate.plain_http import AnswerTooLong, send_bounded
from rattangate.platform.outcomes import Unavailable, Written
from rattangate.records import TABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.config.model import ModelCfg, Settings
    from rattangate.core.orders import Order, SendOrder
    from rattangate.core.rollout import UseVersion
    from rattangate.endpoints.client import EndpointClient
    from rattangate.endpoints.monitor import WatchedEndpoint
    from rattangate.orders import Permit
    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

ROLLOUTS_PREFIX = "rollouts/"
LEASE_POLL_S = 1.0
# A new holder need not wait: an engine rejects an order with an older fencing number, and one that
# does not check tokens and loads the wrong version gets the order again.
NO_GUARD_S = 0.0
ORDER_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 65_536
# The trace event that httpcore emits right before it sends the first byte of a request.
FIRST_BYTE_EVENT = "http11.send_request_headers.started"


class VersionInUse(msgspec.Struct, frozen=True):
    """Hold the weights version in use of a model, as stored."""

    in_use: str


class _OrderCancelled(Exception):  # noqa: N818
    """Cancel an order before its first byte is sent."""


class EndpointOrders:
    """Observe the configured endpoints and send orders to them.

    `settings` and `watched` return the current settings and the last known state of the endpoints.
    """

    def __init__(
        self,
        store: Store,
        clients: dict[str, EndpointClient],
        settings: Callable[[], Settings],
        watched: Callable[[], dict[str, WatchedEndpoint]],
    ) -> None:
        self._store = store
        self._clients = clients
        self._settings = settings
        self._watched = watched
        self._in_use_rows: dict[str, StoreRow] = {}

    def candidate_poll_s(self, holder: str) -> float:
        """Return the interval, in seconds, at which a candidate polls a holder's lease."""
        return LEASE_POLL_S

    def claim_guard_s(self) -> float:
        """Return how long, in seconds, a holder avoids endpoints that another one ordered."""
        return NO_GUARD_S

    def rollout_cfg(self) -> RolloutCfg:
        """Return the rollout limits and drop cached versions, which may be outdated."""
        self._in_use_rows.clear()
        return RolloutCfg()

    async def observe(self) -> Observation:
        """Return the desired versions and the observed state of the engines."""
        replicas = self._observe_engines()
        desired_versions = []
        for model in self._settings().models:
            in_use = await self._version_in_use(model, replicas[model.name])
            if in_use is not None:
                desired = DesiredVersion(
                    model.name, model.weights_version, in_use, model.min_replicas
                )
                desired_versions.append(desired)
        return Observation(tuple(desired_versions), replicas)

    async def serve_version(self, effect: UseVersion) -> None:
        """Store the version in use of a model."""
        row = self._in_use_rows.pop(effect.model)
        value = msgspec.json.encode(VersionInUse(effect.weights_version))
        outcome = await self._store.write_row(TABLE, row.key, value, row.version)
        if isinstance(outcome, Written):
            self._in_use_rows[effect.model] = type(row)(row.key, outcome.version, value)

    async def send(self, sent: SendOrder, permit: Permit) -> OrderResult:
        """Send an order, only if the permit still holds right before the first byte is sent."""

        async def cancel_if_not_allowed(event: str, info: dict[str, Any]) -> None:
            if event == FIRST_BYTE_EVENT and not permit.is_valid():
                raise _OrderCancelled("the lease expired before the first byte was sent")

        name = type(sent.order).__name__
        log(LogEvent.ORDER_SENT, endpoint=sent.endpoint, order=name, fencing=sent.number)
        http = self._clients[sent.endpoint].http
        req = http.build_request(
            "POST",
            "/orders",
            content=msgspec.json.encode(_make_order_body(sent.order, sent.number)),
            timeout=ORDER_TIMEOUT_S,
            extensions={"trace": cancel_if_not_allowed},
        )
        try:
            answer = await send_bounded(http, req, ORDER_TIMEOUT_S, MAX_ANSWER_BYTES)
        except (httpx.HTTPError, trio.TooSlowError, AnswerTooLong, _OrderCancelled) as exc:
            _log_refused(sent, repr(exc))
            return OrderResult.LOST
        if answer.status == httpx.codes.CONFLICT:
            _log_refused(
                sent, f"fencing number {sent.number} is lower than the highest one of the endpoint"
            )
            return OrderResult.OLD_NUMBER
        if answer.status != httpx.codes.OK:
            _log_refused(sent, f"status {answer.status}")
            return OrderResult.LOST
        return OrderResult.ACCEPTED

    def _observe_engines(self) -> dict[str, list[ObservedState]]:
        settings = self._settings()
        watched = self._watched()
        replicas: dict[str, list[ObservedState]] = {model.name: [] for model in settings.models}
        for endpoint in settings.endpoints:
            watched_endpoint = watched.get(endpoint.name)
            if (
                endpoint.kind is not EndpointKind.ENGINE
                or watched_endpoint is None
                or not watched_endpoint.is_reachable
            ):
                continue
            replicas.setdefault(endpoint.serves, []).append(
                _make_observed(endpoint.name, watched_endpoint)
            )
        return replicas

    async def _version_in_use(self, model: ModelCfg, replicas: list[ObservedState]) -> str | None:
        row = self._in_use_rows.get(model.name)
        if row is None:
            read_outcome = await self._store.read_row(TABLE, ROLLOUTS_PREFIX + model.name)
            if isinstance(read_outcome, Unavailable):
                return None
            row = self._in_use_rows[model.name] = read_outcome
        if row.value is not None:
            return decode_json(row.value, VersionInUse).in_use
        versions = Counter(item.weights_version for item in replicas if item.ready)
        return versions.most_common(1)[0][0] if versions else None


def _make_observed(name: str, watched_endpoint: WatchedEndpoint) -> ObservedState:
    return ObservedState(
        name,
        watched_endpoint.incarnation,
        watched_endpoint.weights_version,
        role="",
        ready=watched_endpoint.state is EndpointState.LIVE,
        leaving=watched_endpoint.state is EndpointState.LEAVING,
    )


def _log_refused(sent: SendOrder, detail: str) -> None:
    name = type(sent.order).__name__
    log(LogEvent.ORDER_REFUSED, endpoint=sent.endpoint, order=name, detail=detail)


def _make_order_body(order: Order, fencing_token: int) -> dict[str, Any]:
    match order:
        case LoadVersion(version):
            return {"order": "load", "weights_version": version, "fencing": fencing_token}
        case SetRole(role):
            return {"order": "role", "role": role, "fencing": fencing_token}
        case Drain():
            return {"order": "drain", "fencing": fencing_token}
