"""Tests of the options of the soak command."""

import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from bamboo_bench.soak.command import SoakCommand


class SoakCommandTests(unittest.TestCase):
    # The settings could not be written, and the error named a process that had never started.
    def test_folder_to_keep_logs_in_is_created(self):
        with tempfile.TemporaryDirectory() as directory:
            folder = Path(directory) / "new" / "logs"
            CommandTester(SoakCommand()).execute(f"--seconds 0 --seed 1 --keep {folder}")
            self.assertGreater(len(list(folder.glob("*.log"))), 0)
