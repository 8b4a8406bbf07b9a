"""The page of the fault matrix equals the marks on the tests."""

import unittest

from tests.matrix.reasons import REASONS_BY_CELL
from tests.matrix.render import PAGE, marked_tests, render


class MatrixPageTests(unittest.TestCase):
    def test_page_is_rendered_from_the_tests(self):
        self.assertEqual(PAGE.read_text(), render(), "run `make matrix`")

    def test_no_cell_is_both_proved_and_impossible(self):
        self.assertEqual(set(marked_tests()) & set(REASONS_BY_CELL), set())
