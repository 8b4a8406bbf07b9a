"""Validation rules that concern several cells or rows of the table."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from bamboojunction.core.table.problems import TableProblem
from bamboojunction.core.table.rows import Effect, Row

# Every rank must be guaranteed at least one slot of an upstream with this many slots.
REFERENCE_SLOTS = 20
# The shortest network round trip of a call between two data centres.
HOP_ROUND_TRIP_MIN_MS = 2


def find_cross_row_problems(by_kind: dict[str, Row]) -> Iterator[TableProblem]:
    """Yield the problems of rows that are valid alone but not together; ``line`` is left at 0."""
    yield from _find_missing_services(by_kind.values())
    yield from _find_small_shares(by_kind.values())
    yield from _find_short_deadlines(by_kind.values())


def _find_missing_services(rows: Iterable[Row]) -> Iterator[TableProblem]:
    for row in rows:
        if row.effect is Effect.ONCE and not row.services:
            expected = "at least one service, because the effect is 'once'"
            yield TableProblem(0, "services", "", expected, row.kind)


def _find_small_shares(rows: Iterable[Row]) -> Iterator[TableProblem]:
    rows_by_service: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        for service in row.services:
            rows_by_service[service].append(row)
    reported: set[str] = set()
    for service, service_rows in rows_by_service.items():
        weight_by_rank: dict[int, int] = defaultdict(int)
        for row in service_rows:
            weight_by_rank[row.rank] += row.weight
        total = sum(weight_by_rank.values())
        for row in service_rows:
            is_sufficient = weight_by_rank[row.rank] * REFERENCE_SLOTS >= total
            if is_sufficient or row.kind in reported:
                continue
            reported.add(row.kind)
            expected = (
                f"weights of rank {row.rank} that add up to at least 1/{REFERENCE_SLOTS} of the "
                f"total weight {total} of all ranks at {service}; with less, the rank is "
                f"guaranteed less than one of {REFERENCE_SLOTS} slots"
            )
            yield TableProblem(0, "weight", str(row.weight), expected, row.kind)


def _find_short_deadlines(rows: Iterable[Row]) -> Iterator[TableProblem]:
    for row in rows:
        shortest = len(row.services) * HOP_ROUND_TRIP_MIN_MS
        if row.deadline_ms < shortest:
            expected = (
                f"at least {shortest}, which is {HOP_ROUND_TRIP_MIN_MS} ms for each of the row's "
                "services"
            )
            yield TableProblem(0, "deadline_ms", str(row.deadline_ms), expected, row.kind)
