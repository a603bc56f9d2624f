"""Replicas whose answers say that they fall over if they must reject too much."""

from __future__ import annotations

import trio

from tests.front.deployment import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    Call,
    respond_done,
    running_deployment,
    wait_until,
)


def test_a_brittle_service_is_noticed_and_its_end_too():
    async def respond_brittle(call: Call) -> None:
        await call.respond(200, b"done", Server_Brittle="5")

    async def main() -> None:
        async with running_deployment(plain_handler=respond_brittle) as deployment:
            brittle = deployment.app.state.driver.gateway.limited.brittle
            resp = await deployment.request(IDEMPOTENT_PATH)
            assert resp.status_code == 200
            assert "server-brittle" not in resp.headers
            assert brittle.is_brittle("desk")
            assert not brittle.is_brittle("llm")
            for replica in deployment.replicas.values():
                replica.handler = respond_done
            await deployment.request(IDEMPOTENT_PATH)
            assert not brittle.is_brittle("desk")

    trio.run(main)


def test_a_brittle_replica_that_rejected_a_request_gets_few_more():
    async def reject(call: Call) -> None:
        await call.respond(503, b"", X_Not_Executed="1", Server_Brittle="3")

    async def main() -> None:
        async with running_deployment(plain_handler=reject) as deployment:
            permits = deployment.app.state.driver.gateway.limited.permits
            await wait_until(
                lambda: permits.is_available(("desk-0", 1000), 50.0, trio.current_time())
            )
            for number in range(40):
                resp = await deployment.request(
                    NON_IDEMPOTENT_PATH, X_Attempt_Id=f"b{number}", X_Deadline_Ms="100"
                )
                assert resp.status_code == 503
            for replica in deployment.replicas.values():
                assert len(replica.calls) <= 5

    trio.run(main)


def test_a_value_that_is_no_number_is_ignored():
    async def respond_nonsense(call: Call) -> None:
        await call.respond(200, b"done", Server_Brittle="very")

    async def main() -> None:
        async with running_deployment(plain_handler=respond_nonsense) as deployment:
            assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200
            assert not deployment.app.state.driver.gateway.limited.brittle.is_brittle("desk")

    trio.run(main)
