"""Tests that the page of the fault matrix is up to date and that its cells do not conflict."""

import unittest

from tests.matrix.reasons import REASON_BY_IMPOSSIBLE_CELL
from tests.matrix.render import PAGE_PATH, collect_tests_by_cell, render_page


class MatrixPageTests(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.assertEqual(PAGE_PATH.read_text(), render_page(), "run `make matrix`")

    def test_no_cell_is_both_covered_and_impossible(self):
        self.assertEqual(set(collect_tests_by_cell()) & set(REASON_BY_IMPOSSIBLE_CELL), set())
