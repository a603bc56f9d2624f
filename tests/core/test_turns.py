"""Claims of lease holders on endpoints, and the guard time between the orders of two holders."""

from __future__ import annotations

from rattangate.core.endpoint_claims import EndpointClaims


def test_endpoint_may_be_ordered_only_after_the_stored_record_claims_it():
    claims = EndpointClaims(guard_s=3.0)
    claims.claim("e1")
    assert claims.claimed(0.0) == {"e1"}
    assert not claims.may_order("e1", frozenset(), 0.0)
    assert claims.may_order("e1", {"e1"}, 0.0)


def test_claim_lasts_until_the_guard_time_after_the_last_order():
    claims = EndpointClaims(guard_s=3.0)
    claims.claim("e1")
    claims.record_sent("e1", 10.0)
    claims.expire("e1")
    assert claims.active() == ()
    assert claims.claimed(12.9) == {"e1"}
    assert claims.claimed(13.0) == frozenset()


def test_without_guard_time_endpoints_may_be_ordered_without_a_claim():
    claims = EndpointClaims(guard_s=0.0)
    claims.claim("e1")
    assert claims.claimed(0.0) == frozenset()
    assert claims.may_order("e1", frozenset(), 0.0)


def test_claim_without_an_order_ends_at_once():
    claims = EndpointClaims(guard_s=3.0)
    claims.claim("e1")
    claims.expire("e1")
    assert claims.claimed(0.0) == frozenset()


def test_only_inherited_endpoints_are_guarded():
    claims = EndpointClaims(("e1",), guard_until=4.0, guard_s=3.0)
    claims.claim("e1")
    claims.claim("e2")
    recorded = claims.claimed(1.0)
    assert recorded == {"e1", "e2"}
    assert claims.guarded(3.9) == {"e1"}
    assert not claims.may_order("e1", recorded, 3.9)
    assert claims.may_order("e2", recorded, 1.0)
    assert claims.may_order("e1", recorded, 4.0)


def test_inherited_endpoint_is_claimed_until_its_guard_ends():
    claims = EndpointClaims(("e1",), guard_until=4.0, guard_s=3.0)
    assert claims.claimed(3.9) == {"e1"}
    assert claims.claimed(4.0) == frozenset()


# Guards against ONE: the last order is forgotten, and the next holder does not wait after it.
def test_an_endpoint_that_is_claimed_again_stays_claimed_after_its_earlier_order():
    claims = EndpointClaims(guard_s=3.0)
    claims.claim("e1")
    claims.record_sent("e1", 10.0)
    claims.expire("e1")
    claims.claim("e1")
    claims.expire("e1")
    assert claims.claimed(12.9) == {"e1"}
    assert claims.claimed(13.0) == frozenset()
