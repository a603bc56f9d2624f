"""Measure one entry instance: time to first token, relay throughput and memory."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path

import httpx
import trio

from bench.figures import BoundKind, Measurement
from bench.processes import Deployment, EngineProcessCfg
from tests.small_deployment import MODEL, PIECE_TOKENS, DeploymentCfg, make_prompt, small_deployment

RATIO_BOUND = 1.10
RELAY_BOUND_TOKENS_PER_S = 2_628.0
MEMORY_BOUND_MB = 256.0
FIRST_TOKEN_S = 0.1
ROUNDS = 30
RELAY_STREAMS = 64
RELAY_TOKENS = 400
PROMPT_TOKENS = 102
KB_PER_MB = 1024


def measure() -> list[Measurement]:
    """Measure the time to first token, the relay throughput and the memory."""
    return [_measure_first_token_ratio(), *_measure_relay()]


def _measure_first_token_ratio() -> Measurement:
    """Compare the time to first token through an entry instance to that of a direct call."""
    slow = EngineProcessCfg(
        prefill_rate=PROMPT_TOKENS / FIRST_TOKEN_S, decode_rate=200.0, piece_tokens=PIECE_TOKENS
    )
    shape = DeploymentCfg(engines=1, instances=1, services=0, engine=slow)
    with (
        tempfile.TemporaryDirectory() as folder,
        small_deployment(Path(folder), shape) as deployment,
    ):
        ratio = trio.run(_measure_ratio, deployment)
    name = "first token through an entry over straight, median ratio"
    return Measurement(name, ratio, "", RATIO_BOUND, BoundKind.AT_MOST)


async def _measure_ratio(deployment: Deployment) -> float:
    direct = []
    routed = []
    async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
        for number in range(ROUNDS):
            for url, times in (
                (deployment.endpoint_url("engine-1"), direct),
                (deployment.caller_urls()[0], routed),
            ):
                times.append(await _first_token_s(client, url, f"{number} {len(url)} {url} "))
    return statistics.median(routed) / statistics.median(direct)


async def _first_token_s(client: httpx.AsyncClient, url: str, label: str) -> float:
    body = {"model": MODEL, "prompt": make_prompt(label), "max_tokens": 2, "stream": True}
    headers = {"Authorization": "Bearer demo-alpha"}
    started = time.perf_counter()
    async with client.stream("POST", f"{url}/v1/completions", json=body, headers=headers) as resp:
        chunks = resp.aiter_raw()
        await anext(chunks)
        elapsed = time.perf_counter() - started
        async for _ in chunks:
            pass
    return elapsed


def _measure_relay() -> list[Measurement]:
    """Relay many concurrent streams through one entry instance; read its CPU time and memory."""
    fast = EngineProcessCfg(
        prefill_rate=1e6, decode_rate=60.0, piece_tokens=PIECE_TOKENS, max_running=RELAY_STREAMS
    )
    settings = {"limits": {"max_streams": 1024}}
    shape = DeploymentCfg(engines=4, instances=1, services=0, engine=fast, settings=settings)
    with (
        tempfile.TemporaryDirectory() as folder,
        small_deployment(Path(folder), shape) as deployment,
    ):
        process = deployment.processes["entry-1"].popen
        assert process is not None
        started, cpu_before = time.perf_counter(), _cpu_s(process.pid)
        tokens = trio.run(_relay_streams, deployment)
        elapsed, cpu_s = time.perf_counter() - started, _cpu_s(process.pid) - cpu_before
        memory_mb = _memory_mb(process.pid)
    return [
        Measurement("tokens relayed", tokens / elapsed, "tokens/s", RELAY_BOUND_TOKENS_PER_S),
        Measurement(
            "tokens relayed a second of processor time",
            tokens / cpu_s,
            "tokens/s",
            RELAY_BOUND_TOKENS_PER_S,
        ),
        Measurement(
            "memory of an entry under load", memory_mb, "MB", MEMORY_BOUND_MB, BoundKind.AT_MOST
        ),
    ]


async def _relay_streams(deployment: Deployment) -> int:
    tokens = 0
    url = f"{deployment.caller_urls()[0]}/v1/completions"

    async def relay_one(client: httpx.AsyncClient, number: int) -> None:
        nonlocal tokens
        prompt = make_prompt(f"relay {number} ")
        body = {"model": MODEL, "prompt": prompt, "max_tokens": RELAY_TOKENS, "stream": True}
        headers = {"Authorization": f"Bearer demo-{'alpha' if number % 2 else 'beta'}"}
        async with client.stream("POST", url, json=body, headers=headers) as resp:
            async for data in resp.aiter_raw():
                tokens += data.count(b'"offset"')

    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(timeout=120.0, trust_env=False, limits=limits) as client:
        async with trio.open_nursery() as nursery:
            for number in range(RELAY_STREAMS):
                nursery.start_soon(relay_one, client, number)
    return tokens


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def _memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    raise LookupError(f"/proc/{pid}/status has no VmRSS line")
