"""An instance that has used up its file descriptors serves again once it has some."""

from __future__ import annotations

import errno

import pytest
import trio

from tests.front.deployment import IDEMPOTENT_PATH, Call, respond_done, running_deployment

OUTAGE_S = 1.0


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL])
def test_an_instance_that_cannot_open_sockets_for_a_while_neither_ends_nor_leaves_a_request_unanswered(
    monkeypatch, code
):
    async def answer_and_close(call: Call) -> None:
        await respond_done(call)
        await call.stream.aclose()

    open_socket = trio.socket.socket

    def fail(*args):
        raise OSError(code, "no socket")

    async def main() -> None:
        async with running_deployment(plain_handler=answer_and_close) as deployment:
            assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200
            monkeypatch.setattr("rattangate.front.endpoint_conn.trio.socket.socket", fail)
            deadline = trio.current_time() + OUTAGE_S
            while trio.current_time() < deadline:
                assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 503
                await trio.sleep(0.1)
            monkeypatch.setattr("rattangate.front.endpoint_conn.trio.socket.socket", open_socket)
            with trio.fail_after(5.0):
                while (await deployment.request(IDEMPOTENT_PATH)).status_code != 200:
                    await trio.sleep(0.1)

    trio.run(main)
