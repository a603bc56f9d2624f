"""Which limit of an endpoint an instance believes in after each answer."""

from __future__ import annotations

import pytest

from rattangate.core.endpoint_limits import ROUNDING_FACTOR, EndpointLimits
from rattangate.core.messages import EndpointLimitChanged, EndpointLimitReported

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
