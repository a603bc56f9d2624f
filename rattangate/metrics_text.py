"""Renders the metrics of an instance in Prometheus' text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from rattangate.metrics import MetricKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import Metric as MetricFamily

    from rattangate.metrics import Metric, Metrics, Series, TimeRecorder


def render_metrics(metrics: Metrics) -> bytes:
    """Return all metrics of an instance in Prometheus' text format."""
    registry = CollectorRegistry()
    registry.register(_InstanceCollector(metrics))
    return generate_latest(registry)


class _InstanceCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[MetricFamily]:
        for metric, series in self._metrics.series.items():
            yield _describe_series(metric, series)
        for metric, recorder in self._metrics.times.items():
            yield _describe_times(metric, recorder)


def _describe_series(metric: Metric, series: Series) -> MetricFamily:
    is_counter = metric.kind is MetricKind.COUNTER
    family_class = CounterMetricFamily if is_counter else GaugeMetricFamily
    family = family_class(metric.title, metric.meaning, labels=metric.labels)
    for label, value in series.values.items():
        family.add_metric([label] if metric.labels else [], value)
    return family


def _describe_times(metric: Metric, recorder: TimeRecorder) -> MetricFamily:
    summary = recorder.summarise()
    family = SummaryMetricFamily(metric.title, metric.meaning)
    for quantile, value in summary.quantiles:
        family.add_sample(metric.title, {"quantile": str(quantile)}, value)
    family.add_metric([], summary.count, summary.total_s)
    return family
