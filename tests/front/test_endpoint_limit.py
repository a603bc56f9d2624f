"""Replicas whose answers name the request rate that they accept from all instances together."""

from __future__ import annotations

import trio

from rattangate.standins.rows_store import monotonic_ms
from rattangate.units import MS_PER_S
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    Call,
    respond_done,
    running_deployment,
    wait_until,
)

KEY = ("desk-0", 1000)
STORE_AHEAD_MS = 1_000_000


def test_a_named_rate_is_kept_and_its_end_is_noticed():
    async def name_limit(call: Call) -> None:
        await call.respond(200, b"done", Server_Limit="2.0")

    async def main() -> None:
        async with running_deployment(
            plain_handler=name_limit, replicas_per_service=1
        ) as deployment:
            gateway = deployment.app.state.driver.gateway
            await deployment.request(IDEMPOTENT_PATH)
            assert 1.9 < gateway.limited.limits.limit_of(KEY) <= 2.0
            gateway.limited.permits.configure(())
            refused = await deployment.request(IDEMPOTENT_PATH, X_Deadline_Ms="300")
            assert refused.status_code == 503
            assert float(refused.headers["retry-after"]) > 0
            assert len(deployment.calls()) == 1
            deployment.replicas["desk-0"].handler = respond_done
            gateway.limited.permits.configure((deployment.boot.instance,))
            assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200
            assert gateway.limited.limits.limit_of(KEY) is None

    trio.run(main)


def test_the_permits_of_a_lone_instance_follow_the_clock_of_the_store(monkeypatch):
    def store_ms() -> int:
        return monotonic_ms() + STORE_AHEAD_MS

    async def main() -> None:
        async with running_deployment() as deployment:
            permits = deployment.app.state.driver.gateway.limited.permits
            await wait_until(lambda: permits.is_available(KEY, 50.0, trio.current_time()))
            shared_ms = permits.shared_time(trio.current_time()) * MS_PER_S
            assert abs(shared_ms - store_ms()) < STORE_AHEAD_MS / 2

    monkeypatch.setattr("rattangate.standins.rows_store.monotonic_ms", store_ms)
    trio.run(main)
