"""Headers between callers, nodes and upstreams, and the status codes of the node's responses."""

import unittest

from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from bamboojunction.platform import requests

RAW = [
    (b"host", b"h.example:80"),
    (b"bamboojunction-request-id", b"id-1"),
    (b"bamboojunction-deadline-ms", b"2500"),
    (b"bamboojunction-caller-service", b"forged"),
    (b"bamboojunction-expect-instance", b"forged"),
    (b"connection", b"keep-alive, x-private"),
    (b"x-private", b"1"),
    (b"x-kept", b"2"),
]


class RequestTests(unittest.TestCase):
    def test_caller_headers_are_decoded(self):
        decoded = requests.read_caller_headers(RAW)
        self.assertEqual(
            (decoded.host, decoded.request_id, decoded.remaining_seconds),
            ("h.example", "id-1", 2.5),
        )

    def test_headers_of_one_connection_and_forged_ones_are_not_forwarded(self):
        decoded = requests.read_caller_headers(RAW)
        names = [name for name, _ in decoded.forwarded]
        self.assertEqual(names, ["host", "bamboojunction-request-id", "x-kept"])

    def test_upstream_gets_the_remaining_time_and_the_real_caller(self):
        value_by_name = dict(requests.upstream_headers((), 0.75, "i-7", "menu"))
        self.assertEqual(value_by_name["bamboojunction-deadline-ms"], "750")
        self.assertEqual(value_by_name["bamboojunction-expect-instance"], "i-7")
        self.assertEqual(value_by_name["bamboojunction-caller-service"], "menu")

    def test_only_marked_answers_and_421_are_refusals(self):
        marked = (("bamboojunction-not-executed", "1"),)
        self.assertTrue(requests.is_refusal(503, marked))
        self.assertTrue(requests.is_refusal(421, ()))
        self.assertFalse(requests.is_refusal(503, ()))
        self.assertFalse(requests.is_refusal(500, ()))

    def test_only_a_stamp_marks_a_success_as_an_upstreams(self):
        stamped = (("bamboojunction-server-stamp", "s"),)
        self.assertFalse(requests.is_unstamped_success(200, stamped))
        self.assertTrue(requests.is_unstamped_success(200, ()))
        self.assertTrue(requests.is_unstamped_success(204, (("bamboojunction-server-stamp", ""),)))
        self.assertFalse(requests.is_unstamped_success(500, ()))

    def test_each_outcome_has_its_status(self):
        expected = {
            NotRun(NotRunReason.FULL, 0.25): 503,
            Unknown(UnknownReason.DEADLINE): 504,
            Unknown(UnknownReason.LOST_LINK): 502,
            Unknown(UnknownReason.TRUNCATED): 502,
            Ran(500, (("bamboojunction-server-stamp", "s"),), b"x"): 500,
        }
        for outcome, status in expected.items():
            with self.subTest(outcome=outcome):
                response = requests.outcome_response(outcome, "id-1")
                self.assertEqual(response.status, status)
                has_retry_after = "retry-after" in dict(response.headers)
                self.assertEqual(has_retry_after, isinstance(outcome, NotRun))
