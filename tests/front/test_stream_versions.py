"""Replicas of two software versions serve side by side; a stream keeps to the one that began it."""

from __future__ import annotations

from hashlib import blake2b

import httpx
import pytest
import trio

from rattangate.core import stream_versions
from rattangate.core.intake import STREAM_NEWS_S
from rattangate.front.stream_ids import STREAM_ID_BYTES
from tests.front.deployment import (
    BORN,
    HOST,
    MODEL,
    RESUMABLE_PATH,
    Call,
    event,
    make_config,
    running_deployment,
    stream_events,
    wait_until,
)

VERSIONS = {"llm-0": "v1", "llm-1": "v1.1", "llm-2": "v1", "llm-3": "v1.1"}
PREFIXES = ["aa:600,bb:300", "ac:600,bb:300", "ad:600,bb:300"]


async def break_off(call: Call) -> None:
    """Break a new stream off after two events; continue one that is taken up."""
    if "last-event-id" in call.headers:
        await stream_events(call)
        return
    await call.start_stream()
    await call.send_chunk(event(1))
    await call.send_chunk(event(2))
    await call.stream.aclose()


async def start_versions(deployment, names) -> None:
    for name, version in VERSIONS.items():
        if name in names:
            deployment.write_replica_entry(name, "llm", version=version)
        elif name in deployment.replicas:
            deployment.platform.store.remove_row("servers", name)
    view = deployment.app.state.view
    await wait_until(
        lambda: {
            name: view.endpoints[name].software_version
            for name in VERSIONS
            if name in view.endpoints
        }
        == {name: VERSIONS[name] for name in names}
    )


def versions_by_stream(deployment) -> dict[str, list[str]]:
    """Return the versions that got the requests of each stream, in order."""
    found: dict[str, list[str]] = {}
    for replica in deployment.replicas.values():
        for call in replica.calls:
            stream = call.headers.get("resumes", call.headers["x-attempt-id"])
            found.setdefault(stream, []).append(VERSIONS[replica.name])
    return found


@pytest.mark.parametrize("prefix", PREFIXES)
def test_a_broken_stream_goes_on_at_the_version_that_began_it(prefix):
    async def main() -> None:
        async with running_deployment(
            engine_handler=break_off, replicas_per_service=4
        ) as deployment:
            await start_versions(deployment, VERSIONS)
            resp = await deployment.request(RESUMABLE_PATH, X_Prefix_Hash=prefix)
            assert resp.content == event(1) + event(2) + event(3)
            ((first, second),) = versions_by_stream(deployment).values()
            assert first == second

    trio.run(main)


def test_a_broken_stream_ends_where_no_replica_of_its_version_serves():
    async def main() -> None:
        async with running_deployment(engine_handler=break_off) as deployment:
            await start_versions(deployment, ("llm-0", "llm-1"))
            with pytest.raises(httpx.RemoteProtocolError):
                await deployment.request(RESUMABLE_PATH)
            assert [len(found) for found in versions_by_stream(deployment).values()] == [1]

    trio.run(main)


@pytest.mark.parametrize("prefix", PREFIXES)
def test_a_stream_that_a_caller_takes_up_goes_on_at_the_version_that_began_it(prefix):
    async def main() -> None:
        async with running_deployment(replicas_per_service=4) as deployment:
            await start_versions(deployment, VERSIONS)
            await deployment.request(RESUMABLE_PATH, X_Prefix_Hash=prefix)
            (began_at,) = (
                replica.name for replica in deployment.replicas.values() if replica.calls
            )
            deployment.write_replica_entry(
                began_at, "llm", version=VERSIONS[began_at], state="draining"
            )
            view = deployment.app.state.view
            await wait_until(lambda: view.endpoints[began_at].is_leaving)
            resumed = {"X_Attempt_Id": "b1", "Resumes": "a1", "Last_Event_Id": "2"}
            resp = await deployment.request(RESUMABLE_PATH, X_Prefix_Hash=prefix, **resumed)
            assert resp.content == event(3)
            ((first, second),) = versions_by_stream(deployment).values()
            assert first == second

    trio.run(main)


def test_a_stream_of_an_unknown_version_is_not_taken_up_while_two_versions_serve():
    async def main() -> None:
        async with running_deployment() as deployment:
            await start_versions(deployment, ("llm-0", "llm-1"))
            headers = {"Resumes": "from-elsewhere", "Last_Event_Id": "2"}
            resp = await deployment.request(RESUMABLE_PATH, **headers)
            assert resp.status_code == 503
            assert not deployment.calls()

    trio.run(main)


def test_a_stream_that_an_instance_never_heard_of_is_not_taken_up_soon_after_its_start():
    async def main() -> None:
        async with running_deployment() as deployment:
            headers = {"Resumes": "from-elsewhere", "Last_Event_Id": "2"}
            resp = await deployment.request(RESUMABLE_PATH, **headers)
            assert resp.status_code == 503
            assert not deployment.calls()

    trio.run(main)


def test_a_stream_of_an_unknown_version_is_taken_up_where_one_software_served_for_long(monkeypatch):
    monkeypatch.setattr(stream_versions, "STREAM_RETENTION_S", 0.5)

    async def main() -> None:
        async with running_deployment() as deployment:
            await trio.sleep(0.6)
            headers = {"Resumes": "from-elsewhere", "Last_Event_Id": "2"}
            resp = await deployment.request(RESUMABLE_PATH, **headers)
            assert resp.content == event(3)

    trio.run(main)


async def serve_two_services(deployment) -> None:
    """Let the second engine serve a service of its own, which has the same model."""
    models = [{"name": MODEL, "version": 1}]
    deployment.write_replica_entry("llm-1", "llm-two", models=models)
    await lead_route(deployment, 2, llm=1, llm_two=1)
    view = deployment.app.state.view
    await wait_until(lambda: view.endpoints["llm-1"].service == "llm-two")


async def lead_route(deployment, version: int, **weights: int) -> None:
    """Let the route of streams that may be resumed lead to services."""
    config = make_config(version)
    shares = [
        {"service": name.replace("_", "-"), "weight": weight} for name, weight in weights.items()
    ]
    routes = [
        {**route, "traffic_split": shares} if route["name"] == "r" else route
        for route in config["routes"]
    ]
    engine = config["services"][0]
    services = [*config["services"], {**engine, "name": "llm-two"}]
    deployment.configure(version, routes=routes, services=services)
    await wait_until(lambda: deployment.app.state.config.version == version)


def test_a_stream_goes_on_at_the_service_that_began_it_when_the_split_of_its_route_changes():
    async def main() -> None:
        async with running_deployment() as deployment:
            await serve_two_services(deployment)
            for number in range(8):
                await deployment.request(RESUMABLE_PATH, X_Attempt_Id=f"a{number}")
            assert {call.headers["x-attempt-id"] for call in deployment.replicas["llm-1"].calls}
            await lead_route(deployment, 3, llm=1000, llm_two=1)
            for number in range(8):
                resumed = {"Resumes": f"a{number}", "Last_Event_Id": "2"}
                resp = await deployment.request(
                    RESUMABLE_PATH, X_Attempt_Id=f"b{number}", **resumed
                )
                assert resp.content == event(3)
            for replica in deployment.replicas.values():
                ids = [call.headers["x-attempt-id"] for call in replica.calls]
                began, resumed_ids = (
                    {one[1:] for one in ids if one.startswith(kind)} for kind in "ab"
                )
                assert began == resumed_ids

    trio.run(main)


def test_a_stream_whose_news_come_late_goes_on_at_the_service_of_a_split_route_that_began_it():
    async def main() -> None:
        async with running_deployment() as deployment, trio.open_nursery() as nursery:
            await serve_two_services(deployment)
            route = deployment.app.state.config.find_route(HOST, RESUMABLE_PATH)
            began_as = next(
                name
                for name in (f"a{number}" for number in range(99))
                if route.pick_service(name) == "llm-two"
            )
            stream = blake2b(began_as.encode(), digest_size=STREAM_ID_BYTES).digest()
            responses: list[httpx.Response] = []

            async def take_up() -> None:
                resumed = {"Resumes": began_as, "Last_Event_Id": "2"}
                responses.append(await deployment.request(RESUMABLE_PATH, **resumed))

            nursery.start_soon(take_up)
            await trio.sleep(STREAM_NEWS_S / 2)
            versions = deployment.app.state.driver.gateway.stream_versions
            versions.record_placement(stream, ("llm-0", BORN), trio.current_time())
            await wait_until(lambda: responses)
            assert responses[0].content == event(3)
            assert deployment.replicas["llm-0"].calls

    trio.run(main)


def test_a_stream_is_refused_at_once_when_its_route_leads_to_another_service():
    async def main() -> None:
        async with running_deployment() as deployment:
            await serve_two_services(deployment)
            await lead_route(deployment, 3, llm=1)
            await deployment.request(RESUMABLE_PATH, X_Attempt_Id="a1")
            await lead_route(deployment, 4, llm_two=1)
            resumed = {"Resumes": "a1", "Last_Event_Id": "2"}
            resp = await deployment.request(RESUMABLE_PATH, X_Attempt_Id="b1", **resumed)
            assert resp.status_code == 503
            assert "stream_elsewhere" in resp.text
            assert not deployment.replicas["llm-1"].calls

    trio.run(main)
