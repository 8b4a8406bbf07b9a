"""The cause of a failed request is found in the log lines of several nodes."""

import unittest

from bamboojunction.operators.explain import read_request_log

LINES = """
noise
time=10.500 event=request.answered node=a id=r1 path=/x kind=k status=500 ms=500 version=3
time=10.100 event=gate.served node=c id=r1.1 kind=j outcome=not-run:full queued=9 running=4 limit=4
time=10.000 event=request.attempt node=a id=r10 kind=k outcome=ran:200 instance=b
time=10.490 event=request.attempt node=a id=r1 kind=k service=s instance=b outcome=ran:500 step=x
time=10.110 event=request.attempt node=b id=r1.1 kind=j service=t instance=c outcome=not-run:full
time=11.000 event=request.answered node=a id=r2 path=/y kind="" status=404 ms=1 version=3
time=12.000 event=request.attempt node=a id=r3 service=s instance=b outcome=unknown:lost-link
time=12.001 event=request.answered node=a id=r3 path=/x kind=k status=502 ms=1 version=3
time=12.500 event=request.attempt node=a id=r6 service=s instance=b outcome=not-run:full
time=12.501 event=request.attempt node=a id=r6 service=s instance="" outcome=not-run:no-upstream
time=12.502 event=request.answered node=a id=r6 path=/x kind=k status=503 ms=1 version=3
time=13.000 event=request.cancelled node=a id=r4 ms=3
""".splitlines()


class ExplainTests(unittest.TestCase):
    def cause(self, request_id: str) -> str:
        return read_request_log(request_id, LINES).cause()

    def test_failed_child_call_is_the_cause(self):
        cause = self.cause("r1")
        self.assertIn("the gate of c answered not-run:full", cause)
        self.assertIn("limit=4", cause)

    def test_lines_of_the_request_are_ordered_by_time(self):
        request_log = read_request_log("r1", LINES)
        self.assertEqual([line.time for line in request_log.lines], [10.1, 10.11, 10.49, 10.5])

    def test_other_causes_are_named(self):
        self.assertIn("no route of version 3", self.cause("r2"))
        self.assertIn("unknown:lost-link at b", self.cause("r3"))
        self.assertIn("not-run:full at b", self.cause("r6"))
        self.assertIn("the caller disconnected", self.cause("r4"))
        self.assertIn("no log line records", self.cause("r5"))
