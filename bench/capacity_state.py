"""Measure the memory of the cache models and the cost of settings, membership and sockets."""

from __future__ import annotations

import gc
import tracemalloc
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from bench.capacity_series import Series, cpu_micros
from bench.membership_sim import MembershipSim
from rattangate.config.load import settings_from_sources
from rattangate.config.model import Settings
from rattangate.config.tree import Source
from rattangate.core.cache_model import CacheModel, CachePredictor, EvictionPolicy
from rattangate.core.messages import LimitsUpdate, WorkspaceUsage
from rattangate.peers.codec import PeerUpdate, decode_update, encode_update

if TYPE_CHECKING:
    from collections.abc import Callable

TABLE_PIECES = (5_000, 10_000, 20_000, 40_000)
CONFIG_ENDPOINTS = (25, 50, 100, 200)
MEMBERS = (16, 32, 64, 128, 256, 350)
USED_WORKSPACES = (4, 16, 64, 256, 530)
MESSAGE_COUNTS = (200, 400, 800)
WORKSPACES = 530
MESSAGE = bytes(300)
SETTLE_S = 15.0
MEASURE_S = 5.0
_rng = Random(12)


def measure_all() -> dict[str, Series]:
    """Measure all series and return them by key."""
    all_series = [
        *_cache_model_memory(),
        _sockets(),
        *_usage_updates(),
        *_config(),
        *_membership(),
    ]
    return {series.key: series for series in all_series}


def _cache_model_memory() -> list[Series]:
    all_models, one_model = [], []
    for count in TABLE_PIECES:
        all_models.append((count, _traced_bytes(count, CachePredictor(count).record_use)))
        model = CacheModel(EvictionPolicy.LRU)
        one_model.append((count, _traced_bytes(count, partial(model.record_use, capacity=count))))
    return [
        Series("picture", "cache contents, three models", "pieces", "bytes", tuple(all_models)),
        Series("model", "cache contents, one model", "pieces", "bytes", tuple(one_model)),
    ]


def _traced_bytes(count: int, use: Callable[[tuple[int, ...], float], None]) -> float:
    gc.collect()
    tracemalloc.start()
    for start in range(0, count, 8):
        use(tuple(_rng.getrandbits(64) for _ in range(8)), start * 0.01)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def _sockets() -> Series:
    points = tuple(
        (count, cpu_micros(partial(trio.run, _exchange, count))) for count in MESSAGE_COUNTS
    )
    return Series("socket", "send and receive 300 bytes over TCP", "messages", "us", points)


async def _exchange(count: int) -> None:
    async def echo(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, echo, 0, host="127.0.0.1"))
        port = listeners[0].socket.getsockname()[1]
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            for _ in range(count // 2):
                await stream.send_all(MESSAGE)
                await stream.receive_some()
        nursery.cancel_scope.cancel()


def _usage_updates() -> list[Series]:
    sizes, times = [], []
    for count in USED_WORKSPACES:
        usages = tuple(WorkspaceUsage(f"workspace-{n}", 3, 700) for n in range(count))
        limits = LimitsUpdate(usages, 1000)
        update = PeerUpdate("entry-2", 5, 1, 1, False, (), (), (), limits=limits)
        sizes.append((count, float(len(encode_update(update)))))
        times.append((count, cpu_micros(partial(_round_trip, update))))
    return [
        Series("limits_bytes", "size of a usage update", "workspaces", "bytes", tuple(sizes)),
        Series("limits_cpu", "encode and decode a usage update", "workspaces", "us", tuple(times)),
    ]


def _round_trip(update: PeerUpdate) -> PeerUpdate:
    return decode_update(encode_update(update))


def _config() -> list[Series]:
    sizes, times, encoded_sizes, encoded_times = [], [], [], []
    for count in CONFIG_ENDPOINTS:
        text = config_text(count)
        sizes.append((count, float(len(text))))
        source = Source("base.yaml", text)
        settings = settings_from_sources(source)
        encoded = msgspec.msgpack.encode(settings)
        decoder = msgspec.msgpack.Decoder(Settings)
        encoded_sizes.append((count, float(len(encoded))))
        encoded_times.append((count, cpu_micros(partial(decoder.decode, encoded))))
        times.append((count, cpu_micros(partial(settings_from_sources, source))))
    return [
        Series("config_bytes", "size of the settings", "endpoints", "bytes", tuple(sizes)),
        Series("config_cpu", "parse and validate the settings", "endpoints", "us", tuple(times)),
        Series("coded_bytes", "size of validated settings in msgpack", "endpoints", "bytes",
               tuple(encoded_sizes)),
        Series("coded_cpu", "decode validated settings from msgpack", "endpoints", "us",
               tuple(encoded_times)),
    ]  # fmt: skip


def config_text(endpoints: int) -> str:
    """Return a base file whose instances and workspaces are in proportion to its endpoints."""
    instances = max(1, endpoints * 350 // 1200)
    workspaces = max(1, endpoints * WORKSPACES // 1200)
    lines = ["deployment: large", "platform:", "  address: 127.0.0.1:20000"]
    lines += ["peers:", f"  secret_hash: '{1:064x}'", "data_centres:"]
    lines += [f"  - name: dc-{number}" for number in range(6)]
    lines.append("instances:")
    for number in range(instances):
        lines += [f"  - name: entry-{number}", f"    data_centre: dc-{number % 6}"]
        for offset, kind in enumerate(("caller", "admin", "peer")):
            lines.append(f"    {kind}_address: 127.0.{1 + offset}.1:{20_001 + number}")
    lines += ["models:", "  - name: model-1", "    weights_version: '1'", "    min_replicas: 1"]
    lines.append("endpoints:")
    for number in range(endpoints):
        lines += [
            f"  - name: engine-{number}", "    kind: engine",
            f"    address: 127.0.4.1:{20_001 + number}", f"    data_centre: dc-{number % 6}",
            "    serves: model-1", "    checks_orders: true", "    cache_pieces: 28333",
        ]  # fmt: skip
    lines.append("workspaces:")
    for number in range(workspaces):
        lines += [f"  - name: workspace-{number}", "    key_hashes:", f"      - '{number:064x}'"]
    return "\n".join(lines) + "\n"


def _membership() -> list[Series]:
    messages, sizes, cpu = [], [], []
    for count in MEMBERS:
        sim = MembershipSim(count)
        sim.run(SETTLE_S)
        sim.reset_counters()
        sim.run(MEASURE_S)
        instance_seconds = count * MEASURE_S
        messages.append((count, sum(sim.sent_messages.values()) / instance_seconds))
        sizes.append((count, sum(sim.sent_bytes.values()) / instance_seconds))
        cpu.append((count, sim.cpu_s / instance_seconds * 1e6))
    return [
        Series("member_messages", "membership, sent", "instances", "messages/s", tuple(messages)),
        Series("member_bytes", "membership, sent", "instances", "bytes/s", tuple(sizes)),
        Series("member_cpu", "membership, codec and core", "instances", "us/s", tuple(cpu)),
    ]
