"""Replicas whose responses announce that they are leaving, or ask for a pause by Retry-After."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio

from rattangate.core.messages import EndpointState
from rattangate.peers.codec import decode_update, encode_update, make_update
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    MODEL,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    Call,
    respond_done,
    running_deployment,
    stream_events,
    wait_until,
)


def state_of(deployment, endpoint: str) -> EndpointState:
    return deployment.app.state.driver.gateway.endpoints[endpoint].status.state


def test_a_replica_that_announces_leaving_gets_no_new_request():
    async def announce_leaving(call: Call) -> None:
        await call.respond(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_deployment(
            plain_handler=announce_leaving, replicas_per_service=3
        ) as deployment:
            resp = await deployment.request(IDEMPOTENT_PATH)
            assert resp.status_code == 200
            assert "server-leaving" not in resp.headers
            (first,) = deployment.calls()
            for replica in deployment.replicas.values():
                replica.handler = respond_done
            for number in range(6):
                await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id=f"c{number}")
            leaving = deployment.replicas[first.headers["x-target-instance"]]
            assert len(leaving.calls) == 1
            assert state_of(deployment, leaving.name) is EndpointState.LEAVING

    trio.run(main)


def test_a_refusal_can_announce_leaving_too():
    async def announce_leaving(call: Call) -> None:
        await call.respond(503, b"", X_Not_Executed="1", Server_Leaving="1")

    async def main() -> None:
        async with running_deployment(plain_handler=announce_leaving) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 503
            assert len(deployment.calls()) == 2
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 503
            assert len(deployment.calls()) == 2

    trio.run(main)


def test_a_refusal_concerns_the_model_of_the_service_though_the_entry_names_another_first():
    refusals = iter([True])

    async def refuse_once(call: Call) -> None:
        await (call.refuse() if next(refusals, False) else stream_events(call))

    async def main() -> None:
        async with running_deployment(
            engine_handler=refuse_once, replicas_per_service=1
        ) as deployment:
            state = deployment.app.state
            models = [{"name": "other", "version": 1}, {"name": MODEL, "version": 2}]
            deployment.platform.store.put("op", "version/other", {"model": "other", "version": 2})
            deployment.write_replica_entry("llm-0", "llm", models=models)
            await wait_until(lambda: len(state.view.endpoints["llm-0"].models) == 2)
            await wait_until(lambda: state.desired_versions.newest("other") == 2)
            await deployment.request(STREAM_PATH)
            # Refused for want of room, and not because it loads weights.
            endpoints = state.driver.gateway.endpoints
            assert endpoints["llm-0"].status.state is EndpointState.LIVE

    trio.run(main)


def test_a_restarted_replica_gets_requests_again():
    async def announce_leaving(call: Call) -> None:
        await call.respond(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_deployment(
            plain_handler=announce_leaving, replicas_per_service=1
        ) as deployment:
            await deployment.request(NON_IDEMPOTENT_PATH)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 503
            deployment.write_replica_entry("desk-0", "desk", born=2000)
            await wait_until(lambda: state_of(deployment, "desk-0") is EndpointState.LIVE)
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 200

    trio.run(main)


def test_a_leaving_replica_is_announced_to_peers_once():
    async def main() -> None:
        async with running_deployment() as deployment:
            sent: list[tuple[str, int]] = []
            deployment.app._peers.announce_leaving = lambda *announced: sent.append(announced)

            async def announce_leaving(call: Call) -> None:
                await call.respond(200, b"done", Server_Leaving="1")

            deployment.replicas["desk-0"].handler = announce_leaving
            for number in range(8):
                await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id=f"d{number}")
            assert sent == [("desk-0", 1000)]

    trio.run(main)


def test_a_leaving_endpoint_survives_encoding():
    update = replace(
        make_update(None, "i1", 7, 1, leaving=False), leaving_endpoints=(("e1", 1000),)
    )
    assert decode_update(encode_update(update)).leaving_endpoints == (("e1", 1000),)


@pytest.mark.parametrize("path", [NON_IDEMPOTENT_PATH, IDEMPOTENT_PATH])
def test_a_replica_with_retry_after_gets_no_requests_for_that_time(path):
    async def refuse_with_retry_after(call: Call) -> None:
        await call.respond(503, b"", X_Not_Executed="1", Retry_After="0.8")

    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.replicas["desk-0"].handler = refuse_with_retry_after
            await wait_until(lambda: state_of(deployment, "desk-0") is EndpointState.LIVE)
            for number in range(8):
                resp = await deployment.request(path, X_Attempt_Id=f"e{number}")
                assert resp.status_code == 200
            assert len(deployment.replicas["desk-0"].calls) == 1
            await wait_until(lambda: state_of(deployment, "desk-0") is EndpointState.LIVE)

    trio.run(main)


def test_the_caller_gets_retry_after_while_all_replicas_back_off():
    async def refuse_with_retry_after(call: Call) -> None:
        await call.respond(503, b"", X_Not_Executed="1", Retry_After="7")

    async def main() -> None:
        async with running_deployment(plain_handler=refuse_with_retry_after) as deployment:
            resp = await deployment.request(NON_IDEMPOTENT_PATH)
            assert resp.status_code == 503
            assert 6.0 < float(resp.headers["retry-after"]) < 9.0
            assert len(deployment.calls()) == 2
            resp = await deployment.request(NON_IDEMPOTENT_PATH)
            assert resp.status_code == 503
            assert len(deployment.calls()) == 2

    trio.run(main)


@pytest.mark.parametrize(
    "retry_after", ["soon", "-1", "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"]
)
def test_a_retry_after_that_is_no_number_of_seconds_is_ignored(retry_after):
    async def refuse(call: Call) -> None:
        await call.respond(503, b"", X_Not_Executed="1", Retry_After=retry_after)

    async def main() -> None:
        async with running_deployment(plain_handler=refuse, replicas_per_service=1) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).status_code == 503
            assert state_of(deployment, "desk-0") is EndpointState.LIVE

    trio.run(main)
