"""Tunnels to endpoints through peers: opens those of this instance and serves those of peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.core.tunnel_peers import TunnelPeers
from rattangate.front.endpoint_conn import ConnectFailed, open_directly
from rattangate.log_events import LogEvent, log
from rattangate.peers.framing import CONNECTION_ERRORS
from rattangate.peers.tunnel_codec import TunnelAnswer, TunnelOutcome, TunnelRequest
from rattangate.peers.tunnels import TunnelRefused, TunnelServer, open_tunnel

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rattangate.core.fleet import ListedEndpoint
    from rattangate.front.state import FrontState
    from rattangate.peers.handshake import PeerIdentity
    from rattangate.peers.tunnels import TunnelStream

OPEN_TIMEOUT_S = 1.0
# Tunnels that this instance serves at a time; each needs two file descriptors.
MAX_SERVED = 512
# Peers to ask for a tunnel to an endpoint while this instance reaches most endpoints itself, so
# that it is probably the endpoint that failed, and otherwise.
PEERS_ASKED = 2
PEERS_ASKED_IF_CUT_OFF = 4


@dataclass(frozen=True, slots=True)
class TunnelPeer:
    """Hold a peer that serves tunnels."""

    address: str
    data_centre: str
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class FoundPeer:
    """Hold a peer that reaches an endpoint, and the tunnel that was opened through it."""

    name: str
    stream: TunnelStream


class PeerTunnels:
    """Open and serve tunnels; none before `start` has set the identity of this instance."""

    def __init__(self, state: FrontState) -> None:
        self.server = TunnelServer(self._connect, self._apply_rest)
        self.is_leaving = False
        self._state = state
        self._identity: PeerIdentity | None = None
        self._peers: Mapping[str, TunnelPeer] = {}
        self._order = TunnelPeers(state.boot.instance)

    def start(self, identity: PeerIdentity) -> None:
        """Set the identity with which this instance opens tunnels."""
        self._identity = identity

    def set_peers(self, peers: Mapping[str, TunnelPeer]) -> None:
        """Set the live peers that serve tunnels."""
        self._peers = peers

    def close(self) -> None:
        """Serve no further requests of peers."""
        self.is_leaving = True
        self.server.close_all()

    @property
    def has_peers(self) -> bool:
        """Tell whether there is a peer to ask."""
        return self._identity is not None and bool(self._peers)

    async def find(self, listed: ListedEndpoint) -> FoundPeer | None:
        """Find a peer that reaches an endpoint, None if those asked do not."""
        data_centres = {name: peer.data_centre for name, peer in self._peers.items()}
        leaving = {name for name, peer in self._peers.items() if peer.is_leaving}
        now = trio.current_time()
        ranked = self._order.ranked(data_centres, listed.data_centre, now, leaving)
        is_cut_off = self._state.view.is_cut_off
        for name in ranked[: PEERS_ASKED_IF_CUT_OFF if is_cut_off else PEERS_ASKED]:
            try:
                return FoundPeer(name, await self.open(name, listed))
            except ConnectFailed:
                continue
        return None

    async def open(self, name: str, listed: ListedEndpoint) -> TunnelStream:
        """Open a tunnel to an endpoint through a peer; raise ConnectFailed if that fails."""
        peer = self._peers.get(name)
        if peer is None or self._identity is None:
            raise ConnectFailed(f"instance {name} is lost")
        request = TunnelRequest(listed.endpoint, listed.incarnation)
        try:
            with trio.fail_after(OPEN_TIMEOUT_S):
                return await open_tunnel(self._identity, peer.address, request)
        except TunnelRefused as exc:
            detail = exc.answer.outcome.name.lower()
            if exc.answer.outcome is TunnelOutcome.RESTING:
                self._state.back_off(listed.endpoint, listed.incarnation, exc.answer.rest_s)
        except CONNECTION_ERRORS as exc:
            detail = repr(exc)
        self._order.record_failure(name, trio.current_time())
        raise ConnectFailed(f"connecting to {listed.address} through {name} failed: {detail}")

    async def _connect(self, name: str, request: TunnelRequest) -> trio.SocketStream | TunnelAnswer:
        """Connect to an endpoint for a peer, or say why not."""
        opened = await self._try_connect(request)
        outcome = opened.outcome if isinstance(opened, TunnelAnswer) else TunnelOutcome.OPENED
        log(
            LogEvent.TUNNEL_REQUESTED,
            instance=name,
            endpoint=request.endpoint,
            incarnation=request.incarnation,
            outcome=outcome.name.lower(),
            tunnels=self.server.open_count,
        )
        return opened

    async def _try_connect(self, request: TunnelRequest) -> trio.SocketStream | TunnelAnswer:
        view = self._state.view
        listed = view.endpoints.get(request.endpoint)
        if listed is None or listed.incarnation != request.incarnation or listed.is_leaving:
            return TunnelAnswer(TunnelOutcome.REFUSED)
        if self.is_leaving or self.server.open_count >= MAX_SERVED:
            return TunnelAnswer(TunnelOutcome.REFUSED)
        rest_s = view.rest_s(request.endpoint, request.incarnation, trio.current_time())
        if rest_s > 0:
            return TunnelAnswer(TunnelOutcome.RESTING, rest_s)
        if not view.is_reachable(listed):
            return TunnelAnswer(TunnelOutcome.UNREACHABLE)
        try:
            return await open_directly(listed.address)
        except ConnectFailed:
            return TunnelAnswer(TunnelOutcome.UNREACHABLE)

    def _apply_rest(self, request: TunnelRequest, rest_s: float) -> None:
        self._state.back_off(request.endpoint, request.incarnation, rest_s)
