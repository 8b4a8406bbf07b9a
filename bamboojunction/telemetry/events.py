"""The events that a node on the platform logs, one line each."""

import asyncio
import os
import time

from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, Outcome, Ran, Unknown
from bamboojunction.core.retries.forwarding import Step
from bamboojunction.nodes.replies import GateReply
from bamboojunction.telemetry.logs import format_pairs
from bamboojunction.telemetry.measures import Measures
from bamboojunction.telemetry.output import LineOutput

REPORT_SECONDS = 1.0
# Lines are written together, as each write costs a system call. A process that is killed loses the
# lines of this time.
FLUSH_SECONDS = 0.1


class EventLog:
    """Write one line for each decision and count it.

    The volume of lines is bounded; what is left out is still counted.
    """

    __slots__ = ("_instance", "_is_flush_due", "_loop", "_output", "measures")

    def __init__(self, instance: str, output: LineOutput):
        self._instance = instance
        self._output = output
        self._is_flush_due = False
        self.measures = Measures()
        self._loop = asyncio.get_running_loop()

    async def report_left_out(self) -> None:
        """Tell once a second how many lines were left out, and write what waits."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            self._output.flush()
            if self._output.left_out:
                lines, self._output.left_out = self._output.left_out, 0
                self.measures.lines_left_out(lines)
                self._emit("log.left_out", True, lines=lines)

    def started(self, **pairs: object) -> None:
        """Log the start of the process."""
        self._emit("node.started", True, pid=os.getpid(), **pairs)

    def stopping(self, **pairs: object) -> None:
        """Log that a stop was asked for."""
        self._emit("node.stopping", True, **pairs)

    def stopped(self, **pairs: object) -> None:
        """Log the end of the process."""
        self._emit("node.stopped", True, **pairs)
        self._output.flush()

    def close_cut(self) -> None:
        """Log that peers did not close their connections in time."""
        self._emit("node.close_cut", True)

    def reloaded(self, **pairs: object) -> None:
        """Log that the settings were read again."""
        self._emit("node.reloaded", True, **pairs)

    def reload_failed(self, problem: str) -> None:
        """Log that the settings file has changed and cannot be used."""
        self._emit("node.reload_failed", True, problem=problem)

    def task_failed(self, task: str, problem: str) -> None:
        """Log that a task of the node failed and is started again."""
        self._emit("node.task_failed", True, task=task, problem=problem)

    def paused(self, seconds: float) -> None:
        """Log that the process stood still."""
        self._emit("node.paused", True, seconds=seconds)

    def store_reached(self, collection: str, is_reached: bool, detail: str) -> None:
        """Log that the store was lost or regained."""
        name = "store.regained" if is_reached else "store.lost"
        self._emit(name, True, collection=collection, detail=detail)

    def announce_failed(self, detail: str) -> None:
        """Log a write of the announcement that failed."""
        self._emit("store.announce_failed", True, detail=detail)

    def configuration_in_force(self, version: int, source: str) -> None:
        """Log the version of the configuration in force, and who told it."""
        self._emit("configuration.in_force", True, version=version, source=source)

    def configuration_refused(self, revision: int, problem: str) -> None:
        """Log a configuration that cannot be used."""
        self._emit("configuration.refused", True, revision=revision, problem=problem)

    def announcement_refused(self, name: str) -> None:
        """Log an announcement that names no upstream."""
        self._emit("instance.refused", True, name=name)

    def announcement_removed(self, name: str, is_done: bool) -> None:
        """Log the removal of the announcement of a machine that is gone."""
        self._emit("instance.removed", True, name=name, done=is_done)

    def instances_changed(self, joined: list[str], left: list[str], known: int) -> None:
        """Log which instances joined and left."""
        self._emit(
            "instance.changed", True, joined=",".join(joined), left=",".join(left), known=known
        )

    def upstream_changed(self, change: str, instance_id: str, **pairs: object) -> None:
        """Log a change of the upstream beside this node."""
        self._emit("upstream.changed", True, change=change, id=instance_id, **pairs)

    def report_refused(self, method: str, path: str, problem: str) -> None:
        """Log a report of an upstream that cannot be used."""
        self._emit("upstream.report_refused", True, method=method, path=path, problem=problem)

    def attempt_ended(
        self,
        call: Call,
        outcome: Outcome,
        instance: str | None,
        step: Step,
        seconds: float,
        budget: float,
    ) -> None:
        """Log how an attempt ended and what follows."""
        self.measures.attempt_ended(call.service, outcome_text(outcome), step.name.lower())
        self._emit(
            "request.attempt",
            not _is_success(outcome),
            id=call.action,
            kind=call.kind,
            service=call.service,
            instance=instance or "",
            outcome=outcome_text(outcome),
            ms=seconds * 1000,
            left_ms=(call.deadline - self._loop.time()) * 1000,
            step=step.name.lower(),
            budget=budget,
        )

    def served(self, call: Call, reply: GateReply, seconds: float) -> None:
        """Log how this node's gate answered a call."""
        report = reply.report
        queued = seconds - reply.service_seconds
        self.measures.served(
            call.kind, call.service, outcome_text(reply.outcome), queued, reply.service_seconds
        )
        self._emit(
            "gate.served",
            not _is_success(reply.outcome),
            id=call.action,
            kind=call.kind,
            outcome=outcome_text(reply.outcome),
            ms=seconds * 1000,
            upstream_ms=reply.service_seconds * 1000,
            left_ms=(call.deadline - self._loop.time()) * 1000,
            queued=report.queued,
            running=report.in_flight,
            limit=report.limit,
        )

    def answered(
        self, request_id: str, path: str, kind: str, status: int, seconds: float, version: int
    ) -> None:
        """Log the answer to a caller; ``kind`` is empty when no route matches."""
        self.measures.answered(kind, status, seconds)
        self._emit(
            "request.answered",
            status >= 400,
            id=request_id,
            path=path,
            kind=kind,
            status=status,
            ms=seconds * 1000,
            version=version,
        )

    def cancelled(self, request_id: str, seconds: float) -> None:
        """Log that a caller went away before the answer."""
        self._emit("request.cancelled", True, id=request_id, ms=seconds * 1000)

    def _emit(self, event: str, is_important: bool, **pairs: object) -> None:
        now = self._loop.time()
        if not self._output.admits(now, is_important):
            return
        moment = f"{time.time():.3f}"
        line = format_pairs({"time": moment, "event": event, "node": self._instance, **pairs})
        self._output.write(f"{line}\n")
        if not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_later(FLUSH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        self._output.flush()


def outcome_text(outcome: Outcome) -> str:
    """Return an outcome in one word."""
    match outcome:
        case Ran(status=status):
            return f"ran:{status}"
        case NotRun(reason=reason):
            return f"not-run:{reason.value}"
        case Unknown(reason=reason):
            return f"unknown:{reason.value}"


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Ran) and outcome.status < 400
