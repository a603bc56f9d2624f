"""The application object of an entry instance on the hosting platform: wires and owns its parts."""

from __future__ import annotations

import math
import time
from collections import Counter
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import trio

import rattangate
from rattangate.clock import boottime_now
from rattangate.connection_budget import make_connection_budget, make_unlimited_budget
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.leases import Holder, Lease
from rattangate.core.messages import Tick
from rattangate.core.routes import ConnectionLimits
from rattangate.driver import Driver
from rattangate.front.caller_conn import CallerConn, CallerHandler
from rattangate.front.forward import Forwarder
from rattangate.front.peers import MIN_RETRY_SHARES, Peers
from rattangate.front.reload import SettingsReloader
from rattangate.front.replica_orders import (
    ADDRESS_SEPARATOR,
    LEASE_TERM_S,
    MAX_RETRY_S,
    ReplicaOrders,
)
from rattangate.front.signals import SignalHandler
from rattangate.front.state import PIECE_TOKENS, FrontState
from rattangate.front.store_watchers import EndpointListWatcher, OperatorConfigWatcher
from rattangate.listeners import listen
from rattangate.log_events import LogEvent, log
from rattangate.metrics import METRICS_PATH, METRICS_PORT, Metrics
from rattangate.orders import OrderController
from rattangate.platform import wire
from rattangate.platform.orders import OrderClient
from rattangate.platform.store import Store
from rattangate.records.lease_row import ORDERS_LEASE_KEY, LeaseRow
from rattangate.sockets import set_socket_options

if TYPE_CHECKING:
    from rattangate.core.messages import SendPeerUpdate
    from rattangate.front.caller_conn import CallerRequest
    from rattangate.front.responder import Responder
    from rattangate.log_events import LineWriter
    from rattangate.platform.boot import BootSettings

# Tick intervals while requests are queued here, while requests only run, and while there is none.
TICK_S = 0.02
RUNNING_TICK_S = 0.05
IDLE_TICK_S = 0.1
METRICS_WINDOW_S = 60.0
RECOMPUTE_WEIGHT = 1.0
FETCH_S_PER_TOKEN = 3e-6
OLD_VERSION_COST_S = 0.3
FAILURE_COST_S = 0.5
# A peer's report of a first token that has not come after this time counts as lost.
PEER_WORK_S = 10.0
NEWS_INTERVAL_S = 0.1
USAGE_INTERVAL_S = 1.0
# Expected wait at an endpoint up to which it is sent more requests.
BIND_WAIT_S = 0.3
# Share of the platform's retry ratio that is used.
RETRY_RATIO_SHARE = 0.8
NS_PER_MS = 1_000_000
# The load balancer probes readiness once per second and removes an instance after two failures.
BALANCER_NOTICE_S = 2.5
DRAIN_POLL_S = 0.05
# Draining ends this long before the end of the grace period.
EXIT_MARGIN_S = 0.3
# No request is sent to an endpoint this long before the end of draining, nor taken from a peer.
LAST_SEND_S = 2.0
# The requests that are left are answered this long before the end of draining.
LAST_ANSWER_S = 0.2
BACKLOG = 512


class FrontApp:
    """Run one entry instance."""

    def __init__(
        self, boot: BootSettings, log_writer: LineWriter, metrics_port: int = METRICS_PORT
    ) -> None:
        self.boot = boot
        self.metrics_address = f"{boot.ip}:{metrics_port}"
        self.incarnation = time.time_ns() // NS_PER_MS
        self.metrics = Metrics()
        self.is_leaving = False
        self.is_closing = False
        self._listen_scope = trio.CancelScope()
        self._log_writer = log_writer
        self._conns: set[CallerConn] = set()
        self._listening: set[str] = set()
        self._peers: Peers | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then let the requests in progress finish."""
        async with AsyncExitStack() as stack:
            store = await stack.enter_async_context(Store(self.boot.store_address))
            client = await stack.enter_async_context(OrderClient())
            nursery = await stack.enter_async_context(trio.open_nursery())
            driver = Driver(self._make_gateway(), self.metrics, self._send_news)
            self.state = FrontState(self.boot, driver, nursery, store.clock)
            reloader = SettingsReloader(self.state)
            signals = SignalHandler(reloader.request_reload)
            await nursery.start(signals.run)
            self.forwarder = Forwarder(
                self.state, self.metrics, lambda: self.is_closing, self._announce_leaving
            )
            own_budget = make_unlimited_budget(self.metrics)
            ready = CallerHandler(self._handle_readiness, own_budget)
            nursery.start_soon(self._serve, self.boot.ready_address, ready)
            metrics = CallerHandler(self._handle_metrics, own_budget)
            nursery.start_soon(self._serve, self.metrics_address, metrics)
            nursery.start_soon(self._serve_callers, nursery)
            self._peers = Peers(store, self.state, self.incarnation, self.metrics)
            nursery.start_soon(OperatorConfigWatcher(store, self.state, self._peers).run)
            nursery.start_soon(EndpointListWatcher(store, self.state, self._peers).run)
            order_controller = self._make_order_controller(store, client, self._peers)
            nursery.start_soon(self._peers.run)
            nursery.start_soon(order_controller.run)
            nursery.start_soon(reloader.run)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._rotate_metrics)
            log(
                LogEvent.INSTANCE_STARTED,
                instance=self.boot.instance,
                version=rattangate.__version__,
                address=self.boot.caller_address,
            )
            await signals.wait_stop()
            order_controller.stop()
            nursery.start_soon(self._peers.mark_leaving)
            await self._drain()
            await self._peers.deregister()
            log(
                LogEvent.INSTANCE_STOPPED,
                instance=self.boot.instance,
                streams_cut=self.forwarder.in_flight,
            )
            nursery.cancel_scope.cancel()

    @property
    def is_ready(self) -> bool:
        """Tell whether the load balancer should send new connections here."""
        is_listening = self.boot.caller_address in self._listening
        return is_listening and self.state.is_initialized and not self.is_leaving

    def _make_gateway(self) -> Gateway:
        bounds = self.boot.bounds
        scheduler = RequestSchedulerCfg(
            instance=self.boot.instance,
            retry_ratio=RETRY_RATIO_SHARE * bounds.retry_ratio,
            retry_slack=bounds.retry_slack,
            retry_capacity=bounds.retry_slack,
            retry_shares=MIN_RETRY_SHARES,
            # The operator's configuration on this platform has no stream limits for workspaces.
            default_max_streams=math.inf,
            max_endpoint_wait_s=BIND_WAIT_S,
        )
        cfg = GatewayCfg(
            PIECE_TOKENS,
            RECOMPUTE_WEIGHT,
            learn_caches=False,
            scheduler=scheduler,
            fetch_s_per_token=FETCH_S_PER_TOKEN,
            old_version_cost_s=OLD_VERSION_COST_S,
            failure_cost_s=FAILURE_COST_S,
            peer_request_timeout_s=PEER_WORK_S,
            news_interval_s=NEWS_INTERVAL_S,
            usage_interval_s=USAGE_INTERVAL_S,
        )
        return Gateway(cfg, seed=self.incarnation)

    def _make_order_controller(
        self, store: Store, client: OrderClient, peers: Peers
    ) -> OrderController:
        # The address tells this instance apart from a replacement that starts under the same name
        # before this one has ended.
        holder = Holder(f"{self.boot.instance}{ADDRESS_SEPARATOR}{self.boot.ip}", self.incarnation)
        lease = Lease(holder, LEASE_TERM_S)
        orders = ReplicaOrders(client, self.state, peers.announce_weights, peers.succession_rank)
        row = LeaseRow(store, ORDERS_LEASE_KEY)
        return OrderController(lease, row, orders, boottime_now, MAX_RETRY_S)

    async def _drain(self) -> None:
        deadline = trio.current_time() + self.boot.bounds.grace_s - EXIT_MARGIN_S
        self.is_leaving = True
        in_flight = self.forwarder.in_flight
        log(LogEvent.INSTANCE_DRAINING, instance=self.boot.instance, streams=in_flight)
        await trio.sleep(BALANCER_NOTICE_S)
        self.is_closing = True
        self._listen_scope.cancel()
        for conn in list(self._conns):
            conn.close_if_idle()
        # Peers without links of their own may depend on this instance for as long as it runs.
        with trio.move_on_at(deadline - LAST_SEND_S):
            await self._wait_until_idle()
        self.forwarder.refuse_waiting()
        self.state.paths.tunnels.close()
        with trio.move_on_at(deadline - LAST_ANSWER_S):
            await self._wait_until_idle()
        self.forwarder.end_all()
        with trio.move_on_at(deadline):
            await self._wait_until_idle()

    async def _wait_until_idle(self) -> None:
        server = self.state.paths.tunnels.server
        while self.forwarder.in_flight or self._conns or server.open_count:
            await trio.sleep(DRAIN_POLL_S)

    async def _serve_callers(self, nursery: trio.Nursery) -> None:
        """Accept callers until the instance closes; accepted connections go on in the nursery."""
        budget = make_connection_budget(self.boot.memory_bytes, self.boot.max_fds, self.metrics)
        handler = CallerHandler(self.forwarder.handle, budget, self.forwarder.wants_body)
        with self._listen_scope:
            await self._serve(self.boot.caller_address, handler, nursery)

    async def _serve(
        self, address: str, handler: CallerHandler, nursery: trio.Nursery | None = None
    ) -> None:
        listeners = await listen(address, BACKLOG)
        self._listening.add(address)

        async def serve_conn(stream: trio.SocketStream) -> None:
            set_socket_options(stream.socket)
            conn = CallerConn(stream, handler, self._connection_limits, lambda: self.is_closing)
            self._conns.add(conn)
            try:
                await conn.run()
            except Exception as exc:  # noqa: BLE001 - one connection must not end the others
                log(LogEvent.INTERNAL_FAULT, where="connection", error=repr(exc))
            finally:
                self._conns.discard(conn)

        await trio.serve_listeners(serve_conn, listeners, handler_nursery=nursery)

    def _connection_limits(self) -> ConnectionLimits:
        config = self.state.config
        return ConnectionLimits() if config is None else config.limits

    async def _handle_readiness(self, req: CallerRequest, responder: Responder) -> None:
        is_ready = self.is_ready and req.target == wire.READY_PATH.encode()
        await responder.respond(200 if is_ready else 503, [], b"")

    async def _handle_metrics(self, req: CallerRequest, responder: Responder) -> None:
        if req.target != METRICS_PATH.encode():
            await responder.respond(404, [], b"")
            return
        self._set_gauges()
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await responder.respond(200, headers, self.metrics.render())

    def _set_gauges(self) -> None:
        endpoints = self.state.driver.gateway.endpoints.values()
        self.metrics.set_endpoints(Counter(item.status.state for item in endpoints))
        unreachable = self.state.view.count_unreachable()
        self.metrics.unreachable_endpoints.set(unreachable)
        self.metrics.peers.set(0 if self._peers is None else self._peers.count)
        config = self.state.config
        self.metrics.config_version.set(0 if config is None else config.version)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(self._tick_s())
            self.state.tick()
            self.state.driver.feed(Tick())
            self._log_writer.flush()
            self.metrics.log_lines_dropped.inc(self._log_writer.take_dropped())

    def _tick_s(self) -> float:
        scheduler = self.state.driver.gateway.scheduler
        if len(scheduler.queue):
            return TICK_S
        return RUNNING_TICK_S if scheduler.active_requests else IDLE_TICK_S

    async def _rotate_metrics(self) -> None:
        while True:
            await trio.sleep(METRICS_WINDOW_S)
            self.metrics.rotate()

    def _announce_leaving(self, endpoint: str, incarnation: int) -> None:
        if self._peers is not None:
            self._peers.announce_leaving(endpoint, incarnation)

    def _send_news(self, sent: SendPeerUpdate) -> None:
        if self._peers is not None:
            self._peers.send_news(sent)
