"""The log lines of one request from several nodes, and the cause of its outcome."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# The id of a call that an upstream makes is the id of the request it runs, this separator and a
# suffix.
CHILD_SEPARATOR = "."
SUCCESS_PREFIXES = ("ran:1", "ran:2", "ran:3", "ran:4")


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log, parsed into its fields by name."""

    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.fields.get("event", "")

    @property
    def request_id(self) -> str:
        """Return the id of the request that the line belongs to."""
        return self.fields.get("id", "")

    @property
    def time(self) -> float:
        """Return when the line was written, in seconds by the node's wall clock."""
        return float(self.fields.get("time", "0"))

    @property
    def is_failed_attempt(self) -> bool:
        """Return whether the line records an attempt without a successful answer."""
        outcome = self.fields.get("outcome", "")
        return bool(outcome) and not outcome.startswith(SUCCESS_PREFIXES)

    def render(self) -> str:
        """Return the line as text, with time, node and event first."""
        rendered = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in ("time", "node", "event")
        )
        return f"{self.time:.3f} {self.fields.get('node', ''):<24} {self.event} {rendered}"


@dataclass(slots=True)
class RequestLog:
    """The log lines of a request and its child calls, ordered by time."""

    request_id: str
    lines: list[LogLine] = field(default_factory=list)

    @property
    def is_explained(self) -> bool:
        """Return whether ``cause`` tells more than that the request failed."""
        answered = self._final_lines()
        if not answered:
            return False
        last_line = answered[-1]
        is_success = last_line.fields.get("status", "").startswith(("2", "3"))
        is_routed = bool(last_line.fields.get("kind"))
        if is_success or not is_routed or last_line.event == "request.cancelled":
            return True
        return self._cause_line(self.request_id) is not None

    def _final_lines(self) -> list[LogLine]:
        return [
            line
            for line in self._lines_of(self.request_id)
            if line.event in ("request.answered", "request.cancelled")
        ]

    def cause(self) -> str:
        """Describe why the request ended, following failed child calls to the deepest one."""
        answered = self._final_lines()
        if not answered:
            return "no log line records how the request ended; its lines may have been dropped"
        last_line = answered[-1]
        if last_line.event == "request.cancelled":
            return "the caller disconnected before it got an answer"
        status = last_line.fields.get("status", "")
        if status.startswith(("2", "3")):
            return f"answered {status} after {last_line.fields.get('ms')} ms"
        if not last_line.fields.get("kind"):
            return (
                f"answered {status}: no route of version {last_line.fields.get('version')} matches"
            )
        cause = self._cause_line(self.request_id)
        if cause is None:
            return f"answered {status} by the node itself, before any attempt"
        return f"answered {status}: {_describe(cause)}"

    def _cause_line(self, request_id: str) -> LogLine | None:
        """Return the log line of the failure that caused the outcome, or None."""
        lines = [line for line in self._lines_of(request_id) if line.is_failed_attempt]
        # Fall back to the gate's lines, because the lines of the attempts may have been dropped by
        # rate limiting.
        failures = [line for line in lines if line.event == "request.attempt"] or lines
        if not failures:
            return None
        # An attempt without an instance means only that no instance was left to try; prefer the
        # failures of the instances that were tried before.
        with_instance = [line for line in failures if line.fields.get("instance")]
        last_line = (with_instance or failures)[-1]
        if last_line.fields["outcome"].startswith("ran:"):
            cause_lines = [self._cause_line(child) for child in self._child_ids(request_id)]
            found = [line for line in cause_lines if line is not None]
            return found[-1] if found else last_line
        return self._gate_line(last_line) or last_line

    def _gate_line(self, attempt: LogLine) -> LogLine | None:
        """Return the gate's line about an attempt, which also has the gate's load."""
        lines = [
            line
            for line in self._lines_of(attempt.request_id)
            if line.event == "gate.served"
            and line.fields.get("outcome") == attempt.fields["outcome"]
        ]
        return lines[-1] if lines else None

    def _lines_of(self, request_id: str) -> list[LogLine]:
        return [line for line in self.lines if line.request_id == request_id]

    def _child_ids(self, request_id: str) -> list[str]:
        prefix = request_id + CHILD_SEPARATOR
        return list(
            dict.fromkeys(
                line.request_id
                for line in self.lines
                if line.request_id.startswith(prefix)
                and CHILD_SEPARATOR not in line.request_id[len(prefix) :]
            )
        )


def read_request_log(request_id: str, log_lines: Iterable[str]) -> RequestLog:
    """Return the lines of a request and its child calls from unordered log lines."""
    lines = []
    for text in log_lines:
        if request_id not in text:
            continue
        fields = {name: value.strip('"') for name, value in _FIELD_PATTERN.findall(text)}
        line_id = fields.get("id", "")
        if line_id == request_id or line_id.startswith(request_id + CHILD_SEPARATOR):
            lines.append(LogLine(fields))
    return RequestLog(request_id, sorted(lines, key=lambda line: line.time))


def _describe(line: LogLine) -> str:
    fields = line.fields
    outcome = fields["outcome"]
    where = fields.get("instance") or fields.get("node", "")
    if line.event == "gate.served":
        load = f"queued={fields.get('queued')} running={fields.get('running')}"
        return f"the gate of {where} answered {outcome} ({load} limit={fields.get('limit')})"
    return f"{outcome} at {where or 'no instance'} for {fields.get('service', '')}"
