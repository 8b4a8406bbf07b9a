"""Run the tests in parallel processes, called shards, and print the sum of their counts.

Each test module that starts real processes is a shard of its own; all other tests form one shard.
"""

import asyncio
import re
import sys
from dataclasses import dataclass
from pathlib import Path

PROJECT_ROOT = Path(__file__).parent.parent
PROCESS_FOLDERS = ("processes", "once_processes")
MAX_PARALLEL_SHARDS = 4
COUNTS_PATTERN = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class ShardResult:
    """The test counts and the exit code of one shard."""

    passed: int
    failed: int
    skipped: int
    exit_code: int


def list_shards() -> list[list[str]]:
    """Return the test names of each shard; the slow real-process shards come first."""
    modules = [
        [f"tests.{folder}.{path.stem}"]
        for folder in PROCESS_FOLDERS
        for path in sorted((PROJECT_ROOT / "tests" / folder).glob("test_*.py"))
    ]
    others = sorted(
        f"tests.{path.parent.name}"
        for path in (PROJECT_ROOT / "tests").glob("*/__init__.py")
        if path.parent.name not in PROCESS_FOLDERS
    )
    return [*modules, others]


async def run_shard(names: list[str], semaphore: asyncio.Semaphore) -> ShardResult:
    """Run one shard, print its output when it ends and return its result.

    A shard whose output has no counts is reported as one failed test.
    """
    async with semaphore:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "nose2", "--config", "nose2.cfg", *names),
            cwd=PROJECT_ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
    text = output.decode(errors="replace")
    print(f"== {names[0]}{' and others' if len(names) > 1 else ''}\n{text}", flush=True)
    counts = COUNTS_PATTERN.search(text)
    if counts is None:
        return ShardResult(0, 1, 0, 1)
    return ShardResult(*(int(count) for count in counts.groups()), process.returncode)


async def run_all() -> int:
    """Run all shards, print the summed counts and return 0 if every shard succeeded, else 1."""
    semaphore = asyncio.Semaphore(MAX_PARALLEL_SHARDS)
    results = await asyncio.gather(*(run_shard(names, semaphore) for names in list_shards()))
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    skipped = sum(result.skipped for result in results)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return int(any(result.exit_code for result in results))


if __name__ == "__main__":
    sys.exit(asyncio.run(run_all()))
