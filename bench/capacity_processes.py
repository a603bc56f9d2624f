"""Measure processor time, memory and control traffic of running entry instances."""

from __future__ import annotations

import os
import re
import subprocess
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

import httpx
import trio
import yaml

from bench.capacity_series import Series
from bench.processes import ROOT, Deployment

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

BASE = ROOT / "deploy" / "magnolia-bend" / "base.yaml"
# Loopback ports of the base file and their replacement: this deployment has ports of its own.
PORT_PREFIXES = ("127.0.0.1:21", "127.0.0.1:27")
PEER_PORTS = re.compile(r":273\d\d\b")
SETTLE_S = 3.0
MEASURE_S = 8.0
INSTANCES = (2, 4, 7)
ENGINES = (2, 4, 6)
LOADS_PER_S = (2, 4, 8)
TOKENS = 50
PROMPT = "Bulletin of the day. " * 800
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold the resource usage of a process.

    CPU and bytes are totals since its start, or rates per second if taken as a difference.
    """

    cpu_us: float
    memory_mb: float
    peer_bytes: float
    all_bytes: float


def measure_all() -> dict[str, Series]:
    """Measure all series and return them by key."""
    by_instances = [(count, _measure_idle(count, max(ENGINES))) for count in INSTANCES]
    by_engines = [(count, _measure_idle(2, count)) for count in ENGINES]
    by_load = list(_measure_loaded())
    all_series = [
        *_series("idle_peer", "idle instance, 6 engines, 3 services", "instances", by_instances),
        *_series("idle_engine", "idle instance, 1 peer, 3 services", "engines", by_engines),
        *_series("load", "instance under load, 50 tokens a request", "requests/s", by_load),
    ]
    return {series.key: series for series in all_series}


def _series(key: str, what: str, size: str, used: list[tuple[int, Usage]]) -> list[Series]:
    return [
        Series(f"{key}_cpu", what, size, "us/s", tuple((n, one.cpu_us) for n, one in used)),
        Series(f"{key}_memory", what, size, "MB", tuple((n, one.memory_mb) for n, one in used)),
        Series(f"{key}_peer_bytes", f"{what}, between instances", size, "bytes/s",
               tuple((n, one.peer_bytes) for n, one in used)),
        Series(f"{key}_all_bytes", f"{what}, all control connections", size, "bytes/s",
               tuple((n, one.all_bytes) for n, one in used)),
    ]  # fmt: skip


def _measure_idle(instances: int, engines: int) -> Usage:
    with open_deployment(instances, engines) as deployment:
        time.sleep(SETTLE_S)
        return measure_usage(deployment, lambda: time.sleep(MEASURE_S))


def _measure_loaded() -> Iterator[tuple[int, Usage]]:
    with open_deployment(max(INSTANCES), max(ENGINES)) as deployment:
        time.sleep(SETTLE_S)
        for rate in LOADS_PER_S:
            yield rate, measure_usage(
                deployment, lambda rate=rate: trio.run(send_requests, deployment, rate)
            )


def open_deployment(instances: int, engines: int) -> Deployment:
    """Prepare a deployment with so many instances and engines, on ports of its own."""
    settings = yaml.safe_load(BASE.read_text().replace(*PORT_PREFIXES))
    settings["instances"] = settings["instances"][:instances]
    engine_endpoints = [
        endpoint for endpoint in settings["endpoints"] if endpoint["kind"] == "engine"
    ]
    services = [endpoint for endpoint in settings["endpoints"] if endpoint["kind"] != "engine"]
    settings["endpoints"] = engine_endpoints[:engines] + services
    for model in settings["models"]:
        model["min_replicas"] = 1
    base = Path(tempfile.mkdtemp()) / "base.yaml"
    base.write_text(yaml.safe_dump(settings, sort_keys=False))
    return Deployment(base, {}, instances)


def measure_usage(deployment: Deployment, pause: Callable[[], None]) -> Usage:
    """Return the rates per second of the first instance while `pause` runs."""
    process = deployment.processes["entry-1"].popen
    assert process is not None
    started = time.monotonic()
    before = _usage(process.pid)
    pause()
    after = _usage(process.pid)
    elapsed_s = time.monotonic() - started
    return replace(
        after,
        cpu_us=(after.cpu_us - before.cpu_us) / elapsed_s,
        peer_bytes=(after.peer_bytes - before.peer_bytes) / elapsed_s,
        all_bytes=(after.all_bytes - before.all_bytes) / elapsed_s,
    )


def _usage(pid: int) -> Usage:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_us = (int(fields[11]) + int(fields[12])) / TICKS_PER_S * 1e6
    status = Path(f"/proc/{pid}/status").read_text()
    memory_kib = int(re.search(r"VmRSS:\s+(\d+)", status)[1])  # type: ignore[index]
    peer_bytes, all_bytes = _socket_bytes(pid)
    return Usage(cpu_us, memory_kib * 1024 / MB, peer_bytes, all_bytes)


def _socket_bytes(pid: int) -> tuple[float, float]:
    output = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    peer_bytes = all_bytes = 0
    for line in output.splitlines():
        if f"pid={pid}," not in line:
            continue
        counts = re.findall(r"bytes_(?:sent|received):(\d+)", line)
        size = sum(map(int, counts))
        all_bytes += size
        if PEER_PORTS.search(line):
            peer_bytes += size
    return peer_bytes, all_bytes


async def send_requests(deployment: Deployment, rate: int) -> None:
    """Send streaming requests to the first instance at a constant rate."""
    url = f"{deployment.caller_urls()[0]}/v1/completions"
    workspace = deployment.settings.workspaces[0].name
    headers = {"Authorization": f"Bearer demo-{workspace}"}
    model = deployment.settings.models[0].name
    body = {"model": model, "prompt": PROMPT, "max_tokens": TOKENS, "stream": True}
    async with httpx.AsyncClient(timeout=60.0, trust_env=False) as client:
        async with trio.open_nursery() as nursery:
            for _ in range(int(rate * MEASURE_S)):
                nursery.start_soon(_post, client, url, body, headers)
                await trio.sleep(1 / rate)


async def _post(
    client: httpx.AsyncClient, url: str, body: dict[str, object], headers: dict[str, str]
) -> None:
    resp = await client.post(url, json=body, headers=headers)
    resp.raise_for_status()
    if "[DONE]" not in resp.text:
        raise RuntimeError(f"stream ended without [DONE] at {resp.text[-200:]}")
