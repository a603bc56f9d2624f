"""Claims of lease holders on endpoints, and the guard time between the orders of two holders."""

from __future__ import annotations

from rattangate.core.endpoint_claims import Turns


def test_endpoint_may_be_ordered_only_after_the_stored_record_claims_it():
    claims = Turns(guard_s=3.0)
    claims.want("e1")
    assert claims.names(0.0) == {"e1"}
    assert not claims.may_order("e1", frozenset(), 0.0)
    assert claims.may_order("e1", {"e1"}, 0.0)


def test_claim_lasts_until_the_guard_time_after_the_last_order():
    claims = Turns(guard_s=3.0)
    claims.want("e1")
    claims.note_sent("e1", 10.0)
    claims.rest("e1")
    assert claims.wanted() == ()
    assert claims.names(12.9) == {"e1"}
    assert claims.names(13.0) == frozenset()


def test_without_guard_time_endpoints_may_be_ordered_without_a_claim():
    claims = Turns(guard_s=0.0)
    claims.want("e1")
    assert claims.names(0.0) == frozenset()
    assert claims.may_order("e1", frozenset(), 0.0)


def test_claim_without_an_order_ends_at_once():
    claims = Turns(guard_s=3.0)
    claims.want("e1")
    claims.rest("e1")
    assert claims.names(0.0) == frozenset()


def test_only_inherited_endpoints_are_guarded():
    claims = Turns(("e1",), guard_until=4.0, guard_s=3.0)
    claims.want("e1")
    claims.want("e2")
    recorded = claims.names(1.0)
    assert recorded == {"e1", "e2"}
    assert claims.guarded(3.9) == {"e1"}
    assert not claims.may_order("e1", recorded, 3.9)
    assert claims.may_order("e2", recorded, 1.0)
    assert claims.may_order("e1", recorded, 4.0)


def test_inherited_endpoint_is_claimed_until_its_guard_ends():
    claims = Turns(("e1",), guard_until=4.0, guard_s=3.0)
    assert claims.names(3.9) == {"e1"}
    assert claims.names(4.0) == frozenset()
