"""Each event is logged as one line of key=value fields with secret values redacted."""

import io
import sys
import unittest

from loguru import logger

from bamboojunction.conf.settings import TelemetrySettings
from bamboojunction.telemetry.logs import ComponentLogger, configure_logs, format_fields


class LoggingTests(unittest.TestCase):
    def setUp(self):
        self.sink = io.StringIO()
        configure_logs(TelemetrySettings(log_level="INFO"), self.sink)
        self.addCleanup(logger.add, sys.stderr)
        self.addCleanup(logger.remove)

    def test_event_is_one_line_of_fields(self):
        ComponentLogger("links").warning(
            "link_lost", peer="bayfinder-1", detail="two\nlines {x}", after=0.25
        )
        [line] = self.sink.getvalue().splitlines()
        self.assertRegex(line, r"^time=\S+ level=warning event=link_lost part=links ")
        self.assertTrue(line.endswith('peer=bayfinder-1 detail="two\\nlines {x}" after=0.25'))

    def test_secrets_are_redacted(self):
        self.assertEqual(format_fields({"secret": "hush", "Cookie": "c"}), "secret=*** Cookie=***")

    def test_direct_messages_and_exceptions_stay_on_one_line(self):
        try:
            raise ValueError("a\nb")
        except ValueError:
            logger.exception("event=failed value={}", "x\ny")
        [line] = self.sink.getvalue().splitlines()
        self.assertTrue(line.endswith('value=x\\ny error=ValueError detail="a\\nb"'), line)

    def test_events_below_the_level_are_not_logged(self):
        configure_logs(TelemetrySettings(log_level="WARNING"), self.sink)
        ComponentLogger("links").info("link_opened")
        self.assertEqual(self.sink.getvalue(), "")
