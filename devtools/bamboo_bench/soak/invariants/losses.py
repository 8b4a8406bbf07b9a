"""The invariants of requests that end without an answer, or without one in time."""

from collections import Counter
from collections.abc import Iterable, Iterator

from bamboo_bench.soak.invariants import bounds
from bamboo_bench.soak.invariants.records import BAD_GATEWAY_STATUS, EndKind, Request
from bamboo_bench.soak.invariants.timeline import Change, Stop, Timeline, is_around

# A violation: what it is about, and its detail.
Violation = tuple[str, str]


def find_cuts_where_all_is_planned(
    request_by_id: dict[str, Request], timeline: Timeline
) -> Iterator[Violation]:
    """Yield the requests that ran and were cut, by whichever node, while all faults are planned."""
    for request_id, request in request_by_id.items():
        ending = request.ending
        if ending is None or not (request.is_cut or ending.status == BAD_GATEWAY_STATUS):
            continue
        if request.runs and ending.at < request.deadline and not _is_excused(request, timeline):
            yield request_id, _describe(request, timeline)


def find_cuts_around_planned_work(
    request_by_id: dict[str, Request], timeline: Timeline
) -> Iterator[Violation]:
    """Yield the requests that were cut around planned work without an unplanned disturbance."""
    cuts = {key: each for key, each in request_by_id.items() if _is_lost(each, timeline)}
    machines_with_more_cuts = set(_find_machines_cutting_at_changes(request_by_id, cuts, timeline))
    for request_id, request in cuts.items():
        works = [work for work in timeline.planned_work if is_around(work, request)]
        is_change_to_blame = request.machine in machines_with_more_cuts and not _is_old(request)
        if any(is_change_to_blame or not isinstance(work, Change) for work in works):
            yield request_id, _describe(request, timeline)


def find_closed_connections(
    request_by_id: dict[str, Request], timeline: Timeline
) -> Iterator[Violation]:
    """Yield the kept connections that nodes in touch closed instead of answering, if many."""
    closed = [
        request_id
        for request_id, request in request_by_id.items()
        if request.ending is not None and _is_closed_in_touch(request, timeline)
    ]
    if len(closed) > bounds.CLOSED_MAX:
        detail = f"{len(closed)} kept connections closed without an answer at nodes in touch"
        yield ", ".join(closed[: bounds.CLOSED_MAX + 1]), detail


def find_overdue(
    requests: Iterable[Request], timeline: Timeline, now: float
) -> Iterator[Violation]:
    """Yield a violation if too many requests have no answer some time after their timeout."""
    unanswered = [
        request
        for request in requests
        if request.timeout_at + bounds.OVERDUE_SECONDS <= now
        and (request.ending is None or request.ending.at > request.timeout_at)
        and timeline.is_in_touch(
            request.machine, request.sent_at, request.timeout_at + bounds.OVERDUE_SECONDS
        )
    ]
    overdue = [
        request
        for request in unanswered
        if not _has_answer(request, request.timeout_at + bounds.OVERDUE_SECONDS)
    ]
    share = len(overdue) / len(unanswered) if unanswered else 0.0
    is_many = len(overdue) >= bounds.OVERDUE_MANY
    if share > bounds.OVERDUE_SHARE_MAX or (is_many and share > bounds.OVERDUE_SHARE_OF_MANY_MAX):
        yield "all", (
            f"{len(overdue)} of {len(unanswered)} requests that were unanswered at their timeout "
            f"had no answer {bounds.OVERDUE_SECONDS} s later"
        )


def _has_answer(request: Request, now: float) -> bool:
    """Return whether an answer has ended by a time, broken ones included."""
    ending = request.ending
    return (
        ending is not None and ending.kind in (EndKind.WHOLE, EndKind.BROKEN) and ending.at <= now
    )


def _is_lost(request: Request, timeline: Timeline) -> bool:
    """Return whether a request counts as cut, were planned work the only disturbance."""
    ending = request.ending
    if ending is None or not (request.is_cut or request.is_replaced):
        return False
    is_taken = bool(request.runs) or ending.at > request.sent_at + bounds.LOSS_SLACK_SECONDS
    is_out_of_time = ending.at >= min(request.deadline, request.timeout_at)
    if not is_taken or is_out_of_time or request.is_upstreams_fault:
        return False
    since = request.sent_at - bounds.CONTACT_SECONDS
    is_calm = timeline.is_calm(timeline.machines_of(request), since, ending.at)
    return is_calm and not _is_excused(request, timeline)


def _is_excused(request: Request, timeline: Timeline) -> bool:
    """Return whether a stop's grace time was nearly over, with the upstream still at work."""
    ending = request.ending
    return any(
        request.sent_at <= stop.at + bounds.EXCUSED_SENT_SECONDS
        and ending.at >= stop.at + bounds.EXCUSED_AFTER_SECONDS
        and any(run.is_at_work(stop.at + bounds.EXCUSED_AFTER_SECONDS) for run in request.runs)
        for stop in _stops_around(request, timeline)
    )


def _is_closed_in_touch(request: Request, timeline: Timeline) -> bool:
    ending = request.ending
    if ending.kind is not EndKind.CLOSED or not ending.is_kept or not request.runs:
        return False
    upstreams = {run.machine for run in request.runs}
    return (
        not request.is_upstreams_fault
        and timeline.is_calm(upstreams - {request.machine}, request.sent_at, ending.at)
        and timeline.is_in_touch(request.machine, request.sent_at, ending.at)
    )


def _is_old(request: Request) -> bool:
    """Return whether a request has used so much of its time that no configuration is to blame."""
    seconds = min(request.deadline, request.timeout_at) - request.sent_at
    return request.ending.at - request.sent_at >= bounds.CHANGE_TIME_SHARE * seconds


def _find_machines_cutting_at_changes(
    request_by_id: dict[str, Request], cuts: dict[str, Request], timeline: Timeline
) -> Iterator[str]:
    """Yield the machines that cut a larger share of requests beside configurations."""
    changes = [work for work in timeline.planned_work if isinstance(work, Change)]

    def count(requests: Iterable[Request]) -> Counter[tuple[str, bool]]:
        return Counter(
            (each.machine, any(change.covers(each.ending.at) for change in changes))
            for each in requests
            if each.ending is not None
        )

    cut, ended = count(cuts.values()), count(request_by_id.values())
    for machine, is_beside in cut:
        share = cut[machine, True] / max(ended[machine, True], 1)
        other_share = cut[machine, False] / max(ended[machine, False], 1)
        if is_beside and share > bounds.CHANGE_CUT_RATIO * other_share:
            yield machine


def _stops_around(request: Request, timeline: Timeline) -> list[Stop]:
    return [
        work
        for work in timeline.planned_work
        if isinstance(work, Stop) and is_around(work, request)
    ]


def _describe(request: Request, timeline: Timeline) -> str:
    ending = request.ending
    where = "at a stopping node" if _stops_around(request, timeline) else "at a calm node"
    outcome = ending.kind if ending.status is None else ending.status
    return f"{outcome} {ending.at - request.sent_at:.2f} s after it was sent {where}"
