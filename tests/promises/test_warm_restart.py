"""Promise: a router that restarts serves traffic at once, with no cold start."""

from __future__ import annotations

import random
from dataclasses import dataclass
from hashlib import blake2b

import httpx
import pytest
import trio

from rattangate.core.prefix import Scope, count_tokens, hash_pieces
from rattangate.standins.engine_model import EngineModel, EngineSpec, Job
from tests.small_deployment import (
    MODEL,
    PIECE_TOKENS,
    VERSION,
    WORKSPACES,
    Shape,
    complete,
    make_prompt,
)

REQUESTS = 200
FIRST_REQUESTS = 40
BULLETINS = 12
CACHE_PIECES = 64
ENGINES = 3
OTHER_ENGINES = ("engine-2", "engine-3")
CONCURRENCY = 4
TOKENS = 2
SEED = 5
SNAPSHOT_WAIT_S = 4.5
KEPT_SHARE = 0.9
START_DEADLINE_S = 20.0


@dataclass(frozen=True)
class Question:
    """Hold one request of the workload."""

    workspace: str
    prompt: str


@pytest.fixture
def deployment(start):
    return start(Shape(engines=ENGINES, instances=2, services=0, cache_pieces=CACHE_PIECES))


def _questions(seed):
    rng = random.Random(seed)
    questions = []
    for _ in range(REQUESTS):
        workspace = rng.choice(WORKSPACES)
        bulletin = min(rng.randrange(BULLETINS), rng.randrange(BULLETINS))
        levels = ("system ", f"tenant {workspace} ", f"bulletin {bulletin} of {workspace} ")
        prompt = make_prompt(*levels[:2])[: 2 * 4 * PIECE_TOKENS]
        questions.append(Question(workspace, prompt + make_prompt(levels[2], pieces=2)))
    return questions


async def _hit_rate(urls, questions):
    """Send the questions in order and return the share of prompt tokens served from cache."""
    cached = 0
    total = 0
    queue = iter(enumerate(questions))

    async def work(client):
        nonlocal cached, total
        for number, question in queue:
            url = urls[number % len(urls)]
            received = await complete(
                client, url, question.prompt, TOKENS, workspace=question.workspace
            )
            assert received.is_whole(question.prompt, TOKENS), received
            cached += received.cached_tokens
            total += count_tokens(question.prompt.encode())

    async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENCY):
                nursery.start_soon(work, client)
    return cached / total


def _rendezvous_hit_rate(questions):
    """Place the questions by plain rendezvous hashing on models of empty engines."""
    spec = EngineSpec(piece_tokens=PIECE_TOKENS, cache_pieces=CACHE_PIECES)
    engines = [EngineModel(spec, random.Random(1)) for _ in range(ENGINES)]
    cached = 0
    total = 0
    for number, question in enumerate(questions):
        prompt = question.prompt.encode()
        pieces = hash_pieces(
            Scope(question.workspace, MODEL, "", VERSION).salt, prompt, PIECE_TOKENS
        )
        engine = max(engines, key=lambda one, key=pieces: _score(engines.index(one), key))
        cached += engine.cached_prefix(pieces) * PIECE_TOKENS
        total += count_tokens(prompt)
        engine.submit(Job(number, pieces, count_tokens(prompt), 1), float(number))
        engine.advance(number + 0.9)
    return cached / total


def _score(engine, pieces):
    key = f"{engine} {pieces}".encode()
    return blake2b(key, digest_size=8).digest()


def _restart(deployment, names):
    for name in names:
        deployment.processes[name].kill()
    for name in names:
        deployment.processes[name].start()
    for name in names:
        deployment.processes[name].wait_ready()


def _warm_up(deployment):
    """Fill one engine only, so that a cold instance would look for the prefixes elsewhere."""
    for name in OTHER_ENGINES:
        deployment.processes[name].kill()
    urls = deployment.caller_urls()
    trio.run(_hit_rate, urls, _questions(SEED))
    rate = trio.run(_hit_rate, urls, _questions(SEED + 1))
    for name in OTHER_ENGINES:
        deployment.processes[name].start()
        deployment.processes[name].wait_ready()
    deployment.wait_endpoints_live()
    return rate


def _assert_warm(urls, before):
    questions = _questions(SEED + 2)
    first = trio.run(_hit_rate, urls, questions[:FIRST_REQUESTS])
    rest = trio.run(_hit_rate, urls, questions[FIRST_REQUESTS:])
    share = FIRST_REQUESTS / REQUESTS
    assert first >= KEPT_SHARE * before
    assert share * first + (1 - share) * rest >= KEPT_SHARE * before


def test_one_instance_restarts_with_the_picture_of_its_peer(deployment):
    before = _warm_up(deployment)
    deployment.set_faults("platform", down=True)
    _restart(deployment, ["entry-1"])
    _assert_warm(deployment.caller_urls()[:1], before)


def test_all_instances_restart_together_with_the_snapshot(deployment):
    before = _warm_up(deployment)
    trio.run(trio.sleep, SNAPSHOT_WAIT_S)
    _restart(deployment, ["entry-1", "entry-2"])
    _assert_warm(deployment.caller_urls(), before)


def test_without_peers_and_platform_it_serves_as_well_as_rendezvous(deployment):
    _warm_up(deployment)
    deployment.processes["platform"].kill()
    deployment.processes["entry-2"].kill()
    _restart(deployment, ["entry-1"])
    questions = _questions(SEED + 2)
    after = trio.run(_hit_rate, deployment.caller_urls()[:1], questions)
    assert after >= _rendezvous_hit_rate(questions)


def test_the_first_answer_waits_for_no_source(deployment):
    """Serving begins while peers and platform are silent: the answer needs engines only."""
    deployment.processes["platform"].freeze()
    deployment.processes["entry-2"].freeze()
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
    deployment.processes["platform"].thaw()
    deployment.processes["entry-2"].thaw()
    assert received.is_whole(make_prompt("first "), TOKENS)
