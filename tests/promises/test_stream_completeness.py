"""Guarantee: every stream arrives complete and in order."""

from __future__ import annotations

import httpx
import pytest
import trio

from tests.small_deployment import DeploymentCfg, complete, make_prompt

TOKENS = 8
NO_FAULTS = {"cut_at": -1, "skip_at": -1, "repeat_at": -1, "split_bytes": 0}


@pytest.fixture
def deployment(start):
    return start(DeploymentCfg(engines=3, instances=1, services=0))


def _run(main, *args):
    return trio.run(main, *args)


async def _complete_many(deployment, label, count=4, tokens=TOKENS):
    """Send prompts without a common prefix concurrently; return them with their answers."""
    url = deployment.caller_urls()[0]
    prompts = [make_prompt(f"{label} {number} ") for number in range(count)]
    answers = [None] * count

    async def send_one(client, number):
        answers[number] = await complete(client, url, prompts[number], tokens)

    async with httpx.AsyncClient(timeout=60.0, trust_env=False) as client:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(send_one, client, number)
    return list(zip(prompts, answers, strict=True))


def _assert_all_complete(pairs, tokens=TOKENS):
    for prompt, received in pairs:
        assert received.is_complete(prompt, tokens), received


def _count_runs(deployment):
    return {name: len(deployment.ledger(name)["runs"]) for name in ("engine-1", "engine-2")}


@pytest.mark.parametrize("fault", ["cut_at", "skip_at", "repeat_at"])
def test_stream_completes_after_a_fault_at_any_chunk(deployment, fault):
    for offset in range(TOKENS):
        for name in ("engine-1", "engine-2"):
            deployment.set_faults(name, **{**NO_FAULTS, fault: offset})
        _assert_all_complete(_run(_complete_many, deployment, f"{fault} {offset}"))
    assert min(_count_runs(deployment).values()) > 0


@pytest.mark.parametrize("size", [1, 3, 17])
def test_events_split_into_small_chunks_arrive_complete(deployment, size):
    for name in ("engine-1", "engine-2", "engine-3"):
        deployment.set_faults(name, split_bytes=size)
    _assert_all_complete(_run(_complete_many, deployment, f"split {size}"))


@pytest.mark.parametrize("fault", ["kill", "suspend"])
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.3])
def test_streams_lose_no_token_when_engines_are_killed_or_paused(deployment, fault, after_s):
    async def lose_two_engines():
        await trio.sleep(after_s)
        for name in ("engine-1", "engine-2"):
            getattr(deployment.processes[name], fault)()

    async def main():
        pairs = []

        async def send():
            pairs.extend(await _complete_many(deployment, "lost", count=9, tokens=40))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(lose_two_engines)
        return pairs

    _assert_all_complete(_run(main), tokens=40)


def test_stream_ends_with_an_error_event_when_no_endpoint_is_left(deployment):
    async def main():
        url = deployment.caller_urls()[0]
        prompt = make_prompt("alone ")
        answers = []

        async def send(client):
            answers.append(await complete(client, url, prompt, 200))

        async with httpx.AsyncClient(timeout=60.0, trust_env=False) as client:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, client)
                await trio.sleep(0.5)
                for name in ("engine-1", "engine-2", "engine-3"):
                    deployment.processes[name].kill()
        return answers[0]

    received = _run(main)
    assert not received.done
    assert received.offsets == list(range(len(received.offsets)))
    assert received.error["type"] == "stream_broken"
    assert received.error["retry_after_s"] > 0
