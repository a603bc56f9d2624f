"""Measure booking throughput and the table writes that one booking takes.

A booking is a request that must run at most once, identified by its idempotency key. The second
run limits the rate of table writes.
"""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import httpx
import trio

from tests.small_deployment import DeploymentCfg, small_deployment

CALLERS = 64
LOAD_DURATION_S = 8.0
TABLE_WRITES_PER_S = 300.0
WRITES_SETTLE_S = 6.0


@dataclass
class Counts:
    """Count the requests sent and their responses by outcome."""

    booked: int = 0
    refused: int = 0
    sent: int = 0


async def _run_caller(counts: Counts, url: str, deadline: float) -> None:
    async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
        while time.monotonic() < deadline:
            counts.sent += 1
            headers = {"Authorization": "Bearer demo-alpha", "Idempotency-Key": f"b-{counts.sent}"}
            resp = await client.post(f"{url}/bookings/passes", json={"lot": 1}, headers=headers)
            if resp.status_code == httpx.codes.OK:
                counts.booked += 1
            else:
                counts.refused += 1
                await trio.sleep(0.2)


async def _run_callers(urls: list[str], callers: int) -> Counts:
    counts = Counts()
    deadline = time.monotonic() + LOAD_DURATION_S
    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(_run_caller, counts, urls[number % len(urls)], deadline)
    return counts


def main() -> None:
    """Print the bookings per second and the writes per booking."""
    with tempfile.TemporaryDirectory() as folder:
        shape = DeploymentCfg(engines=0, instances=2, services=2, settings={"models": []})
        with small_deployment(Path(folder), shape) as deployment:
            stats = f"http://{deployment.settings.platform.address}/stats"
            for callers, rate in ((1, 0.0), (CALLERS, TABLE_WRITES_PER_S)):
                deployment.set_faults("platform", writes_per_s=rate)
                before = httpx.get(stats, trust_env=False).json()["writes"]
                counts = trio.run(_run_callers, deployment.caller_urls(), callers)
                time.sleep(WRITES_SETTLE_S)
                writes = httpx.get(stats, trust_env=False).json()["writes"] - before
                print(
                    f"callers {callers}, table {rate:.0f} writes/s (0: no limit): "
                    f"{counts.booked / LOAD_DURATION_S:.1f} bookings/s, {counts.refused} refused, "
                    f"{writes / max(1, counts.booked):.2f} writes a booking"
                )


if __name__ == "__main__":
    main()
