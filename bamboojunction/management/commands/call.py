"""The program bamboo-call: sends one call or a bounded load to a node."""

import os

# libuv may use io_uring, which the platform rules out; it reads this before uvloop is imported.
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

from bamboojunction.conf.forms import Address, Decimal, Form, Integer, Name, Value, read_value
from bamboojunction.core.table.csvfile import decode_text, parse_table
from bamboojunction.core.table.rows import Table
from bamboojunction.management.application import EXIT_BAD_ARGUMENTS, SingleCommandApplication
from bamboojunction.management.load.client import CallClient, CallResult, Ending
from bamboojunction.management.load.plan import CallPlan, KindShare, Pace
from bamboojunction.management.load.runner import LoadRunner
from bamboojunction.management.load.summary import Summary

EXIT_OK = 0
EXIT_UPSTREAM_FAILED = 1
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_LOST = 5
PROGRESS_SECONDS = 0.5
METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
HELP = """Sends one call to a node, or a bounded load when --count is above 1.

One call prints its outcome on the error output and the upstream's body on the output. A load prints
its progress on the error output while that is a terminal, then outcomes by rank and kind with
latencies in milliseconds, and a histogram. With --rate, the time of a call counts from the moment
that the rate gave it, so that a slow answer is seen in the calls that had to wait behind it. In the
path and the body, {number} stands for the number of the call, from 0.

Exit codes: 0 every call ran and succeeded; 1 an upstream answered with status 400 or above;
2 bad arguments; 3 a call was not run; 4 a call's outcome is unknown; 5 a call got no whole answer
from the node. The highest that applies is given."""


class BadArgumentError(Exception):
    """Say which argument is wrong and what is expected there."""


class CallCommand(Command):
    """Send one call or a bounded load to a node."""

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
        option("concurrency", "j", "Calls under way at once, 1 to 2000", flag=False, default="1"),
        option("rate", "r", "Calls a second, 0 for no pause", flag=False, default="0"),
        option("seed", None, "Seed of the order of kinds", flag=False, default="1"),
        option("json", None, "Print the result as JSON", flag=True),
    ]

    def handle(self) -> int:
        """Read the arguments, send the calls and return the exit code."""
        try:
            address = self._read("address", self.argument("address"), Address())
            plan = self._read_plan()
            pace = self._read_pace()
        except BadArgumentError as error:
            self.line_error(f"{self.name}: {error}")
            return EXIT_BAD_ARGUMENTS
        if pace.count == 1:
            return self._show_call(uvloop.run(send_one(address, plan)))
        summary, seconds = uvloop.run(send_load(address, plan, pace))
        return self._show_load(summary, seconds)

    def _read_plan(self) -> CallPlan:
        body = self.option("body").encode()
        method = self.option("method") or ("POST" if body else "GET")
        if method not in METHODS:
            raise BadArgumentError(f"--method: {method!r} is not one of {', '.join(METHODS)}")
        if not self.option("path").startswith("/"):
            raise BadArgumentError("--path: expected a path that starts with '/'")
        shares = tuple(self._read_share(text) for text in self.argument("kind"))
        return CallPlan(
            shares,
            service=self._read("--service", self.option("service") or "", Name(), ""),
            method=method,
            path=self.option("path"),
            body=body,
            deadline_ms=self._read(
                "--deadline-ms", self.option("deadline-ms") or "", Integer(1, 600_000), 0
            ),
            key=self.option("key") or "",
            is_once=self.option("once"),
            table=self._read_table(),
        )

    def _read_pace(self) -> Pace:
        return Pace(
            count=self._read("--count", self.option("count"), Integer(1, 1_000_000)),
            concurrency=self._read("--concurrency", self.option("concurrency"), Integer(1, 2_000)),
            rate=self._read("--rate", self.option("rate"), Decimal(0, 100_000)),
            seed=self._read("--seed", self.option("seed"), Integer(0, 1_000_000_000)),
        )

    def _read(self, name: str, text: str, form: Form, empty: Value | None = None) -> Value:
        if not text and empty is not None:
            return empty
        match read_value(form, text):
            case Ok(value):
                return value
            case Err(wanted):
                raise BadArgumentError(f"{name}: {text!r} is not {wanted}")

    def _read_share(self, text: str) -> KindShare:
        kind, _, share = text.partition("=")
        kind = self._read("kind", kind, Name())
        return KindShare(kind, self._read("share", share, Integer(1, 1_000_000), 1))

    def _read_table(self) -> Table:
        name = self.option("table")
        if not name:
            return Table()
        match read_table(Path(name)):
            case Ok(table):
                return table
            case Err(problem):
                raise BadArgumentError(f"--table: {name}: {problem}")

    def _show_call(self, result: CallResult) -> int:
        if self.option("json"):
            self._write_json(msgspec.json.encode(_shown(result)))
            return exit_code(result.ending, result.is_good)
        reason = f" reason={result.reason}" if result.reason else ""
        key = f" key={result.key}" if result.key else ""
        self.line_error(
            f"outcome={result.ending.value} status={result.status}{reason}{key} "
            f"ms={result.seconds * 1000:.1f}"
        )
        sys.stdout.buffer.write(result.body)
        sys.stdout.buffer.flush()
        return exit_code(result.ending, result.is_good)

    def _show_load(self, summary: Summary, seconds: float) -> int:
        figures = summary.figures(seconds)
        if self.option("json"):
            self._write_json(msgspec.json.encode(figures))
        else:
            self.line(summary.render(seconds))
        good = sum(kind.good for kind in figures.kinds)
        all_good = good == summary.endings[Ending.RAN]
        return max(exit_code(ending, all_good) for ending in summary.endings)

    def _write_json(self, content: bytes) -> None:
        sys.stdout.buffer.write(content + b"\n")
        sys.stdout.buffer.flush()


class ShownResult(msgspec.Struct):
    """Show one result as JSON; a body that is not UTF-8 text is shown with replacements."""

    outcome: str
    status: int
    reason: str
    key: str
    ms: float
    headers: list[tuple[str, str]]
    body: str


def _shown(result: CallResult) -> ShownResult:
    return ShownResult(
        result.ending.value,
        result.status,
        result.reason,
        result.key,
        result.seconds * 1000,
        list(result.headers),
        result.body.decode(errors="replace"),
    )


def exit_code(ending: Ending, is_good: bool) -> int:
    """Return the exit code of an ending."""
    match ending:
        case Ending.RAN:
            return EXIT_OK if is_good else EXIT_UPSTREAM_FAILED
        case Ending.NOT_RUN:
            return EXIT_NOT_RUN
        case Ending.UNKNOWN:
            return EXIT_UNKNOWN
        case Ending.LOST:
            return EXIT_LOST


def read_table(path: Path) -> Result[Table, str]:
    """Read a table file, or return its first problem."""
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
    """Send one call."""
    client = CallClient(address, connections=1)
    try:
        now = asyncio.get_running_loop().time()
        return await client.call(plan, plan.shares[0].kind, now)
    finally:
        await client.close()


async def send_load(address: str, plan: CallPlan, pace: Pace) -> tuple[Summary, float]:
    """Send a load and return what came back and the seconds it took."""
    summary = Summary({share.kind: plan.rank(share.kind) for share in plan.shares})
    client = CallClient(address, pace.concurrency)
    try:
        with showing_progress(summary, pace.count):
            seconds = await LoadRunner(client, plan, pace, summary.add).run()
    finally:
        await client.close()
    return summary, seconds


@contextlib.contextmanager
def showing_progress(summary: Summary, count: int) -> Iterator[None]:
    """Rewrite one line on the error output until the load ends, if that is a terminal."""
    if not sys.stderr.isatty():
        yield
        return
    task = asyncio.create_task(_show_progress(summary, count))
    try:
        yield
    finally:
        task.cancel()
        sys.stderr.write("\r\x1b[K")


async def _show_progress(summary: Summary, count: int) -> None:
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
