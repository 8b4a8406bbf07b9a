"""The program bamboo-call: sends one call or a bounded load to a node."""

import os

# libuv may use io_uring, which the platform forbids. This must be set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import contextlib
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec
import uvloop
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result

from bamboojunction.conf.value_formats import (
    Address,
    Decimal,
    Integer,
    Name,
    Value,
    ValueFormat,
    parse_value,
)
from bamboojunction.core.table.csvfile import decode_text, parse_table
from bamboojunction.core.table.rows import Table
from bamboojunction.management.application import EXIT_INVALID_ARGUMENTS, SingleCommandApplication
from bamboojunction.management.load.client import CallClient, CallEnding, CallResult
from bamboojunction.management.load.plan import CallPlan, KindShare, LoadLimits
from bamboojunction.management.load.runner import LoadRunner
from bamboojunction.management.load.summary import LoadSummary

EXIT_OK = 0
EXIT_UPSTREAM_FAILED = 1
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_LOST = 5
PROGRESS_SECONDS = 0.5
METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
HELP = """Sends one call to a node, or a bounded load when --count is above 1.

One call prints its outcome on standard error and the upstream's body on standard output. A load
prints its progress on standard error if that is a terminal, then outcomes by rank and kind with
latencies in milliseconds, and a histogram. With --rate, the latency of a call is measured from its
scheduled time, so that it includes the time that the call waited for earlier slow calls. In the
path and the body, {number} is replaced by the number of the call, from 0.

Exit codes: 0 every call ran and succeeded; 1 an upstream answered with status 400 or above;
2 bad arguments; 3 a call was not run; 4 a call's outcome is unknown; 5 a call got no complete
answer from the node. The highest code that applies is returned."""


class InvalidArgumentError(Exception):
    """An invalid argument; the message names it and the expected value."""


class CallCommand(Command):
    """The command that sends one call or a bounded load to a node."""

    name = "bamboo-call"
    description = "Send one call or a bounded load to a node"
    help = HELP
    arguments = [
        argument("address", "Caller address of the node, ip:port"),
        argument(
            "kind", "Kind of work; for a load also KIND=SHARE, several of them", multiple=True
        ),
    ]
    options = [
        option(
            "service", "s", "Service to call (default: the first of the kind's row)", flag=False
        ),
        option("path", "p", "Path of the request", flag=False, default="/"),
        option("method", "m", "Method of the request (default: GET, POST with a body)", flag=False),
        option("body", "b", "Body of the request", flag=False, default=""),
        option("deadline-ms", "d", "Deadline in milliseconds (default: the row's)", flag=False),
        option("once", "o", "Give each call a key of its own: at most once", flag=True),
        option("key", "k", "Key of an at-most-once call that is sent again", flag=False),
        option("table", "t", "Table file, for the ranks and the kinds that need keys", flag=False),
        option("count", "c", "Number of calls, 1 to 1000000", flag=False, default="1"),
        option(
            "concurrency",
            "j",
            "Greatest number of concurrent calls, 1 to 2000",
            flag=False,
            default="1",
        ),
        option("rate", "r", "Calls a second, 0 for no pause", flag=False, default="0"),
        option("seed", None, "Seed of the order of kinds", flag=False, default="1"),
        option("json", None, "Print the result as JSON", flag=True),
    ]

    def handle(self) -> int:
        """Read the arguments, send the calls and return the exit code."""
        try:
            address = self._parse("address", self.argument("address"), Address())
            plan = self._parse_plan()
            limits = self._parse_limits()
        except InvalidArgumentError as error:
            self.line_error(f"{self.name}: {error}")
            return EXIT_INVALID_ARGUMENTS
        if limits.count == 1:
            return self._print_call(uvloop.run(send_one(address, plan)))
        summary, seconds = uvloop.run(send_load(address, plan, limits))
        return self._print_load(summary, seconds)

    def _parse_plan(self) -> CallPlan:
        body = self.option("body").encode()
        method = self.option("method") or ("POST" if body else "GET")
        if method not in METHODS:
            raise InvalidArgumentError(f"--method: {method!r} is not one of {', '.join(METHODS)}")
        if not self.option("path").startswith("/"):
            raise InvalidArgumentError("--path: expected a path that starts with '/'")
        shares = tuple(self._parse_share(text) for text in self.argument("kind"))
        return CallPlan(
            shares,
            service=self._parse("--service", self.option("service") or "", Name(), ""),
            method=method,
            path=self.option("path"),
            body=body,
            deadline_ms=self._parse(
                "--deadline-ms", self.option("deadline-ms") or "", Integer(1, 600_000), 0
            ),
            key=self.option("key") or "",
            is_once=self.option("once"),
            table=self._load_table(),
        )

    def _parse_limits(self) -> LoadLimits:
        return LoadLimits(
            count=self._parse("--count", self.option("count"), Integer(1, 1_000_000)),
            concurrency=self._parse("--concurrency", self.option("concurrency"), Integer(1, 2_000)),
            rate=self._parse("--rate", self.option("rate"), Decimal(0, 100_000)),
            seed=self._parse("--seed", self.option("seed"), Integer(0, 1_000_000_000)),
        )

    def _parse(
        self, name: str, text: str, value_format: ValueFormat, default: Value | None = None
    ) -> Value:
        if not text and default is not None:
            return default
        match parse_value(value_format, text):
            case Ok(value):
                return value
            case Err(expected):
                raise InvalidArgumentError(f"{name}: {text!r} is not {expected}")

    def _parse_share(self, text: str) -> KindShare:
        kind, _, share = text.partition("=")
        kind = self._parse("kind", kind, Name())
        return KindShare(kind, self._parse("share", share, Integer(1, 1_000_000), 1))

    def _load_table(self) -> Table:
        name = self.option("table")
        if not name:
            return Table()
        match read_table(Path(name)):
            case Ok(table):
                return table
            case Err(problem):
                raise InvalidArgumentError(f"--table: {name}: {problem}")

    def _print_call(self, result: CallResult) -> int:
        if self.option("json"):
            self._write_json(msgspec.json.encode(_render_result(result)))
            return exit_code(result.ending, result.succeeded)
        reason = f" reason={result.reason}" if result.reason else ""
        key = f" key={result.key}" if result.key else ""
        self.line_error(
            f"outcome={result.ending.value} status={result.status}{reason}{key} "
            f"ms={result.seconds * 1000:.1f}"
        )
        sys.stdout.buffer.write(result.body)
        sys.stdout.buffer.flush()
        return exit_code(result.ending, result.succeeded)

    def _print_load(self, summary: LoadSummary, seconds: float) -> int:
        statistics = summary.statistics(seconds)
        if self.option("json"):
            self._write_json(msgspec.json.encode(statistics))
        else:
            self.line(summary.render(seconds))
        good = sum(kind.good for kind in statistics.kinds)
        all_good = good == summary.endings[CallEnding.RAN]
        return max(exit_code(ending, all_good) for ending in summary.endings)

    def _write_json(self, content: bytes) -> None:
        sys.stdout.buffer.write(content + b"\n")
        sys.stdout.buffer.flush()


class RenderedResult(msgspec.Struct):
    """A call's result as JSON output; bytes of the body that are not UTF-8 are replaced."""

    outcome: str
    status: int
    reason: str
    key: str
    ms: float
    headers: list[tuple[str, str]]
    body: str


def _render_result(result: CallResult) -> RenderedResult:
    return RenderedResult(
        result.ending.value,
        result.status,
        result.reason,
        result.key,
        result.seconds * 1000,
        list(result.headers),
        result.body.decode(errors="replace"),
    )


def exit_code(ending: CallEnding, is_good: bool) -> int:
    """Return the exit code for the ending of a call."""
    match ending:
        case CallEnding.RAN:
            return EXIT_OK if is_good else EXIT_UPSTREAM_FAILED
        case CallEnding.NOT_RUN:
            return EXIT_NOT_RUN
        case CallEnding.UNKNOWN:
            return EXIT_UNKNOWN
        case CallEnding.LOST:
            return EXIT_LOST


def read_table(path: Path) -> Result[Table, str]:
    """Return the table in a file, or its first problem."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return Err(f"cannot be read: {error.strerror}")
    text = decode_text(content)
    if text.is_err():
        return Err(str(text.err()))
    parsed = parse_table(text.ok(), version=1, edit_id="")
    return parsed.map_err(lambda problems: str(problems[0]))


async def send_one(address: str, plan: CallPlan) -> CallResult:
    """Send the plan's first kind of call once."""
    client = CallClient(address, connections=1)
    try:
        now = asyncio.get_running_loop().time()
        return await client.call(plan, plan.shares[0].kind, now)
    finally:
        await client.close()


async def send_load(address: str, plan: CallPlan, limits: LoadLimits) -> tuple[LoadSummary, float]:
    """Send a load and return the summary of its results and its duration in seconds."""
    summary = LoadSummary({share.kind: plan.rank(share.kind) for share in plan.shares})
    client = CallClient(address, limits.concurrency)
    try:
        with showing_progress(summary, limits.count):
            seconds = await LoadRunner(client, plan, limits, summary.add).run()
    finally:
        await client.close()
    return summary, seconds


@contextlib.contextmanager
def showing_progress(summary: LoadSummary, count: int) -> Iterator[None]:
    """Show a progress line on standard error while the block runs, if that is a terminal."""
    if not sys.stderr.isatty():
        yield
        return
    task = asyncio.create_task(_print_progress(summary, count))
    try:
        yield
    finally:
        task.cancel()
        sys.stderr.write("\r\x1b[K")


async def _print_progress(summary: LoadSummary, count: int) -> None:
    while True:
        endings = "  ".join(f"{ending} {number}" for ending, number in summary.endings.items())
        sys.stderr.write(f"\r\x1b[K{summary.calls} of {count}  {endings}")
        sys.stderr.flush()
        await asyncio.sleep(PROGRESS_SECONDS)


def main() -> None:
    """Run the command line."""
    SingleCommandApplication(CallCommand()).run_arguments()


if __name__ == "__main__":
    main()
