"""An odd answer of the store neither ends an instance nor keeps it from its requests."""

from __future__ import annotations

import pytest
import trio

from tests.front.deployment import IDEMPOTENT_PATH, running_deployment, wait_until

ODD_ANSWERS = ["[]", "{}", "null", "1", '{"rows":{},"ver":[],"now_ms":"x","names":1}']
# Longer than the lease, the watches and the check of the instance's own row take between calls.
ODD_S = 2.0


@pytest.mark.parametrize("answer", ODD_ANSWERS)
def test_an_instance_serves_during_and_after_odd_answers_of_the_store(answer):
    async def main() -> None:
        async with running_deployment() as deployment:
            deployment.platform.faults.answer = answer
            deadline = trio.current_time() + ODD_S
            while trio.current_time() < deadline:
                assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200
                await trio.sleep(0.1)
            deployment.platform.faults.answer = ""
            deployment.configure(2)
            await wait_until(lambda: deployment.app.state.config.version == 2)
            assert (await deployment.request(IDEMPOTENT_PATH)).status_code == 200

    trio.run(main)
