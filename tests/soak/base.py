"""A base of the tests that feed the checker with recorded events."""

import unittest

from bamboo_bench.soak.invariants import Ending, EndKind, InvariantChecker, Request, Run

NODE = "pay-1"
OTHER_NODE = "pay-4"
CALLING_NODE = "menu-0"
END_OF_TEST = 1000.0


class CheckerTestCase(unittest.TestCase):
    """A test of a checker with three machines, all of them in touch unless a test disturbs one."""

    def setUp(self):
        self.create_checker()

    def create_checker(self, **options) -> None:
        self.checker = InvariantChecker(**options)
        self.timeline = self.checker.timeline
        for name, service in ((NODE, "pay"), (OTHER_NODE, "pay"), (CALLING_NODE, "menu")):
            self.timeline.add_machine(name, service)

    def send(self, request_id: str, is_at_most_once: bool = True, **values) -> Request:
        """Record a request that `NODE` takes at 100.0, with 10 s to its deadline and timeout."""
        sent_at = values.setdefault("sent_at", 100.0)
        values.setdefault("deadline", sent_at + 10.0)
        values = {"timeout_at": values["deadline"], "machine": NODE, "path": "/pay/x"} | values
        request = Request("pay", is_at_most_once, **values)
        self.checker.record_request(request_id, request)
        return request

    def run_once(
        self,
        request_id: str = "a",
        service: str = "pay",
        path: str = "/pay/x",
        now: float = 101.0,
        remaining: float | None = 1.0,
        **more,
    ) -> Run:
        """Record that an upstream starts to run a request, 1 s after it was sent."""
        self.checker.record_arrival(request_id, service, now)
        values = {"machine": OTHER_NODE, "instance": "i-1"} | more
        return self.checker.check_run(request_id, service, path, now, remaining, **values)

    def end(self, request_id: str, at: float, kind: EndKind, status: int | None = None, **values):
        """Record how a request ended for its caller, on a kept connection."""
        ending = Ending(at, kind, status, **({"is_kept": True} | values))
        self.checker.record_ending(request_id, ending)

    def close(self, request_id: str, at: float = 102.0) -> None:
        """Record that the connection of a request closed without an answer."""
        self.end(request_id, at, EndKind.CLOSED)

    def violated(self) -> list[str]:
        return [text.partition(":")[0] for text in self.checker.violations]

    def finish(self, now: float = 100.0) -> list[str]:
        """Finish the checks and return the names of the violated invariants.

        Unless ``now`` is given, no timeout has passed, so that requests need no answer.
        """
        self.checker.finish(now)
        names, self.checker.violations = self.violated(), []
        return names
