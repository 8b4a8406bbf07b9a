"""Checks find settings that are valid on their own but conflict with one another."""

import unittest

from bamboojunction.checks.builtin import check_settings
from bamboojunction.checks.messages import CheckMessage, Level, has_errors
from bamboojunction.checks.registry import CheckRegistry
from bamboojunction.conf.loader import parse_settings
from tests.conf.test_loader import VALID

PLATFORM = "[platform]\naddresses = 127.0.0.1:7000\n"
LINKS = "[links]\nsecret = 0123456789abcdef\n"


class BuiltinCheckTests(unittest.TestCase):
    def message_ids(self, text: str) -> list[str]:
        settings = parse_settings(text, "node.ini").unwrap()
        return [message.message_id for message in check_settings(settings)]

    def test_consistent_settings_have_no_messages(self):
        self.assertEqual(self.message_ids(VALID + PLATFORM + LINKS), [])

    def test_each_conflict_has_its_message(self):
        cases = {
            "addresses.E001": VALID.replace("127.0.0.1:7101", "0.0.0.0:7101") + PLATFORM + LINKS,
            "addresses.E002": VALID.replace(":7101", ":7102") + PLATFORM + LINKS,
            "addresses.W001": VALID + LINKS,
            "limits.E001": VALID + PLATFORM + LINKS + "frame_max_bytes = 2000\n",
            "limits.W001": VALID + "connections = 59\n" + PLATFORM + LINKS,
            "limits.W002": VALID + PLATFORM + LINKS + "heartbeat_seconds = 60\n",
            "limits.W003": VALID + PLATFORM + LINKS.replace("0123", ""),
        }
        for message_id, text in cases.items():
            with self.subTest(message_id=message_id):
                self.assertEqual(self.message_ids(text), [message_id])


class RegistryTests(unittest.TestCase):
    def test_registered_checks_run_in_order(self):
        registry = CheckRegistry()
        warning = CheckMessage("own.W001", Level.WARNING, "odd", "mend it")
        error = CheckMessage("own.E001", Level.ERROR, "wrong", "mend it")
        registry.register(lambda settings: iter([warning]))
        registry.register(lambda settings: iter([error]))
        settings = parse_settings(VALID, "node.ini").unwrap()
        self.assertEqual(registry.run(settings), [warning, error])

    def test_only_errors_keep_a_node_from_starting(self):
        warning = CheckMessage("own.W001", Level.WARNING, "odd", "mend it")
        error = CheckMessage("own.E001", Level.ERROR, "wrong", "mend it")
        self.assertFalse(has_errors([warning]))
        self.assertTrue(has_errors([warning, error]))
        self.assertEqual(str(error), "error own.E001: wrong (mend it)")
