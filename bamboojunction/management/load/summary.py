"""What came back from a load: outcomes and latencies by rank and kind."""

import bisect
import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from bamboojunction.management.load.client import CallResult, Ending
from bamboojunction.management.load.plan import UNKNOWN_RANK

LATENCY_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
BAR_CHARACTERS = 40
# Upper bounds of the lines of the printed histogram.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 600_000)


class KindFigures(msgspec.Struct):
    """Give the figures of one kind; latencies are in milliseconds by percentile."""

    kind: str
    rank: int | None
    calls: int
    good: int
    outcomes: dict[str, int]
    latency_ms: dict[str, float]


class Figures(msgspec.Struct):
    """Give the figures of a whole load."""

    calls: int
    seconds: float
    good_per_second: float
    kinds: list[KindFigures]


@dataclass(slots=True)
class _KindRecord:
    outcomes: Counter[str] = field(default_factory=Counter)
    good: int = 0
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
    )


class Summary:
    """Add up the results of a load."""

    __slots__ = ("_by_kind", "_rank_by_kind", "endings")

    def __init__(self, rank_by_kind: dict[str, int]):
        self._rank_by_kind = rank_by_kind
        self._by_kind: dict[str, _KindRecord] = {}
        self.endings: Counter[Ending] = Counter()

    def add(self, result: CallResult) -> None:
        """Take in one result; the latency counts whatever the outcome."""
        record = self._by_kind.setdefault(result.kind, _KindRecord())
        record.outcomes[outcome_label(result)] += 1
        record.good += result.is_good
        record.histogram.record_value(min(max(1, int(result.seconds * 1e6)), LATENCY_MAX_US))
        self.endings[result.ending] += 1

    @property
    def calls(self) -> int:
        """Return how many calls have ended."""
        return self.endings.total()

    def figures(self, seconds: float) -> Figures:
        """Return the figures, the most urgent rank first."""
        kinds = sorted(self._by_kind, key=lambda kind: (self._rank(kind), kind))
        good = sum(record.good for record in self._by_kind.values())
        figures = [self._kind_figures(kind) for kind in kinds]
        return Figures(self.calls, seconds, good / max(seconds, 1e-9), figures)

    def render(self, seconds: float) -> str:
        """Return the figures and the histogram as text."""
        return "\n".join([*_render_figures(self.figures(seconds)), "", *self._render_histogram()])

    def _rank(self, kind: str) -> int:
        return self._rank_by_kind.get(kind, UNKNOWN_RANK)

    def _kind_figures(self, kind: str) -> KindFigures:
        record = self._by_kind[kind]
        rank = self._rank(kind)
        latency_ms = {
            f"p{percentile:g}": record.histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        return KindFigures(
            kind,
            None if rank == UNKNOWN_RANK else rank,
            record.outcomes.total(),
            record.good,
            dict(record.outcomes),
            latency_ms,
        )

    def _render_histogram(self) -> Iterator[str]:
        counts = Counter(
            itertools.chain.from_iterable(
                _bucket_counts(record.histogram) for record in self._by_kind.values()
            )
        )
        yield "latency of all calls"
        for bound_ms, count in sorted(counts.items()):
            bar = "#" * round(BAR_CHARACTERS * count / self.calls)
            yield f"  up to {bound_ms:>6} ms {count:>9} {bar}".rstrip()


def outcome_label(result: CallResult) -> str:
    """Return the name under which a result is counted."""
    if result.ending is Ending.RAN:
        return "ran" if result.is_good else f"ran {result.status}"
    return f"{result.ending.value} {result.reason}".rstrip()


def _bucket_counts(histogram: HdrHistogram) -> Iterator[int]:
    """Yield the bucket of each recorded value, once for each time it was recorded."""
    for item in histogram.get_recorded_iterator():
        place = bisect.bisect_left(BUCKETS_MS[:-1], item.value_iterated_to // 1000)
        yield from itertools.repeat(BUCKETS_MS[place], item.count_added_in_this_iter_step)


def _render_figures(figures: Figures) -> Iterator[str]:
    yield (
        f"{figures.calls} calls in {figures.seconds:.2f} s, "
        f"{figures.good_per_second:.1f} good calls a second"
    )
    for kind in figures.kinds:
        rank = "-" if kind.rank is None else str(kind.rank)
        latencies = "  ".join(f"{name} {value:.1f}" for name, value in kind.latency_ms.items())
        yield f"rank {rank}  {kind.kind}: {kind.good} of {kind.calls} good; ms: {latencies}"
        yield from (f"    {label}: {count}" for label, count in sorted(kind.outcomes.items()))
