"""The invariants of a soak test, checked on the requests that callers send and upstreams run."""

from collections.abc import Callable
from dataclasses import dataclass

# Each of these statuses means that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A run is late when its upstream is given more time than the deadline leaves, beyond a tolerance.
# Late runs violate the invariant when they exceed both the number and the share.
DEADLINE_TOLERANCE_SECONDS = 0.5
LATE_RUNS_MAX = 20
LATE_SHARE_MAX = 0.2
DRAIN_GRACE_SECONDS = 2.0


@dataclass(slots=True)
class Request:
    """One request and what was observed of it; times are in seconds on the clock of the soak test.

    ``is_undisturbed`` returns whether the node that received the request has not been paused
    recently, because the deadline invariant holds for such nodes only. ``was_refused`` is true
    once a caller was answered that the request did not run.
    """

    service: str
    is_at_most_once: bool
    path: str
    deadline: float
    is_undisturbed: Callable[[], bool] = lambda: True
    runs: int = 0
    was_refused: bool = False


class InvariantChecker:
    """A record of the requests of a soak test and of each violated invariant, by its name."""

    def __init__(self):
        self.violations: list[str] = []
        self._request_by_id: dict[str, Request] = {}
        self._runs = 0
        self._late_runs = 0

    def record_request(self, request_id: str, request: Request) -> None:
        """Record a request before its caller sends it."""
        self._request_by_id[request_id] = request

    def check_run(
        self,
        request_id: str,
        service: str,
        path: str,
        now: float,
        remaining: float,
        drained_at: float | None = None,
    ) -> None:
        """Check a request that an upstream starts to run.

        ``remaining`` is the time that the upstream was given, in seconds. ``drained_at`` is when
        the node acknowledged that the upstream drains.
        """
        request = self._request_by_id.get(request_id)
        if request is None or request.path != path:
            self._record_violation("unasked", request_id, f"{service} ran {path}")
            return
        request.runs += 1
        if request.service != service:
            self._record_violation(
                "route", request_id, f"ran at {service} instead of {request.service}"
            )
        if request.is_at_most_once and request.runs > 1:
            self._record_violation("twice", request_id, f"run {request.runs}")
        if request.is_at_most_once and request.was_refused:
            self._record_violation("refused", request_id, "ran after it was answered as not run")
        self._runs += 1
        if (
            now + remaining > request.deadline + DEADLINE_TOLERANCE_SECONDS
            and request.is_undisturbed()
        ):
            self._late_runs += 1
        if drained_at is not None and now > drained_at + DRAIN_GRACE_SECONDS:
            self._record_violation(
                "drain", request_id, f"{now - drained_at:.2f} s after the acknowledgement"
            )

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

    def finish(self) -> None:
        """Check the invariants that hold over all requests of the soak test."""
        if self._late_runs > max(LATE_RUNS_MAX, LATE_SHARE_MAX * self._runs):
            detail = f"{self._late_runs} of {self._runs} runs were given more time than was left"
            self._record_violation("deadline", "all", detail)

    def record_exit(self, node: str, status: int) -> None:
        """Record the unexpected exit of a node's process as a violation."""
        self._record_violation("ended", node, f"status {status}")

    def check_recovery(self, node: str, path: str, served: bool) -> None:
        """Check that a node serves a path at the start, or again after all faults were cleared."""
        if not served:
            self._record_violation("recover", node, f"{path} is not served")

    def _record_violation(self, invariant: str, request_id: str, detail: str) -> None:
        self.violations.append(f"{invariant}: {request_id}: {detail}")
