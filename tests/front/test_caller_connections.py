"""Nothing that a connection does ends the process."""

from __future__ import annotations

import pytest
import trio

from tests.front.callers import connect_to, encode_request, reset
from tests.front.deployment import NON_IDEMPOTENT_PATH, Deployment, running_deployment

REQUESTS = {
    "caller": encode_request(NON_IDEMPOTENT_PATH, "a1"),
    "ready": b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n",
    "metrics": b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
}


def _address(deployment: Deployment, listener: str) -> str:
    app, boot = deployment.app, deployment.boot
    addresses = {"caller": boot.caller_address, "ready": boot.ready_address}
    return addresses.get(listener, app.metrics_address)


@pytest.mark.parametrize("listener", REQUESTS)
def test_connections_that_are_reset_at_any_step_do_not_end_the_instance(listener):
    request = REQUESTS[listener]

    async def main() -> None:
        async with running_deployment() as deployment:
            address = _address(deployment, listener)
            for sent in (0, 1, len(request) // 2, len(request) - 1, len(request)):
                for pause_s in (0.0, 0.005, 0.05):
                    for _ in range(3):
                        sock = connect_to(address)
                        sock.sendall(request[:sent])
                        await trio.sleep(pause_s)
                        reset(sock)
            await trio.sleep(0.1)
            resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Attempt_Id="after")
            assert resp.status_code == 200

    trio.run(main)
