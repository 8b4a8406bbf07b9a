"""Run the tests in parallel processes and report the sum of their true counts.

Each module of real-process tests is a shard of its own; all other tests are one shard.
"""

import asyncio
import re
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
PROCESS_FOLDERS = ("processes", "once_processes")
PARALLEL_SHARDS = 4
COUNTS = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class ShardResult:
    """Hold the counts and the exit code of one shard."""

    passed: int
    failed: int
    skipped: int
    code: int


def shards() -> list[list[str]]:
    """Return the names of the tests of each shard, the longest first."""
    modules = [
        [f"tests.{folder}.{path.stem}"]
        for folder in PROCESS_FOLDERS
        for path in sorted((ROOT / "tests" / folder).glob("test_*.py"))
    ]
    others = sorted(
        f"tests.{path.parent.name}"
        for path in (ROOT / "tests").glob("*/__init__.py")
        if path.parent.name not in PROCESS_FOLDERS
    )
    return [*modules, others]


async def run_shard(names: list[str], turn: asyncio.Semaphore) -> ShardResult:
    """Run one shard, show its output when it ends and return its counts."""
    async with turn:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "nose2", "--config", "nose2.cfg", *names),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
    text = output.decode(errors="replace")
    print(f"== {names[0]}{' and others' if len(names) > 1 else ''}\n{text}", flush=True)
    counts = COUNTS.search(text)
    if counts is None:
        return ShardResult(0, 1, 0, 1)
    return ShardResult(*(int(count) for count in counts.groups()), process.returncode)


async def run_all() -> int:
    """Run all shards and print the sum; 0 when each shard succeeded."""
    turn = asyncio.Semaphore(PARALLEL_SHARDS)
    results = await asyncio.gather(*(run_shard(names, turn) for names in shards()))
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    skipped = sum(result.skipped for result in results)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return int(any(result.code for result in results))


if __name__ == "__main__":
    sys.exit(asyncio.run(run_all()))
