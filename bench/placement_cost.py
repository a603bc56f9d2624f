"""Measure the processor time to place a request and to apply a peer's placement, by engines."""

from __future__ import annotations

import random
import time

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    Dispatch,
    EndpointState,
    EndpointStatus,
    PeerUpdateReceived,
    Placement,
    RequestArrived,
)
from rattangate.core.prefix import CacheScope

SIZES = (6, 39, 70, 350, 1_200)
PIECE_TOKENS = 128
SHARED_PIECES = 49
UNSHARED_PIECES = 23
UNSHARED_BASE = 1_000_000_000
PROMPTS = 200
ROUNDS = 600
WARM_UP = 200
MICROS_PER_S = 1_000_000


def main() -> None:
    """Print both times, in microseconds, for each number of engines."""
    print("engines  own us  peer's us")
    for count in SIZES:
        print(f"{count:7}  {_local_us(count):6.0f}  {_peer_us(count):9.0f}")


def _make_gateway(count: int) -> Gateway:
    cfg = GatewayCfg(PIECE_TOKENS, 1.0, learn_caches=False, fetch_s_per_token=3e-6)
    gateway = Gateway(cfg, seed=1)
    for number in range(count):
        gateway.handle(_engine(f"e{number}"), 0.0)
    gateway.handle(EndpointStatus("keep", 0, "", EndpointState.CACHE_STORE, "keep", 9_000), 0.0)
    return gateway


def _engine(name: str) -> EndpointStatus:
    return EndpointStatus(name, 1, "1", EndpointState.LIVE, "llm", 725)


def _pieces(prompt: int, req_id: int) -> tuple[int, ...]:
    shared = range(prompt * 1_000, prompt * 1_000 + SHARED_PIECES)
    unshared = range(UNSHARED_BASE + req_id * 100, UNSHARED_BASE + req_id * 100 + UNSHARED_PIECES)
    return (*shared, *unshared)


def _local_us(count: int) -> float:
    gateway = _make_gateway(count)
    rng = random.Random(1)
    cpu_s = 0.0
    for req_id in range(1, ROUNDS + 1):
        pieces = _pieces(rng.randrange(PROMPTS), req_id)
        tokens = len(pieces) * PIECE_TOKENS
        scope = CacheScope("", "llm", "m", "1")
        now = req_id * 0.05
        req = RequestArrived(req_id, scope, pieces, tokens, 13, b"", 1, now + 5.0)
        started = time.process_time()
        effects = gateway.handle(req, now)
        if req_id > WARM_UP:
            cpu_s += time.process_time() - started
        for effect in effects:
            if isinstance(effect, Dispatch):
                ended = AttemptEnded(effect.req_id, effect.attempt, AttemptResult.COMPLETED)
                gateway.handle(ended, now + 0.02)
    return cpu_s / (ROUNDS - WARM_UP) * MICROS_PER_S


def _peer_us(count: int) -> float:
    gateway = _make_gateway(count)
    rng = random.Random(1)
    cpu_s = 0.0
    for number in range(1, ROUNDS + 1):
        pieces = _pieces(rng.randrange(PROMPTS), number)
        tokens = len(pieces) * PIECE_TOKENS
        name = f"e{rng.randrange(count)}"
        placement = Placement(name, 1, "w", pieces, tokens, 13, 1, number)
        msg = PeerUpdateReceived("peer", 1, number, (placement,), ())
        started = time.process_time()
        gateway.handle(msg, number * 0.05)
        if number > WARM_UP:
            cpu_s += time.process_time() - started
    return cpu_s / (ROUNDS - WARM_UP) * MICROS_PER_S


if __name__ == "__main__":
    main()
