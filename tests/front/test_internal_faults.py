"""A request in which an unexpected exception is raised is answered, and so are the others."""

from __future__ import annotations

import pytest
import trio

from rattangate.front import forward
from rattangate.front.forward import Forwarder
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    running_deployment,
)

PATHS = [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH]


def fail(*args):
    raise KeyError("unexpected")


async def fail_async(*args):
    raise KeyError("unexpected")


@pytest.mark.parametrize("path", PATHS)
def test_a_fault_before_a_request_is_sent_is_answered_as_not_run(monkeypatch, path):
    async def main() -> None:
        async with running_deployment() as deployment:
            with monkeypatch.context() as patch:
                patch.setattr(forward, "make_outbound_request", fail)
                resp = await deployment.request(path)
                assert resp.status_code == 503
                assert "retry-after" in resp.headers
            assert not deployment.calls()
            assert (await deployment.request(path, X_Attempt_Id="a2")).status_code == 200

    trio.run(main)


@pytest.mark.parametrize("path", PATHS)
def test_a_fault_after_a_request_was_sent_is_answered_as_unknown(monkeypatch, path):
    async def main() -> None:
        async with running_deployment() as deployment:
            with monkeypatch.context() as patch:
                patch.setattr(Forwarder, "_relay_buffered", fail_async)
                patch.setattr(Forwarder, "_relay_stream", fail_async)
                assert (await deployment.request(path)).status_code == 502
            assert (await deployment.request(path, X_Attempt_Id="a2")).status_code == 200

    trio.run(main)
