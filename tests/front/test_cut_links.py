"""An instance that loses its own links to the endpoints still serves its callers."""

from __future__ import annotations

import pytest
import trio

from tests.front.cut_links import Cut, running_pair
from tests.front.deployment import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    Call,
    event,
    respond_done,
)

PATHS = (IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH)
# The platform's bound until which an instance must have noticed a lost link.
CONTACT_S = 3.0
# More than the endpoints have open connections, so that new ones are needed.
SIMULTANEOUS = 4


async def _respond_slowly(call: Call) -> None:
    await trio.sleep(0.05)
    await respond_done(call)


async def _request_all(deployment, name: str, simultaneous: int = SIMULTANEOUS) -> list[int]:
    """Send requests of each kind at the same time; return the statuses of the whole responses."""
    statuses: list[int] = []

    async def send(path: str, number: int) -> None:
        resp = await deployment.request(path, X_Attempt_Id=f"{path[1]}{name}-{number}")
        if path == STREAM_PATH and resp.status_code == 200:
            assert resp.content == b"".join(map(event, (1, 2, 3)))
        statuses.append(resp.status_code)

    async with trio.open_nursery() as nursery:
        for path in PATHS:
            for number in range(simultaneous):
                nursery.start_soon(send, path, number)
    return statuses


@pytest.mark.parametrize("cut", Cut)
def test_callers_of_an_instance_without_links_to_endpoints_are_served(cut, monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch, _respond_slowly) as (deployment, links):
            assert set(await _request_all(deployment, "before", 1)) == {200}
            links.apply(cut)
            with trio.move_on_after(CONTACT_S):
                for number in range(1000):
                    await _request_all(deployment, f"notice-{number}")
                    await trio.sleep(0.1)
            ran = len(deployment.calls())
            for number in range(10):
                assert set(await _request_all(deployment, f"cut-{number}")) == {200}
            assert len(deployment.calls()) == ran + 10 * len(PATHS) * SIMULTANEOUS

    trio.run(main)
