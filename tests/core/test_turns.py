"""Claims of lease holders on endpoints, and the guard time between the orders of two holders."""

from __future__ import annotations

from rattangate.core.turns import Turns


def test_endpoint_may_be_ordered_only_after_the_stored_record_claims_it():
    turns = Turns(guard_s=3.0)
    turns.want("e1")
    assert turns.names(0.0) == {"e1"}
    assert not turns.may_order("e1", frozenset(), 0.0)
    assert turns.may_order("e1", {"e1"}, 0.0)


def test_claim_lasts_until_the_guard_time_after_the_last_order():
    turns = Turns(guard_s=3.0)
    turns.want("e1")
    turns.note_sent("e1", 10.0)
    turns.rest("e1")
    assert turns.wanted() == ()
    assert turns.names(12.9) == {"e1"}
    assert turns.names(13.0) == frozenset()


def test_without_guard_time_endpoints_may_be_ordered_without_a_claim():
    turns = Turns(guard_s=0.0)
    turns.want("e1")
    assert turns.names(0.0) == frozenset()
    assert turns.may_order("e1", frozenset(), 0.0)


def test_claim_without_an_order_ends_at_once():
    turns = Turns(guard_s=3.0)
    turns.want("e1")
    turns.rest("e1")
    assert turns.names(0.0) == frozenset()


def test_only_inherited_endpoints_are_guarded():
    turns = Turns(("e1",), guard_until=4.0, guard_s=3.0)
    turns.want("e1")
    turns.want("e2")
    recorded = turns.names(1.0)
    assert recorded == {"e1", "e2"}
    assert turns.guarded(3.9) == {"e1"}
    assert not turns.may_order("e1", recorded, 3.9)
    assert turns.may_order("e2", recorded, 1.0)
    assert turns.may_order("e1", recorded, 4.0)


def test_inherited_endpoint_is_claimed_until_its_guard_ends():
    turns = Turns(("e1",), guard_until=4.0, guard_s=3.0)
    assert turns.names(3.9) == {"e1"}
    assert turns.names(4.0) == frozenset()
