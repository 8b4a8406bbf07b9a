"""The event log of a node on the platform, with one line for each event."""

import asyncio
import os
import time
from collections.abc import Sequence

from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, Outcome, Ran, Unknown
from bamboojunction.core.retries.forwarding import Step
from bamboojunction.links.replies import GateReply
from bamboojunction.telemetry.line_output import LineOutput
from bamboojunction.telemetry.logs import format_fields
from bamboojunction.telemetry.prometheus import PrometheusMetrics

REPORT_INTERVAL_SECONDS = 1.0
# Lines are written in batches, as each write is a system call. A process that is killed loses the
# lines of up to this time.
FLUSH_DELAY_SECONDS = 0.1
# Bounds on the description of an incomplete configuration, which may have any number of entries.
PROBLEMS_LOGGED_MAX = 5
PROBLEM_LOGGED_CHARACTERS_MAX = 200


class EventLog:
    """A log of events that also updates the node's metrics.

    Lines are rate limited; the metrics also count events whose lines are dropped.
    """

    __slots__ = ("_instance", "_is_flush_scheduled", "_loop", "_output", "prometheus_metrics")

    def __init__(self, instance: str, output: LineOutput):
        self._instance = instance
        self._output = output
        self._is_flush_scheduled = False
        self.prometheus_metrics = PrometheusMetrics()
        self._loop = asyncio.get_running_loop()

    async def report_dropped_lines(self) -> None:
        """Log the number of dropped lines and flush pending lines, once a second."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            self._output.flush()
            if self._output.dropped_lines:
                lines, self._output.dropped_lines = self._output.dropped_lines, 0
                self.prometheus_metrics.record_dropped_lines(lines)
                self._emit("log.left_out", True, lines=lines)

    def started(self, **fields: object) -> None:
        """Log the start of the process."""
        self._emit("node.started", True, pid=os.getpid(), **fields)

    def stopping(self, **fields: object) -> None:
        """Log that a graceful stop was requested."""
        self._emit("node.stopping", True, **fields)

    def stopped(self, **fields: object) -> None:
        """Log the end of the process."""
        self._emit("node.stopped", True, **fields)
        self._output.flush()

    def close_timed_out(self) -> None:
        """Log that connections were aborted because peers did not close them in time."""
        self._emit("node.close_cut", True)

    def reloaded(self, **fields: object) -> None:
        """Log that the settings were reloaded."""
        self._emit("node.reloaded", True, **fields)

    def reload_failed(self, problem: str) -> None:
        """Log that the settings file was not reloaded because it is invalid."""
        self._emit("node.reload_failed", True, problem=problem)

    def setting_defaulted(self, field: str, value: str, used: str) -> None:
        """Log that a field of the settings file cannot be used, and what is used instead."""
        self._emit("settings.defaulted", True, field=field, value=value, used=used)

    def task_failed(self, task: str, problem: str) -> None:
        """Log that a background task failed and is restarted."""
        self._emit("node.task_failed", True, task=task, problem=problem)

    def metrics_port_taken(self, address: str, problem: str, holder: str) -> None:
        """Log that the node serves without metrics until it can listen on their address."""
        self._emit("metrics.port_taken", True, address=address, problem=problem, holder=holder)

    def metrics_listening(self, address: str) -> None:
        """Log that the metrics can be read on an address."""
        self._emit("metrics.listening", True, address=address)

    def process_paused(self, seconds: float) -> None:
        """Log that the process did not run for some seconds."""
        self._emit("node.paused", True, seconds=seconds)

    def store_reachability_changed(self, collection: str, is_reachable: bool, detail: str) -> None:
        """Log that a collection of the store became reachable or unreachable."""
        name = "store.regained" if is_reachable else "store.lost"
        self._emit(name, True, collection=collection, detail=detail)

    def store_called(self, collection: str, purpose: str, may_be_stale: bool = False) -> None:
        """Count a call to the store; calls are not logged."""
        self.prometheus_metrics.record_store_call(collection, purpose, may_be_stale)

    def store_watcher_changed(self, is_store_watcher: bool) -> None:
        """Log that this node became a store watcher of its data centre, or no longer is one."""
        self._emit("store.watcher", True, active=is_store_watcher)

    def announcement_failed(self, detail: str) -> None:
        """Log that the node's announcement could not be written to the store."""
        self._emit("store.announce_failed", True, detail=detail)

    def configuration_applied(self, version: int, source: str) -> None:
        """Log the configuration version that takes effect and where it came from."""
        self._emit("configuration.in_force", True, version=version, source=source)

    def configuration_incomplete(self, version: int, problems: Sequence[str]) -> None:
        """Log the entries of the active configuration that could not be read in full."""
        logged = "; ".join(
            problem[:PROBLEM_LOGGED_CHARACTERS_MAX] for problem in problems[:PROBLEMS_LOGGED_MAX]
        )
        self._emit(
            "configuration.incomplete", True, version=version, count=len(problems), problems=logged
        )

    def configuration_rejected(self, revision: int, problem: str) -> None:
        """Log that an invalid configuration was rejected."""
        self._emit("configuration.refused", True, revision=revision, problem=problem)

    def announcement_rejected(self, name: str) -> None:
        """Log that an invalid announcement was rejected."""
        self._emit("instance.refused", True, name=name)

    def announcement_removed(self, name: str, is_removed: bool) -> None:
        """Log an attempt to remove the announcement of an absent node, and whether it succeeded."""
        self._emit("instance.removed", True, name=name, done=is_removed)

    def instances_changed(self, joined: list[str], left: list[str], known: int) -> None:
        """Log which instances joined and left, and how many are known now."""
        self._emit(
            "instance.changed", True, joined=",".join(joined), left=",".join(left), known=known
        )

    def upstream_changed(self, change: str, instance_id: str, **fields: object) -> None:
        """Log a state change of the upstream beside this node."""
        self._emit("upstream.changed", True, change=change, id=instance_id, **fields)

    def upstream_crashed(self, suspected: int, banned: list[int]) -> None:
        """Log a crash of the upstream, the number of its suspects and the requests it bans."""
        self._emit(
            "upstream.crashed",
            True,
            suspected=suspected,
            banned=",".join(f"{fingerprint:016x}" for fingerprint in banned),
        )

    def departures_restored(self, count: int) -> None:
        """Log the number of departures that an earlier process of this node acknowledged."""
        self._emit("upstream.departures", True, count=count)

    def departures_unknown(self) -> None:
        """Log that the store did not tell in time which departures were acknowledged."""
        self._emit("upstream.departures_unknown", True)

    def departure_not_stored(self, instance_id: str) -> None:
        """Log that a departure is acknowledged that the store does not hold yet."""
        self._emit("upstream.departure_not_stored", True, id=instance_id)

    def upstream_report_rejected(self, method: str, path: str, problem: str) -> None:
        """Log that an invalid report from an upstream was rejected."""
        self._emit("upstream.report_refused", True, method=method, path=path, problem=problem)

    def attempt_ended(
        self,
        call: Call,
        outcome: Outcome,
        instance: str | None,
        step: Step,
        seconds: float,
        retries_left: float,
    ) -> None:
        """Log the outcome of an attempt and the step that follows it."""
        self.prometheus_metrics.record_attempt(
            call.service, format_outcome(outcome), step.name.lower()
        )
        self._emit(
            "request.attempt",
            not _is_success(outcome),
            id=call.action,
            kind=call.kind,
            service=call.service,
            instance=instance or "",
            outcome=format_outcome(outcome),
            ms=seconds * 1000,
            left_ms=(call.deadline - self._loop.time()) * 1000,
            step=step.name.lower(),
            budget=retries_left,
        )

    def gate_answered(self, call: Call, reply: GateReply, seconds: float) -> None:
        """Log how this node's gate answered a call."""
        report = reply.report
        queued_seconds = seconds - reply.service_seconds
        self.prometheus_metrics.record_gate_answer(
            call.kind,
            call.service,
            format_outcome(reply.outcome),
            queued_seconds,
            reply.service_seconds,
        )
        self._emit(
            "gate.served",
            not _is_success(reply.outcome),
            id=call.action,
            kind=call.kind,
            outcome=format_outcome(reply.outcome),
            ms=seconds * 1000,
            upstream_ms=reply.service_seconds * 1000,
            left_ms=(call.deadline - self._loop.time()) * 1000,
            queued=report.queued,
            running=report.in_flight,
            limit=report.limit,
        )

    def request_answered(
        self, request_id: str, path: str, kind: str, status: int, seconds: float, version: int
    ) -> None:
        """Log the answer to a caller; ``kind`` is empty when no route matches."""
        self.prometheus_metrics.record_answer(kind, status, seconds)
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

    def request_rejected(self, request_id: str, reason: str) -> None:
        """Log a request that was answered before it had arrived in full."""
        self._emit("request.rejected", True, id=request_id, reason=reason)

    def request_cancelled(self, request_id: str, seconds: float) -> None:
        """Log that a caller disconnected before it got an answer."""
        self._emit("request.cancelled", True, id=request_id, ms=seconds * 1000)

    def _emit(self, event: str, is_important: bool, **fields: object) -> None:
        now = self._loop.time()
        if not self._output.admit(now, is_important):
            return
        timestamp = f"{time.time():.3f}"
        line = format_fields({"time": timestamp, "event": event, "node": self._instance, **fields})
        self._output.write(f"{line}\n")
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_later(FLUSH_DELAY_SECONDS, self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        self._output.flush()


def format_outcome(outcome: Outcome) -> str:
    """Return an outcome as ``ran:STATUS``, ``not-run:REASON`` or ``unknown:REASON``."""
    match outcome:
        case Ran(status=status):
            return f"ran:{status}"
        case NotRun(reason=reason):
            return f"not-run:{reason.value}"
        case Unknown(reason=reason):
            return f"unknown:{reason.value}"


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Ran) and outcome.status < 400
