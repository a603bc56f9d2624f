"""A short seeded run of the platform soak breaks no promise."""

from __future__ import annotations

import random

import pytest
import trio

from bench.platform_soak import Soak

SECONDS = 12.0
LIMIT_S = 180.0


@pytest.mark.parametrize(("seed", "only_stops"), [(1, False), (2, True)])
def test_no_promise_is_broken(tmp_path, seed, only_stops):
    soak = Soak(random.Random(seed), tmp_path)

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            await soak.run(SECONDS, 3, only_stops)

    trio.run(main)
    assert soak.broken == []
