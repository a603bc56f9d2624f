"""API keys are accepted for 80% of `revoke_s` after the last answered read was sent."""

from __future__ import annotations

from rattangate.core.freshness import KeyLease


def test_lease_starts_when_the_read_was_sent():
    keys = KeyLease(revoke_s=5.0)
    assert not keys.holds(0.0)
    keys.renew(10.0)
    assert keys.holds(13.9)
    assert not keys.holds(14.0)


def test_late_answer_to_an_older_read_does_not_shorten_the_lease():
    keys = KeyLease(revoke_s=5.0)
    keys.renew(10.0)
    keys.renew(9.0)
    assert keys.holds(13.9)
