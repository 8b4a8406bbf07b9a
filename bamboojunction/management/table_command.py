"""Common code of the table commands: reading files, platform access and exit codes."""

import asyncio
import os
import random
import re
from collections.abc import Awaitable, Callable
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result

from bamboojunction.core.table.csvfile import decode_text, parse_table
from bamboojunction.core.table.problems import TableProblem
from bamboojunction.core.table.rows import Table
from bamboojunction.operators.table_edit import StoredTable, TableEditor
from bamboojunction.platform.client import PlatformClient
from bamboojunction.platform.http_client import HttpPlatformClient

EXIT_OK = 0
EXIT_DIFFERENT = 1
EXIT_INVALID_TABLE = 2
EXIT_CONFLICT = 3
EXIT_NOT_APPLIED = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_NOT_IN_FORCE = 6

PLATFORM_VARIABLE = "BAMBOO_PLATFORM"
PLATFORM_TIMEOUT_SECONDS = 2.0
BASE_VERSION_PATTERN = re.compile(r"#\s*version\s+([0-9]+)")

FILE_ARGUMENT = argument("file", "Path of the table as a CSV file")
PLATFORM_OPTION = option(
    "platform", None, f"The platform's ip:port (or {PLATFORM_VARIABLE})", flag=False
)
TIMEOUT_OPTION = option(
    "timeout", None, "How many seconds to wait for the platform", flag=False, default="30"
)


class TableCommand(Command):
    """Base class of the commands that read a table file or the platform's table."""

    def read_file(self) -> Result[tuple[Table, int | None], int]:
        """Return the file's table and the version it was edited from, or an exit code."""
        path = Path(self.argument("file"))
        try:
            content = path.read_bytes()
        except OSError as error:
            self.line_error(f"{path}: {error.strerror}")
            return Err(EXIT_INVALID_TABLE)
        text = decode_text(content)
        if text.is_err():
            return self._report_problems(path, [text.err()])
        table = parse_table(text.ok(), 0, "", strict=True)
        if table.is_err():
            return self._report_problems(path, table.err())
        base_match = BASE_VERSION_PATTERN.match(text.ok())
        return Ok((table.ok(), int(base_match[1]) if base_match else None))

    def run_with_platform(self, operation: Callable[[PlatformClient], Awaitable[int]]) -> int:
        """Run an asynchronous operation with a platform client and return its exit code."""
        addresses = (self.option("platform") or os.environ.get(PLATFORM_VARIABLE, "")).split()
        try:
            client = HttpPlatformClient(addresses, PLATFORM_TIMEOUT_SECONDS)
        except ValueError as error:
            self.line_error(f"--platform: {error}")
            return EXIT_NOT_APPLIED

        async def run() -> int:
            try:
                return await operation(client)
            finally:
                await client.close()

        return asyncio.run(run())

    async def read_stored_table(self, client: PlatformClient) -> Result[StoredTable, int]:
        """Return the platform's table, or print the error and return an exit code."""
        editor = TableEditor(client, float(self.option("timeout")), random.Random())
        stored = await editor.read()
        if stored.is_err():
            self.line_error(f"cannot read the table from the platform: {stored.err().detail}")
            return Err(EXIT_NOT_APPLIED)
        return stored

    def _report_problems(self, path: Path, problems: list[TableProblem]) -> Err[int]:
        for problem in problems:
            self.line_error(f"{path}: {problem}")
        return Err(EXIT_INVALID_TABLE)
