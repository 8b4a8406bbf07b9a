"""Tests that short seeded soak tests of real node processes violate no invariant."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from bamboo_bench.soak.command import SoakTest
from bamboo_bench.soak.shapes import LOSSES, MESH_UPSTREAMS, MIXED, STOPS, Shape

SECONDS = 5.0
# The shape "stops" cut a request that outlasted all before it, with seed 41.
SEED_BY_SHAPE = {STOPS: 41, LOSSES: 10, MESH_UPSTREAMS: 602}
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

    def test_short_soak_tests_of_other_shapes_violate_no_invariant(self):
        for shape, seed in SEED_BY_SHAPE.items():
            with self.subTest(shape=shape.name), tempfile.TemporaryDirectory() as directory:
                soak = asyncio.run(self.run_soak(Path(directory), seed, shape))
                self.assertEqual(soak.checker.violations, [])
                self.assertGreater(soak.outcomes["200"], 0)
                self.assertGreater(sum(soak.faults.values()), 0)

    async def run_soak(self, directory: Path, seed: int, shape: Shape = MIXED) -> SoakTest:
        soak = SoakTest(directory, seed, shape)
        await soak.run(SECONDS)
        return soak
