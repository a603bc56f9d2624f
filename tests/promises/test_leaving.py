"""Promise: a leaving endpoint receives no new work after a few seconds."""

from __future__ import annotations

import httpx
import pytest
import trio

from tests.small_deployment import Shape, complete, free_addresses, make_prompt

NOTICE_S = 3.0
TOKENS = 4


@pytest.fixture
def deployment(start):
    return start(Shape(engines=2, instances=2, services=2))


def _post(url, body):
    httpx.post(url, json=body, trust_env=False).raise_for_status()


def _drain(deployment, name):
    _post(f"{deployment.endpoint_url(name)}/orders", {"order": "drain", "fencing": 1})


def _list_state(deployment, name, state):
    address = deployment.settings.platform.address
    _post(f"http://{address}/instances", {"name": name, "state": state})


def _runs(deployment, name):
    return len(deployment.ledger(name)["runs"])


def _send(deployment, label, count=10, booked=200):
    """Send prompts that share nothing, and bookings, through both instances."""

    async def main():
        urls = deployment.caller_urls()
        answers = []

        async def one(client, number):
            prompt = make_prompt(f"{label} {number} ")
            answers.append((prompt, await complete(client, urls[number % 2], prompt, TOKENS)))

        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(one, client, number)
            for number in range(count):
                headers = {
                    "Authorization": "Bearer demo-alpha",
                    "Idempotency-Key": f"{label}-{number}",
                }
                resp = await client.post(f"{urls[number % 2]}/bookings", headers=headers)
                assert resp.status_code == booked, resp.text
        return answers

    for prompt, received in trio.run(main):
        assert received.is_whole(prompt, TOKENS), received


async def _wait_notice():
    await trio.sleep(NOTICE_S)


def _assert_no_new_work(deployment, names, label, booked=200):
    trio.run(_wait_notice)
    before = [_runs(deployment, name) for name in names]
    _send(deployment, label, booked=booked)
    assert [_runs(deployment, name) for name in names] == before


def test_the_endpoint_itself_says_that_it_leaves(deployment):
    _send(deployment, "before")
    assert _runs(deployment, "engine-1") > 0
    assert _runs(deployment, "service-1") > 0
    for name in ("engine-1", "service-1"):
        _drain(deployment, name)
    _assert_no_new_work(deployment, ("engine-1", "service-1"), "after")


def test_the_instance_list_says_it_and_lags(deployment):
    for name in ("engine-1", "service-1"):
        _list_state(deployment, name, "leaving")
    _assert_no_new_work(deployment, ("engine-1", "service-1"), "listed")


def test_a_mark_outlives_the_list_and_the_platform(deployment):
    _list_state(deployment, "engine-1", "leaving")
    trio.run(_wait_notice)
    _list_state(deployment, "engine-1", "live")
    _assert_no_new_work(deployment, ("engine-1",), "relisted")
    deployment.set_faults("platform", down=True)
    _assert_no_new_work(deployment, ("engine-1",), "down", booked=503)


def test_a_new_incarnation_gets_work_though_the_list_lags(deployment):
    _list_state(deployment, "engine-1", "leaving")
    trio.run(_wait_notice)
    engine = deployment.processes["engine-1"]
    engine.kill()
    engine.start()
    engine.wait_ready()
    deployment.wait_endpoints_live()
    before = _runs(deployment, "engine-1")
    _send(deployment, "reborn", count=16)
    assert _runs(deployment, "engine-1") > before


def test_running_work_ends_whole(deployment):
    async def main():
        url = deployment.caller_urls()[0]
        prompts = [make_prompt(f"long {number} ") for number in range(6)]
        answers = {}

        async def one(client, number):
            answers[number] = await complete(client, url, prompts[number], 100)

        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(one, client, number)
                await trio.sleep(0.4)
                _drain(deployment, "engine-1")
                _list_state(deployment, "engine-1", "leaving")
        return [answers[number].is_whole(prompts[number], 100) for number in range(6)]

    assert trio.run(main) == [True] * 6
    assert all(run["offset"] == 0 for run in deployment.ledger("engine-1")["runs"])


def test_peers_tell_an_instance_that_does_not_reach_the_platform(start):
    dead = {"site": "dc-2", "platform": {"address": free_addresses(1)[0]}}
    shape = Shape(engines=2, instances=2, services=0, data_centres=2, overlays={"dc-2": dead})
    deployment = start(shape)
    _list_state(deployment, "engine-1", "leaving")
    trio.run(_wait_notice)
    second = deployment.settings.instances[1]
    states = {
        endpoint["name"]: endpoint["state"]
        for endpoint in deployment.admin_get(second, "/v1/endpoints")["endpoints"]
    }
    assert states == {"engine-1": "leaving", "engine-2": "live"}
