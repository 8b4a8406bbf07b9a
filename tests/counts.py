"""A nose2 plugin that prints the test counts and accepts only the failures in KNOWN-RED.txt."""

from pathlib import Path

from nose2.events import Plugin

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the entries of KNOWN-RED.txt: the expected error by test id, "" for any error."""
    lines = KNOWN_RED_PATH.read_text().splitlines()
    entries = (line.split("|")[0].strip() for line in lines if not line.startswith("#"))
    return dict(split_entry(entry) for entry in entries if entry)


def split_entry(entry):
    """Return the test id and the error name of an entry, "" if it does not end with ``[Error]``."""
    test_id, _, error = entry.removesuffix("]").partition(" [")
    return test_id, error


class Counts(Plugin):
    """A plugin that prints "N passed, N failed, N skipped" last and accepts known failures.

    A test counts as failed once, however many of its subtests fail.
    """

    configSection = "counts"

    def __init__(self):
        self.passed = 0
        self.skipped = 0
        self.error_by_failed_id = {}
        self.known_red = read_known_red()

    def testOutcome(self, event):
        """Count the outcome of one test or the failure of one subtest."""
        if event.outcome == "passed":
            self.passed += 1
        elif event.outcome == "skipped":
            self.skipped += 1
        elif event.outcome != "subtest":
            self._record_failure(event.test.id(), event.exc_info)
        elif event.exc_info:
            self._record_failure(event.test.test_case.id(), event.exc_info)

    def _record_failure(self, test_id, exc_info):
        self.error_by_failed_id[test_id] = exc_info[0].__name__ if exc_info else ""

    def _is_known(self, test_id):
        """Return whether a test is listed and failed with the listed error."""
        expected_error = self.known_red.get(test_id)
        return expected_error is not None and expected_error in (
            "",
            self.error_by_failed_id[test_id],
        )

    def afterSummaryReport(self, event):
        """Print the known failures and the counts after the summary of the runner."""
        for test_id in sorted(filter(self._is_known, self.error_by_failed_id)):
            print(f"known red: {test_id}: {self.error_by_failed_id[test_id]}")
        print(
            f"{self.passed} passed, {len(self.error_by_failed_id)} failed, {self.skipped} skipped"
        )

    def wasSuccessful(self, event):
        """Make the run successful if all failures are known, and failed if no test passed."""
        failed_ids = self.error_by_failed_id
        if self.passed and failed_ids and all(map(self._is_known, failed_ids)):
            event.success = True
            event.handled = True
        if not self.passed:
            event.success = False
            event.handled = True
