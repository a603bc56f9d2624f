"""An instance's row in the store belongs to its newest process."""

from __future__ import annotations

import trio

from rattangate.front.instance_entry import INSTANCE_ROW_PREFIX, INSTANCE_TABLE
from tests.front.deployment import running_deployment, wait_until


def value_of(store, row_key: str) -> bytes | None:
    row = store.rows.get((INSTANCE_TABLE, row_key))
    return None if row is None else row[1]


def test_a_stopping_process_leaves_the_row_of_its_successor_alone():
    async def main() -> None:
        async with running_deployment() as deployment:
            peers = deployment.app._peers
            store = deployment.platform.store
            row_key = INSTANCE_ROW_PREFIX + deployment.boot.instance
            await wait_until(lambda: value_of(store, row_key) is not None)
            store.put(INSTANCE_TABLE, row_key, {"of": "the successor"})
            successor = value_of(store, row_key)
            await peers.mark_leaving()
            await peers.deregister()
            assert value_of(store, row_key) == successor

    trio.run(main)


def test_a_stopped_process_removes_its_row():
    async def main() -> None:
        async with running_deployment() as deployment:
            peers = deployment.app._peers
            store = deployment.platform.store
            row_key = INSTANCE_ROW_PREFIX + deployment.boot.instance
            await wait_until(lambda: peers._row_version is not None)
            await peers.mark_leaving()
            assert b'"is_leaving":true' in value_of(store, row_key)
            await peers.deregister()
            assert value_of(store, row_key) is None

    trio.run(main)
