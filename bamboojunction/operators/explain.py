"""The course of one request, put together from the logs of several nodes."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# An upstream derives the id of a call that it makes from the id of the request that it runs.
CHILD_MARK = "."
SUCCESSES = ("ran:1", "ran:2", "ran:3", "ran:4")


@dataclass(slots=True, frozen=True)
class Entry:
    """Hold one line of a log: its pairs by name."""

    pairs: dict[str, str]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.pairs.get("event", "")

    @property
    def request_id(self) -> str:
        """Return the id of the request that the line is about."""
        return self.pairs.get("id", "")

    @property
    def time(self) -> float:
        """Return when the line was written, in seconds of the node's time of day."""
        return float(self.pairs.get("time", "0"))

    @property
    def is_failure(self) -> bool:
        """Return whether the line tells of an attempt that brought no usable answer."""
        outcome = self.pairs.get("outcome", "")
        return bool(outcome) and not outcome.startswith(SUCCESSES)

    def render(self) -> str:
        """Return the line without the pairs that every line has."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.pairs.items()
            if name not in ("time", "node", "event")
        )
        return f"{self.time:.3f} {self.pairs.get('node', ''):<24} {self.event} {shown}"


@dataclass(slots=True)
class Course:
    """Hold the lines of a request and of the calls below it, in the order of their times."""

    request_id: str
    entries: list[Entry] = field(default_factory=list)

    def cause(self) -> str:
        """Name the decision that ended the request, following failed calls to the lowest one."""
        answered = [
            entry
            for entry in self._of(self.request_id)
            if entry.event in ("request.answered", "request.cancelled")
        ]
        if not answered:
            return "no line says how the request ended; its lines may have been left out"
        last = answered[-1]
        if last.event == "request.cancelled":
            return "the caller went away before the answer"
        status = last.pairs.get("status", "")
        if status.startswith(("2", "3")):
            return f"answered {status} after {last.pairs.get('ms')} ms"
        if not last.pairs.get("kind"):
            return f"answered {status}: no route of version {last.pairs.get('version')} matches"
        decided = self._decided(self.request_id)
        if decided is None:
            return f"answered {status} by the node itself, before any attempt"
        return f"answered {status}: {_describe(decided)}"

    def _decided(self, request_id: str) -> Entry | None:
        lines = [entry for entry in self._of(request_id) if entry.is_failure]
        # The router's lines may have been left out where a gate's were not.
        failures = [entry for entry in lines if entry.event == "request.attempt"] or lines
        if not failures:
            return None
        # That no instance was left to try says less than why the others did not serve.
        telling = [entry for entry in failures if entry.pairs.get("instance")]
        last = (telling or failures)[-1]
        if last.pairs["outcome"].startswith("ran:"):
            below = [self._decided(child) for child in self._children(request_id)]
            failed = [entry for entry in below if entry is not None]
            return failed[-1] if failed else last
        return self._at_gate(last) or last

    def _at_gate(self, attempt: Entry) -> Entry | None:
        """Return the gate's own line of an attempt, which knows more of the cause."""
        lines = [
            entry
            for entry in self._of(attempt.request_id)
            if entry.event == "gate.served"
            and entry.pairs.get("outcome") == attempt.pairs["outcome"]
        ]
        return lines[-1] if lines else None

    def _of(self, request_id: str) -> list[Entry]:
        return [entry for entry in self.entries if entry.request_id == request_id]

    def _children(self, request_id: str) -> list[str]:
        prefix = request_id + CHILD_MARK
        return list(
            dict.fromkeys(
                entry.request_id
                for entry in self.entries
                if entry.request_id.startswith(prefix)
                and CHILD_MARK not in entry.request_id[len(prefix) :]
            )
        )


def read_course(request_id: str, lines: Iterable[str]) -> Course:
    """Pick the lines of a request and its calls out of logs, in any order."""
    entries = []
    for line in lines:
        if request_id not in line:
            continue
        pairs = {name: value.strip('"') for name, value in _PAIR.findall(line)}
        found = pairs.get("id", "")
        if found == request_id or found.startswith(request_id + CHILD_MARK):
            entries.append(Entry(pairs))
    return Course(request_id, sorted(entries, key=lambda entry: entry.time))


def _describe(entry: Entry) -> str:
    pairs = entry.pairs
    outcome = pairs["outcome"]
    where = pairs.get("instance") or pairs.get("node", "")
    if entry.event == "gate.served":
        load = f"queued={pairs.get('queued')} running={pairs.get('running')}"
        return f"gate {where} said {outcome} ({load} limit={pairs.get('limit')})"
    return f"{outcome} at {where or 'no instance'} for {pairs.get('service', '')}"
