"""A settings file is loaded, or every problem is reported with its line."""

import tempfile
import unittest
from pathlib import Path

from bamboojunction.conf.loader import load_settings, parse_settings

VALID = """[node]
instance = bayfinder-1
service = bayfinder
data_centre = seq-brisbane
region = queensland
link_address = 127.0.0.1:7101
caller_address = 127.0.0.1:7102

[upstream]
address = 127.0.0.1:7103
slots = 60
"""


class LoaderTests(unittest.TestCase):
    def problem(self, text: str) -> str:
        return str(parse_settings(text, "node.ini").unwrap_err())

    def test_valid_file_is_loaded_with_typed_values_and_defaults(self):
        settings = parse_settings(VALID, "node.ini").unwrap()
        self.assertEqual(settings.upstream.slots, 60)
        self.assertEqual(settings.links.heartbeat_seconds, 1.0)

    def test_unknown_setting_reports_line_and_suggestion(self):
        problem = self.problem(VALID + "conections = 3\n")
        self.assertEqual(
            problem,
            "node.ini:12: unknown setting 'conections' in [upstream]; "
            "did you mean 'connections'?",
        )

    def test_unknown_section_reports_line_and_suggestion(self):
        problem = self.problem(VALID + "[platfrom]\n")
        self.assertIn("node.ini:12: unknown section [platfrom]; did you mean 'platform'?", problem)

    def test_missing_setting_is_reported(self):
        problem = self.problem(VALID.replace("region = queensland\n", ""))
        self.assertEqual(problem, "node.ini:1: [node] region: required, but not set")

    def test_missing_section_is_reported(self):
        problem = self.problem(VALID.split("[upstream]")[0])
        self.assertEqual(problem, "node.ini: [upstream] address: required, but not set")

    def test_all_problems_are_reported_ordered_by_line(self):
        text = VALID.replace("slots = 60", "slots = none").replace("127.0.0.1:7101", "host:1")
        lines = self.problem(text).splitlines()
        self.assertEqual([line.split(":")[1] for line in lines], ["6", "11"])

    def test_invalid_values_are_rejected(self):
        cases = {
            "slots = 0": "[upstream]",
            "slots = 1.5": "[upstream]",
            "address = upstream.example:80": "[upstream]",
            "address = 127.0.0.1": "[upstream]",
            "address = 127.0.0.1:0": "[upstream]",
            "address = 127.0.0.1:65536": "[upstream]",
            "timeout_seconds = nan": "[platform]",
            "timeout_seconds = inf": "[platform]",
            "addresses = 127.0.0.1:1 platform:2": "[platform]",
            "log_level = LOUD": "[telemetry]",
            "trace_endpoint = http://traces.example:4318/": "[telemetry]",
            "trace_endpoint = https://127.0.0.1:4318/": "[telemetry]",
        }
        base = VALID.split("[upstream]")[0]
        for line, section in cases.items():
            with self.subTest(line=line):
                text = f"{base}{section}\n{line}\n"
                key = line.split(" = ")[0]
                self.assertIn(f"node.ini:10: {section} {key}: ", self.problem(text))

    def test_secret_is_never_shown(self):
        problem = self.problem(VALID + "[links]\nsecret = hush" + "x" * 5000 + "\n")
        self.assertNotIn("hush", problem)
        self.assertIn("node.ini:13: [links] secret: the value is not text", problem)

    def test_syntax_errors_report_their_line(self):
        cases = {
            "slots = 1\n": "node.ini:1: expected a [section]",
            VALID + "slots = 61\n": "node.ini:12: setting 'slots' appears twice",
            VALID + "[node]\n": "node.ini:12: section [node] appears twice",
            VALID + "???\n": "node.ini:12: expected 'name = value'",
        }
        for text, start in cases.items():
            with self.subTest(start=start):
                self.assertTrue(self.problem(text).startswith(start), self.problem(text))

    def test_unreadable_files_are_reported(self):
        with tempfile.TemporaryDirectory() as directory:
            binary = Path(directory) / "binary.ini"
            binary.write_bytes(b"[node]\n\xff\n")
            self.assertIn(":2: expected text in UTF-8", str(load_settings(binary).unwrap_err()))
            missing = Path(directory) / "missing.ini"
            self.assertIn("cannot be read", str(load_settings(missing).unwrap_err()))
