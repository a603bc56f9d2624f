"""Guarantee: a caller gets the complete answer to its own request, even if answers are late."""

from __future__ import annotations

import random

import httpx
import pytest
import trio

from tests.small_deployment import DeploymentCfg, complete, make_prompt

TOKENS = 8
SEED = 11


@pytest.fixture
def deployment(start):
    return start(DeploymentCfg(engines=2, instances=2, services=1))


def _headers(key):
    return {"Authorization": "Bearer demo-alpha", "Idempotency-Key": key}


async def _send_all(deployment, prompts, abandoned=frozenset()):
    answers = {}
    urls = deployment.caller_urls()
    rng = random.Random(SEED)

    async def send_one(client, number, prompt):
        if number in abandoned:
            with trio.move_on_after(rng.uniform(0.0, 0.15)):
                await complete(client, urls[number % 2], prompt, TOKENS)
            return
        answers[number] = await complete(client, urls[number % 2], prompt, TOKENS)

    async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
        async with trio.open_nursery() as nursery:
            for number, prompt in enumerate(prompts):
                nursery.start_soon(send_one, client, number, prompt)
    return answers


def _assert_own_answers(prompts, answers):
    for number, received in answers.items():
        assert received.is_complete(prompts[number], TOKENS), (number, received)


def test_answer_to_another_request_is_not_forwarded(deployment):
    for name in ("engine-1", "engine-2"):
        deployment.set_faults(name, crossed_answers=2)
    prompts = [make_prompt(f"caller {number} ") for number in range(8)]
    answers = trio.run(_send_all, deployment, prompts)
    assert len(answers) == 8
    _assert_own_answers(prompts, answers)


def test_abandoned_requests_leave_no_answer_on_reused_connections(deployment):
    for round_number in range(3):
        prompts = [make_prompt(f"round {round_number} {number} ") for number in range(24)]
        abandoned = frozenset(range(0, 24, 2))
        answers = trio.run(_send_all, deployment, prompts, abandoned)
        assert len(answers) == 12
        _assert_own_answers(prompts, answers)


def test_late_service_answer_reaches_no_other_caller(deployment):
    url = deployment.caller_urls()[0]

    async def main():
        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            deployment.set_faults("service-1", answer_delay_s=0.4)
            with trio.move_on_after(0.2):
                await client.post(f"{url}/bookings", content=b"late", headers=_headers("late"))
            deployment.set_faults("service-1", answer_delay_s=0.0)
            return [
                await client.post(
                    f"{url}/bookings", content=f"own {n}".encode(), headers=_headers(f"own-{n}")
                )
                for n in range(5)
            ]

    bodies = [resp.json()["body"] for resp in trio.run(main)]
    assert bodies == [f"own {n}" for n in range(5)]


def test_each_request_with_the_same_prompt_gets_its_own_complete_answer(deployment):
    prompts = [make_prompt("same ")] * 6
    answers = trio.run(_send_all, deployment, prompts, frozenset({0, 3}))
    assert len(answers) == 4
    _assert_own_answers(prompts, answers)
    assert len({received.headers["x-request-id"] for received in answers.values()}) == 4
