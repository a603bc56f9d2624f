"""Well-formed entries of a service that no configuration names, as another deployment writes them."""

from __future__ import annotations

import json

import pytest
import trio

from rattangate.core.stream_history import Software
from tests.front.deployment import (
    MODEL,
    STREAM_PATH,
    Call,
    make_config,
    running_deployment,
    stream_events,
    wait_until,
)

FOREIGN_VERSION = 7


def write_foreign(deployment, count: int = 2) -> None:
    for number in range(count):
        entry = {
            "service": "guest",
            "address": f"127.0.0.1:{9 + number}",
            "zone": "riverside",
            "version": "guest-1",
            "slots": 4,
            "state": "ready",
            "born": 1000,
            "models": [{"name": MODEL, "version": FOREIGN_VERSION}],
        }
        deployment.platform.store.put("servers", f"guest-{number}", entry)


async def read_lists_after(deployment) -> None:
    """Wait until an endpoint list that was written after all others is in force."""
    deployment.write_replica_entry("desk-0", "desk", version="last")
    view = deployment.app.state.view
    await wait_until(lambda: view.endpoints["desk-0"].software_version == "last")


# Guards against VERSION: weights of foreign entries count as named, and no other ones are loaded.
def test_the_weights_that_the_operator_names_are_loaded_beside_foreign_entries():
    ordered: list[int] = []

    async def handle(call: Call) -> None:
        if call.request_line.startswith("POST /order "):
            ordered.append(json.loads(call.body)["version"])
            await call.stream.send_all(b"HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}")
            return
        await stream_events(call)

    async def main() -> None:
        async with running_deployment(engine_handler=handle) as deployment:
            deployment.platform.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
            desired = deployment.app.state.desired_versions
            await wait_until(lambda: desired.newest(MODEL) == 1)
            write_foreign(deployment)
            await read_lists_after(deployment)
            deployment.platform.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            await wait_until(lambda: ordered)
            assert desired.newest(MODEL) == 2
            assert set(ordered) == {2}

    trio.run(main)


def test_streams_are_served_beside_foreign_entries_once_the_bound_for_old_weights_has_passed():
    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.platform.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
            state = deployment.app.state
            await wait_until(lambda: state.desired_versions.newest(MODEL) == 1)
            write_foreign(deployment)
            await read_lists_after(deployment)
            assert state.desired_versions.minimum_versions(float("inf")) == {MODEL: 1}
            assert (await deployment.request(STREAM_PATH)).status_code == 200

    trio.run(main)


def test_software_of_foreign_entries_does_not_count_as_the_origin_of_streams():
    async def main() -> None:
        async with running_deployment() as deployment:
            write_foreign(deployment)
            await read_lists_after(deployment)
            versions = deployment.app.state.driver.gateway.stream_versions
            assert Software("guest", "guest-1") not in versions.listed_software()
            history = versions.history(trio.current_time())
            assert {item.software.service for item in history.served} == {"llm", "desk"}

    trio.run(main)


@pytest.mark.parametrize("names_model", [True, False])
def test_entries_of_a_service_that_a_later_configuration_names_are_used(names_model):
    async def main() -> None:
        async with running_deployment() as deployment:
            write_foreign(deployment)
            await read_lists_after(deployment)
            view = deployment.app.state.view
            assert "guest-0" not in view.endpoints
            engine = {"slots": 4, "kv_capacity": 9000, "models": [{"name": MODEL}]}
            guest = {"name": "guest", **({"engine": engine} if names_model else {})}
            services = [*make_config(2)["services"], guest]
            deployment.configure(2, services=services)
            await wait_until(lambda: {"guest-0", "guest-1"} <= view.endpoints.keys())
            running = {item.endpoint for item in view.replicas_of(MODEL)}
            assert ({"guest-0", "guest-1"} <= running) is names_model

    trio.run(main)
