"""The rules that concern several cells or rows of the table together."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from bamboojunction.core.table.problems import TableProblem
from bamboojunction.core.table.rows import Effect, Row

# A rank keeps at least one slot of an upstream of this size when others contend for it.
REFERENCE_SLOTS = 20
# A call between two data centres and its answer travel for this long.
HOP_MIN_MS = 2


def cross_row_problems(by_kind: dict[str, Row]) -> Iterator[TableProblem]:
    """Yield every row whose weight or limits cannot be met; lines are left at 0."""
    yield from _rows_without_services(by_kind.values())
    yield from _shares_too_small(by_kind.values())
    yield from _deadlines_too_short(by_kind.values())


def _rows_without_services(rows: Iterable[Row]) -> Iterator[TableProblem]:
    for row in rows:
        if row.effect is Effect.ONCE and not row.services:
            expected = "at least one service, as the effect is 'once'"
            yield TableProblem(0, "services", "", expected, row.kind)


def _shares_too_small(rows: Iterable[Row]) -> Iterator[TableProblem]:
    rows_by_service: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        for service in row.services:
            rows_by_service[service].append(row)
    reported: set[str] = set()
    for service, reaching in rows_by_service.items():
        weight_by_rank: dict[int, int] = defaultdict(int)
        for row in reaching:
            weight_by_rank[row.rank] += row.weight
        total = sum(weight_by_rank.values())
        for row in reaching:
            is_met = weight_by_rank[row.rank] * REFERENCE_SLOTS >= total
            if is_met or row.kind in reported:
                continue
            reported.add(row.kind)
            expected = (
                f"rank {row.rank} weighs at least 1/{REFERENCE_SLOTS} of the {total} of all ranks "
                f"at {service}, or it keeps less than one slot of {REFERENCE_SLOTS}"
            )
            yield TableProblem(0, "weight", str(row.weight), expected, row.kind)


def _deadlines_too_short(rows: Iterable[Row]) -> Iterator[TableProblem]:
    for row in rows:
        shortest = len(row.services) * HOP_MIN_MS
        if row.deadline_ms < shortest:
            expected = f"at least {shortest}, {HOP_MIN_MS} for each of the row's services"
            yield TableProblem(0, "deadline_ms", str(row.deadline_ms), expected, row.kind)
