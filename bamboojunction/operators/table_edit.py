"""Applying of an operator's table to the platform: exactly one of racing edits wins."""

import asyncio
import random
from dataclasses import dataclass

from result import Err, Ok, Result

from bamboojunction.core.platform_budget import Backoff
from bamboojunction.core.table.diff import RowChange, diff_tables
from bamboojunction.core.table.objects import (
    COLLECTION,
    NAME,
    Edit,
    read_object,
    read_table_object,
    table_value,
    with_unknown_cells,
)
from bamboojunction.core.table.rows import Table
from bamboojunction.platform.client import (
    PlatformClient,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
)

RETRY_MAX_SECONDS = 2.0


@dataclass(slots=True, frozen=True)
class Applied:
    """Report that the edit took effect as a version; a later edit may have replaced it."""

    version: int
    replaced_by: int = 0


@dataclass(slots=True, frozen=True)
class Unchanged:
    """Report that the platform already holds the same rows."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """Report that another edit came first; ``changes`` lead from its rows to the operator's."""

    version: int
    edited_by: str
    changes: list[RowChange]


@dataclass(slots=True, frozen=True)
class NotApplied:
    """Report that nothing was written."""

    detail: str


@dataclass(slots=True, frozen=True)
class Unsettled:
    """Report a write without an answer that could not be read back in time."""

    detail: str


EditOutcome = Applied | Unchanged | Conflict | NotApplied | Unsettled


@dataclass(slots=True, frozen=True)
class Stored:
    """Hold what the platform holds; version 0 means no table yet."""

    table: Table
    value: dict
    edit_ids: frozenset[str]
    edited_by: str

    @classmethod
    def read(cls, found: PlatformObject) -> Result["Stored", PlatformError]:
        """Read the platform's object."""
        table = read_table_object(found.value, found.version)
        if table.is_err():
            return Err(PlatformError(PlatformErrorKind.MALFORMED, table.err()))
        history = read_object(found.value).unwrap().history
        edit_ids = {table.ok().edit_id, *(entry.edit_id for entry in history)}
        edited_by = history[-1].edited_by if history else ""
        return Ok(cls(table.ok(), found.value, frozenset(edit_ids), edited_by))


NOTHING_STORED = Stored(Table(), {}, frozenset(), "")


class TableEditor:
    """Read the platform's table and apply an edit to it."""

    def __init__(self, client: PlatformClient, timeout_seconds: float, generator: random.Random):
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + timeout_seconds
        self._backoff = Backoff(generator)
        self._may_have_written = False

    async def read(self) -> Result[Stored, PlatformError]:
        """Read the platform's table, and try again until the timeout."""
        while True:
            match await self._client.get(COLLECTION, NAME):
                case Ok(found):
                    return Stored.read(found)
                case Err(PlatformError(PlatformErrorKind.NOT_FOUND)):
                    return Ok(NOTHING_STORED)
                case Err(error):
                    if not await self._may_retry():
                        return Err(error)

    async def apply(self, table: Table, edit: Edit, base_version: int | None) -> EditOutcome:
        """Write a table on top of the version that it was edited from.

        Without ``base_version`` the version read first counts. The write is conditional, so of
        several copies of it at most one takes effect.
        """
        while True:
            read = await self.read()
            if read.is_err():
                return self._given_up(read.err())
            stored = read.ok()
            if base_version is None:
                base_version = stored.table.version
            settled = _settle(stored, table, edit, base_version)
            if settled is not None:
                return settled
            written = await self._write(stored, table, edit)
            if written is not None:
                return written

    async def _write(self, stored: Stored, table: Table, edit: Edit) -> EditOutcome | None:
        """Write once; None means that the platform has to be read again to know what happened."""
        new = with_unknown_cells(table, stored.table)
        changes = diff_tables(stored.table, new)
        value = table_value(new, edit, stored.table.version, stored.value, changes)
        match await self._client.put(COLLECTION, NAME, value, stored.table.version):
            case Ok(written):
                return Applied(written.version)
            case Err(error):
                if error.kind is PlatformErrorKind.LOST_ANSWER:
                    self._may_have_written = True
                return None if await self._may_retry() else self._given_up(error)

    def _given_up(self, error: PlatformError) -> EditOutcome:
        detail = f"{error.kind.value}: {error.detail}"
        return Unsettled(detail) if self._may_have_written else NotApplied(detail)

    async def _may_retry(self) -> bool:
        delay = min(self._backoff.failed(), RETRY_MAX_SECONDS)
        if self._loop.time() + delay >= self._deadline:
            return False
        await asyncio.sleep(delay)
        return True


def _settle(stored: Stored, table: Table, edit: Edit, base_version: int) -> EditOutcome | None:
    """Return the outcome that the platform's table shows, or None if the edit is still to do."""
    if stored.table.edit_id == edit.edit_id:
        return Applied(stored.table.version)
    if edit.edit_id in stored.edit_ids:
        return Applied(_version_of(stored, edit.edit_id), stored.table.version)
    changes = diff_tables(stored.table, with_unknown_cells(table, stored.table))
    if stored.table.version != base_version:
        return Conflict(stored.table.version, stored.edited_by, changes)
    if not changes and stored.table.version:
        return Unchanged(stored.table.version)
    return None


def _version_of(stored: Stored, edit_id: str) -> int:
    """Return the version that an earlier edit made: the one that its successor replaced."""
    history = read_object(stored.value).unwrap().history
    position = next(place for place, entry in enumerate(history) if entry.edit_id == edit_id)
    return history[position + 1].replaced_version
