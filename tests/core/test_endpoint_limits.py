"""Which limit of an endpoint an instance believes in after each answer."""

from __future__ import annotations

import pytest

from rattangate.core.endpoint_limits import CONFIRM_AFTER_S, ROUNDING_FACTOR, EndpointLimits
from rattangate.core.messages import EndpointLimit, EndpointLimitChanged, EndpointLimitReported

KEY = ("e1", 7)


def report(per_s, sent_at):
    return EndpointLimitReported(*KEY, per_s, sent_at)


def test_an_answer_that_names_no_limit_changes_nothing():
    limits = EndpointLimits()
    assert limits.apply_report(report(None, 1.0), 1.1) is None
    assert limits.limit_of(KEY) is None


def test_a_named_limit_is_reported_once():
    limits = EndpointLimits()
    change = limits.apply_report(report(1.0, 1.0), 1.1)
    assert change == EndpointLimitChanged(*KEY, 1.0, "answer")
    assert limits.apply_report(report(1.0, 1.2), 1.3) is None
    assert limits.limit_of(KEY) == 1.0


@pytest.mark.parametrize("per_s", [0.013, 0.4, 1.0, 1.9, 250.0])
def test_a_limit_is_rounded_down_by_less_than_the_factor(per_s):
    limits = EndpointLimits()
    limits.apply_report(report(per_s, 1.0), 1.1)
    assert per_s / ROUNDING_FACTOR < limits.limit_of(KEY) <= per_s


def test_a_limit_of_zero_is_kept():
    limits = EndpointLimits()
    limits.apply_report(report(0.0, 1.0), 1.1)
    assert limits.limit_of(KEY) == 0.0


def test_an_answer_to_a_request_sent_after_the_naming_ends_the_limit():
    limits = EndpointLimits()
    limits.apply_report(report(1.0, 1.0), 2.0)
    assert limits.apply_report(report(None, 1.9), 2.5) is None
    change = limits.apply_report(report(None, 2.1), 2.6)
    assert change == EndpointLimitChanged(*KEY, None, "answer")
    assert limits.limit_of(KEY) is None


def test_a_peer_is_believed_if_it_read_the_limit_later():
    limits = EndpointLimits()
    limits.apply_report(report(1.0, 1.0), 2.0)
    assert limits.apply_peer(EndpointLimit(*KEY, None, 0.5), 2.4) is None
    assert limits.limit_of(KEY) == 1.0
    change = limits.apply_peer(EndpointLimit(*KEY, None, 0.5), 2.6)
    assert change == EndpointLimitChanged(*KEY, None, "peer")
    assert limits.limit_of(KEY) is None


def test_a_peer_that_names_a_limit_which_has_ended_since_is_not_believed():
    limits = EndpointLimits()
    limits.apply_report(report(1.0, 1.0), 2.0)
    limits.apply_report(report(None, 3.0), 3.1)
    assert limits.apply_peer(EndpointLimit(*KEY, 1.0, 0.6), 3.5) is None
    assert limits.limit_of(KEY) is None


def test_peers_are_told_of_changes_and_of_late_confirmations_only():
    limits = EndpointLimits()
    limits.apply_report(report(1.0, 1.0), 2.0)
    limits.apply_report(report(1.0, 2.0), 2.5)
    assert limits.take_unsent(2.6) == (EndpointLimit(*KEY, 1.0, pytest.approx(0.1)),)
    limits.apply_report(report(1.0, 3.0), 3.5)
    assert limits.take_unsent(3.6) == ()
    limits.apply_peer(EndpointLimit(*KEY, 1.0, 0.0), 4.0)
    limits.apply_report(report(1.0, 4.0), 4.5)
    assert not limits.has_unsent
    limits.apply_report(report(1.0, 5.0), 4.1 + CONFIRM_AFTER_S)
    assert limits.take_unsent(9.6) == (EndpointLimit(*KEY, 1.0, pytest.approx(0.5)),)


def test_a_new_peer_is_told_what_this_instance_read_itself():
    limits = EndpointLimits()
    limits.apply_report(report(1.0, 1.0), 2.0)
    limits.apply_peer(EndpointLimit("e2", 8, 3.0, 0.0), 2.0)
    limits.take_unsent(2.1)
    limits.schedule_resend()
    assert [limit.endpoint for limit in limits.take_unsent(2.2)] == ["e1"]


def test_a_restarted_endpoint_has_no_limit():
    limits = EndpointLimits()
    limits.apply_report(report(1.0, 1.0), 2.0)
    assert limits.drop_stale({"e1": 7}, 3.0) == []
    assert limits.drop_stale({"e1": 8}, 3.0) == [KEY]
    assert limits.limit_of(KEY) is None
