"""The operators' table, which has one row for each kind of work."""

from dataclasses import dataclass, field
from enum import StrEnum


class Effect(StrEnum):
    """Whether a call of a kind of work may be executed more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclass(slots=True, frozen=True)
class Row:
    """The limits of one kind of work.

    A lower ``rank`` is more urgent. ``weight`` adds to the share of contended slots that is
    guaranteed to the kind's rank. ``retries`` is the retry allowance of a whole action.
    ``slots_max`` limits how many calls of the kind one upstream runs concurrently (0: no limit).
    ``services`` lists the services that the kind is known to reach, the entry service first.
    ``extra`` holds the cells of columns that this release does not know, as pairs of column name
    and text.
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
    """One accepted version of the table."""

    version: int = 0
    edit_id: str = ""
    by_kind: dict[str, Row] = field(default_factory=dict)


# The row of kinds that are missing from the table: least urgent, not idempotent, no retries.
DEFAULT_ROW = Row(
    kind="", rank=9, weight=1, effect=Effect.ONCE, deadline_ms=2_000, retries=0, slots_max=0
)


# The default weight of a rank is half that of the next more urgent one.
WEIGHT_OF_RANK_0 = 64


def default_weight(rank: int) -> int:
    """Return the default weight of a rank, for kinds without a row in a table."""
    return max(1, WEIGHT_OF_RANK_0 >> rank)


def row_for(table: Table, kind: str) -> Row:
    """Return the row of a kind, or the default row if the table has none."""
    return table.by_kind.get(kind, DEFAULT_ROW)
