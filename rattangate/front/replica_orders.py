"""The orders to the platform's replicas, which bring them to the named weights versions."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.core.fleet import ModelVersion, WeightsNews
from rattangate.core.orders import LoadVersion, Observed, OrderResult
from rattangate.core.rollout import RolloutCfg, WantedVersion
from rattangate.log_events import LogEvent, log
from rattangate.orders import Observation
from rattangate.platform.orders import NoReport, OrderHeader

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.fleet import ListedEndpoint
    from rattangate.core.orders import SendOrder
    from rattangate.core.rollout import UseVersion
    from rattangate.front.state import FrontState
    from rattangate.orders import Permit
    from rattangate.platform.orders import OrderClient, OrderEnd, Report

# Between the name of an instance and its address in the name of a holder.
ADDRESS_SEPARATOR = "@"
TERM_S = 1.2
# The first candidate watches the lease closely, the next two in case that it is gone too, and the
# others in case that all are.
FIRST_POLL_S = 0.36
# While no replica is behind, a successor may take its time.
CALM_POLL_S = 1.2
NEXT_POLL_S = 2.0
NEXT_CANDIDATES = 2
OTHER_POLL_S = 60.0
# An order whose answer was lost is repeated soon: its replica's turn is waited for.
MAX_RETRY_S = 0.5
# A replica that was ordered to load refuses new requests until it is done.
LOAD_DEADLINE_S = 8.0
FIRST_REPORT_S = 0.8
REPORT_INTERVAL_S = 0.15
REPORTS = 48
# Fewer than the pace asks for would only keep callers on outdated weights.
MAX_LOADING = 2
# The others must bear the traffic meanwhile.
MAX_LOADING_SHARE = 0.45
# Where a bound would be broken, replicas that stay behind could serve nobody either.
URGENT_LOADING_SHARE = 0.75
# All replicas should run a version within this share of the platform's bound.
DUE_SHARE = 0.85


@dataclass(frozen=True, slots=True)
class _Target:
    """Name the endpoint and version of an order."""

    listed: ListedEndpoint
    found: ModelVersion


class ReplicaOrders:
    """Observe the listed replicas and order them to load the named versions.

    `tell_peers` passes on what an order has shown of a replica's weights, `place` tells how many
    candidates for the lease come before this instance, given the present holder.
    """

    def __init__(
        self,
        client: OrderClient,
        state: FrontState,
        tell_peers: Callable[[WeightsNews], None],
        place: Callable[[str], int],
    ) -> None:
        self._client = client
        self._state = state
        self._tell_peers = tell_peers
        self._place = place

    def poll_s(self, holder: str) -> float:
        """Return the interval, in seconds, at which a candidate reads the lease of a holder."""
        place = self._place(holder.partition(ADDRESS_SEPARATOR)[0])
        if place == 0:
            return CALM_POLL_S if self._is_calm() else FIRST_POLL_S
        return NEXT_POLL_S if place <= NEXT_CANDIDATES else OTHER_POLL_S

    def guard_s(self) -> float:
        """Return for how long, in seconds, a holder keeps away from what another one ordered."""
        return self._state.boot.bounds.lease_s

    def rollout_cfg(self) -> RolloutCfg:
        """Return the bounds of the loads; turns at the replicas take the place of settling."""
        return RolloutCfg(
            load_interval_s=0.0,
            settle_s=0.0,
            max_loading=MAX_LOADING,
            max_loading_share=MAX_LOADING_SHARE,
            urgent_loading_share=URGENT_LOADING_SHARE,
        )

    async def observe(self) -> Observation:
        """Return the named versions and what is seen of the replicas that run their models."""
        wanted = []
        replicas: dict[str, list[Observed]] = {}
        for model in self._state.named_versions.models():
            wanted.append(self._wanted(model))
            replicas[model] = [
                _observed(item, model)
                for item in self._state.view.endpoints.values()
                if item.version_of(model) is not None and self._state.view.is_reachable(item)
            ]
        return Observation(tuple(wanted), replicas)

    def _is_calm(self) -> bool:
        return all(
            math.isinf(self._outdated_at(model)) for model in self._state.named_versions.models()
        )

    def _outdated_at(self, model: str) -> float:
        running = (item.version_of(model) for item in self._state.view.endpoints.values())
        found = [one for one in running if one is not None]
        return self._state.named_versions.outdated_at(model, found)

    def _wanted(self, model: str) -> WantedVersion:
        text = str(self._state.named_versions.newest(model))
        due_at = self._outdated_at(model) + DUE_SHARE * self._state.boot.bounds.version_s
        return WantedVersion(model, text, in_use=text, min_replicas=0, due_at=due_at)

    async def use_version(self, effect: UseVersion) -> None:
        """Do nothing: a named version serves from its first replica on."""

    async def send(self, sent: SendOrder, permit: Permit) -> OrderResult:
        """Send an order if the permit holds right before its first byte; wait for the load."""
        target = self._find_target(sent)
        if target is None:
            return OrderResult.LOST
        report = await self._client.report(target.listed.address)
        if isinstance(report, NoReport):
            _log_refused(sent, f"no report, not sent: {report.detail}")
            return OrderResult.LOST
        if report.incarnation != target.listed.incarnation:
            _log_refused(sent, "report of another incarnation, not sent")
            return OrderResult.LOST
        header = OrderHeader(self._state.boot.instance, permit.fence, report.order_seq)
        listed = target.listed
        end = await self._client.order(
            listed.address, listed.endpoint, target.found, header, permit.holds
        )
        _log_end(sent, report, permit, end)
        if end.result is OrderResult.ACCEPTED:
            self._tell(target, 0, LOAD_DEADLINE_S)
            await self._await_load(target)
        return end.result

    async def _await_load(self, target: _Target) -> None:
        """Ask the engine until it runs the ordered version, which its entry tells later."""
        await trio.sleep(FIRST_REPORT_S)
        for _ in range(REPORTS):
            report = await self._client.report(target.listed.address)
            if not isinstance(report, NoReport) and self._has_loaded(target, report):
                return
            await trio.sleep(REPORT_INTERVAL_S)

    def _has_loaded(self, target: _Target, report: Report) -> bool:
        if report.incarnation != target.listed.incarnation:
            return False
        for found in report.models:
            if found.model == target.found.model and found.version >= target.found.version:
                self._tell(target, found.version)
                return True
        return False

    def _tell(self, target: _Target, version: int, loading_s: float = 0.0) -> None:
        listed = target.listed
        news = WeightsNews(
            listed.endpoint, listed.incarnation, target.found.model, version, loading_s
        )
        self._state.apply_weights(news)
        self._tell_peers(news)

    def _find_target(self, sent: SendOrder) -> _Target | None:
        listed = self._state.view.endpoints.get(sent.endpoint)
        if listed is None or listed.is_leaving or not isinstance(sent.order, LoadVersion):
            return None
        for running in listed.models:
            version = self._state.named_versions.newest(running.model)
            if str(version) == sent.order.weights_version:
                return _Target(listed, ModelVersion(running.model, version or 0))
        return None


def _observed(item: ListedEndpoint, model: str) -> Observed:
    return Observed(
        item.endpoint,
        item.incarnation,
        str(item.version_of(model)),
        role="",
        ready=True,
        leaving=item.is_leaving,
    )


def _log_end(sent: SendOrder, report: Report, permit: Permit, end: OrderEnd) -> None:
    if end.result is not OrderResult.ACCEPTED:
        _log_refused(sent, f"{end.result.value}: {end.detail}")
        return
    text = f"{_describe(sent)}, orders accepted {report.order_seq}"
    log(LogEvent.ORDER_SENT, endpoint=sent.endpoint, order=text, fencing=permit.fence)


def _log_refused(sent: SendOrder, detail: str) -> None:
    log(LogEvent.ORDER_REFUSED, endpoint=sent.endpoint, order=_describe(sent), detail=detail)


def _describe(sent: SendOrder) -> str:
    assert isinstance(sent.order, LoadVersion)
    return f"weights version {sent.order.weights_version}"
