"""The state machine that places, limits and retries model requests."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    Departure,
    Dispatch,
    Effect,
    EndpointSeen,
    EndpointState,
    Placement,
    Refuse,
    RequestAbandoned,
    RequestArrived,
    SendNews,
    Tick,
)
from rattangate.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from rattangate.core.messages import Message

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class GatewayCfg:
    """Hold the settings of the gateway core."""

    piece_tokens: int
    recompute_weight: float


@dataclass(slots=True)
class _Running:
    req: RequestArrived
    attempt: int
    endpoint: str
    tried: set[str] = field(default_factory=set)


class Gateway:
    """Decide where each request runs; take messages, return effects, do no I/O."""

    def __init__(self, cfg: GatewayCfg, seed: int) -> None:
        self.cfg = cfg
        self.endpoints: dict[str, EndpointSeen] = {}
        self._running: dict[int, _Running] = {}
        self._placements: list[Placement] = []
        self._departures: list[Departure] = []
        self._seq = 0

    def handle(self, msg: Message, now: float) -> list[Effect]:
        """Apply one message and return the effects to carry out."""
        return self._handle(msg, now)

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> list[Effect]:
        return []

    @_handle.register
    def _on_request(self, msg: RequestArrived, now: float) -> list[Effect]:
        self._running[msg.req_id] = _Running(msg, 0, "")
        return self._place(msg.req_id)

    @_handle.register
    def _on_attempt_ended(self, msg: AttemptEnded, now: float) -> list[Effect]:
        run = self._running.get(msg.req_id)
        if run is None:
            return []
        if msg.result in (AttemptResult.COMPLETED, AttemptResult.CANCELLED):
            del self._running[msg.req_id]
            return []
        return self._place(msg.req_id)

    @_handle.register
    def _on_abandoned(self, msg: RequestAbandoned, now: float) -> list[Effect]:
        self._running.pop(msg.req_id, None)
        return []

    @_handle.register
    def _on_endpoint(self, msg: EndpointSeen, now: float) -> list[Effect]:
        known = self.endpoints.get(msg.endpoint)
        if known is not None and known.incarnation > msg.incarnation:
            return []
        if known is not None and known.state is EndpointState.LEAVING:
            if known.incarnation == msg.incarnation:
                msg = replace(msg, state=EndpointState.LEAVING)
        self.endpoints[msg.endpoint] = msg
        return []

    @_handle.register
    def _on_tick(self, msg: Tick, now: float) -> list[Effect]:
        if not self._placements and not self._departures:
            return []
        self._seq += 1
        news = SendNews(self._seq, tuple(self._placements), tuple(self._departures))
        self._placements.clear()
        self._departures.clear()
        return [news]

    def _place(self, req_id: int) -> list[Effect]:
        run = self._running[req_id]
        live = [
            seen
            for name, seen in self.endpoints.items()
            if seen.state is EndpointState.LIVE and name not in run.tried
        ]
        if not live or run.attempt >= MAX_ATTEMPTS:
            del self._running[req_id]
            kind = ErrorKind.NO_ENDPOINT if run.attempt == 0 else ErrorKind.RETRIES_EXHAUSTED
            return [Refuse(req_id, Failure(kind))]
        chosen = max(live, key=lambda seen: _rendezvous_score(seen.endpoint, run.req.pieces))
        run.attempt += 1
        run.endpoint = chosen.endpoint
        run.tried.add(chosen.endpoint)
        self._placements.append(
            Placement(
                chosen.endpoint,
                chosen.incarnation,
                run.req.scope.workspace,
                run.req.pieces,
                run.req.prompt_tokens,
                run.req.max_tokens,
                run.req.priority,
            )
        )
        return [
            Dispatch(
                req_id, run.attempt, chosen.endpoint, chosen.incarnation, chosen.weights_version
            )
        ]


def _rendezvous_score(endpoint: str, pieces: tuple[int, ...]) -> bytes:
    first = pieces[0] if pieces else 0
    return blake2b(endpoint.encode() + first.to_bytes(8, "big"), digest_size=8).digest()
