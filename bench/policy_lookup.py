"""Measure the time of prefix lookup and placement and the memory of the prefix index."""

from __future__ import annotations

import random
import statistics
import sys
import time
import tracemalloc

from rattangate.core.endpoint_state import Endpoint
from rattangate.core.messages import EndpointState, EndpointStatus, RequestArrived
from rattangate.core.placement import choose, find_candidates
from rattangate.core.prefix import CacheScope

REPLICAS = 200
INDEX_PIECES = 100_000
PIECE_TOKENS = 4000
SHARED_PIECES = 5
PROMPT_PIECES = (10, 20, 40, 80)
REPEATS = 300
MAX_MEDIAN_S = 0.001
SEED = 1
SCOPE = CacheScope("workspace", "model", "", "v1")


def main() -> None:
    """Print the measurements; exit with 1 if a prompt of 20 blocks exceeds `MAX_MEDIAN_S`."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    rng = random.Random(SEED)
    endpoints, prompts = _fill(rng)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    cached_pieces = sum(len(endpoint.cache.best_model.blocks) for endpoint in endpoints)
    print(f"seed {SEED}, {len(endpoints)} replicas, {cached_pieces} cached pieces")
    print(
        f"memory: {used / cached_pieces:.0f} bytes per cached piece,"
        " for all three cache models together"
    )
    medians = {pieces: _time_placement(endpoints, prompts, pieces) for pieces in PROMPT_PIECES}
    for pieces, median_s in medians.items():
        print(f"prompt of {pieces} pieces: {1e6 * median_s:.0f} us median")
    sys.exit(0 if medians[20] < MAX_MEDIAN_S else 1)


def _fill(rng: random.Random) -> tuple[list[Endpoint], list[tuple[int, ...]]]:
    """Fill the cache model of every replica with prompts that share a prefix; return them."""
    per_replica = INDEX_PIECES // REPLICAS
    shared = tuple(rng.getrandbits(64) for _ in range(SHARED_PIECES))
    endpoints = []
    prompts = []
    for number in range(REPLICAS):
        status = EndpointStatus(str(number), 1, "v1", EndpointState.LIVE, "model", per_replica)
        endpoint = Endpoint(status, PIECE_TOKENS, True, 0.0)
        while len(endpoint.cache.best_model.blocks) < per_replica:
            prompt = shared + tuple(rng.getrandbits(64) for _ in range(max(PROMPT_PIECES)))
            endpoint.cache.record_use(prompt, 0.0)
            prompts.append(prompt)
        endpoints.append(endpoint)
    return endpoints, prompts


def _time_placement(
    endpoints: list[Endpoint], prompts: list[tuple[int, ...]], pieces: int
) -> float:
    times = []
    for number in range(REPEATS):
        prompt = prompts[number * 7 % len(prompts)][:pieces]
        tokens = pieces * PIECE_TOKENS + 100
        req = RequestArrived(number, SCOPE, prompt, tokens, 100, b"", 0, 10.0)
        started = time.perf_counter()
        choose(find_candidates(endpoints, req, 1.0, 0.0))
        times.append(time.perf_counter() - started)
    return statistics.median(times)


if __name__ == "__main__":
    main()
