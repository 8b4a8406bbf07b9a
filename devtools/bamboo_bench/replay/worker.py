"""Replays a pattern once and prints the result as JSON; the command runs it for each seed."""

import sys

import msgspec

from bamboo_bench.replay.pattern import load_pattern
from bamboo_bench.replay.runner import replay


def main() -> None:
    """Replay the pattern that the arguments name, at a scale and with a seed."""
    name, scale, seed = sys.argv[1:]
    result = replay(load_pattern(name).scaled(float(scale)), int(seed))
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
