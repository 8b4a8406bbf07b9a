"""Conversion between link messages and the core types: calls, gate replies and load reports."""

from bamboojunction.core.calls import Call
from bamboojunction.core.load_reports import (
    AdmissionLevel,
    LoadReport,
    RankFraction,
    ServiceAdmissionLevel,
)
from bamboojunction.core.once.gate_records import KeyReport, KeyStatus
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Ran,
    Unknown,
    UnknownReason,
)
from bamboojunction.links.messages import (
    CallAnswer,
    CallRequest,
    Load,
    SealAnswer,
    Target,
    Verdict,
)
from bamboojunction.links.replies import GateReply

_NOT_RUN_BY_VALUE = {reason.value: reason for reason in NotRunReason}
_UNKNOWN_BY_VALUE = {reason.value: reason for reason in UnknownReason}


def call_to_request(call: Call, target: Target, request_id: int, now: float) -> CallRequest:
    """Return the request that carries a call.

    The deadline is sent as the remaining time in seconds, as the clocks of two nodes differ.
    """
    return CallRequest(
        request_id,
        int(target),
        call.action,
        call.kind,
        call.service,
        call.deadline - now,
        call.allowance,
        call.depth,
        call.key,
        call.attempt,
        call.method,
        call.path,
        call.headers,
        call.body,
        call.traceparent,
        call.gate_incarnation,
        call.caller_service,
        call.root_action,
        call.inherited_rank,
    )


def request_to_call(request: CallRequest, received_at: float) -> Call:
    """Return the call that a request carries, with its deadline on the local monotonic clock."""
    return Call(
        action=request.action,
        kind=request.kind,
        service=request.service,
        deadline=received_at + request.remaining,
        allowance=request.allowance,
        depth=request.depth,
        key=request.key,
        attempt=request.attempt,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        traceparent=request.traceparent,
        gate_incarnation=request.gate,
        caller_service=request.caller,
        root_action=request.root,
        inherited_rank=request.rank,
    )


def reply_to_answer(request_id: int, reply: GateReply) -> CallAnswer:
    """Return the answer that carries a gate's reply."""
    load = _load_to_wire(reply.report)
    service_seconds = reply.service_seconds
    gate_ms = round(reply.gate_seconds * 1000)
    failed_below = False
    match reply.outcome:
        case Ran(status, headers, body, allowance_left, failed_below):
            verdict, reason, retry_after = Verdict.RAN, "", 0.0
        case NotRun(reason, retry_after, allowance_left):
            verdict, status, headers, body = Verdict.NOT_RUN, 0, (), b""
            reason = reason.value
        case Unknown(reason, allowance_left):
            verdict, status, headers, body, retry_after = Verdict.UNKNOWN, 0, (), b"", 0.0
            reason = reason.value
    return CallAnswer(
        request_id,
        int(verdict),
        status,
        headers,
        body,
        reason,
        retry_after,
        allowance_left,
        service_seconds,
        load,
        gate_ms,
        failed_below,
        tuple((service, round(10 * calls)) for service, calls in reply.calls_below.items()),
    )


def answer_to_reply(answer: CallAnswer) -> GateReply:
    """Return the reply that an answer carries.

    An answer with an unknown verdict or reason has the outcome "unknown", never "not run".
    """
    return GateReply(
        _answer_to_outcome(answer),
        _load_from_wire(answer.load),
        answer.service_seconds,
        answer.gate_ms / 1000,
        # A peer may send any number.
        {service: max(0, tenths) / 10 for service, tenths in answer.calls_below},
    )


def key_report_to_answer(request_id: int, report: KeyReport) -> SealAnswer:
    """Return the message that carries what a gate knows about an action key."""
    match report:
        case KeyReport(KeyStatus.ENDED, outcome) if outcome is not None:
            # The nested answer has no request id of its own.
            return SealAnswer(request_id, False, reply_to_answer(0, GateReply(outcome)))
        case KeyReport(KeyStatus.RUNNING):
            return SealAnswer(request_id, False, running=True)
        case KeyReport(status):
            return SealAnswer(request_id, status is KeyStatus.SEALED)


def answer_to_key_report(answer: SealAnswer) -> KeyReport:
    """Return what a gate reported about an action key."""
    if answer.sealed:
        return KeyReport(KeyStatus.SEALED)
    if answer.answer is not None:
        return KeyReport(KeyStatus.ENDED, _answer_to_outcome(answer.answer))
    return KeyReport(KeyStatus.RUNNING if answer.running else KeyStatus.INDETERMINATE)


def _answer_to_outcome(answer: CallAnswer) -> Outcome:
    allowance_left = answer.allowance_left
    match answer.verdict:
        case Verdict.RAN:
            return Ran(
                answer.status,
                answer.headers,
                answer.body,
                allowance_left,
                answer.failed_below,
            )
        case Verdict.NOT_RUN if answer.reason in _NOT_RUN_BY_VALUE:
            return NotRun(_NOT_RUN_BY_VALUE[answer.reason], answer.retry_after, allowance_left)
        case Verdict.UNKNOWN if answer.reason in _UNKNOWN_BY_VALUE:
            return Unknown(_UNKNOWN_BY_VALUE[answer.reason], allowance_left)
    return Unknown(UnknownReason.TRUNCATED, allowance_left)


def _load_to_wire(report: LoadReport | None) -> Load | None:
    if report is None:
        return None
    return Load(
        report.queued,
        report.in_flight,
        report.limit,
        _level_to_wire(report.level),
        report.draining,
        tuple((entry.service, _level_to_wire(entry.level)) for entry in report.below),
        round(100 * report.refused_share),
    )


def _load_from_wire(load: Load | None) -> LoadReport | None:
    if load is None:
        return None
    level = _level_from_wire(load.level)
    below = tuple(
        ServiceAdmissionLevel(service, _level_from_wire(shares)) for service, shares in load.below
    )
    # A peer may send any number.
    refused_share = min(100, max(0, load.refused_percent)) / 100
    return LoadReport(
        load.queued, load.in_flight, load.limit, level, load.draining, below, refused_share
    )


def _level_to_wire(level: AdmissionLevel) -> tuple[tuple[int, float], ...]:
    return tuple((share.rank, share.fraction) for share in level.shares)


def _level_from_wire(shares: tuple[tuple[int, float], ...]) -> AdmissionLevel:
    return AdmissionLevel(tuple(RankFraction(rank, fraction) for rank, fraction in shares))
