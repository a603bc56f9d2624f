"""What served is known in the store, also to an instance that starts when no other one lives."""

from __future__ import annotations

import msgspec
import pytest
import trio

from rattangate.core.stream_history import Software
from rattangate.front.instance_entry import INSTANCE_TABLE
from rattangate.front.software_record import (
    SOFTWARE_ROW_KEY,
    SoftwareEntry,
    SoftwareTable,
    _update_table,
)
from rattangate.standins.rows_store import monotonic_ms
from tests.front.deployment import RESUMABLE_PATH, event, running_deployment, wait_until

RESUMED = {"X_Attempt_Id": "b1", "Resumes": "from-elsewhere", "Last_Event_Id": "2"}
V1, V2 = Software("llm", "v1"), Software("llm", "v2")
SERVES_V1 = SoftwareEntry("llm", "v1", has_models=True)


def stored(deployment) -> SoftwareTable | None:
    row = deployment.platform.store.rows.get((INSTANCE_TABLE, SOFTWARE_ROW_KEY))
    return None if row is None else msgspec.json.decode(row[1], type=SoftwareTable)


def store_since(deployment, ago_s: float, *further: SoftwareEntry) -> None:
    """Let the store tell since when it is known what served, and what else did."""
    table = stored(deployment)
    since_ms = int(monotonic_ms() - ago_s * 1000)
    changed = SoftwareTable(max(0, since_ms), (*table.software, *further))
    value = msgspec.json.encode(changed)
    deployment.platform.store.put(INSTANCE_TABLE, SOFTWARE_ROW_KEY, value)


def knows_since(deployment, ago_s: float) -> bool:
    versions = deployment.app.state.driver.gateway.stream_versions
    return trio.current_time() - versions._known_since >= ago_s


def test_a_stream_goes_on_after_all_instances_were_killed_where_the_store_tells_of_one_software():
    async def main() -> None:
        async with running_deployment() as deployment:
            await wait_until(lambda: stored(deployment) is not None)
            store_since(deployment, 40.0)
            await wait_until(lambda: knows_since(deployment, 39.0))
            resp = await deployment.request(RESUMABLE_PATH, **RESUMED)
            assert resp.content == event(3)

    trio.run(main)


def test_a_stream_does_not_go_on_where_the_store_tells_of_other_software_that_has_just_left():
    async def main() -> None:
        async with running_deployment() as deployment:
            await wait_until(lambda: stored(deployment) is not None)
            left = SoftwareEntry("llm", "v0", True, until_ms=int(monotonic_ms()))
            store_since(deployment, 40.0, left)
            await wait_until(lambda: knows_since(deployment, 39.0))
            resp = await deployment.request(RESUMABLE_PATH, **RESUMED)
            assert resp.status_code == 503
            assert not deployment.calls()

    trio.run(main)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"since_ms":-1}', b'{"since_ms":1,"software":{}}'])
def test_an_odd_row_is_replaced(value):
    async def main() -> None:
        async with running_deployment() as deployment:
            await wait_until(lambda: stored(deployment) is not None)
            deployment.platform.store.put(INSTANCE_TABLE, SOFTWARE_ROW_KEY, value)
            rows = deployment.platform.store.rows
            await wait_until(lambda: rows[INSTANCE_TABLE, SOFTWARE_ROW_KEY][1] != value)
            assert stored(deployment).software

    trio.run(main)


def test_software_that_left_is_told_for_as_long_as_its_streams_may_last():
    first = _update_table(None, {V1: True}, 1_000)
    assert first == SoftwareTable(1_000, (SERVES_V1,))
    assert _update_table(first, {V1: True}, 2_000) is first
    second = _update_table(first, {V2: True}, 3_000)
    left = msgspec.structs.replace(SERVES_V1, until_ms=3_000)
    assert second == SoftwareTable(1_000, (SoftwareEntry("llm", "v2", has_models=True), left))
    assert _update_table(second, {V2: True}, 4_000) is second
    back = _update_table(second, {V1: True, V2: True}, 5_000)
    assert all(entry.until_ms is None for entry in back.software)
    third = _update_table(second, {V1: True}, 500_000)
    assert left not in third.software
