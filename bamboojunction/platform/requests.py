"""Headers of requests and responses between callers, nodes and upstreams."""

from collections.abc import Iterable
from dataclasses import dataclass

from bamboojunction.core.http_messages import HttpResponse
from bamboojunction.core.outcomes import NotRun, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.upstreams.connection import ResponseOwner

READY_PATH = "/readyz"
_REQUEST_ID = "bamboojunction-request-id"
_DEADLINE_MS = "bamboojunction-deadline-ms"
_EXPECT_INSTANCE = "bamboojunction-expect-instance"
_CALLER_SERVICE = "bamboojunction-caller-service"
_NOT_EXECUTED = "bamboojunction-not-executed"
_STAMP = "bamboojunction-server-stamp"
_MISDIRECTED_STATUS = 421
# Callers take these for a statement that the request did not run.
_NOT_RUN_STATUSES = frozenset({408, _MISDIRECTED_STATUS, 429, 503})
# The node sets these on each upstream request and drops the values that a caller sent.
_NODE_HEADERS = frozenset({_DEADLINE_MS, _EXPECT_INSTANCE, _CALLER_SERVICE})
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REQUEST_DROPPED_HEADERS = _HOP_BY_HOP_HEADERS | _NODE_HEADERS

Headers = tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class CallerHeaders:
    """The decoded headers of a caller's request.

    ``remaining_seconds`` is the time until the deadline, or None if the caller set none.
    """

    host: str
    request_id: str
    remaining_seconds: float | None
    forwarded: Headers


def read_caller_headers(raw: Iterable[tuple[bytes, bytes]]) -> CallerHeaders:
    """Decode the headers of a caller's request; the returned names are in lower case."""
    pairs = [(str(name, "latin-1").lower(), str(value, "latin-1")) for name, value in raw]
    value_by_name = dict(pairs)
    dropped = _dropped_names(value_by_name, _REQUEST_DROPPED_HEADERS)
    return CallerHeaders(
        host=_without_port(value_by_name.get("host", "")),
        request_id=value_by_name.get(_REQUEST_ID, ""),
        remaining_seconds=_seconds_from_milliseconds(value_by_name.get(_DEADLINE_MS)),
        forwarded=tuple([pair for pair in pairs if pair[0] not in dropped]),
    )


def host_of(raw: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the host of a caller's request, without a port; header names are in lower case."""
    host = next((value for name, value in raw if name == b"host"), b"").decode("latin-1")
    return _without_port(host)


def upstream_headers(
    forwarded: Headers, remaining: float, instance_id: str, caller_service: str
) -> list[tuple[str, str]]:
    """Return the headers of a request to an upstream; ``remaining`` is in seconds."""
    return [
        *forwarded,
        (_DEADLINE_MS, str(max(1, int(remaining * 1000)))),
        (_EXPECT_INSTANCE, instance_id),
        (_CALLER_SERVICE, caller_service),
    ]


def request_id_of(headers: Headers) -> str:
    """Return the request id from the headers of a request or response, or an empty string."""
    return next((value for name, value in headers if name == _REQUEST_ID), "")


def response_owner(headers: Headers, request_id: str) -> ResponseOwner:
    """Return whether a response answers the request with this id.

    An upstream copies the id of the request into each response. A response without an id answers
    no known request; it is returned for the pending one, so that its exchange ends.
    """
    if request_id_of(headers) in ("", request_id):
        return ResponseOwner.THIS_REQUEST
    return ResponseOwner.OTHER_REQUEST


def is_refusal(status: int, headers: Headers) -> bool:
    """Return whether a response states that the upstream did not execute the request."""
    return status == _MISDIRECTED_STATUS or any(name == _NOT_EXECUTED for name, _ in headers)


def tells_caller_not_run(status: int) -> bool:
    """Return whether a caller takes an answer with this status for a refusal."""
    return status in _NOT_RUN_STATUSES


def is_misdirected(status: int) -> bool:
    """Return whether an instance other than the expected one responded."""
    return status == _MISDIRECTED_STATUS


def is_unstamped_success(status: int, headers: Headers) -> bool:
    """Return whether a success lacks the stamp that marks the answer of an upstream."""
    return 200 <= status < 300 and not any(name == _STAMP and value for name, value in headers)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return an upstream's response headers without the hop-by-hop ones."""
    dropped = _dropped_names(dict(headers), _HOP_BY_HOP_HEADERS)
    return tuple([pair for pair in headers if pair[0] not in dropped])


def outcome_response(outcome: Outcome, request_id: str) -> HttpResponse:
    """Return the response to a caller for an outcome.

    The node's own status 503 means that the request did not run; after 502 and 504 it may have
    run.
    """
    match outcome:
        case Ran(status=status, headers=headers, body=body):
            return HttpResponse(status, headers, body)
        case NotRun(reason=reason, retry_after=retry_after):
            return _node_response(503, reason.value, request_id, max(0.0, retry_after))
        case Unknown(reason=UnknownReason.DEADLINE):
            return _node_response(504, UnknownReason.DEADLINE.value, request_id)
        case Unknown(reason=reason):
            return _node_response(502, reason.value, request_id)


def error_response(status: int, reason: str, request_id: str) -> HttpResponse:
    """Return the response to a request that the node rejects."""
    return _node_response(status, reason, request_id)


def _node_response(
    status: int, reason: str, request_id: str, retry_after: float | None = None
) -> HttpResponse:
    headers = [("content-type", "text/plain")]
    if request_id:
        headers.append((_REQUEST_ID, request_id))
    if retry_after is not None:
        headers.append(("retry-after", f"{retry_after:.3f}"))
    return HttpResponse(status, tuple(headers), f"{reason}\n".encode())


def _without_port(host: str) -> str:
    return host.rpartition(":")[0] if ":" in host else host


def _dropped_names(value_by_name: dict[str, str], always: frozenset[str]) -> frozenset[str]:
    """Return the names to drop: some always, and those that the Connection header lists."""
    options = value_by_name.get("connection")
    if not options:
        return always
    return always.union(option.strip().lower() for option in options.split(","))


def _seconds_from_milliseconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text) / 1000
    except ValueError:
        return None
