"""API keys are accepted for 80% of `revoke_s` after the last answered read was sent."""

from __future__ import annotations

from rattangate.core.key_lease import KeyLease


def test_lease_starts_when_the_read_was_sent():
    lease = KeyLease(revoke_s=5.0)
    assert not lease.holds(0.0)
    lease.renew(10.0)
    assert lease.holds(13.9)
    assert not lease.holds(14.0)


def test_late_answer_to_an_older_read_does_not_shorten_the_lease():
    lease = KeyLease(revoke_s=5.0)
    lease.renew(10.0)
    lease.renew(9.0)
    assert lease.holds(13.9)
