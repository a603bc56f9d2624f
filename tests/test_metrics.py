"""Tests of the metrics and their reference page."""

from __future__ import annotations

from pathlib import Path

import rattangate
from rattangate.core.messages import EndpointState
from rattangate.core.refusals import RefusalReason
from rattangate.core.retries import RetryReason
from rattangate.errors import ErrorKind
from rattangate.metrics import Metric, Metrics, TimeRecorder
from tools.build_reference import REFERENCE, render_metrics

PACKAGE = Path(rattangate.__file__).parent
UPDATE_NAMES = (
    "count_request",
    "count_refusal",
    "count_refusal_reason",
    "count_retry",
    "count_verdict",
    "crashes",
    "rows_rewritten",
    "prompt_tokens",
    "cache_hit_tokens",
    "completion_tokens",
    "streams",
    "peers",
    "set_endpoints",
    "config_version",
    "log_lines_dropped",
    "first_token",
    "between_tokens",
    "placement_time",
    "peer_update_age",
    "rotate",
)


def test_page_is_generated_from_the_code():
    assert (REFERENCE / "metrics.md").read_text() == render_metrics()


def test_every_declared_metric_is_served():
    metrics = Metrics()
    metrics.count_request("chat")
    text = metrics.render().decode()
    for metric in Metric:
        assert f"# TYPE {metric.title}" in text, metric.title


def test_all_refusal_and_retry_series_start_at_zero():
    text = Metrics().render().decode()
    for kind in ErrorKind:
        assert f'rattangate_refusals_total{{kind="{kind.value}"}} 0.0' in text
    for refusal in RefusalReason:
        assert f'rattangate_refusal_reasons_total{{reason="{refusal.value}"}} 0.0' in text
    for reason in RetryReason:
        assert f'rattangate_retries_total{{reason="{reason.value}"}} 0.0' in text


def test_instances_share_no_state():
    first, second = Metrics(), Metrics()
    first.count_refusal(ErrorKind.OVERLOADED)
    first.set_endpoints({EndpointState.LIVE: 3})
    assert 'kind="overloaded"} 1.0' in first.render().decode()
    assert 'kind="overloaded"} 0.0' in second.render().decode()


def test_durations_give_quantiles_of_two_windows_and_total_count():
    recorder = TimeRecorder()
    for millis in range(1, 101):
        recorder.observe(millis / 1000)
    quantiles = dict(recorder.summarise().quantiles)
    assert abs(quantiles[0.5] - 0.050) < 0.001
    assert abs(quantiles[0.99] - 0.099) < 0.001
    recorder.rotate()
    recorder.rotate()
    recorder.observe(5.0)
    summary = recorder.summarise()
    assert summary.count == 101
    assert abs(dict(summary.quantiles)[0.5] - 5.0) < 0.05


def test_every_metric_is_updated_somewhere():
    sources = [path for path in PACKAGE.rglob("*.py") if path.name != "metrics.py"]
    text = "\n".join(path.read_text() for path in sources)
    never_updated = [name for name in UPDATE_NAMES if f"metrics.{name}" not in text]
    assert never_updated == []
