"""Prometheus counters, histograms and gauges that a node on the platform serves as text.

Requests are counted in plain dictionaries, which are turned into metrics only when these are read:
the metric objects of ``prometheus_client`` take a lock for each of several updates of a request.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector
from prometheus_client.utils import floatToGoString

# The greatest number of kinds with a label of their own, which bounds the number of time series: a
# configuration may name any number of kinds. Every further kind is counted under OTHER_KINDS_LABEL.
KIND_LABELS_MAX = 64
OTHER_KINDS_LABEL = "other"
HISTOGRAM_BOUNDS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
_BUCKET_LABELS = (*map(floatToGoString, HISTOGRAM_BOUNDS_SECONDS), "+Inf")

Labels = tuple[str, ...]


class CounterSeries:
    """The counts of one metric by the values of its labels."""

    __slots__ = ("_description", "_label_names", "_name", "count_by_labels")

    def __init__(self, name: str, description: str, label_names: Labels):
        self._name = f"bamboo_{name}"
        self._description = description
        self._label_names = label_names
        self.count_by_labels: defaultdict[Labels, int] = defaultdict(int)

    def family(self) -> Metric:
        """Return the counts as a metric."""
        family = CounterMetricFamily(self._name, self._description, labels=self._label_names)
        for labels, count in self.count_by_labels.items():
            family.add_metric(labels, count)
        return family


class Durations:
    """The number of durations in each bucket of a histogram, and their sum in seconds."""

    __slots__ = ("count_by_bucket", "sum_seconds")

    def __init__(self):
        self.count_by_bucket = [0] * len(_BUCKET_LABELS)
        self.sum_seconds = 0.0

    def add(self, seconds: float) -> None:
        """Add a duration."""
        self.count_by_bucket[bisect_left(HISTOGRAM_BOUNDS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds


class PrometheusMetrics(Collector):
    """The Prometheus metrics of one node; the set of values of each label is bounded."""

    __slots__ = (
        "_answers",
        "_attempts",
        "_dropped_lines",
        "_durations_by_labels",
        "_gate_answers",
        "_labelled_kinds",
        "_registry",
        "_store_calls",
        "collect_state",
    )

    def __init__(self):
        self._labelled_kinds: set[str] = set()
        self._answers = CounterSeries("answers", "Answers to callers.", ("kind", "status"))
        self._attempts = CounterSeries(
            "attempts", "Attempts by outcome and next step.", ("service", "outcome", "step")
        )
        self._gate_answers = CounterSeries(
            "gate_answers", "Answers of this node's gate.", ("kind", "outcome")
        )
        self._dropped_lines = CounterSeries("log_lines_left_out", "Log lines left out.", ())
        self._dropped_lines.count_by_labels[()] = 0
        self._store_calls = CounterSeries(
            "store_calls",
            "Calls to the platform's store, including failed ones.",
            ("collection", "purpose", "stale"),
        )
        # By the kind, the service and the part of the request.
        self._durations_by_labels: defaultdict[Labels, Durations] = defaultdict(Durations)
        self.collect_state: Callable[[], dict[str, float]] = dict
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def record_answer(self, kind: str, status: int, seconds: float) -> None:
        """Record the status and the duration of an answer to a caller."""
        kind = self._kind_label(kind)
        self._answers.count_by_labels[kind, str(status)] += 1
        self._durations_by_labels[kind, "", "whole"].add(seconds)

    def record_attempt(self, service: str, outcome: str, step: str) -> None:
        """Count an attempt by its outcome and by the step that followed it."""
        self._attempts.count_by_labels[service, outcome, step] += 1

    def record_link_time(self, kind: str, service: str, seconds: float) -> None:
        """Record how many seconds an attempt spent on the link to a gate and back."""
        self._durations_by_labels[self._kind_label(kind), service, "link"].add(max(0.0, seconds))

    def record_gate_answer(
        self, kind: str, service: str, outcome: str, queued_seconds: float, upstream_seconds: float
    ) -> None:
        """Record an answer of this node's gate and its seconds in the queue and at the upstream."""
        kind = self._kind_label(kind)
        self._gate_answers.count_by_labels[kind, outcome] += 1
        self._durations_by_labels[kind, service, "queue"].add(max(0.0, queued_seconds))
        if upstream_seconds > 0:
            self._durations_by_labels[kind, service, "upstream"].add(upstream_seconds)

    def record_dropped_lines(self, lines: int) -> None:
        """Count log lines that were dropped by rate limiting or a full buffer."""
        self._dropped_lines.count_by_labels[()] += lines

    def record_store_call(self, collection: str, purpose: str, may_be_stale: bool) -> None:
        """Count a call to the store and whether its answer may be stale, which costs less."""
        stale = "yes" if may_be_stale else "no"
        self._store_calls.count_by_labels[collection, purpose, stale] += 1

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, for the registry."""
        for series in (
            self._answers,
            self._attempts,
            self._gate_answers,
            self._dropped_lines,
            self._store_calls,
        ):
            yield series.family()
        yield self._duration_family()
        state = GaugeMetricFamily("bamboo_state", "State of the node by name.", labels=("name",))
        for name, value in self.collect_state().items():
            state.add_metric((name,), value)
        yield state

    def describe(self) -> list[Metric]:
        """Return no descriptions, so that registering does not collect the state."""
        return []

    def _duration_family(self) -> Metric:
        family = HistogramMetricFamily(
            "bamboo_seconds",
            "Duration of a request, by stage.",
            labels=("kind", "service", "part"),
        )
        for labels, durations in self._durations_by_labels.items():
            buckets = zip(_BUCKET_LABELS, accumulate(durations.count_by_bucket), strict=True)
            family.add_metric(labels, list(buckets), durations.sum_seconds)
        return family

    def _kind_label(self, kind: str) -> str:
        if kind in self._labelled_kinds:
            return kind
        if len(self._labelled_kinds) >= KIND_LABELS_MAX:
            return OTHER_KINDS_LABEL
        self._labelled_kinds.add(kind)
        return kind
