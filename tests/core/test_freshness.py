"""Keys may be used for a share of the bound after the sending of the last answered read."""

from __future__ import annotations

from rattangate.core.freshness import KeyLease


def test_keys_hold_from_the_sending_of_a_read():
    keys = KeyLease(revoke_s=5.0)
    assert not keys.holds(0.0)
    keys.renew(10.0)
    assert keys.holds(13.9)
    assert not keys.holds(14.0)


def test_an_older_read_that_is_answered_late_shortens_nothing():
    keys = KeyLease(revoke_s=5.0)
    keys.renew(10.0)
    keys.renew(9.0)
    assert keys.holds(13.9)
