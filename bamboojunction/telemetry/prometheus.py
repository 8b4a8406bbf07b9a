"""Prometheus counters, histograms and gauges that a node on the platform serves as text."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# The greatest number of kinds with a label of their own, which bounds the number of time series: a
# configuration may name any number of kinds. Every further kind is counted under OTHER_KINDS_LABEL.
KIND_LABELS_MAX = 64
OTHER_KINDS_LABEL = "other"
HISTOGRAM_BOUNDS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)


class PrometheusMetrics:
    """The Prometheus metrics of one node; the set of values of each label is bounded."""

    __slots__ = (
        "_answers",
        "_attempts",
        "_dropped_lines",
        "_gate_answers",
        "_labelled_kinds",
        "_registry",
        "_seconds",
        "_series_by_labels",
        "_state",
        "_store_calls",
        "collect_state",
    )

    def __init__(self):
        self._registry = CollectorRegistry()
        self._labelled_kinds: set[str] = set()
        # prometheus_client takes longer to look up a series by its labels than to increment it.
        self._series_by_labels: dict[tuple, Counter | Histogram] = {}
        self._answers = self._counter("answers", "Answers to callers.", ("kind", "status"))
        self._attempts = self._counter(
            "attempts", "Attempts by outcome and next step.", ("service", "outcome", "step")
        )
        self._gate_answers = self._counter(
            "gate_answers", "Answers of this node's gate.", ("kind", "outcome")
        )
        self._dropped_lines = self._counter("log_lines_left_out", "Log lines left out.", ())
        self._store_calls = self._counter(
            "store_calls",
            "Calls to the platform's store, including failed ones.",
            ("collection", "purpose", "stale"),
        )
        self._seconds = Histogram(
            "bamboo_seconds",
            "Duration of a request, by stage.",
            ("kind", "service", "part"),
            buckets=HISTOGRAM_BOUNDS_SECONDS,
            registry=self._registry,
        )
        self._state = Gauge(
            "bamboo_state", "State of the node by name.", ("name",), registry=self._registry
        )
        self.collect_state: Callable[[], dict[str, float]] = dict

    def record_answer(self, kind: str, status: int, seconds: float) -> None:
        """Record the status and the duration of an answer to a caller."""
        kind = self._kind_label(kind)
        self._series_of(self._answers, kind, status).inc()
        self._series_of(self._seconds, kind, "", "whole").observe(seconds)

    def record_attempt(self, service: str, outcome: str, step: str) -> None:
        """Count an attempt by its outcome and by the step that followed it."""
        self._series_of(self._attempts, service, outcome, step).inc()

    def record_link_time(self, kind: str, service: str, seconds: float) -> None:
        """Record how many seconds an attempt spent on the link to a gate and back."""
        self._series_of(self._seconds, self._kind_label(kind), service, "link").observe(
            max(0.0, seconds)
        )

    def record_gate_answer(
        self, kind: str, service: str, outcome: str, queued_seconds: float, upstream_seconds: float
    ) -> None:
        """Record an answer of this node's gate and its seconds in the queue and at the upstream."""
        kind = self._kind_label(kind)
        self._series_of(self._gate_answers, kind, outcome).inc()
        self._series_of(self._seconds, kind, service, "queue").observe(max(0.0, queued_seconds))
        if upstream_seconds > 0:
            self._series_of(self._seconds, kind, service, "upstream").observe(upstream_seconds)

    def record_dropped_lines(self, lines: int) -> None:
        """Count log lines that were dropped by rate limiting or a full buffer."""
        self._dropped_lines.inc(lines)

    def record_store_call(self, collection: str, purpose: str, may_be_stale: bool) -> None:
        """Count a call to the store and whether its answer may be stale, which costs less."""
        stale = "yes" if may_be_stale else "no"
        self._series_of(self._store_calls, collection, purpose, stale).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name, value in self.collect_state().items():
            self._state.labels(name).set(value)
        return generate_latest(self._registry)

    def _counter(self, name: str, description: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"bamboo_{name}", description, labels, registry=self._registry)

    def _series_of(self, metric: Counter | Histogram, *labels: object) -> Counter | Histogram:
        series = self._series_by_labels.get((metric, labels))
        if series is None:
            series = self._series_by_labels[metric, labels] = metric.labels(*labels)
        return series

    def _kind_label(self, kind: str) -> str:
        if kind in self._labelled_kinds:
            return kind
        if len(self._labelled_kinds) >= KIND_LABELS_MAX:
            return OTHER_KINDS_LABEL
        self._labelled_kinds.add(kind)
        return kind
