"""Metrics: counters and timers that are added up locally and sent by statsd every second."""

import asyncio
from collections import Counter, defaultdict

from statsd import StatsClient

from bamboojunction.conf.settings import Settings
from bamboojunction.core.outcomes import NotRun, Outcome, Ran, Unknown

FLUSH_SECONDS = 1.0
# Samples of one timer between two flushes; more are only counted.
TIMINGS_MAX = 200
TIMINGS_LEFT_OUT = "metrics.timings_left_out"


class Metrics:
    """Take counts and times, and drop them: the metrics of a node without a statsd address."""

    __slots__ = ()

    @classmethod
    def from_config(cls, settings: Settings) -> "Metrics":
        """Create the metrics that the settings ask for; call it inside a running event loop."""
        address = settings.telemetry.statsd_address
        if not address:
            return cls()
        host, _, port = address.rpartition(":")
        client = StatsClient(host, int(port), prefix=metric_prefix(settings))
        return StatsdMetrics(client)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, seconds: float) -> None:
        """Add a sample to a timer."""

    def record_call(self, outcome: Outcome, rank: int, seconds: float) -> None:
        """Count the outcome and the time of a whole call at the edge."""

    def flush(self) -> None:
        """Send what was added up."""

    def close(self) -> None:
        """Send the rest and close."""


NO_METRICS = Metrics()


class StatsdMetrics(Metrics):
    """Add counts and times up and send them in few packets."""

    __slots__ = ("_client", "_counts", "_loop", "_seconds_by_name", "_timer")

    def __init__(self, client: StatsClient):
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._counts: Counter[str] = Counter()
        self._seconds_by_name: defaultdict[str, list[float]] = defaultdict(list)
        self._timer: asyncio.TimerHandle | None = None

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += amount
        self._arm()

    def time(self, name: str, seconds: float) -> None:
        """Add a sample to a timer."""
        samples = self._seconds_by_name[name]
        if len(samples) < TIMINGS_MAX:
            samples.append(seconds)
        else:
            self._counts[TIMINGS_LEFT_OUT] += 1
        self._arm()

    def record_call(self, outcome: Outcome, rank: int, seconds: float) -> None:
        """Count the outcome and the time of a whole call at the edge."""
        self.count(outcome_metric(outcome, rank))
        self.time(seconds_metric(rank), seconds)

    def flush(self) -> None:
        """Send what was added up; a packet that cannot leave is lost."""
        self._timer = None
        with self._client.pipeline() as pipeline:
            for name, amount in self._counts.items():
                pipeline.incr(name, amount)
            for name, samples in self._seconds_by_name.items():
                for seconds in samples:
                    pipeline.timing(name, seconds * 1000)
        self._counts.clear()
        self._seconds_by_name.clear()

    def close(self) -> None:
        """Send the rest and close."""
        if self._timer is not None:
            self._timer.cancel()
        self.flush()
        self._client.close()

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_SECONDS, self.flush)


def metric_prefix(settings: Settings) -> str:
    """Return the prefix of all metrics of a node."""
    node = settings.node
    parts = (node.data_centre, node.service, node.instance)
    return ".".join(["bamboojunction", *(part.replace(".", "_") for part in parts)])


def outcome_metric(outcome: Outcome, rank: int) -> str:
    """Return the counter of a call's outcome at the edge."""
    match outcome:
        case Ran():
            return f"calls.ran.rank{rank}"
        case NotRun(reason=reason):
            return f"calls.not_run.{reason.value}.rank{rank}"
        case Unknown(reason=reason):
            return f"calls.unknown.{reason.value}.rank{rank}"


def seconds_metric(rank: int) -> str:
    """Return the timer of whole calls at the edge."""
    return f"calls.seconds.rank{rank}"
