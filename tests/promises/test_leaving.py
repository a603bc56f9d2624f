"""Guarantee: a leaving endpoint receives no new requests after a few seconds."""

from __future__ import annotations

import httpx
import pytest
import trio

from tests.small_deployment import DeploymentCfg, complete, free_addresses, make_prompt

PROPAGATION_S = 3.0
TOKENS = 4


@pytest.fixture
def deployment(start):
    return start(DeploymentCfg(engines=2, instances=2, services=2))


def _post_json(url, body):
    httpx.post(url, json=body, trust_env=False).raise_for_status()


def _drain(deployment, name):
    _post_json(f"{deployment.endpoint_url(name)}/orders", {"order": "drain", "fencing": 1})


def _set_listed_state(deployment, name, state):
    address = deployment.settings.platform.address
    _post_json(f"http://{address}/instances", {"name": name, "state": state})


def _count_runs(deployment, name):
    return len(deployment.ledger(name)["runs"])


def _send_requests(deployment, label, count=10, booking_status=200):
    """Send prompts without a common prefix, and bookings, through both instances."""

    async def main():
        urls = deployment.caller_urls()
        answers = []

        async def send_one(client, number):
            prompt = make_prompt(f"{label} {number} ")
            answers.append((prompt, await complete(client, urls[number % 2], prompt, TOKENS)))

        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(send_one, client, number)
            for number in range(count):
                headers = {
                    "Authorization": "Bearer demo-alpha",
                    "Idempotency-Key": f"{label}-{number}",
                }
                resp = await client.post(f"{urls[number % 2]}/bookings", headers=headers)
                assert resp.status_code == booking_status, resp.text
        return answers

    for prompt, received in trio.run(main):
        assert received.is_complete(prompt, TOKENS), received


async def _wait_for_propagation():
    await trio.sleep(PROPAGATION_S)


def _assert_no_new_requests(deployment, names, label, booking_status=200):
    trio.run(_wait_for_propagation)
    runs_before = [_count_runs(deployment, name) for name in names]
    _send_requests(deployment, label, booking_status=booking_status)
    assert [_count_runs(deployment, name) for name in names] == runs_before


def test_endpoint_that_reports_leaving_gets_no_new_requests(deployment):
    _send_requests(deployment, "before")
    assert _count_runs(deployment, "engine-1") > 0
    assert _count_runs(deployment, "service-1") > 0
    for name in ("engine-1", "service-1"):
        _drain(deployment, name)
    _assert_no_new_requests(deployment, ("engine-1", "service-1"), "after")


def test_endpoint_listed_as_leaving_gets_no_new_requests(deployment):
    for name in ("engine-1", "service-1"):
        _set_listed_state(deployment, name, "leaving")
    _assert_no_new_requests(deployment, ("engine-1", "service-1"), "listed")


def test_leaving_state_survives_relisting_and_a_platform_outage(deployment):
    _set_listed_state(deployment, "engine-1", "leaving")
    trio.run(_wait_for_propagation)
    _set_listed_state(deployment, "engine-1", "live")
    _assert_no_new_requests(deployment, ("engine-1",), "relisted")
    deployment.set_faults("platform", down=True)
    _assert_no_new_requests(deployment, ("engine-1",), "down", booking_status=503)


def test_new_incarnation_gets_requests_although_the_list_is_stale(deployment):
    _set_listed_state(deployment, "engine-1", "leaving")
    trio.run(_wait_for_propagation)
    engine = deployment.processes["engine-1"]
    engine.kill()
    engine.start()
    engine.wait_ready()
    deployment.wait_endpoints_live()
    runs_before = _count_runs(deployment, "engine-1")
    _send_requests(deployment, "reborn", count=16)
    assert _count_runs(deployment, "engine-1") > runs_before


def test_running_streams_of_a_leaving_engine_complete(deployment):
    async def main():
        url = deployment.caller_urls()[0]
        prompts = [make_prompt(f"long {number} ") for number in range(6)]
        answers = {}

        async def send_one(client, number):
            answers[number] = await complete(client, url, prompts[number], 100)

        async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(send_one, client, number)
                await trio.sleep(0.4)
                _drain(deployment, "engine-1")
                _set_listed_state(deployment, "engine-1", "leaving")
        return [answers[number].is_complete(prompts[number], 100) for number in range(6)]

    assert trio.run(main) == [True] * 6
    assert all(run["offset"] == 0 for run in deployment.ledger("engine-1")["runs"])


def test_instance_without_the_platform_learns_the_state_from_peers(start):
    unreachable_platform = {"site": "dc-2", "platform": {"address": free_addresses(1)[0]}}
    shape = DeploymentCfg(
        engines=2, instances=2, services=0, data_centres=2, overlays={"dc-2": unreachable_platform}
    )
    deployment = start(shape)
    _set_listed_state(deployment, "engine-1", "leaving")
    trio.run(_wait_for_propagation)
    isolated_instance = deployment.settings.instances[1]
    states = {
        endpoint["name"]: endpoint["state"]
        for endpoint in deployment.admin_get(isolated_instance, "/v1/endpoints")["endpoints"]
    }
    assert states == {"engine-1": "leaving", "engine-2": "live"}
