"""The store returns from an older copy while an instance serves."""

from __future__ import annotations

import trio

from rattangate.front.instance_entry import INSTANCE_TABLE
from rattangate.front.store_watchers import ENTRIES_BACK_S
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    Call,
    Deployment,
    make_config,
    running_deployment,
    wait_until,
)

OWN_ROW = (INSTANCE_TABLE, "instance/entry-1")
SECRET_ROW = (INSTANCE_TABLE, "secret")
NEW_PATH = "/new/1"


def _return_without(deployment: Deployment, *lost: tuple[str, str]) -> None:
    store = deployment.platform.store
    copy = store.make_copy()
    for row in lost:
        copy.rows.pop(row)
    store.return_from(copy)


def test_an_instance_writes_its_lost_rows_again_with_the_same_contents():
    async def main() -> None:
        async with running_deployment() as deployment:
            rows = deployment.platform.store.rows
            await wait_until(lambda: OWN_ROW in rows and SECRET_ROW in rows)
            await trio.sleep(0.5)
            before = (rows[OWN_ROW][1], rows[SECRET_ROW][1])
            _return_without(deployment, OWN_ROW, SECRET_ROW)
            store = deployment.platform.store
            await wait_until(lambda: OWN_ROW in store.rows and SECRET_ROW in store.rows)
            assert (store.rows[OWN_ROW][1], store.rows[SECRET_ROW][1]) == before

    trio.run(main)


def test_endpoints_whose_entries_were_lost_serve_until_they_write_them_again():
    async def main() -> None:
        async with running_deployment() as deployment:
            _return_without(deployment, ("servers", "desk-0"), ("servers", "desk-1"))
            state = deployment.app.state
            await wait_until(lambda: state.list_read_at is not None)
            for _ in range(5):
                assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200
                await trio.sleep(0.2)
            for name in ("desk-0", "desk-1"):
                deployment.write_replica_entry(name, "desk")
            await trio.sleep(ENTRIES_BACK_S)
            assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200

    trio.run(main)


def test_endpoints_that_do_not_write_their_entries_again_are_dropped():
    async def main() -> None:
        async with running_deployment() as deployment:
            _return_without(deployment, ("servers", "desk-0"))
            await trio.sleep(ENTRIES_BACK_S)
            deployment.write_replica_entry("desk-1", "desk", seq=2)
            view = deployment.app.state.view
            await wait_until(lambda: "desk-0" not in view.endpoints)
            assert "desk-1" in view.endpoints

    trio.run(main)


def test_a_configuration_in_force_does_not_revert_to_that_of_the_copy():
    async def main() -> None:
        async with running_deployment() as deployment:
            store = deployment.platform.store
            copy = store.make_copy()
            added = {**make_config(2)["routes"][2], "name": "n", "path_prefix": "/new/"}
            deployment.configure(2, routes=[*make_config(2)["routes"], added])
            await wait_until(lambda: deployment.app.state.config.version == 2)
            store.return_from(copy)
            for _ in range(5):
                assert (await deployment.request(NEW_PATH)).status_code == 200
                await trio.sleep(0.2)
            deployment.configure(3, routes=[*make_config(3)["routes"], added])
            await wait_until(lambda: deployment.app.state.config.version == 3)

    trio.run(main)


def test_an_endpoint_that_said_that_it_leaves_after_its_entry_was_gone_gets_no_requests():
    removed = trio.Event()

    async def say_leaving_late(call: Call) -> None:
        await removed.wait()
        await call.respond(200, b"done", Server_Leaving="1")

    async def main() -> None:
        async with running_deployment(say_leaving_late, replicas_per_service=1) as deployment:
            store = deployment.platform.store
            view = deployment.app.state.view
            copy = store.make_copy()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.request, IDEMPOTENT_PATH)
                await wait_until(lambda: len(deployment.calls()) == 1)
                store.remove_row("servers", "desk-0")
                await wait_until(lambda: "desk-0" not in view.endpoints)
                removed.set()
            store.return_from(copy)
            await wait_until(lambda: "desk-0" in view.endpoints)
            resp = await deployment.request(IDEMPOTENT_PATH, X_Attempt_Id="after")
            assert resp.status_code == 503
            assert len(deployment.calls()) == 1

    trio.run(main)
