"""An entry of another writer in the endpoint list costs that entry alone."""

from __future__ import annotations

import json

import eliot
import pytest
import trio

from rattangate.core.messages import EndpointState
from rattangate.front.instance_entry import INSTANCE_TABLE
from tests.front.cut_links import running_pair
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    MODEL,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    running_deployment,
    wait_until,
)

ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "riverside",
    "slots": 4,
    "state": "ready",
    "born": 1000,
}
INSTANCE_ENTRY = {"address": "127.0.0.1:9", "data_centre": "riverside", "incarnation": 1}
ODD_ROW = "instance/odd"
NESTING = 2_000
HUGE = "9" * 5_000


def _with(name: str, text: str, entry: dict[str, object] = ENTRY) -> bytes:
    """Return an entry with a field that is given as JSON text."""
    return json.dumps({**entry, name: "?"}).replace('"?"', text).encode()


ODD_ENTRIES = {
    "unfinished nesting": b'{"labels":' * NESTING,
    "nesting": _with("labels", "[" * NESTING + "]" * NESTING),
    "nested service": _with("service", "[" * NESTING + "]" * NESTING),
    "born above 64 bits": _with("born", str(2**64)),
    "born of many digits": _with("born", HUGE),
    "negative born": _with("born", "-1"),
    "slots of many digits": _with("slots", HUGE),
    "weights above 64 bits": _with("models", f'[{{"name":"daka","version":{2**64}}}]'),
    "unknown field with many digits": _with("labels", "1" * 100_000 + "x"),
    "port above 65535": _with("address", '"127.0.0.1:65536"'),
    "port of many digits": _with("address", f'"127.0.0.1:{HUGE}"'),
    "port 0": _with("address", '"127.0.0.1:0"'),
    "port in other digits": _with("address", '"127.0.0.1:\\u00b2\\u00b2"'),
    "host that is no address": _with("address", '"desk host:80"'),
    "lone surrogate": _with("zone", '"\\ud800"'),
}


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_neither_ends_an_instance_nor_stops_it_from_following_the_list(odd):
    async def main() -> None:
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        try:
            async with running_deployment() as deployment:
                deployment.platform.store.put("servers", "odd", odd)
                await wait_until(lambda: any(line.get("row") == "odd" for line in lines))
                view = deployment.app.state.view
                assert set(view.endpoints) == set(deployment.replicas)
                deployment.write_replica_entry("desk-0", "desk", state="draining")
                await wait_until(lambda: view.endpoints["desk-0"].is_leaving)
                for path in (IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH):
                    assert (await deployment.request(path)).status_code == 200
        finally:
            eliot.remove_destination(lines.append)
        malformed = [line for line in lines if line["message_type"] == "entry_malformed"]
        assert [line["row"] for line in malformed] == ["odd"]
        assert malformed[0]["error"]
        assert not any(line["message_type"] == "internal_fault" for line in lines)

    trio.run(main)


ODD_INSTANCES = {
    "nesting": b'{"labels":' * NESTING,
    "incarnation above 64 bits": _with("incarnation", str(2**64), INSTANCE_ENTRY),
    "negative incarnation": _with("incarnation", "-1", INSTANCE_ENTRY),
    "no port": _with("address", '"nowhere"', INSTANCE_ENTRY),
    "port that is no number": _with("address", '"127.0.0.1:x"', INSTANCE_ENTRY),
    "port above 65535": _with("address", '"127.0.0.1:65536"', INSTANCE_ENTRY),
    "host that is no address": _with("address", '"entry host:80"', INSTANCE_ENTRY),
    "negative cores": _with("cores", "-1", INSTANCE_ENTRY),
    "lone surrogate": _with("data_centre", '"\\ud800"', INSTANCE_ENTRY),
}


@pytest.mark.parametrize("odd", ODD_INSTANCES.values(), ids=ODD_INSTANCES)
def test_an_odd_row_of_an_instance_costs_that_row_alone(odd, monkeypatch):
    async def main() -> None:
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        try:
            async with running_pair(monkeypatch) as (deployment, links):
                apps = (deployment.app, links.other_app)
                deployment.platform.store.put(INSTANCE_TABLE, ODD_ROW, odd)
                await wait_until(lambda: sum(line.get("row") == ODD_ROW for line in lines) >= 2)
                # Longer than a connection to the instance of an odd row is tried for the first time.
                await trio.sleep(0.5)
                assert [app._peers.count for app in apps] == [1, 1]
                assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200
        finally:
            eliot.remove_destination(lines.append)

    trio.run(main)


@pytest.mark.parametrize("version", [HUGE, str(2**64), "-1"], ids=["digits", "64 bits", "negative"])
def test_an_odd_version_that_is_named_costs_that_row_alone(version, monkeypatch):
    odd = f'{{"model":"{MODEL}","version":{version}}}'.encode()

    async def main() -> None:
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        try:
            async with running_pair(monkeypatch) as (deployment, _):
                deployment.platform.store.put("op", f"version/{MODEL}", odd)
                await wait_until(lambda: any(line.get("table") == "op" for line in lines))
                deployment.configure(2)
                await wait_until(lambda: deployment.app.state.config.version == 2)
                assert (await deployment.request(STREAM_PATH)).status_code == 200
        finally:
            eliot.remove_destination(lines.append)

    trio.run(main)


@pytest.mark.parametrize("models", [[], [{"name": "other", "version": 1}]])
def test_an_entry_without_the_model_of_its_service_opens_no_cache_to_other_workspaces(models):
    async def main() -> None:
        async with running_deployment(replicas_per_service=1) as deployment:
            endpoints = deployment.app.state.driver.gateway.endpoints
            assert (await deployment.request(STREAM_PATH)).status_code == 200
            deployment.write_replica_entry("llm-0", "llm", models=models)
            await wait_until(lambda: endpoints["llm-0"].status.state is EndpointState.DOWN)
            resp = await deployment.request(STREAM_PATH, X_Attempt_Id="odd")
            assert resp.status_code == 503
            deployment.write_replica_entry("llm-0", "llm")
            await wait_until(lambda: endpoints["llm-0"].status.state is EndpointState.LIVE)
            assert (await deployment.request(STREAM_PATH, X_Attempt_Id="b")).status_code == 200
            assert all(call.headers["x-cache-salt"] for call in deployment.calls())
            assert all(call.headers["x-expect-version"] for call in deployment.calls())

    trio.run(main)
