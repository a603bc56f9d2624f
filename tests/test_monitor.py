"""How often engines are asked for reports, so that no answer begins late at one that loads."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from rattangate.endpoints.monitor import (
    LOAD_INTERVAL_S,
    MISSED_REPORT_RETRY_S,
    ROLLOUT_INTERVAL_S,
    Monitor,
)

ENGINE = SimpleNamespace(name="e", serves="m")


@pytest.mark.parametrize(
    ("desired", "missed", "interval_s"),
    [
        ("v1", 0, LOAD_INTERVAL_S),
        (None, 0, LOAD_INTERVAL_S),
        ("v2", 0, ROLLOUT_INTERVAL_S),
        ("v2", 1, MISSED_REPORT_RETRY_S),
    ],
)
def test_an_engine_that_is_to_load_other_weights_is_asked_for_reports_more_often(
    desired, missed, interval_s
):
    monitor = Monitor((ENGINE,), {"m": desired}.get, {}, None, None)
    monitor.watched["e"].weights_version = "v1"
    monitor.watched["e"].missed_reports = missed
    assert monitor._report_interval_s(ENGINE) == interval_s
    assert ROLLOUT_INTERVAL_S < LOAD_INTERVAL_S
