"""A refused retry never hides that an earlier attempt may have run."""

import unittest

from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.combined_outcome import combined_outcome

LOST = Unknown(UnknownReason.LOST_LINK)
SHED = NotRun(NotRunReason.SHED, allowance_left=1)


class CombinedOutcomeTests(unittest.TestCase):
    def test_a_refused_retry_does_not_hide_that_an_attempt_may_have_run(self):
        self.assertEqual(
            Unknown(UnknownReason.LOST_LINK, allowance_left=1), combined_outcome(LOST, SHED)
        )
        self.assertEqual(Ran(500, allowance_left=1), combined_outcome(Ran(500), SHED))

    def test_otherwise_the_last_outcome_is_returned(self):
        for earlier in (None, LOST, SHED):
            self.assertEqual(Ran(200), combined_outcome(earlier, Ran(200)))
        for earlier in (None, NotRun(NotRunReason.UNREACHABLE)):
            self.assertEqual(SHED, combined_outcome(earlier, SHED))
