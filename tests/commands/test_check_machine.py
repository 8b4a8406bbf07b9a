"""Settings of a node on the platform are checked by the program and when the node loads them."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from result import Err, Ok

from bamboojunction.checks.machine import check_machine
from bamboojunction.management.commands.mesh import load_checked_settings
from bamboojunction.platform.node_settings import SETTINGS_FILE_VARIABLE, parse_node_settings
from tests.adapter.test_node_settings import SETTINGS_FILE

PROGRAM = """
import sys

from bamboojunction.management.commands.check_machine import main

sys.exit(main())
"""


class CheckMachineTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.yaml"

    def message_ids_after_replacing(self, old: bytes, new: bytes) -> list[str]:
        settings = parse_node_settings(SETTINGS_FILE.replace(old, new)).unwrap()
        return [message.message_id for message in check_machine(settings)]

    def run_program(self) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-c", PROGRAM, str(self.path)], capture_output=True, text=True
        )

    def test_valid_settings_have_no_message(self):
        self.assertEqual(self.message_ids_after_replacing(b"", b""), [])

    def test_each_fault_has_its_id(self):
        self.assertEqual(
            self.message_ids_after_replacing(b"10.1.0.8:8304", b"10.1.0.8"), ["machine.E001"]
        )
        self.assertEqual(
            self.message_ids_after_replacing(b"10.1.0.8:8304", b"10.1.0.8:8302"), ["machine.E002"]
        )
        self.assertEqual(
            self.message_ids_after_replacing(b"budget_ratio: 0.2", b"budget_ratio: -1"),
            ["machine.W002"],
        )
        self.assertEqual(
            self.message_ids_after_replacing(b"grace_s: 6", b"grace_s: 2"), ["machine.W001"]
        )

    def test_program_exits_with_the_result_of_the_checks(self):
        self.path.write_bytes(SETTINGS_FILE)
        self.assertEqual(self.run_program().returncode, 0)
        self.path.write_bytes(SETTINGS_FILE.replace(b"10.1.0.8:8304", b"10.1.0.8"))
        ended = self.run_program()
        self.assertEqual(ended.returncode, 2)
        self.assertIn("machine.E001", ended.stderr)
        self.path.unlink()
        self.assertEqual(self.run_program().returncode, 2)

    def test_loading_returns_an_error_for_an_unusable_file(self):
        with mock.patch.dict(os.environ, {SETTINGS_FILE_VARIABLE: str(self.path)}):
            self.assertIsInstance(load_checked_settings(), Err)
            self.path.write_bytes(SETTINGS_FILE)
            self.assertIsInstance(load_checked_settings(), Ok)
            self.path.write_bytes(SETTINGS_FILE.replace(b"10.1.0.8:8304", b"10.1.0.8"))
            self.assertIn("machine.E001", load_checked_settings().err())

    def test_reload_keeps_what_is_in_force_since_the_start(self):
        """A reload took over another name and service, which the next announcement had."""
        current = parse_node_settings(SETTINGS_FILE).unwrap()
        text = SETTINGS_FILE.replace(b'node: "sidecar', b'node: "other').replace(b"menu", b"x")
        text = text.replace(b"grace_s: 6", b"grace_s: 7").replace(b"slack: 48", b"slack: ~")
        reloaded = parse_node_settings(text).unwrap().with_values_in_force(current)
        self.assertEqual((reloaded.instance, reloaded.service), ("sidecar-lac-1", "menu"))
        self.assertEqual((reloaded.stop_seconds, reloaded.retry_slack), (7, 48))
        self.assertEqual(reloaded.defaulted[0].used, "the value in force")

    def test_odd_limit_of_the_retry_budget_is_replaced_by_its_default(self):
        for old, new in ((b"ratio: 0.2", b"ratio: -1"), (b"window_s: 10", b"window_s: 0")):
            self.path.write_bytes(SETTINGS_FILE.replace(old, new))
            with mock.patch.dict(os.environ, {SETTINGS_FILE_VARIABLE: str(self.path)}):
                settings = load_checked_settings().unwrap()
            self.assertEqual((settings.retry_ratio, settings.retry_window_seconds), (0.2, 10))
            self.assertEqual(len(settings.defaulted), 1)
