"""The tables that a soak test prints at its end."""

from collections.abc import Iterator

from bamboo_bench.soak.invariants import InvariantChecker
from bamboo_bench.soak.invariants.checker import NOT_RUN_STATUSES
from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.traffic import Traffic

KIND_HEADS = ("kind", "sent", "200", "not run", "failed", "no answer", "left", "p50 ms", "p99 ms")
SERVICE_HEADS = ("service", "repeats", "most in a window", "allowed in it")
NODE_HEADS = ("node", "peak MB", "peak descriptors", "ended by themselves", "started")


def report_lines(
    traffic: Traffic, checker: InvariantChecker, machines: list[Machine]
) -> Iterator[str]:
    """Yield the lines of the tables of kinds, services and nodes."""
    if traffic.kinds:
        yield from _table([KIND_HEADS, *_kind_rows(traffic)])
    yield from _table([SERVICE_HEADS, *checker.repeat_rows()])
    nodes = (
        (
            machine.name,
            machine.memory_peak_bytes // 1_000_000,
            machine.descriptors_peak,
            machine.ended_count,
            machine.started_count,
        )
        for machine in machines
    )
    yield from _table([NODE_HEADS, *nodes])


def _kind_rows(traffic: Traffic) -> Iterator[tuple]:
    for name, counts in traffic.count_by_outcome_by_kind.items():
        latency = traffic.latency_by_kind[name]
        statuses = {int(key): count for key, count in counts.items() if key.isdigit()}
        not_run = sum(count for status, count in statuses.items() if status in NOT_RUN_STATUSES)
        failed = sum(statuses.values()) - statuses.get(200, 0) - not_run
        yield (
            *(name, counts["sent"], statuses.get(200, 0), not_run, failed),
            *(counts["none"], counts["left"]),
            *(latency.get_value_at_percentile(percentile) for percentile in (50, 99)),
        )


def _table(rows: list[tuple]) -> Iterator[str]:
    """Yield the lines of a table whose first column is aligned to the left."""
    widths = [max(len(str(cell)) for cell in column) for column in zip(*rows, strict=True)]
    for first, *cells in rows:
        aligned = (f"{cell!s:>{width}}" for cell, width in zip(cells, widths[1:], strict=True))
        yield "  ".join((f"{first!s:<{widths[0]}}", *aligned))
