"""The program bamboo-table: checks, compares, applies and prints the operators' table."""

import getpass
import random
import secrets
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

from cleo.application import Application
from cleo.helpers import option
from result import Err, Ok

from bamboojunction import __version__
from bamboojunction.core.table.diff import diff_tables, format_change
from bamboojunction.core.table.render import render_table
from bamboojunction.core.table.rows import Table
from bamboojunction.core.table.stored_object import Edit, HistoryEntry, read_object
from bamboojunction.management.table_command import (
    EXIT_CONFLICT,
    EXIT_DIFFERENT,
    EXIT_NOT_APPLIED,
    EXIT_NOT_IN_FORCE,
    EXIT_OK,
    EXIT_OUTCOME_UNKNOWN,
    FILE_ARGUMENT,
    PLATFORM_OPTION,
    TIMEOUT_OPTION,
    TableCommand,
)
from bamboojunction.operators.table_edit import (
    Applied,
    Conflict,
    EditOutcome,
    NotApplied,
    OutcomeUnknown,
    TableEditor,
    Unchanged,
)
from bamboojunction.operators.table_rollout import Rollout, wait_for_rollout
from bamboojunction.platform.client import PlatformClient


class CheckCommand(TableCommand):
    """The command that checks a file without contacting the platform."""

    name = "check"
    description = "Check a table and name every cell that is wrong"
    arguments = [FILE_ARGUMENT]

    def handle(self) -> int:
        """Print the number of valid rows, or the problems of the file."""
        match self.read_file():
            case Ok((table, _)):
                self.line(f"{len(table.by_kind)} rows are valid")
                return EXIT_OK
            case Err(code):
                return code


class DiffCommand(TableCommand):
    """The command that shows what applying a file would change."""

    name = "diff"
    description = "Show the rows in which a table differs from the platform's"
    arguments = [FILE_ARGUMENT]
    options = [PLATFORM_OPTION, TIMEOUT_OPTION]

    def handle(self) -> int:
        """Print the rows that differ."""
        read = self.read_file()
        return read.err() if read.is_err() else self.run_with_platform(self._diff(read.ok()[0]))

    def _diff(self, table: Table) -> Callable[[PlatformClient], Awaitable[int]]:
        async def operation(client: PlatformClient) -> int:
            stored = await self.read_stored_table(client)
            if stored.is_err():
                return stored.err()
            changes = diff_tables(stored.ok().table, table)
            for change in changes:
                self.line(format_change(change))
            self.line(f"{len(changes)} rows differ from version {stored.ok().table.version}")
            return EXIT_DIFFERENT if changes else EXIT_OK

        return operation


class ApplyCommand(TableCommand):
    """The command that writes a table to the platform and waits until it is in force."""

    name = "apply"
    description = "Apply a table and wait until it is in force at every node"
    arguments = [FILE_ARGUMENT]
    options = [
        PLATFORM_OPTION,
        TIMEOUT_OPTION,
        option("base", None, "The version that the file was edited from", flag=False),
        option(
            "edit-id", None, "The id of an earlier attempt whose outcome is unknown", flag=False
        ),
        option("by", None, "Who makes the edit (default: the current user)", flag=False),
        option("note", None, "Reason of the edit, kept in the history", flag=False, default=""),
        option("no-wait", None, "Do not wait for the nodes", flag=True),
    ]

    def handle(self) -> int:
        """Apply the file and wait for the nodes, unless told not to."""
        match self.read_file():
            case Ok((table, base_version)):
                base_option = self.option("base")
                base_version = int(base_option) if base_option else base_version
                return self.run_with_platform(
                    lambda client: self._apply(client, table, base_version)
                )
            case Err(code):
                return code

    async def _apply(self, client: PlatformClient, table: Table, base_version: int | None) -> int:
        edit = Edit(
            edit_id=self.option("edit-id") or secrets.token_hex(8),
            edited_by=self.option("by") or getpass.getuser(),
            edited_at=datetime.now(UTC).isoformat(timespec="seconds"),
            note=self.option("note"),
        )
        editor = TableEditor(client, float(self.option("timeout")), random.Random())
        outcome = await editor.apply(table, edit, base_version)
        code, version = self._report(outcome, edit)
        if code != EXIT_OK or self.option("no-wait"):
            return code
        return await self._wait(client, version)

    def _report(self, outcome: EditOutcome, edit: Edit) -> tuple[int, int]:
        match outcome:
            case Applied(version, 0):
                self.line(f"applied as version {version} (edit {edit.edit_id})")
                return EXIT_OK, version
            case Applied(version, replaced_by):
                self.line(f"applied as version {version}, since replaced by {replaced_by}")
                return EXIT_OK, replaced_by
            case Unchanged(version):
                self.line(f"version {version} already holds these rows")
                return EXIT_OK, version
            case Conflict(version, edited_by, changes):
                self.line_error(
                    f"conflict: version {version} by {edited_by or '?'} was written first"
                )
                for change in changes:
                    self.line_error(format_change(change))
                self.line_error("nothing was written; merge these rows and apply again")
                return EXIT_CONFLICT, 0
            case NotApplied(detail):
                self.line_error(f"nothing was written: {detail}")
                return EXIT_NOT_APPLIED, 0
            case OutcomeUnknown(detail):
                self.line_error(f"the write may have taken effect: {detail}")
                self.line_error(f"to find out, run: apply --edit-id {edit.edit_id}")
                return EXIT_OUTCOME_UNKNOWN, 0

    async def _wait(self, client: PlatformClient, version: int) -> int:
        last_line = ""

        def print_progress(rollout: Rollout) -> None:
            nonlocal last_line
            line = f"in force at {len(rollout.in_force)} of {len(rollout.by_instance)} nodes"
            if line != last_line:
                self.line(line)
            last_line = line

        rollout = await wait_for_rollout(
            client, version, float(self.option("timeout")), print_progress
        )
        for name in rollout.unreachable:
            self.line_error(f"unreachable: {name}")
        for name in rollout.behind:
            held_version = rollout.by_instance[name].version
            self.line_error(f"not in force: {name} (holds version {held_version})")
        if rollout.ahead_of(version) and not await self._are_later_versions_stored(client, rollout):
            return EXIT_NOT_IN_FORCE
        # Without any known node there is nothing to wait for.
        is_in_force = bool(rollout.in_force) and not rollout.behind
        return EXIT_OK if is_in_force or not rollout.by_instance else EXIT_NOT_IN_FORCE

    async def _are_later_versions_stored(self, client: PlatformClient, rollout: Rollout) -> bool:
        """Return whether the platform stores the later versions that nodes report."""
        stored = await self.read_stored_table(client)
        ahead = [] if stored.is_err() else rollout.ahead_of(stored.ok().table.version)
        for name in ahead:
            held_version = rollout.by_instance[name].version
            self.line_error(
                f"not in force: {name} (holds version {held_version}, later than the platform's)"
            )
        return stored.is_ok() and not ahead


class ShowCommand(TableCommand):
    """The command that prints the platform's table."""

    name = "show"
    description = "Print the platform's table, ready to be edited and applied"
    options = [PLATFORM_OPTION, TIMEOUT_OPTION]

    def handle(self) -> int:
        """Print the table."""
        return self.run_with_platform(self._show)

    async def _show(self, client: PlatformClient) -> int:
        stored = await self.read_stored_table(client)
        if stored.is_err():
            return stored.err()
        table = stored.ok().table
        self.line(f"# version {table.version}")
        self.line(render_table(table).rstrip("\n"))
        return EXIT_OK


class HistoryCommand(TableCommand):
    """The command that prints the last edits."""

    name = "history"
    description = "Print the last edits, the latest first"
    options = [
        PLATFORM_OPTION,
        TIMEOUT_OPTION,
        option("count", None, "How many edits to print", flag=False, default="20"),
    ]

    def handle(self) -> int:
        """Print the last edits, the latest first."""
        return self.run_with_platform(self._history)

    async def _history(self, client: PlatformClient) -> int:
        stored = await self.read_stored_table(client)
        if stored.is_err():
            return stored.err()
        history = read_object(stored.ok().value).map_or([], lambda found: found.history)
        for entry in history[::-1][: int(self.option("count"))]:
            self._print_entry(entry)
        return EXIT_OK

    def _print_entry(self, entry: HistoryEntry) -> None:
        note = f" - {entry.note}" if entry.note else ""
        self.line(f"{entry.edited_at} {entry.edited_by} (edit {entry.edit_id}){note}")
        for row in entry.changes:
            self.line(f"  {row.kind}: {row.before or 'no row'} -> {row.after or 'no row'}")


def create_application() -> Application:
    """Return the command-line application with all its commands."""
    application = Application("bamboo-table", __version__)
    commands = (CheckCommand, DiffCommand, ApplyCommand, ShowCommand, HistoryCommand)
    for command in commands:
        application.add(command())
    return application


def main() -> None:
    """Run the command line."""
    raise SystemExit(create_application().run())


if __name__ == "__main__":
    main()
