"""The watch over endpoints: state, load, cache events and the store's list of instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.config.model import EndpointKind
from rattangate.core.leaving import LeavingMarks
from rattangate.core.messages import (
    AttemptResult,
    CacheChanged,
    EndpointSeen,
    EndpointState,
    LoadReported,
)
from rattangate.endpoints.client import OpenFailed
from rattangate.log_events import LogEvent, log
from rattangate.platform.outcomes import Unavailable

if TYPE_CHECKING:
    from rattangate.config.model import EndpointCfg
    from rattangate.driver import Driver
    from rattangate.endpoints.client import CacheEvent, EndpointClient, EndpointReport
    from rattangate.platform.store import Store

LOAD_INTERVAL_S = 1.0
RECHECK_INTERVAL_S = 0.25
MISSED_REPORTS = 2
EVENTS_RETRY_S = 0.2
INSTANCE_LIST_INTERVAL_S = 0.5
# Its rows hold the states of instances and endpoints, `live` or `leaving`.
LIST_TABLE = "instances"

_STATES = {"live": EndpointState.LIVE, "leaving": EndpointState.LEAVING}


@dataclass(slots=True)
class Watched:
    """Hold what one instance last saw of an endpoint."""

    incarnation: int = 0
    weights_version: str = ""
    state: EndpointState = EndpointState.DOWN
    is_reachable: bool = False
    misses: int = 0


class Monitor:
    """Watch all endpoints and tell the driver what changes."""

    def __init__(
        self,
        endpoints: tuple[EndpointCfg, ...],
        clients: dict[str, EndpointClient],
        store: Store,
        driver: Driver,
    ) -> None:
        self.watched = {endpoint.name: Watched() for endpoint in endpoints}
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._clients = clients
        self._store = store
        self._driver = driver
        self._marks = LeavingMarks()
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    def state_of(self, name: str) -> EndpointState:
        """Return the state of an endpoint."""
        seen = self.watched.get(name)
        return EndpointState.DOWN if seen is None else seen.state

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for endpoint in self._endpoints.values():
                self._start_watch(endpoint)
            nursery.start_soon(self._watch_instance_list)

    def set_endpoints(self, endpoints: tuple[EndpointCfg, ...]) -> None:
        """Watch new and changed endpoints, and give no more work to those that are gone."""
        before, self._endpoints = self._endpoints, {item.name: item for item in endpoints}
        for name, endpoint in before.items():
            if self._endpoints.get(name) != endpoint:
                self._end_watch(name)
        for name, endpoint in self._endpoints.items():
            if name not in self.watched:
                self.watched[name] = Watched()
                self._start_watch(endpoint)

    def _start_watch(self, endpoint: EndpointCfg) -> None:
        if self._nursery is None:
            return
        self._scopes[endpoint.name] = scope = trio.CancelScope()
        self._nursery.start_soon(self._watch, endpoint, scope)

    def _end_watch(self, name: str) -> None:
        seen = self.watched.pop(name)
        if name in self._scopes:
            self._scopes.pop(name).cancel()
        if seen.incarnation:
            self._driver.feed(
                EndpointSeen(name, seen.incarnation, seen.weights_version, EndpointState.DOWN)
            )

    async def _watch(self, endpoint: EndpointCfg, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_load, endpoint)
                if endpoint.kind is EndpointKind.ENGINE:
                    nursery.start_soon(self._follow_cache, endpoint)

    def take_marks(self, marks: tuple[tuple[str, int], ...]) -> None:
        """Take a peer's marks of leaving endpoints."""
        self._show_marks(self._marks.mark_told(marks), "peer")

    def leaving_marks(self) -> tuple[tuple[str, int], ...]:
        """Return the marks of leaving endpoints for the peers."""
        return self._marks.news()

    def _show_marks(self, names: list[str], source: str) -> None:
        for name in names:
            seen = self.watched.get(name)
            if seen is not None and self._marks.is_leaving(name, seen.incarnation):
                self._change(
                    name, seen.incarnation, seen.weights_version, EndpointState.LEAVING, source
                )

    async def _watch_load(self, endpoint: EndpointCfg) -> None:
        client = self._clients[endpoint.name]
        while True:
            report = await client.report()
            if isinstance(report, OpenFailed):
                self._miss(endpoint.name, report)
            else:
                self._apply_report(endpoint.name, report)
            is_sure = self.watched[endpoint.name].misses == 0
            await trio.sleep(LOAD_INTERVAL_S if is_sure else RECHECK_INTERVAL_S)

    def _apply_report(self, name: str, report: EndpointReport) -> None:
        seen = self.watched[name]
        seen.misses = 0
        seen.is_reachable = True
        state = _STATES.get(report.state, EndpointState.DOWN)
        if state is EndpointState.LEAVING:
            self._marks.mark(name, report.incarnation)
        if self._marks.is_leaving(name, report.incarnation):
            state = EndpointState.LEAVING
        now_seen = (report.incarnation, report.weights_version, state)
        if now_seen != (seen.incarnation, seen.weights_version, seen.state):
            self._change(name, *now_seen, "report")
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

    def _miss(self, name: str, failed: OpenFailed) -> None:
        seen = self.watched[name]
        seen.misses += 1
        is_gone = failed.result is AttemptResult.NOT_SENT or seen.misses >= MISSED_REPORTS
        if not is_gone or not seen.is_reachable:
            return
        seen.is_reachable = False
        log(LogEvent.ENDPOINT_DOWN, endpoint=name, error=failed.detail)
        if seen.state is EndpointState.LIVE:
            self._change(name, seen.incarnation, seen.weights_version, EndpointState.DOWN, "report")
        self._driver.drop_endpoint(name, seen.incarnation)

    def _change(
        self, name: str, incarnation: int, version: str, state: EndpointState, source: str
    ) -> None:
        seen = self.watched[name]
        replaced = seen.incarnation if seen.incarnation != incarnation else 0
        seen.incarnation, seen.weights_version, seen.state = incarnation, version, state
        if state is EndpointState.LIVE:
            log(LogEvent.ENDPOINT_LIVE, endpoint=name, incarnation=incarnation, weights=version)
        if state is EndpointState.LEAVING:
            log(LogEvent.ENDPOINT_LEAVING, endpoint=name, incarnation=incarnation, source=source)
        endpoint = self._endpoints[name]
        self._driver.feed(
            EndpointSeen(name, incarnation, version, state, endpoint.serves, endpoint.cache_pieces)
        )
        if replaced:
            self._driver.drop_endpoint(name, replaced)

    async def _follow_cache(self, endpoint: EndpointCfg) -> None:
        client = self._clients[endpoint.name]
        incarnation = 0
        after = 0
        while True:
            outcome = await client.cache_events(after)
            if isinstance(outcome, OpenFailed):
                await trio.sleep(EVENTS_RETRY_S)
                continue
            seen_incarnation, events = outcome
            if seen_incarnation != incarnation:
                incarnation, after = seen_incarnation, 0
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
                self._feed_event(endpoint.name, incarnation, event)
                after = event.seq

    def _feed_event(self, name: str, incarnation: int, event: CacheEvent) -> None:
        self._driver.feed(
            CacheChanged(name, incarnation, event.seq, event.seq, event.stored, event.evicted)
        )

    async def _watch_instance_list(self) -> None:
        while True:
            listed = await self._store.read_table(LIST_TABLE)
            if not isinstance(listed, Unavailable):
                states = {row.key: (row.value or b"").decode() for row in listed.rows}
                current = {name: seen.incarnation for name, seen in self.watched.items()}
                self._show_marks(self._marks.mark_listed(states, current), "instance_list")
            await trio.sleep(INSTANCE_LIST_INTERVAL_S)
