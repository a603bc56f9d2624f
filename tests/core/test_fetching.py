"""Cache entries are fetched from where they lie instead of prefilled again."""

from __future__ import annotations

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.messages import (
    Dispatch,
    EndpointSeen,
    EndpointState,
    FirstTokenSeen,
    RequestArrived,
)
from rattangate.core.prefix import Scope

PIECE = 128
SHARED = tuple(range(100, 150))


def make_gateway() -> Gateway:
    """Make a gateway with two engines and a keeper."""
    cfg = GatewayCfg(PIECE, 1.0, learn_caches=False, fetch_s_per_token=3e-6)
    gateway = Gateway(cfg, seed=1)
    for name in ("a", "b"):
        seen = EndpointSeen(name, 1, "1", EndpointState.LIVE, "llm", 700)
        gateway.handle(seen, 0.0)
    keeper = EndpointSeen("keep", 0, "", EndpointState.KEEPER, "keep", 4000)
    gateway.handle(keeper, 0.0)
    return gateway


def send(gateway: Gateway, req_id: int, own: int, now: float) -> Dispatch:
    """Place a request with the shared part and an own part of four pieces."""
    pieces = SHARED + tuple(range(own, own + 4))
    req = RequestArrived(
        req_id,
        Scope("", "llm", "m", "1"),
        pieces,
        len(pieces) * PIECE,
        10,
        b"",
        1,
        now + 5.0,
        own_pieces=4,
    )
    (dispatch,) = gateway.handle(req, now)
    assert isinstance(dispatch, Dispatch)
    return dispatch


def test_the_first_prompt_goes_to_the_keeper_and_later_ones_do_not():
    gateway = make_gateway()
    assert send(gateway, 1, 1000, 0.0).cache_target == "keep"
    assert send(gateway, 2, 2000, 0.1).cache_target == ""


def test_a_busy_holder_is_relieved_by_fetching_from_it():
    gateway = make_gateway()
    first = send(gateway, 1, 1000, 0.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 0.3)
    placed = [send(gateway, number, number * 1000, 0.3) for number in range(2, 8)]
    others = [one for one in placed if one.endpoint != first.endpoint]
    assert others
    assert others[0].cache_source in (first.endpoint, "keep")
    assert others[0].missing_tokens <= 5 * PIECE


def test_a_holder_is_named_a_source_in_case_its_entries_were_evicted():
    gateway = make_gateway()
    first = send(gateway, 1, 1000, 0.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 0.3)
    second = send(gateway, 2, 2000, 0.5)
    assert second.endpoint == first.endpoint
    assert second.cache_source == "keep"


def test_an_engine_of_another_version_is_no_source():
    gateway = make_gateway()
    first = send(gateway, 1, 1000, 0.0)
    gateway.handle(FirstTokenSeen(1, 1, None), 0.3)
    other = "b" if first.endpoint == "a" else "a"
    gateway.handle(EndpointSeen(other, 1, "2", EndpointState.LIVE, "llm", 700), 0.4)
    second = send(gateway, 2, 2000, 0.5)
    assert second.endpoint == first.endpoint
    assert second.cache_source != other


def test_without_fetching_nothing_is_named():
    gateway = make_gateway()
    gateway.cfg = GatewayCfg(PIECE, 1.0)
    send(gateway, 1, 1000, 0.0)
    assert send(gateway, 2, 2000, 0.5).cache_source == ""
