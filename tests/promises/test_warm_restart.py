"""Guarantee: a restarted router serves traffic at once and keeps the cache hit rate."""

from __future__ import annotations

import random
from dataclasses import dataclass
from hashlib import blake2b

import httpx
import pytest
import trio

from rattangate.core.prefix import CacheScope, count_tokens, hash_blocks
from rattangate.standins.engine_model import EngineModel, EngineSpec, Job
from tests.small_deployment import (
    MODEL,
    PIECE_TOKENS,
    VERSION,
    WORKSPACES,
    DeploymentCfg,
    complete,
    make_prompt,
)

REQUEST_COUNT = 200
FIRST_REQUEST_COUNT = 40
BULLETIN_COUNT = 12
CACHE_PIECES = 64
ENGINE_COUNT = 3
OTHER_ENGINES = ("engine-2", "engine-3")
CONCURRENCY = 4
TOKENS = 2
SEED = 5
SNAPSHOT_SAVE_WAIT_S = 4.5
MIN_HIT_RATE_RATIO = 0.9
START_DEADLINE_S = 20.0


@dataclass(frozen=True)
class WorkloadRequest:
    """Describe one request of the workload."""

    workspace: str
    prompt: str


@pytest.fixture
def deployment(start):
    return start(
        DeploymentCfg(engines=ENGINE_COUNT, instances=2, services=0, cache_pieces=CACHE_PIECES)
    )


def _make_workload(seed):
    rng = random.Random(seed)
    workload = []
    for _ in range(REQUEST_COUNT):
        workspace = rng.choice(WORKSPACES)
        bulletin = min(rng.randrange(BULLETIN_COUNT), rng.randrange(BULLETIN_COUNT))
        sections = ("system ", f"tenant {workspace} ", f"bulletin {bulletin} of {workspace} ")
        prompt = make_prompt(*sections[:2])[: 2 * 4 * PIECE_TOKENS]
        workload.append(WorkloadRequest(workspace, prompt + make_prompt(sections[2], pieces=2)))
    return workload


async def _hit_rate(urls, workload):
    """Send the requests in order and return the share of prompt tokens served from cache."""
    cached = 0
    total = 0
    queue = iter(enumerate(workload))

    async def send_requests(client):
        nonlocal cached, total
        for number, req in queue:
            url = urls[number % len(urls)]
            received = await complete(client, url, req.prompt, TOKENS, workspace=req.workspace)
            assert received.is_complete(req.prompt, TOKENS), received
            cached += received.cached_tokens
            total += count_tokens(req.prompt.encode())

    async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENCY):
                nursery.start_soon(send_requests, client)
    return cached / total


def _rendezvous_hit_rate(workload):
    """Return the hit rate of plain rendezvous hashing over models of empty engines."""
    spec = EngineSpec(piece_tokens=PIECE_TOKENS, cache_pieces=CACHE_PIECES)
    engines = [EngineModel(spec, random.Random(1)) for _ in range(ENGINE_COUNT)]
    cached = 0
    total = 0
    for number, req in enumerate(workload):
        prompt = req.prompt.encode()
        pieces = hash_blocks(
            CacheScope(req.workspace, MODEL, "", VERSION).salt, prompt, PIECE_TOKENS
        )
        engine = max(
            engines,
            key=lambda candidate, key=pieces: _rendezvous_score(engines.index(candidate), key),
        )
        cached += engine.cached_prefix(pieces) * PIECE_TOKENS
        total += count_tokens(prompt)
        engine.submit(Job(number, pieces, count_tokens(prompt), 1), float(number))
        engine.advance(number + 0.9)
    return cached / total


def _rendezvous_score(engine_index, pieces):
    key = f"{engine_index} {pieces}".encode()
    return blake2b(key, digest_size=8).digest()


def _restart(deployment, names):
    for name in names:
        deployment.processes[name].kill()
    for name in names:
        deployment.processes[name].start()
    for name in names:
        deployment.processes[name].wait_ready()


def _warm_up(deployment):
    """Fill the cache of one engine only and return the hit rate.

    An instance that starts without cache state would place the prefixes on the other engines.
    """
    for name in OTHER_ENGINES:
        deployment.processes[name].kill()
    urls = deployment.caller_urls()
    trio.run(_hit_rate, urls, _make_workload(SEED))
    hit_rate = trio.run(_hit_rate, urls, _make_workload(SEED + 1))
    for name in OTHER_ENGINES:
        deployment.processes[name].start()
        deployment.processes[name].wait_ready()
    deployment.wait_endpoints_live()
    return hit_rate


def _assert_hit_rate_kept(urls, hit_rate_before):
    workload = _make_workload(SEED + 2)
    first_hit_rate = trio.run(_hit_rate, urls, workload[:FIRST_REQUEST_COUNT])
    later_hit_rate = trio.run(_hit_rate, urls, workload[FIRST_REQUEST_COUNT:])
    first_share = FIRST_REQUEST_COUNT / REQUEST_COUNT
    assert first_hit_rate >= MIN_HIT_RATE_RATIO * hit_rate_before
    assert (
        first_share * first_hit_rate + (1 - first_share) * later_hit_rate
        >= MIN_HIT_RATE_RATIO * hit_rate_before
    )


def test_one_restarted_instance_uses_the_cache_snapshot_of_its_peer(deployment):
    hit_rate_before = _warm_up(deployment)
    deployment.set_faults("platform", down=True)
    _restart(deployment, ["entry-1"])
    _assert_hit_rate_kept(deployment.caller_urls()[:1], hit_rate_before)


def test_all_restarted_instances_use_the_stored_cache_snapshot(deployment):
    hit_rate_before = _warm_up(deployment)
    trio.run(trio.sleep, SNAPSHOT_SAVE_WAIT_S)
    _restart(deployment, ["entry-1", "entry-2"])
    _assert_hit_rate_kept(deployment.caller_urls(), hit_rate_before)


def test_restart_without_peer_and_platform_is_as_good_as_rendezvous_hashing(deployment):
    _warm_up(deployment)
    deployment.processes["platform"].kill()
    deployment.processes["entry-2"].kill()
    _restart(deployment, ["entry-1"])
    workload = _make_workload(SEED + 2)
    hit_rate = trio.run(_hit_rate, deployment.caller_urls()[:1], workload)
    assert hit_rate >= _rendezvous_hit_rate(workload)


def test_first_answer_does_not_wait_for_the_peer_or_the_platform(deployment):
    """The peer and the platform are paused, so the first answer can only depend on engines."""
    deployment.processes["platform"].suspend()
    deployment.processes["entry-2"].suspend()
    process = deployment.processes["entry-1"]
    process.kill()
    process.start()

    async def first_answer():
        url = deployment.caller_urls()[0]
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            with trio.fail_after(START_DEADLINE_S):
                while True:
                    try:
                        received = await complete(client, url, make_prompt("first "), TOKENS)
                    except httpx.TransportError:
                        continue
                    if received.status == 200:
                        return received

    received = trio.run(first_answer)
    deployment.processes["platform"].resume()
    deployment.processes["entry-2"].resume()
    assert received.is_complete(make_prompt("first "), TOKENS)
