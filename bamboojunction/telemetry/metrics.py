"""Metrics: counters and timers that are aggregated locally and sent to statsd every second."""

import asyncio
from collections import Counter, defaultdict

from statsd import StatsClient

from bamboojunction.conf.settings import Settings
from bamboojunction.core.outcomes import NotRun, Outcome, Ran, Unknown

FLUSH_INTERVAL_SECONDS = 1.0
# Limit for one timer between two flushes; further samples are dropped and counted.
TIMER_SAMPLES_MAX = 200
DROPPED_SAMPLES_METRIC = "metrics.timings_left_out"


class Metrics:
    """A metrics sink that discards everything, for a node without a statsd address.

    Subclasses send the metrics.
    """

    __slots__ = ()

    @classmethod
    def from_config(cls, settings: Settings) -> "Metrics":
        """Return statsd metrics if an address is set; needs a running event loop."""
        address = settings.telemetry.statsd_address
        if not address:
            return cls()
        host, _, port = address.rpartition(":")
        client = StatsClient(host, int(port), prefix=metric_prefix(settings))
        return StatsdMetrics(client)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter by an amount."""

    def timing(self, name: str, seconds: float) -> None:
        """Add a sample in seconds to a timer."""

    def record_call(self, outcome: Outcome, rank: int, seconds: float) -> None:
        """Record the outcome and the duration in seconds of a whole call from a caller."""

    def flush(self) -> None:
        """Send the aggregated counters and timers."""

    def close(self) -> None:
        """Flush and close the connection."""


NOOP_METRICS = Metrics()


class StatsdMetrics(Metrics):
    """Metrics that are aggregated and sent to statsd in few packets."""

    __slots__ = ("_client", "_counts", "_flush_handle", "_loop", "_samples_by_name")

    def __init__(self, client: StatsClient):
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._counts: Counter[str] = Counter()
        self._samples_by_name: defaultdict[str, list[float]] = defaultdict(list)
        self._flush_handle: asyncio.TimerHandle | None = None

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter by an amount."""
        self._counts[name] += amount
        self._schedule_flush()

    def timing(self, name: str, seconds: float) -> None:
        """Add a sample in seconds to a timer."""
        samples = self._samples_by_name[name]
        if len(samples) < TIMER_SAMPLES_MAX:
            samples.append(seconds)
        else:
            self._counts[DROPPED_SAMPLES_METRIC] += 1
        self._schedule_flush()

    def record_call(self, outcome: Outcome, rank: int, seconds: float) -> None:
        """Record the outcome and the duration in seconds of a whole call from a caller."""
        self.count(outcome_counter(outcome, rank))
        self.timing(duration_timer(rank), seconds)

    def flush(self) -> None:
        """Send the aggregated counters and timers; packets that cannot be sent are dropped."""
        self._flush_handle = None
        with self._client.pipeline() as pipeline:
            for name, amount in self._counts.items():
                pipeline.incr(name, amount)
            for name, samples in self._samples_by_name.items():
                for seconds in samples:
                    pipeline.timing(name, seconds * 1000)
        self._counts.clear()
        self._samples_by_name.clear()

    def close(self) -> None:
        """Flush and close the connection."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
        self.flush()
        self._client.close()

    def _schedule_flush(self) -> None:
        if self._flush_handle is None:
            self._flush_handle = self._loop.call_later(FLUSH_INTERVAL_SECONDS, self.flush)


def metric_prefix(settings: Settings) -> str:
    """Return the prefix of a node's metrics: data centre, service and instance."""
    node = settings.node
    parts = (node.data_centre, node.service, node.instance)
    return ".".join(["bamboojunction", *(part.replace(".", "_") for part in parts)])


def outcome_counter(outcome: Outcome, rank: int) -> str:
    """Return the name of the counter for the outcome of a call from a caller."""
    match outcome:
        case Ran():
            return f"calls.ran.rank{rank}"
        case NotRun(reason=reason):
            return f"calls.not_run.{reason.value}.rank{rank}"
        case Unknown(reason=reason):
            return f"calls.unknown.{reason.value}.rank{rank}"


def duration_timer(rank: int) -> str:
    """Return the name of the timer for whole calls from a caller."""
    return f"calls.seconds.rank{rank}"
