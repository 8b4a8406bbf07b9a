"""The invariants of a soak test, checked on the requests that callers send and upstreams run."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

# Each of these statuses means that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A run is late when its upstream is given more time than the deadline leaves, beyond a tolerance.
# Late runs violate the invariant when they exceed both the number and the share.
DEADLINE_TOLERANCE_SECONDS = 0.5
LATE_RUNS_MAX = 20
LATE_SHARE_MAX = 0.2
DRAIN_GRACE_SECONDS = 2.0
# A cut is excused in the last sixth of a stop's grace time, if the request was sent within the
# first seconds of the stop.
GRACE_SECONDS = 6.0
EXCUSED_AFTER_SECONDS = GRACE_SECONDS * 5 / 6
EXCUSED_SENT_SECONDS = 3.0
# The limit on repeats of a service, summed over all nodes, in any window.
REPEAT_RATIO = 0.2
REPEAT_SLACK = 48
REPEAT_WINDOW_SECONDS = 10.0
# A request that crashes its upstreams may reach some more after the third crash.
CRASHES_MAX = 3 + 3


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
        self._sent_at_by_service: dict[str, list[float]] = {}
        self._repeated_at_by_service: dict[str, list[float]] = {}
        self._crashes_by_path: Counter[str] = Counter()

    def record_sent(self, service: str, now: float) -> None:
        """Record that a caller sends a request for a service."""
        self._sent_at_by_service.setdefault(service, []).append(now)

    def record_crash(self, path: str) -> None:
        """Record that a request crashed an upstream."""
        self._crashes_by_path[path] += 1

    def check_memory(self, node: str, used_bytes: int, limit_bytes: int) -> None:
        """Check the resident memory of a node's process."""
        if used_bytes > limit_bytes:
            self._record_violation("memory", node, f"{used_bytes} bytes of {limit_bytes}")

    def check_cut(
        self,
        request_id: str,
        outcome: str,
        sent_at: float,
        now: float,
        stop_began_at: float | None,
    ) -> None:
        """Check a request that ended without an upstream's answer while all faults are planned.

        ``stop_began_at`` is when the stop of the node that took the request began, None if it is
        not being stopped.
        """
        request = self._request_by_id[request_id]
        is_excused = (
            stop_began_at is not None
            and now >= stop_began_at + EXCUSED_AFTER_SECONDS
            and sent_at <= stop_began_at + EXCUSED_SENT_SECONDS
        )
        if request.runs and now < request.deadline and not is_excused:
            where = "at a calm node" if stop_began_at is None else "at a stopping node"
            self._record_violation(
                "lost", request_id, f"{outcome} {now - sent_at:.2f} s after it was sent {where}"
            )

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
        if request.runs > 1:
            self._repeated_at_by_service.setdefault(service, []).append(now)
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
        for service, times in self._repeated_at_by_service.items():
            self._check_repeats(service, times)
        for path, crashes in self._crashes_by_path.items():
            if crashes > CRASHES_MAX:
                self._record_violation("poison", path, f"{crashes} crashes")

    def repeat_rows(self) -> list[tuple[str, int, int, int]]:
        """Return each service with its repeats, the most in a window and those allowed in that."""
        return [
            (service, len(times), *max(self._repeats_in_windows(service, times)))
            for service, times in self._repeated_at_by_service.items()
        ]

    def _repeats_in_windows(self, service: str, times: list[float]) -> Iterator[tuple[int, int]]:
        """Yield the repeats in each window that ends with one, and those allowed in it."""
        sent_times = self._sent_at_by_service.get(service, [])
        for end in times:
            requests = max(
                _count_between(sent_times, end - back - REPEAT_WINDOW_SECONDS, end - back)
                for back in (0.0, REPEAT_WINDOW_SECONDS / 2, REPEAT_WINDOW_SECONDS)
            )
            repeats = _count_between(times, end - REPEAT_WINDOW_SECONDS, end)
            yield repeats, int(REPEAT_RATIO * requests + REPEAT_SLACK)

    def _check_repeats(self, service: str, times: list[float]) -> None:
        """Check the repeats in each window that ends with one of them."""
        for repeats, allowed in self._repeats_in_windows(service, times):
            if repeats > allowed:
                detail = f"{repeats} repeats, {allowed} are allowed"
                self._record_violation("budget", service, detail)
                return

    def record_exit(self, node: str, status: int) -> None:
        """Record the unexpected exit of a node's process as a violation."""
        self._record_violation("ended", node, f"status {status}")

    def check_recovery(self, node: str, path: str, served: bool) -> None:
        """Check that a node serves a path at the start, or again after all faults were cleared."""
        if not served:
            self._record_violation("recover", node, f"{path} is not served")

    def _record_violation(self, invariant: str, request_id: str, detail: str) -> None:
        self.violations.append(f"{invariant}: {request_id}: {detail}")


def _count_between(times: list[float], start: float, end: float) -> int:
    """Return the number of times from ``start`` to ``end`` in an ascending list."""
    return bisect_right(times, end) - bisect_left(times, start)
