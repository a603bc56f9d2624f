"""Guarantee: no request uses a cache of a dead engine, another workspace or older weights."""

from __future__ import annotations

import random

import httpx
import pytest
import trio

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.messages import CacheChanged, EndpointState, EndpointStatus
from rattangate.core.prefix import CacheScope, hash_blocks
from rattangate.standins.text import expected_text
from tests.small_deployment import (
    MODEL,
    PIECE_TOKENS,
    VERSION,
    DeploymentCfg,
    complete,
    make_prompt,
)

TOKENS = 8
LONG_TOKENS = 300
NEW_VERSION = "v2"
SEED = 3


@pytest.fixture
def deployment(start):
    return start(DeploymentCfg(engines=2, instances=1, services=0))


def _post_json(url, body):
    resp = httpx.post(url, json=body, trust_env=False, timeout=10.0)
    resp.raise_for_status()
    return resp.json()


def _complete(deployment, prompt, tokens=TOKENS, workspace="alpha"):
    async def main():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            url = deployment.caller_urls()[0]
            return await complete(client, url, prompt, tokens, workspace=workspace)

    received = trio.run(main)
    assert received.is_complete(prompt, tokens), received
    return received


def _load_weights(deployment, name, version):
    load_order = {"order": "load", "weights_version": version, "fencing": 1}
    return _post_json(f"{deployment.endpoint_url(name)}/orders", load_order)


def test_workspaces_with_the_same_prompt_share_no_cache(deployment):
    prompt = make_prompt("system ", "bulletin ")
    _complete(deployment, prompt)
    assert _complete(deployment, prompt).cached_tokens == 2 * PIECE_TOKENS
    assert _complete(deployment, prompt, workspace="beta").cached_tokens == 0


def test_restarted_engine_is_known_to_have_an_empty_cache(deployment):
    prompt = make_prompt("system ", "bulletin ")
    for _ in range(4):
        _complete(deployment, prompt)
    for name in ("engine-1", "engine-2"):
        deployment.processes[name].kill()
        deployment.processes[name].start()
        deployment.processes[name].wait_ready()
    deployment.wait_endpoints_live()
    assert _complete(deployment, prompt).cached_tokens == 0
    assert _complete(deployment, prompt).cached_tokens == 2 * PIECE_TOKENS


def test_late_events_of_an_earlier_incarnation_or_other_version_are_ignored():
    gateway = Gateway(GatewayCfg(block_tokens=PIECE_TOKENS, recompute_weight=1.0), seed=1)
    gateway.handle(EndpointStatus("a", 1, "v1", EndpointState.LIVE, MODEL, 8), 0.0)
    gateway.handle(CacheChanged("a", 1, 1, 1, (1, 2), ()), 1.0)
    assert gateway.endpoints["a"].cache.count_cached((1, 2)) == 2
    gateway.handle(EndpointStatus("a", 2, "v1", EndpointState.LIVE, MODEL, 8), 2.0)
    gateway.handle(CacheChanged("a", 1, 2, 2, (3,), ()), 3.0)
    assert gateway.endpoints["a"].cache.count_cached((1,)) == 0
    assert gateway.endpoints["a"].cache.count_cached((3,)) == 0
    gateway.handle(CacheChanged("a", 2, 1, 1, (1,), ()), 4.0)
    gateway.handle(EndpointStatus("a", 2, "v2", EndpointState.LIVE, MODEL, 8), 5.0)
    assert gateway.endpoints["a"].cache.count_cached((1,)) == 0


def test_each_part_of_the_scope_changes_every_piece_hash():
    prompt = make_prompt("system ", "bulletin ").encode()
    scope = CacheScope("alpha", MODEL, "", VERSION)
    others = [
        CacheScope("beta", MODEL, "", VERSION),
        CacheScope("alpha", "other", "", VERSION),
        CacheScope("alpha", MODEL, "adapter", VERSION),
        CacheScope("alpha", MODEL, "", NEW_VERSION),
    ]
    own = set(hash_blocks(scope.salt, prompt, PIECE_TOKENS))
    for other in others:
        assert own.isdisjoint(hash_blocks(other.salt, prompt, PIECE_TOKENS)), other


def test_weights_changed_during_a_stream_never_mix_in_one_answer(deployment):
    """The engine continues its running streams with the new weights, as a faulty engine may."""
    url = deployment.caller_urls()[0]
    prompts = [make_prompt(f"stream {number} ") for number in range(6)]
    answers = {}

    async def send_one(client, number):
        answers[number] = await complete(client, url, prompts[number], LONG_TOKENS)

    async def main():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(send_one, client, number)
                await trio.sleep(0.2)
                await client.post(
                    f"{deployment.endpoint_url('engine-1')}/orders",
                    json={"order": "load", "weights_version": NEW_VERSION, "fencing": 1},
                )

    trio.run(main)
    for number, received in answers.items():
        assert received.is_complete(prompts[number], LONG_TOKENS), received


def test_each_answer_comes_from_one_weights_version(deployment):
    """A request placed before the router sees the change is rejected by the engine or the answer.

    These engines ignore the expected version, so only the check of the answer applies.
    """
    for name in ("engine-1", "engine-2"):
        deployment.set_faults(name, ignore_expected=True)
    rng = random.Random(SEED)
    _load_weights(deployment, "engine-1", NEW_VERSION)
    for number in range(8):
        prompt = make_prompt(f"after {rng.random()} {number} ")
        received = _complete_with_any_version(deployment, prompt)
        expected = {
            expected_text(MODEL, v, prompt.encode(), TOKENS) for v in (VERSION, NEW_VERSION)
        }
        assert received.text in expected, received


def _complete_with_any_version(deployment, prompt):
    async def main():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            return await complete(client, deployment.caller_urls()[0], prompt, TOKENS)

    received = trio.run(main)
    assert received.done, received
    return received


def test_exported_cache_of_older_weights_or_another_workspace_is_not_imported(deployment):
    prompt = make_prompt("system ", "bulletin ")
    for name in ("engine-1", "engine-2"):
        deployment.set_faults(name, ignore_expected=True)
    _complete(deployment, prompt)
    salt = CacheScope("alpha", MODEL, "", VERSION).salt
    pieces = [f"{piece:016x}" for piece in hash_blocks(salt, prompt.encode(), PIECE_TOKENS)]
    exported = [
        _post_json(f"{deployment.endpoint_url(name)}/kv/export", {"pieces": pieces})["exported"]
        for name in ("engine-1", "engine-2")
    ]
    assert pieces in exported
    other_salt = CacheScope("beta", MODEL, "", VERSION).salt
    other_pieces = [
        f"{piece:016x}" for piece in hash_blocks(other_salt, prompt.encode(), PIECE_TOKENS)
    ]
    url = deployment.endpoint_url("engine-1")
    assert _post_json(f"{url}/kv/import", {"pieces": other_pieces})["imported"] == []
    _load_weights(deployment, "engine-1", NEW_VERSION)
    assert _post_json(f"{url}/kv/import", {"pieces": pieces})["imported"] == []


def test_lost_and_delayed_cache_events_cost_only_cache_hits(deployment):
    for name in ("engine-1", "engine-2"):
        deployment.set_faults(name, event_loss=0.5, event_delay_s=0.5)
    for number in range(12):
        prompt = make_prompt("system ", f"bulletin {number % 4} ")
        received = _complete(deployment, prompt)
        assert received.cached_tokens <= 2 * PIECE_TOKENS
