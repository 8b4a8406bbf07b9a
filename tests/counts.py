"""Report the true test counts and let through only the failures that KNOWN-RED.txt lists."""

from pathlib import Path

from nose2.events import Plugin

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the entries of KNOWN-RED.txt, the listed error by test id; "" stands for any."""
    lines = KNOWN_RED_PATH.read_text().splitlines()
    entries = (line.split("|")[0].strip() for line in lines if not line.startswith("#"))
    return dict(split_entry(entry) for entry in entries if entry)


def split_entry(entry):
    """Return the test id and the error of an entry that ends with ``[Error]`` or has none."""
    test_id, _, error = entry.removesuffix("]").partition(" [")
    return test_id, error


class Counts(Plugin):
    """Print "N passed, N failed, N skipped" last; fail on any failure that is not known."""

    configSection = "counts"

    def __init__(self):
        self.passed = 0
        self.skipped = 0
        self.error_by_failed_id = {}
        self.known_red = read_known_red()

    def testOutcome(self, event):
        """Count one outcome."""
        if event.outcome == "passed":
            self.passed += 1
        elif event.outcome == "skipped":
            self.skipped += 1
        elif event.outcome != "subtest":
            self._add(event.test.id(), event.exc_info)
        elif event.exc_info:
            self._add(event.test.test_case.id(), event.exc_info)

    def _add(self, test_id, exc_info):
        self.error_by_failed_id[test_id] = exc_info[0].__name__ if exc_info else ""

    def _is_known(self, test_id):
        """Return whether a failure is the listed one, not another one of the same test."""
        listed = self.known_red.get(test_id)
        return listed is not None and listed in ("", self.error_by_failed_id[test_id])

    def afterSummaryReport(self, event):
        """Print the counts after the runner's own summary."""
        for test_id in sorted(filter(self._is_known, self.error_by_failed_id)):
            print(f"known red: {test_id}: {self.error_by_failed_id[test_id]}")
        print(
            f"{self.passed} passed, {len(self.error_by_failed_id)} failed, {self.skipped} skipped"
        )

    def wasSuccessful(self, event):
        """Treat the run as successful when every failure is listed and some test passed."""
        failed = self.error_by_failed_id
        if self.passed and failed and all(map(self._is_known, failed)):
            event.success = True
            event.handled = True
        if not self.passed:
            event.success = False
            event.handled = True
