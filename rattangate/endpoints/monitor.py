"""Monitoring of endpoints: state, load, cache events and the store's table of instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.config.model import EndpointKind
from rattangate.core.leaving import LeavingEndpoints
from rattangate.core.messages import (
    AttemptResult,
    CacheChanged,
    EndpointState,
    EndpointStatus,
    LoadReported,
)
from rattangate.endpoints.client import CallFailed
from rattangate.log_events import LogEvent, log
from rattangate.platform.outcomes import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.config.model import EndpointCfg
    from rattangate.driver import Driver
    from rattangate.endpoints.client import CacheEvent, EndpointClient, EndpointReport
    from rattangate.platform.store import Store

LOAD_INTERVAL_S = 1.0
# While an engine is to load other weights: well below the time of a load, in which the answers that
# began before it was noticed can end.
ROLLOUT_INTERVAL_S = 0.2
MISSED_REPORT_RETRY_S = 0.25
MISSED_REPORTS_UNTIL_DOWN = 2
CACHE_EVENTS_RETRY_S = 0.2
INSTANCE_LIST_INTERVAL_S = 0.5
# The rows of this table hold the states of instances and endpoints: `live` or `leaving`.
INSTANCE_TABLE = "instances"

_STATE_BY_NAME = {"live": EndpointState.LIVE, "leaving": EndpointState.LEAVING}


@dataclass(slots=True)
class WatchedEndpoint:
    """Hold the last known state of an endpoint.

    `missed_reports` counts the requests for a report that have failed in a row.
    """

    incarnation: int = 0
    weights_version: str = ""
    state: EndpointState = EndpointState.DOWN
    is_reachable: bool = False
    missed_reports: int = 0


class Monitor:
    """Monitor all endpoints and report changes to the driver.

    `desired_version` returns the weights version that a model should run, None if it is unknown.
    """

    def __init__(
        self,
        endpoints: tuple[EndpointCfg, ...],
        desired_version: Callable[[str], str | None],
        clients: dict[str, EndpointClient],
        store: Store,
        driver: Driver,
    ) -> None:
        self.watched = {endpoint.name: WatchedEndpoint() for endpoint in endpoints}
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._desired_version = desired_version
        self._clients = clients
        self._store = store
        self._driver = driver
        self._leaving = LeavingEndpoints()
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    def state_of(self, name: str) -> EndpointState:
        """Return the state of an endpoint, DOWN if it is unknown."""
        watched = self.watched.get(name)
        return EndpointState.DOWN if watched is None else watched.state

    async def run(self) -> None:
        """Monitor all endpoints until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for endpoint in self._endpoints.values():
                self._start_watch(endpoint)
            nursery.start_soon(self._watch_instance_list)

    def set_endpoints(self, endpoints: tuple[EndpointCfg, ...]) -> None:
        """Start to monitor new and changed endpoints, and report removed ones as down."""
        before, self._endpoints = self._endpoints, {item.name: item for item in endpoints}
        for name, endpoint in before.items():
            if self._endpoints.get(name) != endpoint:
                self._stop_watch(name)
        for name, endpoint in self._endpoints.items():
            if name not in self.watched:
                self.watched[name] = WatchedEndpoint()
                self._start_watch(endpoint)

    def _start_watch(self, endpoint: EndpointCfg) -> None:
        if self._nursery is None:
            return
        self._scopes[endpoint.name] = scope = trio.CancelScope()
        self._nursery.start_soon(self._watch, endpoint, scope)

    def _stop_watch(self, name: str) -> None:
        watched = self.watched.pop(name)
        if name in self._scopes:
            self._scopes.pop(name).cancel()
        if watched.incarnation:
            self._driver.feed(
                EndpointStatus(
                    name, watched.incarnation, watched.weights_version, EndpointState.DOWN
                )
            )

    async def _watch(self, endpoint: EndpointCfg, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_load, endpoint)
                if endpoint.kind is EndpointKind.ENGINE:
                    nursery.start_soon(self._follow_cache_events, endpoint)

    def merge_leaving(self, marks: tuple[tuple[str, int], ...]) -> None:
        """Merge the leaving endpoints that a peer reports, as pairs of name and incarnation."""
        self._set_leaving(self._leaving.merge(marks), "peer")

    def leaving_endpoints(self) -> tuple[tuple[str, int], ...]:
        """Return the leaving endpoints to report to peers, as pairs of name and incarnation."""
        return self._leaving.snapshot()

    def _set_leaving(self, names: list[str], source: str) -> None:
        for name in names:
            watched = self.watched.get(name)
            if watched is not None and self._leaving.is_leaving(name, watched.incarnation):
                self._set_state(
                    name,
                    watched.incarnation,
                    watched.weights_version,
                    EndpointState.LEAVING,
                    source,
                )

    async def _watch_load(self, endpoint: EndpointCfg) -> None:
        client = self._clients[endpoint.name]
        while True:
            report = await client.get_report()
            if isinstance(report, CallFailed):
                self._record_missed_report(endpoint.name, report)
            else:
                self._apply_report(endpoint.name, report)
            await trio.sleep(self._report_interval_s(endpoint))

    def _report_interval_s(self, endpoint: EndpointCfg) -> float:
        watched = self.watched[endpoint.name]
        if watched.missed_reports:
            return MISSED_REPORT_RETRY_S
        desired_version = self._desired_version(endpoint.serves)
        is_current = desired_version in (None, watched.weights_version)
        return LOAD_INTERVAL_S if is_current else ROLLOUT_INTERVAL_S

    def _apply_report(self, name: str, report: EndpointReport) -> None:
        watched = self.watched[name]
        watched.missed_reports = 0
        watched.is_reachable = True
        state = _STATE_BY_NAME.get(report.state, EndpointState.DOWN)
        if state is EndpointState.LEAVING:
            self._leaving.mark(name, report.incarnation)
        if self._leaving.is_leaving(name, report.incarnation):
            state = EndpointState.LEAVING
        reported = (report.incarnation, report.weights_version, state)
        if reported != (watched.incarnation, watched.weights_version, watched.state):
            self._set_state(name, *reported, "report")
        self._driver.feed(
            LoadReported(
                name,
                report.incarnation,
                report.running,
                report.waiting,
                report.waiting_tokens,
                trio.current_time() - report.age_s,
            )
        )

    def _record_missed_report(self, name: str, failed: CallFailed) -> None:
        watched = self.watched[name]
        watched.missed_reports += 1
        is_unreachable = (
            failed.result is AttemptResult.NOT_SENT
            or watched.missed_reports >= MISSED_REPORTS_UNTIL_DOWN
        )
        if not is_unreachable or not watched.is_reachable:
            return
        watched.is_reachable = False
        log(LogEvent.ENDPOINT_DOWN, endpoint=name, error=failed.detail)
        if watched.state is EndpointState.LIVE:
            self._set_state(
                name, watched.incarnation, watched.weights_version, EndpointState.DOWN, "report"
            )
        self._driver.cancel_attempts_at(name, watched.incarnation)

    def _set_state(
        self, name: str, incarnation: int, version: str, state: EndpointState, source: str
    ) -> None:
        watched = self.watched[name]
        old_incarnation = watched.incarnation if watched.incarnation != incarnation else 0
        watched.incarnation, watched.weights_version, watched.state = incarnation, version, state
        if state is EndpointState.LIVE:
            log(LogEvent.ENDPOINT_LIVE, endpoint=name, incarnation=incarnation, weights=version)
        if state is EndpointState.LEAVING:
            log(LogEvent.ENDPOINT_LEAVING, endpoint=name, incarnation=incarnation, source=source)
        endpoint = self._endpoints[name]
        self._driver.feed(
            EndpointStatus(
                name, incarnation, version, state, endpoint.serves, endpoint.cache_pieces
            )
        )
        if old_incarnation:
            self._driver.cancel_attempts_at(name, old_incarnation)

    async def _follow_cache_events(self, endpoint: EndpointCfg) -> None:
        client = self._clients[endpoint.name]
        incarnation = 0
        after = 0
        while True:
            outcome = await client.cache_events(after)
            if isinstance(outcome, CallFailed):
                await trio.sleep(CACHE_EVENTS_RETRY_S)
                continue
            event_incarnation, events = outcome
            if event_incarnation != incarnation:
                # Read the events of a new incarnation from the first one on.
                incarnation, after = event_incarnation, 0
                if events and events[0].seq != 1:
                    continue
            for event in events:
                if after and event.seq > after + 1:
                    log(
                        LogEvent.CACHE_EVENTS_LOST,
                        endpoint=endpoint.name,
                        first_seq=after + 1,
                        last_seq=event.seq - 1,
                    )
                self._feed_cache_event(endpoint.name, incarnation, event)
                after = event.seq

    def _feed_cache_event(self, name: str, incarnation: int, event: CacheEvent) -> None:
        self._driver.feed(
            CacheChanged(name, incarnation, event.seq, event.seq, event.stored, event.evicted)
        )

    async def _watch_instance_list(self) -> None:
        while True:
            table = await self._store.read_table(INSTANCE_TABLE)
            if not isinstance(table, Unavailable):
                states = {row.key: (row.value or b"").decode() for row in table.rows}
                current = {name: watched.incarnation for name, watched in self.watched.items()}
                self._set_leaving(
                    self._leaving.apply_instance_list(states, current), "instance_list"
                )
            await trio.sleep(INSTANCE_LIST_INTERVAL_S)
