"""A short seeded run of the platform soak breaks no promise."""

from __future__ import annotations

import random

import pytest
import trio

from bench.platform_soak import ALL_FAULTS, ONLY_STOPS, Soak

SECONDS = 12.0
LIMIT_S = 180.0


@pytest.mark.parametrize(("seed", "plan"), [(1, ALL_FAULTS), (2, ONLY_STOPS)])
def test_no_promise_is_broken(tmp_path, seed, plan):
    soak = Soak(random.Random(seed), tmp_path)

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            await soak.run(SECONDS, 3, plan)

    trio.run(main)
    assert soak.broken == []
