"""Cache entries are fetched from the best source, found in one pass over the endpoints."""

from __future__ import annotations

import random

import pytest

from rattangate.core.endpoint_state import Endpoint
from rattangate.core.messages import EndpointState, EndpointStatus, RequestArrived, VersionedBlocks
from rattangate.core.placement import RECENT_USE_S, PlacementCfg, find_candidates
from rattangate.core.prefix import CacheScope

CFG = PlacementCfg(1.0, fetch_s_per_token=3e-6)
BLOCKS = {"1": tuple(range(20)), "2": tuple(range(100, 120))}
STATES = [*[EndpointState.LIVE] * 4, EndpointState.LEAVING, EndpointState.DOWN]


def make_endpoints(count: int, rng: random.Random) -> list[Endpoint]:
    """Make endpoints that have cached parts of a prompt under either weights version."""
    endpoints = []
    for number in range(count):
        is_cache_server = rng.random() < 0.1
        seen = EndpointStatus(
            f"e{number}",
            1,
            "" if is_cache_server else rng.choice("12"),
            EndpointState.CACHE_STORE if is_cache_server else rng.choice(STATES),
            "keep" if is_cache_server else "llm",
            500,
            network_cost_s=rng.choice([0.0, 0.03]),
        )
        endpoint = Endpoint(seen, 128, False, 0.0)
        for blocks in BLOCKS.values():
            endpoint.cache.record_use(blocks[: rng.randrange(21)], rng.choice([0.0, 9.0]))
        endpoints.append(endpoint)
    return endpoints


def make_request() -> RequestArrived:
    """Make a request for the newer of two weights versions."""
    scope = CacheScope("", "llm", "m", "2")
    others = (VersionedBlocks("1", BLOCKS["1"]),)
    return RequestArrived(1, scope, BLOCKS["2"], 2600, 10, b"", 1, 20.0, others)


def best_source(endpoint: Endpoint, endpoints: list[Endpoint], now: float) -> Endpoint | None:
    """Return the best source by a search through all other endpoints, as a reference."""
    version = endpoint.status.weights_version
    blocks = BLOCKS[version]
    sources = []
    for number, other in enumerate(endpoints):
        is_cache_server = other.status.state is EndpointState.CACHE_STORE
        cached_blocks = other.cache.count_cached(blocks)
        is_compatible = is_cache_server or other.status.weights_version == version
        if (
            other is endpoint
            or other.status.state is EndpointState.DOWN
            or not is_compatible
            or not cached_blocks
        ):
            continue
        is_reliable = (
            is_cache_server
            or other.cache.last_used_at(blocks[cached_blocks - 1]) >= now - RECENT_USE_S
        )
        sources.append(((cached_blocks, is_reliable, -other.status.network_cost_s), -number, other))
    return max(sources, key=lambda source: source[:2])[2] if sources else None


@pytest.mark.parametrize("seed", range(30))
def test_source_is_the_best_of_all_other_endpoints(seed: int) -> None:
    rng = random.Random(seed)
    endpoints = make_endpoints(rng.randrange(1, 12), rng)
    for candidate in find_candidates(endpoints, make_request(), CFG, 10.0):
        assert candidate.source is best_source(candidate.endpoint, endpoints, 10.0)


def test_cache_lookups_grow_linearly_with_the_number_of_endpoints(monkeypatch) -> None:
    calls = 0
    endpoints = make_endpoints(300, random.Random(1))
    cached = type(endpoints[0].cache).count_cached

    def count(self, blocks):
        nonlocal calls
        calls += 1
        return cached(self, blocks)

    monkeypatch.setattr(type(endpoints[0].cache), "count_cached", count)
    assert find_candidates(endpoints, make_request(), CFG, 10.0)
    assert calls <= 4 * len(endpoints)


def test_only_one_cache_model_is_kept_if_learning_is_off() -> None:
    (endpoint,) = make_endpoints(1, random.Random(1))
    assert len(endpoint.cache.models) == 1
