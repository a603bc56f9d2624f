"""The counters, gauges and durations of one instance, and the list that declares them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from rattangate.core.messages import EndpointState, Verdict
from rattangate.core.refusals import RefusalReason
from rattangate.core.request_stage import RequestStage
from rattangate.core.retries import RetryReason
from rattangate.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Mapping

# The port and path at which an instance on the hosting platform serves its metrics.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
QUANTILES = (0.5, 0.95, 0.99)
MICROS_PER_S = 1_000_000
MAX_MICROS = 3600 * MICROS_PER_S
SIGNIFICANT_DIGITS = 2


class MetricKind(Enum):
    """Name the kinds of metric in Prometheus' terms."""

    COUNTER = "counter"
    GAUGE = "gauge"
    SUMMARY = "summary"


class Metric(Enum):
    """Declare every metric: name, kind, labels, help text and advice to operators."""

    REQUESTS = (
        "rattangate_requests",
        MetricKind.COUNTER,
        ("route",),
        "Requests that arrived, by kind of route.",
        "Compare with the load balancer's count; if that is higher, requests do not arrive here.",
    )
    REFUSALS = (
        "rattangate_refusals",
        MetricKind.COUNTER,
        ("kind",),
        "Refused requests, by error kind.",
        "Look the kind up in the list of error kinds; alert on `internal` and `outcome_unknown`.",
    )
    REFUSAL_REASONS = (
        "rattangate_refusal_reasons",
        MetricKind.COUNTER,
        ("reason",),
        "Refused model requests, by the reason that the gateway found.",
        "Look the reason up on the operators' page on overload.",
    )
    ABANDONED_REQUESTS = (
        "rattangate_abandoned_requests",
        MetricKind.COUNTER,
        ("stage",),
        "Requests whose caller disconnected before the answer was complete, by stage.",
        "Many `arrived` or `queued`: callers give up before their request is sent; see overload.",
    )
    RETRIES = (
        "rattangate_retries",
        MetricKind.COUNTER,
        ("reason",),
        "Further attempts, by reason.",
        "A steady rate of `lost` means failing engines; `answer_mismatched` a restart or rollout.",
    )
    PROMPT_TOKENS = (
        "rattangate_prompt_tokens",
        MetricKind.COUNTER,
        (),
        "Prompt tokens of the requests that reached an engine.",
        "The denominator of the cache hit rate.",
    )
    CACHE_HIT_TOKENS = (
        "rattangate_cache_hit_tokens",
        MetricKind.COUNTER,
        (),
        "Prompt tokens that the engine found in its cache.",
        "Divide by the prompt tokens; a fall means evictions, a rollout or a shifted hot prefix.",
    )
    COMPLETION_TOKENS = (
        "rattangate_completion_tokens",
        MetricKind.COUNTER,
        (),
        "Generated tokens that were relayed.",
        "Compare its rate with the capacity of one instance on the page on capacity.",
    )
    STREAMS = (
        "rattangate_streams",
        MetricKind.GAUGE,
        (),
        "Streams that are open now.",
        "It falls to zero before a draining instance exits.",
    )
    PEERS = (
        "rattangate_peers",
        MetricKind.GAUGE,
        (),
        "Peer instances that are heard from.",
        "Fewer than configured: check for a network partition or a failed instance.",
    )
    PEER_WRITES_DROPPED = (
        "rattangate_peer_writes_dropped",
        MetricKind.COUNTER,
        (),
        "Writes to peers that were dropped because the peer's queue was full.",
        "Rising: peers or their links take updates too slowly; look at `peer_updates_dropped`.",
    )
    CONNECTIONS_EVICTED = (
        "rattangate_connections_evicted",
        MetricKind.COUNTER,
        (),
        "Connections of callers that were evicted, as all together used too much.",
        "Some clients send much and do not end their requests; look at `connection_evicted`.",
    )
    RELAY_CHANGES = (
        "rattangate_relay_changes",
        MetricKind.COUNTER,
        (),
        "Changes of the instance that relays updates in this data centre, as seen from here.",
        "More than one for each relay that stops: relays are late; look at `relay_changed`.",
    )
    ENDPOINTS = (
        "rattangate_endpoints",
        MetricKind.GAUGE,
        ("state",),
        "Endpoints by state, as this instance sees them.",
        "Compare instances; they should agree within seconds.",
    )
    UNREACHABLE_ENDPOINTS = (
        "rattangate_unreachable_endpoints",
        MetricKind.GAUGE,
        (),
        "Listed endpoints to which this instance can open no connection.",
        "Much higher than at other instances: this instance's links to the endpoints are broken.",
    )
    CONFIG_VERSION = (
        "rattangate_config_version",
        MetricKind.GAUGE,
        (),
        "Configuration version in force.",
        "All instances show the same number within 8 s of a change.",
    )
    ENDPOINT_CRASHES = (
        "rattangate_endpoint_crashes",
        MetricKind.COUNTER,
        (),
        "Endpoints that are known to have crashed.",
        "Many without a verdict: look at `request_suspected` for what they ran.",
    )
    ENDPOINT_LIMIT_CHANGES = (
        "rattangate_endpoint_limit_changes",
        MetricKind.COUNTER,
        (),
        "Changes of the request rates that endpoints name in their answers.",
        "Rising: endpoints are short of capacity; `endpoint_limit_changed` names them.",
    )
    QUARANTINE_VERDICTS = (
        "rattangate_quarantine_verdicts",
        MetricKind.COUNTER,
        ("verdict",),
        "Suspects that were quarantined (`guilty`) or cleared (`free`).",
        "Look at `verdict_changed`; see the operators' page on quarantine.",
    )
    ROWS_REWRITTEN = (
        "rattangate_rows_rewritten",
        MetricKind.COUNTER,
        (),
        "Rows written again after the store returned from an older copy.",
        "Look at `store_returned`; see the operators' page on failures.",
    )
    LOG_LINES_DROPPED = (
        "rattangate_log_lines_dropped",
        MetricKind.COUNTER,
        (),
        "Log lines dropped because standard output was blocked.",
        "Check the throughput of the log collector.",
    )
    FIRST_TOKEN = (
        "rattangate_first_token_seconds",
        MetricKind.SUMMARY,
        (),
        "Time from a request's arrival to its first token.",
        "Above target while engines are idle: look at the lookup time; else add engines.",
    )
    BETWEEN_TOKENS = (
        "rattangate_between_tokens_seconds",
        MetricKind.SUMMARY,
        (),
        "Time between two chunks of a stream.",
        "Above target on one instance only: it lacks CPU time.",
    )
    PLACEMENT_TIME = (
        "rattangate_lookup_seconds",
        MetricKind.SUMMARY,
        (),
        "Time that the choice of an endpoint takes.",
        "Grows with prompt length and endpoints; above 5 ms the instance is too small.",
    )
    PEER_UPDATE_AGE = (
        "rattangate_peer_news_age_seconds",
        MetricKind.SUMMARY,
        (),
        "Age of a peer's placement when the peer told it.",
        "Above 1 s placement uses stale state: check the network between instances.",
    )

    def __init__(
        self, title: str, kind: MetricKind, labels: tuple[str, ...], meaning: str, action: str
    ) -> None:
        self.title = title
        self.kind = kind
        self.labels = labels
        self.meaning = meaning
        self.action = action


@dataclass(frozen=True, slots=True)
class TimeSummary:
    """Hold the quantiles, in seconds, with the count and sum of all durations."""

    quantiles: tuple[tuple[float, float], ...]
    count: int
    total_s: float


class TimeRecorder:
    """Record durations in two windows, so that quantiles cover the recent past only."""

    def __init__(self) -> None:
        self.count = 0
        self.total_s = 0.0
        self._current = _new_histogram()
        self._previous = _new_histogram()

    def observe(self, seconds: float) -> None:
        """Record one duration."""
        micros = min(max(int(seconds * MICROS_PER_S), 1), MAX_MICROS)
        self._current.record_value(micros)
        self.count += 1
        self.total_s += seconds

    def rotate(self) -> None:
        """Begin a new window and discard the older of the two."""
        self._current, self._previous = self._previous, self._current
        self._current.reset()

    def summarise(self) -> TimeSummary:
        """Return the quantiles over both windows, and the count and sum since the start."""
        merged = _new_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        values = tuple(
            (quantile, merged.get_value_at_percentile(quantile * 100) / MICROS_PER_S)
            for quantile in QUANTILES
        )
        return TimeSummary(values, self.count, self.total_s)


class Series:
    """Hold the values of one metric by label value; without labels the key is empty."""

    def __init__(self) -> None:
        self.values: dict[str, float] = {}

    def inc(self, amount: float = 1.0, label: str = "") -> None:
        """Add to a counter."""
        self.values[label] = self.values.get(label, 0.0) + amount

    def set(self, value: float, label: str = "") -> None:
        """Set a gauge."""
        self.values[label] = value


class Metrics:
    """Hold every metric of one instance, without global state."""

    def __init__(self) -> None:
        self.requests = Series()
        self.refusals = Series()
        self.refusal_reasons = Series()
        self.abandoned_requests = Series()
        self.retries = Series()
        self.prompt_tokens = Series()
        self.cache_hit_tokens = Series()
        self.completion_tokens = Series()
        self.log_lines_dropped = Series()
        self.crashes = Series()
        self.endpoint_limit_changes = Series()
        self.verdicts = Series()
        self.rows_rewritten = Series()
        self.streams = Series()
        self.peers = Series()
        self.peer_writes_dropped = Series()
        self.relay_changes = Series()
        self.connections_evicted = Series()
        self.endpoints = Series()
        self.unreachable_endpoints = Series()
        self.config_version = Series()
        self.first_token = TimeRecorder()
        self.between_tokens = TimeRecorder()
        self.placement_time = TimeRecorder()
        self.peer_update_age = TimeRecorder()
        self.series: Mapping[Metric, Series] = {
            Metric.REQUESTS: self.requests,
            Metric.REFUSALS: self.refusals,
            Metric.REFUSAL_REASONS: self.refusal_reasons,
            Metric.ABANDONED_REQUESTS: self.abandoned_requests,
            Metric.RETRIES: self.retries,
            Metric.PROMPT_TOKENS: self.prompt_tokens,
            Metric.CACHE_HIT_TOKENS: self.cache_hit_tokens,
            Metric.COMPLETION_TOKENS: self.completion_tokens,
            Metric.ENDPOINT_CRASHES: self.crashes,
            Metric.ENDPOINT_LIMIT_CHANGES: self.endpoint_limit_changes,
            Metric.QUARANTINE_VERDICTS: self.verdicts,
            Metric.ROWS_REWRITTEN: self.rows_rewritten,
            Metric.LOG_LINES_DROPPED: self.log_lines_dropped,
            Metric.STREAMS: self.streams,
            Metric.PEERS: self.peers,
            Metric.PEER_WRITES_DROPPED: self.peer_writes_dropped,
            Metric.RELAY_CHANGES: self.relay_changes,
            Metric.CONNECTIONS_EVICTED: self.connections_evicted,
            Metric.ENDPOINTS: self.endpoints,
            Metric.UNREACHABLE_ENDPOINTS: self.unreachable_endpoints,
            Metric.CONFIG_VERSION: self.config_version,
        }
        self.times: Mapping[Metric, TimeRecorder] = {
            Metric.FIRST_TOKEN: self.first_token,
            Metric.BETWEEN_TOKENS: self.between_tokens,
            Metric.PLACEMENT_TIME: self.placement_time,
            Metric.PEER_UPDATE_AGE: self.peer_update_age,
        }
        self._initialize_series()

    def count_request(self, route: str) -> None:
        """Count one request that arrived.

        `route` is a kind of route, never the path that a caller sent, to bound the label values.
        """
        self.requests.inc(label=route)

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count one refused request."""
        self.refusals.inc(label=kind.value)

    def count_refusal_reason(self, reason: RefusalReason) -> None:
        """Count one request that the gateway refused."""
        self.refusal_reasons.inc(label=reason.value)

    def count_abandoned(self, stage: RequestStage) -> None:
        """Count one request whose caller disconnected."""
        self.abandoned_requests.inc(label=stage.value)

    def count_retry(self, reason: RetryReason) -> None:
        """Count one retry of a request."""
        self.retries.inc(label=reason.value)

    def count_verdict(self, verdict: Verdict) -> None:
        """Count one change of a verdict."""
        self.verdicts.inc(label=verdict.value)

    def set_endpoints(self, counts: dict[EndpointState, int]) -> None:
        """Set the number of endpoints in each state."""
        for state in EndpointState:
            self.endpoints.set(counts.get(state, 0), state.value)

    def rotate(self) -> None:
        """Begin a new window of every duration; call it once a minute."""
        for recorder in self.times.values():
            recorder.rotate()

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        # The import takes a tenth of the start-up time, and few instances are ever scraped.
        from rattangate.metrics_text import render_metrics

        return render_metrics(self)

    def _initialize_series(self) -> None:
        for metric, series in self.series.items():
            if not metric.labels:
                series.set(0.0)
        for kind in ErrorKind:
            self.refusals.set(0.0, kind.value)
        for refusal in RefusalReason:
            self.refusal_reasons.set(0.0, refusal.value)
        for stage in RequestStage:
            self.abandoned_requests.set(0.0, stage.value)
        for reason in RetryReason:
            self.retries.set(0.0, reason.value)
        for verdict in Verdict:
            self.verdicts.set(0.0, verdict.value)
        self.set_endpoints({})


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)
