"""The record of a soak test and of each invariant that it violated."""

from collections.abc import Iterable

from bamboo_bench.soak.invariants import bounds, budgets, losses
from bamboo_bench.soak.invariants.lives import Lives
from bamboo_bench.soak.invariants.losses import Violation
from bamboo_bench.soak.invariants.records import Ending, EndKind, Request, Run
from bamboo_bench.soak.invariants.timeline import Timeline

# Each of these statuses means that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class InvariantChecker:
    """A record of the requests of a soak test and of each violated invariant, by its name.

    With ``is_planned_work``, all faults are planned work, and no request may be cut at any node.
    """

    def __init__(self, is_planned_work: bool = False):
        self.violations: list[str] = []
        self.timeline = Timeline()
        self.lives = Lives()
        self._is_planned_work = is_planned_work
        self._request_by_id: dict[str, Request] = {}
        self._sent_at_by_service: dict[str, list[float]] = {}
        self._repeated_at_by_service: dict[str, list[float]] = {}
        self._crashed_at_by_path: dict[str, list[float]] = {}
        self._nodes_over_memory: set[str] = set()

    def record_sent(self, service: str, now: float) -> None:
        """Record that a caller sends a request for a service."""
        self._sent_at_by_service.setdefault(service, []).append(now)

    def record_crash(self, path: str, now: float) -> None:
        """Record that a request crashed an upstream."""
        self._crashed_at_by_path.setdefault(path, []).append(now)

    def check_memory(self, node: str, used_bytes: int, limit_bytes: int) -> None:
        """Check the resident memory of a node's process; each node is reported once."""
        if used_bytes > limit_bytes and node not in self._nodes_over_memory:
            self._nodes_over_memory.add(node)
            self._record_violation("memory", node, f"{used_bytes} bytes of {limit_bytes}")

    def record_request(self, request_id: str, request: Request) -> None:
        """Record a request before its caller sends it."""
        self._request_by_id[request_id] = request

    def record_arrival(self, request_id: str, service: str, now: float) -> None:
        """Record that a request reached an upstream, whether that runs it or not.

        Calls that a repeated run makes are repeats, like each arrival after the first one.
        """
        request = self._request_by_id.get(request_id)
        if request is None:
            return
        request.arrivals += 1
        if request.arrivals > 1 or (request.parent is not None and request.parent.is_repeat):
            self._repeated_at_by_service.setdefault(service, []).append(now)

    def check_run(
        self,
        request_id: str,
        service: str,
        path: str,
        now: float,
        remaining: float | None,
        drained_at: float | None = None,
        machine: str = "",
        instance: str = "",
    ) -> Run:
        """Check a request that an upstream starts to run, and return the run.

        ``remaining`` is the time that the upstream was given, in seconds, None if none was told.
        ``drained_at`` is when the node acknowledged that the upstream drains. ``machine`` is the
        upstream's, ``instance`` its incarnation.
        """
        request = self._request_by_id.get(request_id)
        may_last_until = None if remaining is None else now + remaining
        if request is None or request.path != path:
            self._record_violation("unasked", request_id, f"{service} ran {path}")
            return Run(machine, instance, now, may_last_until, is_repeat=False)
        is_repeat = bool(request.runs) or (request.parent is not None and request.parent.is_repeat)
        run = Run(machine, instance, now, may_last_until, is_repeat)
        request.runs.append(run)
        if request.service != service:
            self._record_violation(
                "route", request_id, f"ran at {service} instead of {request.service}"
            )
        if request.is_at_most_once and len(request.runs) > 1:
            self._record_violation("twice", request_id, f"run {len(request.runs)}")
        if request.is_at_most_once and request.was_refused:
            self._record_violation("refused", request_id, "ran after it was answered as not run")
        if drained_at is not None and now > drained_at + bounds.DRAIN_GRACE_SECONDS:
            self._record_violation(
                "drain", request_id, f"{now - drained_at:.2f} s after the acknowledgement"
            )
        return run

    def record_ending(self, request_id: str, ending: Ending) -> None:
        """Record how a request ended for its caller."""
        request = self._request_by_id[request_id]
        request.ending = ending
        if ending.kind is EndKind.WHOLE:
            self.lives.record_answer(request.machine, ending.status)

    def check_answer(
        self, request_id: str, status: int, body: bytes, expected: bytes | None
    ) -> None:
        """Check an answer to a caller.

        ``expected`` is the upstream's complete body, or None if the answer lacks its stamp.
        """
        request = self._request_by_id[request_id]
        if 200 <= status < 300 and body != expected:
            self._record_violation(
                "mixed", request_id, f"{len(body)} bytes that differ from the upstream's answer"
            )
        if status in NOT_RUN_STATUSES and request.is_at_most_once:
            request.was_refused = True
            if request.runs:
                self._record_violation("refused", request_id, f"ran and was answered {status}")
        if status in (401, 403, 404):
            self._record_violation("denied", request_id, f"answered {status}")

    def finish(self, now: float) -> None:
        """Check the invariants that hold over all requests of the soak test."""
        by_id, timeline = self._request_by_id, self.timeline
        requests = by_id.values()
        lost = dict(losses.find_cuts_around_planned_work(by_id, timeline))
        if self._is_planned_work:
            lost |= dict(losses.find_cuts_where_all_is_planned(by_id, timeline))
        self._record_violations("lost", lost.items())
        self._record_violations("closed", losses.find_closed_connections(by_id, timeline))
        self._record_violations("overdue", losses.find_overdue(requests, timeline, now))
        self._record_violations("deadline", budgets.find_late_runs(requests, timeline))
        self._record_violations(
            "budget", budgets.find_repeats(self._repeated_at_by_service, self._sent_at_by_service)
        )
        self._record_violations("attempts", budgets.find_exceeded_attempts(by_id, timeline))
        self._record_violations(
            "poison", budgets.find_crashing_requests(self._crashed_at_by_path, requests, timeline)
        )
        self._record_violations("start", self.lives.find_idle(now))

    def record_exit(self, node: str, status: int) -> None:
        """Record the unexpected exit of a node's process as a violation."""
        self._record_violation("ended", node, f"status {status}")

    def check_recovery(self, node: str, path: str, served: bool) -> None:
        """Check that a node serves a path at the start, or again after all faults were cleared."""
        if not served:
            self._record_violation("recover", node, f"{path} is not served")

    def _record_violations(self, invariant: str, violations: Iterable[Violation]) -> None:
        for subject, detail in violations:
            self._record_violation(invariant, subject, detail)

    def repeat_rows(self) -> Iterable[tuple[str, int, int, int]]:
        """Return each service, its repeats, the most in a window and those allowed in that."""
        return budgets.worst_windows(self._repeated_at_by_service, self._sent_at_by_service)

    def _record_violation(self, invariant: str, subject: str, detail: str) -> None:
        self.violations.append(f"{invariant}: {subject}: {detail}")
