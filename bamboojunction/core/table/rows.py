"""The operators' table: one row for each kind of work."""

from dataclasses import dataclass, field
from enum import StrEnum


class Effect(StrEnum):
    """Say whether a kind of work may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclass(slots=True, frozen=True)
class Row:
    """Hold the limits of one kind of work.

    A lower ``rank`` is more urgent. ``weight`` sets the share of contended slots that the kind's
    rank keeps. ``retries`` is the allowance minted for a whole action. ``slots_max`` limits how
    many calls of the kind one upstream runs at once (0: no limit). ``services`` lists the services
    that the kind is known to reach, the entry service first. ``extra`` keeps the cells of columns
    that this release does not know.
    """

    kind: str
    rank: int
    weight: int
    effect: Effect
    deadline_ms: int
    retries: int = 0
    slots_max: int = 0
    services: tuple[str, ...] = ()
    extra: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class Table:
    """Hold one accepted version of the table."""

    version: int = 0
    edit_id: str = ""
    by_kind: dict[str, Row] = field(default_factory=dict)


# The row of a kind that the table does not name: the least urgent, never run twice by retries.
DEFAULT_ROW = Row(
    kind="", rank=9, weight=1, effect=Effect.ONCE, deadline_ms=2_000, retries=0, slots_max=0
)


# The shares of contended slots that ranks keep by default halve from each rank to the next.
WEIGHT_OF_RANK_0 = 64


def weight_of(rank: int) -> int:
    """Return the weight of a rank for which no table names one."""
    return max(1, WEIGHT_OF_RANK_0 >> rank)


def row_for(table: Table, kind: str) -> Row:
    """Return the row of a kind, or the default row."""
    return table.by_kind.get(kind, DEFAULT_ROW)
