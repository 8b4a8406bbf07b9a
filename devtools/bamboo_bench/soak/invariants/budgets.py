"""The invariants of what requests may cost: repeats, attempts, time and crashes."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator

from bamboo_bench.soak.invariants import bounds
from bamboo_bench.soak.invariants.losses import Violation
from bamboo_bench.soak.invariants.records import Request, Run, RunEnd
from bamboo_bench.soak.invariants.timeline import Timeline


def find_repeats(
    repeated_at_by_service: dict[str, list[float]], sent_at_by_service: dict[str, list[float]]
) -> Iterator[Violation]:
    """Yield each service with too many repeats in a window that ends with one of them."""
    for service, times in repeated_at_by_service.items():
        sent_times = sent_at_by_service.get(service, [])
        details = (_describe_excess(times, sent_times, end) for end in times[bounds.REPEAT_SLACK :])
        detail = next(filter(None, details), None)
        if detail is not None:
            yield service, detail


def find_exceeded_attempts(
    request_by_id: dict[str, Request], timeline: Timeline
) -> Iterator[Violation]:
    """Yield the clients' requests that ran on more upstreams than their attempts, if many."""
    exceeded = [
        request_id
        for request_id, request in request_by_id.items()
        if request.attempts is not None
        and len(request.runs) > request.attempts
        and _count_upstreams(request, timeline) > request.attempts
    ]
    if len(exceeded) > bounds.ATTEMPTS_EXCEEDED_MAX:
        detail = f"{len(exceeded)} requests ran on more upstreams than their attempts"
        yield ", ".join(exceeded[: bounds.ATTEMPTS_EXCEEDED_MAX + 1]), detail


def find_late_runs(requests: Iterable[Request], timeline: Timeline) -> Iterator[Violation]:
    """Yield a violation if too many runs, or late repeats, were given more time than was left.

    A repeat counts only if it may also last longer than the first run.
    """
    runs = [(request, run) for request in requests for run in request.runs]
    late_runs = [(request, run) for request, run in runs if _is_late(request, run, timeline)]
    repeats = [each for each in runs if _is_late_repeat(*each)]
    longer_repeats = [each for each in late_runs if _is_late_repeat(*each) and _is_longer(*each)]
    for name, late, counted in (
        ("runs", late_runs, runs),
        ("late repeats", longer_repeats, repeats),
    ):
        if len(late) > max(bounds.LATE_RUNS_MAX, bounds.LATE_SHARE_MAX * len(counted)):
            yield "all", f"{len(late)} of {len(counted)} {name} were given more time than was left"


def find_crashing_requests(
    crashed_at_by_path: dict[str, list[float]], requests: Iterable[Request], timeline: Timeline
) -> Iterator[Violation]:
    """Yield the requests that crashed upstreams, or reached them, more often than is allowed."""
    runs_by_path: dict[str, list[tuple[Request, Run]]] = {path: [] for path in crashed_at_by_path}
    for request in requests:
        if request.path in runs_by_path:
            runs_by_path[request.path] += [(request, run) for run in request.runs]
    for path, times in crashed_at_by_path.items():
        if len(times) > bounds.CRASHES_MAX:
            yield path, f"{len(times)} crashes"
        if len(times) < bounds.CRASHES_KNOWN:
            continue
        known_at = sorted(times)[bounds.CRASHES_KNOWN - 1] + bounds.CONTACT_SECONDS
        later = [
            run
            for request, run in runs_by_path[path]
            if run.started_at > known_at
            and timeline.is_in_touch(request.machine, run.started_at, run.started_at)
        ]
        if len(later) > bounds.CRASHING_RETRIES_MAX:
            yield path, f"{len(later)} runs later than {bounds.CONTACT_SECONDS} s after 3 crashes"


def _count_upstreams(request: Request, timeline: Timeline) -> int:
    """Return the number of upstreams that ran a request and were neither lost nor cut off."""
    ended_at = float("inf") if request.ending is None else request.ending.at
    return len(
        {
            run.instance
            for run in request.runs
            if run.end is not RunEnd.CRASHED
            and timeline.is_calm((run.machine,), request.sent_at, ended_at)
        }
    )


def _is_late(request: Request, run: Run, timeline: Timeline) -> bool:
    """Return whether a node in touch gave a run more time than its client has left."""
    is_late = (
        run.may_last_until is None
        or run.may_last_until > request.deadline + bounds.DEADLINE_TOLERANCE_SECONDS
    )
    return is_late and timeline.is_in_touch(request.machine, run.started_at, run.started_at)


def _is_late_repeat(request: Request, run: Run) -> bool:
    first = request.runs[0]
    return run.started_at > first.started_at + bounds.DEADLINE_TOLERANCE_SECONDS


def _is_longer(request: Request, run: Run) -> bool:
    """Return whether a repeat may last longer than the first run, beyond the tolerance."""
    first_until = request.runs[0].may_last_until
    return (
        run.may_last_until is None
        or first_until is None
        or run.may_last_until > first_until + bounds.DEADLINE_TOLERANCE_SECONDS
    )


def _describe_excess(times: list[float], sent_times: list[float], end: float) -> str | None:
    """Return how the window that ends at a time exceeds the limit, None if it does not."""
    repeats, requests, allowed = _count_window(times, sent_times, end)
    if repeats <= allowed:
        return None
    return f"{repeats} repeats for {requests} requests, {allowed:.0f} are allowed"


def worst_windows(
    repeated_at_by_service: dict[str, list[float]], sent_at_by_service: dict[str, list[float]]
) -> Iterator[tuple[str, int, int, int]]:
    """Yield each service, its repeats, the most of them in a window and those allowed in that."""
    for service, times in repeated_at_by_service.items():
        sent_times = sent_at_by_service.get(service, [])
        repeats, _, allowed = max(_count_window(times, sent_times, end) for end in times)
        yield service, len(times), repeats, int(allowed)


def _count_window(
    times: list[float], sent_times: list[float], end: float
) -> tuple[int, int, float]:
    """Return the repeats and the requests of the window that ends at a time, and the limit."""
    window = bounds.REPEAT_WINDOW_SECONDS
    repeats = _count_between(times, end - window, end)
    requests = max(
        _count_between(sent_times, end - back - window, end - back)
        for back in (0.0, window / 2, window)
    )
    return repeats, requests, bounds.REPEAT_RATIO * requests + bounds.REPEAT_SLACK


def _count_between(times: list[float], start: float, end: float) -> int:
    """Return the number of times from ``start`` to ``end`` in an ascending list."""
    return bisect_right(times, end) - bisect_left(times, start)
