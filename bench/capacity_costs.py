"""Measure the processor time and the size of each kind of control message."""

from __future__ import annotations

import itertools
from functools import partial
from random import Random

import msgspec

from bench.capacity_series import Series, cpu_micros
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CacheChanged,
    Dispatch,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    LoadReported,
    PeerUpdateReceived,
    Placement,
    PlacementRelease,
    RequestArrived,
)
from rattangate.core.prefix import CacheScope
from rattangate.peers.codec import PeerUpdate, decode_update, encode_update

PIECE_TOKENS = 4000
BATCHES = (1, 8, 16, 32, 64)
PIECES = (1, 8, 16, 32, 64)
ENDPOINTS = (10, 50, 100, 150, 200)
PROMPTS = 64
SCOPE = CacheScope("workspace-1", "model-1", "", "1")
_rng = Random(11)


def measure_all() -> dict[str, Series]:
    """Measure all series and return them by key."""
    all_series = [
        *_update_by_batch(),
        *_update_by_pieces(),
        _apply_by_batch(),
        _apply_by_pieces(),
        *_cache_events(),
        _load_reports(),
        _request_cycle(),
    ]
    return {series.key: series for series in all_series}


def _update_by_batch() -> list[Series]:
    messages = [(count, _make_update(count, 8)) for count in BATCHES]
    frames = [(count, encode_update(update)) for count, update in messages]
    return [
        Series("news_bytes", "size of a peer update, 8 pieces each", "placements", "bytes",
               tuple((n, len(frame)) for n, frame in frames)),
        Series("news_encode", "encode a peer update, 8 pieces each", "placements", "us",
               tuple((n, cpu_micros(partial(encode_update, update))) for n, update in messages)),
        Series("news_decode", "decode a peer update, 8 pieces each", "placements", "us",
               tuple((n, cpu_micros(partial(decode_update, frame))) for n, frame in frames)),
    ]  # fmt: skip


def _update_by_pieces() -> list[Series]:
    messages = [(count, _make_update(1, count)) for count in PIECES]
    return [
        Series("piece_bytes", "size of a peer update, 1 placement", "pieces", "bytes",
               tuple((n, len(encode_update(update))) for n, update in messages)),
        Series("piece_codec", "encode and decode a peer update, 1 placement", "pieces", "us",
               tuple((n, cpu_micros(partial(_round_trip, update)))
                     for n, update in messages)),
    ]  # fmt: skip


def _apply_by_batch() -> Series:
    points = tuple((count, _apply_cost(count, 8)) for count in BATCHES)
    return Series(
        "apply", "apply a peer update, 8 pieces each, 11 engines", "placements", "us", points
    )


def _apply_by_pieces() -> Series:
    points = tuple((count, _apply_cost(1, count)) for count in PIECES)
    return Series("apply_piece", "apply a peer update, 1 placement", "pieces", "us", points)


def _apply_cost(count: int, pieces: int) -> float:
    gateway = _gateway(11)
    numbers = itertools.count(1)

    def func() -> None:
        seq = next(numbers)
        update = _make_update(count, pieces, first=seq * count)
        gateway.handle(
            PeerUpdateReceived("entry-2", 5, seq, update.placements, update.releases), seq * 0.1
        )

    total_us = cpu_micros(func)
    return total_us - cpu_micros(lambda: _make_update(count, pieces))


def _cache_events() -> list[Series]:
    points, sizes = [], []
    for count in (1, 8, 16, 32, 64):
        gateway = _gateway(1, cache_pieces=28_000)
        seqs = itertools.count(1)
        body = msgspec.json.encode(
            {"seq": 1, "stored": _pieces(count // 2 + 1), "evicted": _pieces(count // 2)}
        )

        def func(gateway: Gateway = gateway, seqs=seqs, body: bytes = body) -> None:  # type: ignore[no-untyped-def]
            raw = msgspec.json.decode(body)
            seq = next(seqs)
            msg = CacheChanged("engine-0", 1, seq, seq, tuple(raw["stored"]), tuple(raw["evicted"]))
            gateway.handle(msg, seq * 0.01)

        events = count // 2 + 1 + count // 2
        points.append((events, cpu_micros(func)))
        sizes.append((events, float(len(body))))
    size = "events in a message"
    return [
        Series("event_cpu", "decode and apply cache events", size, "us", tuple(points)),
        Series("event_bytes", "size of cache events in JSON", size, "bytes", tuple(sizes)),
    ]


def _load_reports() -> Series:
    points = []
    for count in ENDPOINTS:
        gateway = _gateway(count)
        body = msgspec.json.encode(
            {"incarnation": 1, "running": 3, "waiting": 2, "waiting_tokens": 9000, "age_s": 0.1}
        )

        def func(gateway: Gateway = gateway, count: int = count, body: bytes = body) -> None:
            for index in range(count):
                raw = msgspec.json.decode(body)
                gateway.handle(
                    LoadReported(
                        f"engine-{index}", raw["incarnation"], raw["running"], raw["waiting"],
                        raw["waiting_tokens"], 1.0,
                    ),
                    1.0,
                )  # fmt: skip

        points.append((count, cpu_micros(func)))
    return Series("load", "decode and apply one load report each", "endpoints", "us", tuple(points))


def _request_cycle() -> Series:
    points = []
    for count in ENDPOINTS:
        gateway = _gateway(count)
        numbers = itertools.count(1)

        def func(gateway: Gateway = gateway, numbers=numbers) -> None:  # type: ignore[no-untyped-def]
            number = next(numbers)
            now = number * 0.1
            effects = gateway.handle(_request(number, now), now)
            dispatch = next(effect for effect in effects if isinstance(effect, Dispatch))
            gateway.handle(FirstTokenSeen(number, dispatch.attempt, 8000), now + 0.01)
            ended = AttemptEnded(number, dispatch.attempt, AttemptResult.COMPLETED, 10)
            gateway.handle(ended, now + 0.02)
            gateway._placements.clear()
            gateway._releases.clear()

        points.append((count, cpu_micros(func)))
    return Series(
        "request", "place, first token and end of a request, 8 pieces", "endpoints", "us",
        tuple(points),
    )  # fmt: skip


def _round_trip(update: PeerUpdate) -> PeerUpdate:
    return decode_update(encode_update(update))


def _make_update(count: int, pieces: int, first: int = 0) -> PeerUpdate:
    placements = tuple(
        Placement(
            f"engine-{index % 11}", 1, "workspace-1", _pieces(pieces), 4000 * pieces, 300, 1,
            first + index, digest=b"12345678",
        )
        for index in range(count)
    )  # fmt: skip
    releases = tuple(
        PlacementRelease(f"engine-{index % 11}", 1, 4000 * pieces, 300, first + index, 4000)
        for index in range(count)
    )
    return PeerUpdate("entry-2", 5, 1, 1, False, placements, releases, ())


def _pieces(count: int) -> tuple[int, ...]:
    return tuple(_rng.getrandbits(63) for _ in range(count))


def _gateway(endpoints: int, cache_pieces: int = 4096) -> Gateway:
    gateway = Gateway(GatewayCfg(PIECE_TOKENS, 1.0), seed=1)
    for index in range(endpoints):
        gateway.handle(
            EndpointStatus(f"engine-{index}", 1, "1", EndpointState.LIVE, "model-1", cache_pieces),
            0.0,
        )
    return gateway


def _request(number: int, now: float) -> RequestArrived:
    prompt = Random(number % PROMPTS)
    pieces = tuple(prompt.getrandbits(63) for _ in range(8))
    return RequestArrived(
        number, SCOPE, pieces, 32_500, 300, number.to_bytes(8, "big"), 1, now + 1000.0
    )
