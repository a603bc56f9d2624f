"""Orders the platform's replicas to load the weights versions that the operator has named."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.core.fleet import ModelVersion, WeightsUpdate
from rattangate.core.orders import LoadVersion, ObservedState, OrderResult
from rattangate.core.rollout import DesiredVersion, RolloutCfg
from rattangate.log_events import LogEvent, log
from rattangate.orders import Observation
from rattangate.platform.orders import OrderFencing
from rattangate.platform.reports import NoReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.fleet import ListedEndpoint
    from rattangate.core.orders import SendOrder
    from rattangate.core.rollout import UseVersion
    from rattangate.front.state import FrontState
    from rattangate.orders import Permit
    from rattangate.platform.orders import OrderClient, OrderOutcome, Report

# Separates the instance's name from its address in the name of a lease holder.
ADDRESS_SEPARATOR = "@"
LEASE_TERM_S = 1.2
# Intervals at which the candidates for the lease read it: the first one often, the next two in case
# that the first one fails too, and the others in case that all three do. While no replica runs an
# outdated version a takeover is not urgent.
FIRST_CANDIDATE_POLL_S = 0.36
UP_TO_DATE_POLL_S = 1.2
NEXT_CANDIDATES_POLL_S = 2.0
NEXT_CANDIDATE_COUNT = 2
OTHER_CANDIDATES_POLL_S = 60.0
# Longest wait before an order whose response was lost is retried: until then its replica holds up
# the rollout.
MAX_RETRY_S = 0.5
# How long a replica that was ordered to load counts as loading; it refuses requests meanwhile.
LOAD_TIMEOUT_S = 8.0
FIRST_REPORT_DELAY_S = 0.8
REPORT_INTERVAL_S = 0.15
MAX_REPORTS = 48
# Loads at a time. Fewer than are needed to keep up would only keep callers on outdated weights.
MAX_LOADING = 2
# Share of the replicas that may load at a time: the others must carry the traffic.
MAX_LOADING_SHARE = 0.45
# The same if the version's bound would be missed otherwise: replicas on the outdated version could
# then not serve requests either.
URGENT_LOADING_SHARE = 0.75
# Share of the platform's bound within which all replicas should run a named version.
VERSION_DUE_SHARE = 0.85


@dataclass(frozen=True, slots=True)
class _Target:
    """Hold the endpoint of an order and the version that it is to load."""

    listed: ListedEndpoint
    wanted: ModelVersion


class ReplicaOrders:
    """Observe the listed replicas and order them to load the named versions.

    `announce_weights` sends peers what is known of a replica's weights after an order;
    `succession_rank` returns how many candidates for the lease precede this instance, given the
    current holder.
    """

    def __init__(
        self,
        client: OrderClient,
        state: FrontState,
        announce_weights: Callable[[WeightsUpdate], None],
        succession_rank: Callable[[str], int],
    ) -> None:
        self._client = client
        self._state = state
        self._announce_to_peers = announce_weights
        self._succession_rank = succession_rank

    def candidate_poll_s(self, holder: str) -> float:
        """Return the interval, in seconds, at which a candidate reads the lease of a holder."""
        succession_rank = self._succession_rank(holder.partition(ADDRESS_SEPARATOR)[0])
        return candidate_poll_s(succession_rank, self._is_up_to_date())

    def claim_guard_s(self) -> float:
        """Return for how long, in seconds, a replica gets no order after one of another holder."""
        return self._state.boot.bounds.lease_s

    def rollout_cfg(self) -> RolloutCfg:
        """Return the bounds on loading; waiting for a replica's turn replaces the settling time."""
        return RolloutCfg(
            load_interval_s=0.0,
            settle_s=0.0,
            max_loading=MAX_LOADING,
            max_loading_share=MAX_LOADING_SHARE,
            urgent_loading_share=URGENT_LOADING_SHARE,
        )

    async def observe(self) -> Observation:
        """Return the named versions and the state of the replicas that run their models."""
        wanted = []
        replicas: dict[str, list[ObservedState]] = {}
        for model in self._state.desired_versions.models():
            wanted.append(self._wanted(model))
            replicas[model] = [
                _observed(item, model)
                for item in self._state.view.replicas_of(model)
                if self._may_order(item, model)
            ]
        return Observation(tuple(wanted), replicas)

    def _may_order(self, item: ListedEndpoint, model: str) -> bool:
        """Tell whether an endpoint may be ordered to load the newest known version of a model.

        Named versions only increase, so one that runs a newer version keeps it.
        """
        version = item.version_of(model)
        newest = self._state.desired_versions.newest(model) or 0
        return version is not None and version <= newest and self._state.view.is_reachable(item)

    def _is_up_to_date(self) -> bool:
        return all(
            math.isinf(self._outdated_at(model)) for model in self._state.desired_versions.models()
        )

    def _outdated_at(self, model: str) -> float:
        running = (item.version_of(model) for item in self._state.view.replicas_of(model))
        versions = [one for one in running if one is not None]
        return self._state.desired_versions.outdated_at(model, versions)

    def _wanted(self, model: str) -> DesiredVersion:
        version = str(self._state.desired_versions.newest(model))
        due_at = self._outdated_at(model) + VERSION_DUE_SHARE * self._state.boot.bounds.version_s
        return DesiredVersion(model, version, in_use=version, min_replicas=0, due_at=due_at)

    async def serve_version(self, effect: UseVersion) -> None:
        """Do nothing: a named version serves requests as soon as one replica runs it."""

    async def send(self, sent: SendOrder, permit: Permit) -> OrderResult:
        """Send an order if the permit holds right before its first byte, and wait for the load."""
        target = self._find_target(sent)
        if target is None:
            return OrderResult.LOST
        report = await self._client.get_report(target.listed.address)
        if isinstance(report, NoReport):
            _log_refused(sent, f"not sent: no report ({report.detail})")
            return OrderResult.LOST
        if report.incarnation != target.listed.incarnation:
            _log_refused(sent, "not sent: the report is of another incarnation")
            return OrderResult.LOST
        header = OrderFencing(self._state.boot.instance, permit.fencing_number, report.order_seq)
        listed = target.listed
        outcome = await self._client.send_order(
            listed.address, listed.endpoint, target.wanted, header, permit.is_valid
        )
        _log_result(sent, report, permit, outcome)
        if outcome.result is OrderResult.ACCEPTED:
            self._apply_weights(target, 0, LOAD_TIMEOUT_S)
            await self._await_load(target)
        return outcome.result

    async def _await_load(self, target: _Target) -> None:
        """Poll the engine until it runs the ordered version; its store entry shows that later."""
        await trio.sleep(FIRST_REPORT_DELAY_S)
        for _ in range(MAX_REPORTS):
            report = await self._client.get_report(target.listed.address)
            if not isinstance(report, NoReport) and self._has_loaded(target, report):
                return
            await trio.sleep(REPORT_INTERVAL_S)

    def _has_loaded(self, target: _Target, report: Report) -> bool:
        if report.incarnation != target.listed.incarnation:
            return False
        for loaded in report.models:
            if loaded.model == target.wanted.model and loaded.version >= target.wanted.version:
                self._apply_weights(target, loaded.version)
                return True
        return False

    def _apply_weights(self, target: _Target, version: int, loading_s: float = 0.0) -> None:
        listed = target.listed
        update = WeightsUpdate(
            listed.endpoint, listed.incarnation, target.wanted.model, version, loading_s
        )
        self._state.apply_weights(update)
        self._announce_to_peers(update)

    def _find_target(self, sent: SendOrder) -> _Target | None:
        listed = self._state.view.endpoints.get(sent.endpoint)
        if listed is None or listed.is_leaving or not isinstance(sent.order, LoadVersion):
            return None
        for running in listed.models:
            version = self._state.desired_versions.newest(running.model)
            if str(version) == sent.order.weights_version:
                return _Target(listed, ModelVersion(running.model, version or 0))
        return None


def candidate_poll_s(succession_rank: int, is_up_to_date: bool) -> float:
    """Return the interval, in seconds, at which a candidate for the lease reads it.

    While a replica is outdated all candidates read, the later ones less often: those before them
    may live without reaching the store.
    """
    if succession_rank == 0:
        return UP_TO_DATE_POLL_S if is_up_to_date else FIRST_CANDIDATE_POLL_S
    if succession_rank <= NEXT_CANDIDATE_COUNT:
        return NEXT_CANDIDATES_POLL_S
    if is_up_to_date:
        return OTHER_CANDIDATES_POLL_S
    return min(
        NEXT_CANDIDATES_POLL_S * succession_rank / NEXT_CANDIDATE_COUNT, OTHER_CANDIDATES_POLL_S
    )


def _observed(item: ListedEndpoint, model: str) -> ObservedState:
    return ObservedState(
        item.endpoint,
        item.incarnation,
        str(item.version_of(model)),
        role="",
        ready=True,
        leaving=item.is_leaving,
    )


def _log_result(sent: SendOrder, report: Report, permit: Permit, outcome: OrderOutcome) -> None:
    if outcome.result is not OrderResult.ACCEPTED:
        _log_refused(sent, f"{outcome.result.value}: {outcome.detail}")
        return
    text = f"{_describe(sent)}, orders accepted before {report.order_seq}"
    log(LogEvent.ORDER_SENT, endpoint=sent.endpoint, order=text, fencing=permit.fencing_number)


def _log_refused(sent: SendOrder, detail: str) -> None:
    log(LogEvent.ORDER_REFUSED, endpoint=sent.endpoint, order=_describe(sent), detail=detail)


def _describe(sent: SendOrder) -> str:
    assert isinstance(sent.order, LoadVersion)
    return f"weights version {sent.order.weights_version}"
