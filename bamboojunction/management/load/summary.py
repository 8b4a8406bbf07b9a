"""The summary of a load: outcomes and latencies by rank and kind."""

import bisect
import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from bamboojunction.management.load.client import CallEnding, CallResult
from bamboojunction.management.load.plan import UNKNOWN_RANK

LATENCY_MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
BAR_WIDTH_CHARACTERS = 40
# Upper bounds of the buckets in the printed histogram.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 600_000)


class KindStatistics(msgspec.Struct):
    """The statistics of one kind; latencies are in milliseconds by percentile."""

    kind: str
    rank: int | None
    calls: int
    good: int
    outcomes: dict[str, int]
    latency_ms: dict[str, float]


class LoadStatistics(msgspec.Struct):
    """The statistics of a whole load."""

    calls: int
    seconds: float
    good_per_second: float
    kinds: list[KindStatistics]


@dataclass(slots=True)
class _KindRecorder:
    outcomes: Counter[str] = field(default_factory=Counter)
    good: int = 0
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LATENCY_MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
    )


class LoadSummary:
    """The aggregated results of a load."""

    __slots__ = ("_by_kind", "_rank_by_kind", "endings")

    def __init__(self, rank_by_kind: dict[str, int]):
        self._rank_by_kind = rank_by_kind
        self._by_kind: dict[str, _KindRecorder] = {}
        self.endings: Counter[CallEnding] = Counter()

    def add(self, result: CallResult) -> None:
        """Add one result; its latency counts whatever the outcome."""
        recorder = self._by_kind.setdefault(result.kind, _KindRecorder())
        recorder.outcomes[outcome_label(result)] += 1
        recorder.good += result.succeeded
        recorder.histogram.record_value(
            min(max(1, int(result.seconds * 1e6)), LATENCY_MAX_MICROSECONDS)
        )
        self.endings[result.ending] += 1

    @property
    def calls(self) -> int:
        """Return the number of calls that have ended."""
        return self.endings.total()

    def statistics(self, seconds: float) -> LoadStatistics:
        """Return the statistics of a load that took some seconds, most urgent rank first."""
        kinds = sorted(self._by_kind, key=lambda kind: (self._rank(kind), kind))
        good = sum(recorder.good for recorder in self._by_kind.values())
        statistics = [self._kind_statistics(kind) for kind in kinds]
        return LoadStatistics(self.calls, seconds, good / max(seconds, 1e-9), statistics)

    def render(self, seconds: float) -> str:
        """Return the statistics and a latency histogram as text."""
        return "\n".join(
            [*_render_statistics(self.statistics(seconds)), "", *self._render_histogram()]
        )

    def _rank(self, kind: str) -> int:
        return self._rank_by_kind.get(kind, UNKNOWN_RANK)

    def _kind_statistics(self, kind: str) -> KindStatistics:
        recorder = self._by_kind[kind]
        rank = self._rank(kind)
        latency_ms = {
            f"p{percentile:g}": recorder.histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        return KindStatistics(
            kind,
            None if rank == UNKNOWN_RANK else rank,
            recorder.outcomes.total(),
            recorder.good,
            dict(recorder.outcomes),
            latency_ms,
        )

    def _render_histogram(self) -> Iterator[str]:
        counts = Counter(
            itertools.chain.from_iterable(
                _bucket_counts(recorder.histogram) for recorder in self._by_kind.values()
            )
        )
        yield "latency of all calls"
        for bound_ms, count in sorted(counts.items()):
            bar = "#" * round(BAR_WIDTH_CHARACTERS * count / self.calls)
            yield f"  up to {bound_ms:>6} ms {count:>9} {bar}".rstrip()


def outcome_label(result: CallResult) -> str:
    """Return the label under which a result is counted."""
    if result.ending is CallEnding.RAN:
        return "ran" if result.succeeded else f"ran {result.status}"
    return f"{result.ending.value} {result.reason}".rstrip()


def _bucket_counts(histogram: HdrHistogram) -> Iterator[int]:
    """Yield the bucket's upper bound in milliseconds for each recorded value."""
    for item in histogram.get_recorded_iterator():
        index = bisect.bisect_left(BUCKETS_MS[:-1], item.value_iterated_to // 1000)
        yield from itertools.repeat(BUCKETS_MS[index], item.count_added_in_this_iter_step)


def _render_statistics(statistics: LoadStatistics) -> Iterator[str]:
    yield (
        f"{statistics.calls} calls in {statistics.seconds:.2f} s, "
        f"{statistics.good_per_second:.1f} good calls a second"
    )
    for kind in statistics.kinds:
        rank = "-" if kind.rank is None else str(kind.rank)
        latencies = "  ".join(f"{name} {value:.1f}" for name, value in kind.latency_ms.items())
        yield f"rank {rank}  {kind.kind}: {kind.good} of {kind.calls} good; ms: {latencies}"
        yield from (f"    {label}: {count}" for label, count in sorted(kind.outcomes.items()))
