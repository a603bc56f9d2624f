"""Measures bookings: writes per booking, and bookings a second against a table of limited rate."""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import httpx
import trio

from tests.small_deployment import Shape, small_deployment

CALLERS = 64
SECONDS = 8.0
TABLE_WRITES_PER_S = 300.0
LAST_WRITES_S = 6.0


@dataclass
class Count:
    """Count answers by status."""

    booked: int = 0
    refused: int = 0
    keys: int = 0


async def _call(count: Count, url: str, deadline: float) -> None:
    async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
        while time.monotonic() < deadline:
            count.keys += 1
            headers = {"Authorization": "Bearer demo-alpha", "Idempotency-Key": f"b-{count.keys}"}
            resp = await client.post(f"{url}/bookings/passes", json={"lot": 1}, headers=headers)
            if resp.status_code == httpx.codes.OK:
                count.booked += 1
            else:
                count.refused += 1
                await trio.sleep(0.2)


async def _load(urls: list[str], callers: int) -> Count:
    count = Count()
    deadline = time.monotonic() + SECONDS
    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(_call, count, urls[number % len(urls)], deadline)
    return count


def main() -> None:
    """Print the writes per booking and the bookings a second."""
    with tempfile.TemporaryDirectory() as folder:
        shape = Shape(engines=0, instances=2, services=2, settings={"models": []})
        with small_deployment(Path(folder), shape) as deployment:
            stats = f"http://{deployment.settings.platform.address}/stats"
            for callers, rate in ((1, 0.0), (CALLERS, TABLE_WRITES_PER_S)):
                deployment.set_faults("platform", writes_per_s=rate)
                before = httpx.get(stats, trust_env=False).json()["writes"]
                count = trio.run(_load, deployment.caller_urls(), callers)
                time.sleep(LAST_WRITES_S)
                writes = httpx.get(stats, trust_env=False).json()["writes"] - before
                print(
                    f"callers {callers}, table {rate:.0f} writes/s (0: no limit): "
                    f"{count.booked / SECONDS:.1f} bookings/s, {count.refused} refused, "
                    f"{writes / max(1, count.booked):.2f} writes a booking"
                )


if __name__ == "__main__":
    main()
