"""Load patterns that a decision answers, replayed on a whole fleet under a paused clock."""

import functools
import unittest

import msgspec

from bamboo_bench.replay.pattern import Refusals, load_pattern
from bamboo_bench.replay.runner import ReplayResult, replay

SEED = 1
# Kinds that do not need the scarce service keep this share of their usual goodput.
GOODPUT_MIN = 0.9
# Of the work that was let in, at most this share may fail below.
FAILED_AFTER_ADMISSION_MAX = 0.05


@functools.cache
def replayed(name: str) -> ReplayResult:
    return replay(load_pattern(name), SEED)


class ReplayTests(unittest.TestCase):
    def test_same_seed_gives_the_same_records(self):
        refusals = Refusals(at=0.2, seconds=2.0, service="log", share=0.55)
        pattern = msgspec.structs.replace(
            load_pattern("refusing-leaf"), seconds=2.0, changes=(refusals,)
        )
        first, second = (replay(pattern, SEED).records for _ in range(2))
        self.assertGreater(len(first), 100)
        self.assertEqual(first, second)

    def test_calm_fleet_serves_every_kind_in_time(self):
        pattern = load_pattern("chain-burst")
        calm = msgspec.structs.replace(
            pattern, changes=(), seconds=4.0, measured_from=1.0, measured_to=4.0
        )
        figures = replay(calm, SEED).figures
        for kind in figures.result_shares_by_kind:
            self.assertGreaterEqual(figures.goodput(kind), GOODPUT_MIN, kind)


class ChainBurstTests(unittest.TestCase):
    """A burst of chains that end at the scarcest service."""

    def test_kinds_that_need_none_of_the_chain_are_served_in_time(self):
        figures = replayed("chain-burst").figures
        for kind in ("charge", "history"):
            self.assertGreaterEqual(figures.goodput(kind), GOODPUT_MIN, kind)

    def test_refusals_go_out_at_once(self):
        self.assertEqual(replayed("chain-burst").figures.late_refusals, 0.0)

    def test_work_that_was_let_in_is_finished(self):
        figures = replayed("chain-burst").figures
        self.assertLessEqual(figures.failed_after_admission, FAILED_AFTER_ADMISSION_MAX)
