"""Parsing of a caller's HTTP request into a call."""

import asyncio
import secrets
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from bamboojunction.callers import headers as header_names
from bamboojunction.core.calls import Call
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.pause_detector import PauseDetector
from bamboojunction.core.table.holder import CurrentTable
from bamboojunction.core.table.rows import Effect, Row
from bamboojunction.node.running_calls import RunningCall, RunningCalls
from bamboojunction.upstreams.client import NOT_FORWARDED_HEADERS

ACTION_BYTES = 12
DEADLINE_MS_MAX = 600_000
NAME_MAX_CHARACTERS = 100


@dataclass(slots=True, frozen=True)
class BadRequest:
    """A request header that is invalid, and the value expected there."""

    header: str
    expected: str

    def __str__(self) -> str:
        return f"{self.header}: expected {self.expected}"


@dataclass(slots=True, frozen=True)
class IncomingCall:
    """A call with its table row and, for a child call, the running call that made it.

    ``has_caller_action`` is true if the caller chose the action id, so that
    a later request with the same id counts as a resend.
    """

    call: Call
    row: Row
    parent: RunningCall | None
    has_caller_action: bool = False


class RequestParser:
    """A parser of requests that uses the active table and the calls running on this node."""

    __slots__ = ("_loop", "_pause_detector", "_running", "_table_holder")

    def __init__(
        self, table_holder: CurrentTable, running: RunningCalls, pause_detector: PauseDetector
    ):
        self._table_holder = table_holder
        self._running = running
        self._pause_detector = pause_detector
        self._loop = asyncio.get_running_loop()

    def read(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Result[IncomingCall, BadRequest]:
        """Return the call of a request; ``headers`` has lower-case names."""
        token = headers.get("bamboo-call", "")
        if not token:
            return self._read_root_call(method, path, headers, body)
        parent = self._running.by_token.get(token)
        if parent is None:
            return Err(
                BadRequest(header_names.CALL, "the token of a call that is running on this node")
            )
        return self._read_child_call(parent, method, path, headers, body)

    def _read_root_call(self, method, path, headers, body) -> Result[IncomingCall, BadRequest]:
        kind = headers.get("bamboo-kind", "")
        row = self._table_holder.row(kind)
        service = headers.get("bamboo-service", "") or next(iter(row.services), "")
        if not service or len(service) > NAME_MAX_CHARACTERS:
            return Err(BadRequest(header_names.SERVICE, "the name of the service to call"))
        deadline_ms = _read_number(headers, "bamboo-deadline-ms", row.deadline_ms)
        if deadline_ms is None or deadline_ms > DEADLINE_MS_MAX:
            return Err(
                BadRequest(header_names.DEADLINE_MS, f"milliseconds, 0 to {DEADLINE_MS_MAX}")
            )
        allowance = _read_number(headers, "bamboo-allowance", row.retries)
        if allowance is None:
            return Err(BadRequest(header_names.ALLOWANCE, "a whole number of retries"))
        attempt = _read_number(headers, "bamboo-attempt", 0)
        if attempt is None:
            return Err(BadRequest(header_names.ATTEMPT, "a whole number"))
        call = Call(
            action=headers.get("bamboo-action", "") or secrets.token_hex(ACTION_BYTES),
            kind=kind,
            service=service,
            deadline=self._pause_detector.deadline(deadline_ms / 1000, self._loop.time()),
            allowance=min(allowance, row.retries),
            key=headers.get("bamboo-key", ""),
            attempt=attempt,
            method=method,
            path=path,
            headers=_forwarded_headers(headers),
            body=body,
            traceparent=headers.get("traceparent", ""),
        )
        return Ok(IncomingCall(call, row, None, has_caller_action="bamboo-action" in headers))

    def _read_child_call(
        self, parent, method, path, headers, body
    ) -> Result[IncomingCall, BadRequest]:
        service = headers.get("bamboo-service", "")
        if not service:
            return Err(BadRequest(header_names.SERVICE, "the name of the service to call"))
        kind = headers.get("bamboo-kind", "") or parent.call.kind
        row = self._table_holder.row(kind)
        key = _child_key(parent.call.key, service, headers.get("bamboo-step", ""))
        if row.effect is Effect.ONCE and not key:
            return Err(
                BadRequest(header_names.STEP, "a label that is unique among the call's steps")
            )
        call = Call(
            action=parent.call.action,
            kind=kind,
            service=service,
            deadline=parent.call.deadline,
            allowance=parent.pool.lend(),
            depth=parent.call.depth + 1,
            key=key,
            method=method,
            path=path,
            headers=_forwarded_headers(headers),
            body=body,
            traceparent=headers.get("traceparent", "") or parent.call.traceparent,
        )
        return Ok(IncomingCall(call, row, parent))


def _child_key(parent_key: str, service: str, step: str) -> str:
    key = ActionKey.parse(parent_key)
    if key is None or not step:
        return ""
    return str(key.child_key(f"{service}:{step}"))


def _read_number(headers: Mapping[str, str], name: str, default: int) -> int | None:
    text = headers.get(name)
    if text is None:
        return default
    return int(text) if text.isascii() and text.isdecimal() and len(text) < 10 else None


def _forwarded_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in NOT_FORWARDED_HEADERS
        and not name.startswith(header_names.NODE_HEADER_PREFIX)
        and name != header_names.TRACEPARENT
    )
