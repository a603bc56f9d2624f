"""Cache entries are fetched from another engine or the cache store instead of prefilled again."""

from __future__ import annotations

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.messages import (
    Dispatch,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    RequestArrived,
)
from rattangate.core.prefix import CacheScope

BLOCK_TOKENS = 128
SHARED_BLOCKS = tuple(range(100, 150))


def make_gateway() -> Gateway:
    """Make a gateway with two engines and a cache store."""
    cfg = GatewayCfg(BLOCK_TOKENS, 1.0, learn_caches=False, fetch_s_per_token=3e-6)
    gateway = Gateway(cfg, seed=1)
    for name in ("a", "b"):
        seen = EndpointStatus(name, 1, "1", EndpointState.LIVE, "llm", 700)
        gateway.handle(seen, 0.0)
    cache_server = EndpointStatus("keep", 0, "", EndpointState.CACHE_STORE, "keep", 4000)
    gateway.handle(cache_server, 0.0)
    return gateway


def place_request(gateway: Gateway, req_id: int, first_own_block: int, now: float) -> Dispatch:
    """Place a request with the shared blocks and four blocks of its own."""
    blocks = SHARED_BLOCKS + tuple(range(first_own_block, first_own_block + 4))
    req = RequestArrived(
        req_id,
        CacheScope("", "llm", "m", "1"),
        blocks,
        len(blocks) * BLOCK_TOKENS,
        10,
        b"",
        1,
        now + 5.0,
        unshared_blocks=4,
    )
    (dispatch,) = gateway.handle(req, now)
    assert isinstance(dispatch, Dispatch)
    return dispatch


def test_shared_blocks_are_stored_in_the_cache_server_once():
    gateway = make_gateway()
    assert place_request(gateway, 1, 1000, 0.0).cache_target == "keep"
    assert place_request(gateway, 2, 2000, 0.1).cache_target == ""


def test_other_engine_fetches_from_a_busy_engine_with_cached_blocks():
    gateway = make_gateway()
    first = place_request(gateway, 1, 1000, 0.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 0.3)
    placed = [place_request(gateway, number, number * 1000, 0.3) for number in range(2, 8)]
    others = [dispatch for dispatch in placed if dispatch.endpoint != first.endpoint]
    assert others
    assert others[0].cache_source in (first.endpoint, "keep")
    assert others[0].missing_tokens <= 5 * BLOCK_TOKENS


def test_engine_with_cached_blocks_gets_a_source_in_case_they_were_evicted():
    gateway = make_gateway()
    first = place_request(gateway, 1, 1000, 0.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 0.3)
    second = place_request(gateway, 2, 2000, 0.5)
    assert second.endpoint == first.endpoint
    assert second.cache_source == "keep"


def test_engine_with_another_weights_version_is_not_a_source():
    gateway = make_gateway()
    first = place_request(gateway, 1, 1000, 0.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 0.3)
    other = "b" if first.endpoint == "a" else "a"
    gateway.handle(EndpointStatus(other, 1, "2", EndpointState.LIVE, "llm", 700), 0.4)
    second = place_request(gateway, 2, 2000, 0.5)
    assert second.endpoint == first.endpoint
    assert second.cache_source != other


def test_no_source_is_set_if_engines_cannot_fetch():
    gateway = make_gateway()
    gateway.cfg = GatewayCfg(BLOCK_TOKENS, 1.0)
    place_request(gateway, 1, 1000, 0.0)
    assert place_request(gateway, 2, 2000, 0.5).cache_source == ""
