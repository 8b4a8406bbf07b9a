"""Tests that short seeded soak tests of real node processes violate no invariant."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from bamboo_bench.soak.command import SoakTest

SECONDS = 5.0
# Seeds that once led to a violated invariant, and the fault that caused it.
CAUSE_BY_SEED = {
    7: "a reload signal during startup ended the node's process",
    111: "the stand-in's upstreams reported the same start time at each start",
}


class SoakTests(unittest.TestCase):
    def test_short_soak_tests_violate_no_invariant(self):
        for seed, cause in CAUSE_BY_SEED.items():
            with self.subTest(seed=seed, cause=cause), tempfile.TemporaryDirectory() as directory:
                soak = asyncio.run(self.run_soak(Path(directory), seed))
                self.assertEqual(soak.checker.violations, [])
                self.assertGreater(soak.outcomes["200"], 0)
                self.assertGreater(sum(soak.faults.values()), 3)

    async def run_soak(self, directory: Path, seed: int) -> SoakTest:
        soak = SoakTest(directory, seed)
        await soak.run(SECONDS)
        return soak
