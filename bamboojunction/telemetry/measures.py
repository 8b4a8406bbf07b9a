"""The counters and histograms that a node on the platform serves as text."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# Kinds of work with labels of their own; a configuration may name any number of routes.
KINDS_MAX = 64
OTHER_KINDS = "other"
SECONDS_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)


class Measures:
    """Count what a node does; labels take bounded sets of values only."""

    __slots__ = (
        "_answers",
        "_attempts",
        "_gate_answers",
        "_kinds",
        "_lines_left_out",
        "_registry",
        "_seconds",
        "_series",
        "_state",
        "read_state",
    )

    def __init__(self):
        self._registry = CollectorRegistry()
        self._kinds: set[str] = set()
        # Looking a series up by its labels costs more than counting.
        self._series: dict[tuple, Counter | Histogram] = {}
        self._answers = self._counter("answers", "Answers to callers.", ("kind", "status"))
        self._attempts = self._counter(
            "attempts", "Attempts by outcome and what followed.", ("service", "outcome", "step")
        )
        self._gate_answers = self._counter(
            "gate_answers", "Answers of this node's gate.", ("kind", "outcome")
        )
        self._lines_left_out = self._counter("log_lines_left_out", "Log lines left out.", ())
        self._seconds = Histogram(
            "bamboo_seconds",
            "Time of a request by part of its path.",
            ("kind", "service", "part"),
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._state = Gauge(
            "bamboo_state", "State of the node by name.", ("name",), registry=self._registry
        )
        self.read_state: Callable[[], dict[str, float]] = dict

    def answered(self, kind: str, status: int, seconds: float) -> None:
        """Count an answer to a caller."""
        kind = self._label(kind)
        self._of(self._answers, kind, status).inc()
        self._of(self._seconds, kind, "", "whole").observe(seconds)

    def attempt_ended(self, service: str, outcome: str, step: str) -> None:
        """Count an attempt."""
        self._of(self._attempts, service, outcome, step).inc()

    def linked(self, kind: str, service: str, seconds: float) -> None:
        """Count the time in seconds that an attempt spent on the way to a gate and back."""
        self._of(self._seconds, self._label(kind), service, "link").observe(max(0.0, seconds))

    def served(self, kind: str, service: str, outcome: str, queued: float, upstream: float) -> None:
        """Count an answer of the gate; the times in the queue and at the upstream in seconds."""
        kind = self._label(kind)
        self._of(self._gate_answers, kind, outcome).inc()
        self._of(self._seconds, kind, service, "queue").observe(max(0.0, queued))
        if upstream > 0:
            self._of(self._seconds, kind, service, "upstream").observe(upstream)

    def lines_left_out(self, lines: int) -> None:
        """Count log lines that had no room."""
        self._lines_left_out.inc(lines)

    def render(self) -> bytes:
        """Return all figures as text."""
        for name, value in self.read_state().items():
            self._state.labels(name).set(value)
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"bamboo_{name}", text, labels, registry=self._registry)

    def _of(self, metric: Counter | Histogram, *labels: object) -> Counter | Histogram:
        series = self._series.get((metric, labels))
        if series is None:
            series = self._series[metric, labels] = metric.labels(*labels)
        return series

    def _label(self, kind: str) -> str:
        if kind in self._kinds:
            return kind
        if len(self._kinds) >= KINDS_MAX:
            return OTHER_KINDS
        self._kinds.add(kind)
        return kind
