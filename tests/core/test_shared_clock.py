"""Instances estimate the clock that they share from answers that take a while."""

from __future__ import annotations

from rattangate.core.shared_clock import ESTIMATE_LIFETIME_S, SharedClock


def test_the_answer_with_the_least_delay_counts():
    clock = SharedClock()
    assert clock.offset_s == 0.0
    for received_at, delay_s in ((1.0, 0.3), (2.0, 0.01), (3.0, 0.2)):
        clock.observe(100.0 + received_at - delay_s, received_at)
    assert round(clock.offset_s, 3) == 99.99


def test_an_old_estimate_is_replaced():
    clock = SharedClock()
    clock.observe(101.0, 1.0)
    clock.observe(100.5 + ESTIMATE_LIFETIME_S, 1.5 + ESTIMATE_LIFETIME_S)
    assert clock.offset_s == 99.0
