"""The figures of the path benchmark, and its latency target."""

from dataclasses import dataclass

from bamboo_bench.path.load import PairedLatencies

ADDED_P99_MAX_MS = 0.86


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of unsorted values by the nearest-rank method."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


@dataclass(slots=True, frozen=True)
class PathFigures:
    """The figures of one run; times are in milliseconds.

    ``added_p99_ms`` is the difference of the two p99 latencies for the whole chain, and
    ``added_p99_per_hop_ms`` is that difference divided by the hops. ``paired_p99_ms`` is the p99 of
    the differences within pairs, which also includes the variance of the direct calls.
    ``stolen_share`` is the share of processor time that the hypervisor took away; above a few per
    cent, the latencies say little about the layer. ``met`` is true when the added p99 per hop
    is within its target and no pair failed.
    """

    hops: int
    body_bytes: int
    tracing: bool
    pairs: int
    failures: int
    direct_p50_ms: float
    direct_p99_ms: float
    layered_p50_ms: float
    layered_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    added_p999_ms: float
    paired_p99_ms: float
    added_p99_per_hop_ms: float
    processor_us_per_call: dict[str, float]
    resident_mb: dict[str, float]
    stolen_share: float
    met: bool

    @classmethod
    def from_pairs(
        cls,
        pairs: PairedLatencies,
        *,
        hops: int,
        body_bytes: int,
        tracing: bool,
        processor_us_per_call: dict[str, float],
        resident_mb: dict[str, float],
        stolen_share: float,
    ) -> "PathFigures":
        """Return the figures computed from the latencies of a run."""
        added = {
            fraction: (quantile(pairs.layered, fraction) - quantile(pairs.direct, fraction)) * 1000
            for fraction in (0.5, 0.99, 0.999)
        }
        paired_differences = [
            layered - direct for layered, direct in zip(pairs.layered, pairs.direct, strict=True)
        ]
        return cls(
            hops=hops,
            body_bytes=body_bytes,
            tracing=tracing,
            pairs=len(pairs.direct),
            failures=pairs.failures,
            direct_p50_ms=quantile(pairs.direct, 0.5) * 1000,
            direct_p99_ms=quantile(pairs.direct, 0.99) * 1000,
            layered_p50_ms=quantile(pairs.layered, 0.5) * 1000,
            layered_p99_ms=quantile(pairs.layered, 0.99) * 1000,
            added_p50_ms=added[0.5],
            added_p99_ms=added[0.99],
            added_p999_ms=added[0.999],
            paired_p99_ms=quantile(paired_differences, 0.99) * 1000,
            added_p99_per_hop_ms=added[0.99] / hops,
            processor_us_per_call=processor_us_per_call,
            resident_mb=resident_mb,
            stolen_share=stolen_share,
            met=added[0.99] / hops <= ADDED_P99_MAX_MS and not pairs.failures,
        )
