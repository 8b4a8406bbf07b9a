"""Edits of the operators' table on the platform, with optimistic concurrency control.

Of several concurrent edits of one version, exactly one takes effect.
"""

import asyncio
import random
from dataclasses import dataclass

from result import Err, Ok, Result

from bamboojunction.core.platform_rate_limit import Backoff
from bamboojunction.core.table.diff import RowChange, diff_tables
from bamboojunction.core.table.rows import Table
from bamboojunction.core.table.stored_object import (
    TABLE_COLLECTION,
    TABLE_OBJECT_NAME,
    Edit,
    build_object_value,
    read_object,
    read_table_object,
    with_unknown_cells,
)
from bamboojunction.platform.client import (
    PlatformClient,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
)

RETRY_DELAY_MAX_SECONDS = 2.0


@dataclass(slots=True, frozen=True)
class Applied:
    """The outcome of an edit that took effect as ``version``.

    ``replaced_by`` is the later version that replaced it, or 0.
    """

    version: int
    replaced_by: int = 0


@dataclass(slots=True, frozen=True)
class Unchanged:
    """The outcome of an edit that was not written, because the platform holds the same rows."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """The outcome of an edit that was refused because another edit took effect first.

    ``changes`` are the differences from the stored rows to the operator's.
    """

    version: int
    edited_by: str
    changes: list[RowChange]


@dataclass(slots=True, frozen=True)
class NotApplied:
    """The outcome of an edit that failed without writing anything."""

    detail: str


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """A write got no answer, and whether it took effect could not be read back in time."""

    detail: str


EditOutcome = Applied | Unchanged | Conflict | NotApplied | OutcomeUnknown


@dataclass(slots=True, frozen=True)
class StoredTable:
    """The table that the platform stores; version 0 means that there is none yet."""

    table: Table
    value: dict
    edit_ids: frozenset[str]
    edited_by: str

    @classmethod
    def decode(cls, stored_object: PlatformObject) -> Result["StoredTable", PlatformError]:
        """Decode the platform's object."""
        table = read_table_object(stored_object.value, stored_object.version)
        if table.is_err():
            return Err(PlatformError(PlatformErrorKind.MALFORMED, table.err()))
        history = read_object(stored_object.value).unwrap().history
        edit_ids = {table.ok().edit_id, *(entry.edit_id for entry in history)}
        edited_by = history[-1].edited_by if history else ""
        return Ok(cls(table.ok(), stored_object.value, frozenset(edit_ids), edited_by))


EMPTY_STORED_TABLE = StoredTable(Table(), {}, frozenset(), "")


class TableEditor:
    """An editor of the platform's table that retries until a timeout in seconds."""

    def __init__(self, client: PlatformClient, timeout_seconds: float, rng: random.Random):
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + timeout_seconds
        self._backoff = Backoff(rng)
        self._may_have_written = False

    async def read(self) -> Result[StoredTable, PlatformError]:
        """Return the platform's table, retrying until the timeout."""
        while True:
            match await self._client.get(TABLE_COLLECTION, TABLE_OBJECT_NAME):
                case Ok(found):
                    return StoredTable.decode(found)
                case Err(PlatformError(PlatformErrorKind.NOT_FOUND)):
                    return Ok(EMPTY_STORED_TABLE)
                case Err(error):
                    if not await self._wait_to_retry():
                        return Err(error)

    async def apply(self, table: Table, edit: Edit, base_version: int | None) -> EditOutcome:
        """Write a table on top of the version that it was edited from.

        ``base_version`` defaults to the version that is read first. The write is conditional on
        the stored version, so repeating it cannot take effect twice.
        """
        while True:
            read = await self.read()
            if read.is_err():
                return self._failed_outcome(read.err())
            stored = read.ok()
            if base_version is None:
                base_version = stored.table.version
            outcome = _known_outcome(stored, table, edit, base_version)
            if outcome is not None:
                return outcome
            written = await self._write(stored, table, edit)
            if written is not None:
                return written

    async def _write(self, stored: StoredTable, table: Table, edit: Edit) -> EditOutcome | None:
        """Write once; None means that the outcome is known only after reading again."""
        new = with_unknown_cells(table, stored.table)
        changes = diff_tables(stored.table, new)
        value = build_object_value(new, edit, stored.table.version, stored.value, changes)
        match await self._client.put(
            TABLE_COLLECTION, TABLE_OBJECT_NAME, value, stored.table.version
        ):
            case Ok(written):
                return Applied(written.version)
            case Err(error):
                if error.kind is PlatformErrorKind.LOST_ANSWER:
                    self._may_have_written = True
                return None if await self._wait_to_retry() else self._failed_outcome(error)

    def _failed_outcome(self, error: PlatformError) -> EditOutcome:
        detail = f"{error.kind.value}: {error.detail}"
        return OutcomeUnknown(detail) if self._may_have_written else NotApplied(detail)

    async def _wait_to_retry(self) -> bool:
        delay = min(self._backoff.next_delay(), RETRY_DELAY_MAX_SECONDS)
        if self._loop.time() + delay >= self._deadline:
            return False
        await asyncio.sleep(delay)
        return True


def _known_outcome(
    stored: StoredTable, table: Table, edit: Edit, base_version: int
) -> EditOutcome | None:
    """Return the outcome that the stored table shows, or None if the edit has to be written."""
    if stored.table.edit_id == edit.edit_id:
        return Applied(stored.table.version)
    if edit.edit_id in stored.edit_ids:
        return Applied(_version_made_by(stored, edit.edit_id), stored.table.version)
    changes = diff_tables(stored.table, with_unknown_cells(table, stored.table))
    if stored.table.version != base_version:
        return Conflict(stored.table.version, stored.edited_by, changes)
    if not changes and stored.table.version:
        return Unchanged(stored.table.version)
    return None


def _version_made_by(stored: StoredTable, edit_id: str) -> int:
    """Return the version that an earlier edit created.

    The next edit in the history records it as the version that it replaced.
    """
    history = read_object(stored.value).unwrap().history
    index = next(index for index, entry in enumerate(history) if entry.edit_id == edit_id)
    return history[index + 1].replaced_version
