"""Baseline decision classes: round robin, FIFO with a static limit, and retries at every hop.

They have the methods of the core classes that they replace.
"""

from collections import deque

from bamboojunction.core.admission.gate import CompletionStatus, Decision, Refuse, Start, Ticket
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran
from bamboojunction.core.poison.decisions import RunNormally
from bamboojunction.core.retries.policy import GiveUp, RetryAfter, RetryDecision
from bamboojunction.core.routing.router import AttemptResult, RouteChoice, RouteRequest
from bamboojunction.core.table.rows import Row

QUEUE_MAX_CALLS = 400
RETRY_DELAY_SECONDS = 0.05


class FifoAdmissionController:
    """A FIFO queue in front of a static concurrency limit; deadlines are ignored."""

    __slots__ = ("_in_flight", "_queue", "_slots")

    def __init__(self, slots: int):
        self._slots = slots
        self._queue: deque[int] = deque()
        self._in_flight: set[int] = set()

    def submit(self, ticket: Ticket, now: float) -> list[Decision]:
        """Queue a call, or refuse it when the queue is full."""
        if len(self._queue) >= QUEUE_MAX_CALLS:
            return [Refuse(ticket.ticket_id, NotRun(NotRunReason.SHED))]
        self._queue.append(ticket.ticket_id)
        return self._start_queued()

    def finish(
        self, ticket_id: int, end: CompletionStatus, service_seconds: float, now: float, **_
    ) -> list[Decision]:
        """Free the slot of a call and start the next one in the queue."""
        self._in_flight.discard(ticket_id)
        return self._start_queued()

    def cancel(self, ticket_id: int, now: float) -> list[Decision]:
        """Return no decisions: without cancellation, a server runs calls that nobody waits for."""
        return []

    def tick(self, now: float) -> list[Decision]:
        """Return no decisions, as none depend on time."""
        return []

    def next_tick(self, now: float) -> float | None:
        """Return None, as no tick is needed."""
        return None

    def report(self, now: float) -> LoadReport:
        """Return an empty load report, which sheds nothing."""
        return LoadReport()

    def _start_queued(self) -> list[Decision]:
        decisions: list[Decision] = []
        while self._queue and len(self._in_flight) < self._slots:
            ticket_id = self._queue.popleft()
            self._in_flight.add(ticket_id)
            decisions.append(Start(ticket_id))
        return decisions


class RoundRobinRouter:
    """A router that sends attempts to all instances of a service in turn."""

    __slots__ = ("_instances_by_service", "_next_index_by_service")

    def __init__(self):
        self._instances_by_service: dict[str, list[Announcement]] = {}
        self._next_index_by_service: dict[str, int] = {}

    def update_instances(self, service: str, instances: list[Announcement]) -> None:
        """Replace the instances of a service."""
        self._instances_by_service[service] = instances

    def choose(self, request: RouteRequest, now: float) -> RouteChoice | NotRun:
        """Choose the next instance, or refuse the attempt if the service has none."""
        instances = self._instances_by_service.get(request.service, [])
        if not instances:
            return NotRun(NotRunReason.NO_UPSTREAM)
        index = self._next_index_by_service.get(request.service, 0)
        self._next_index_by_service[request.service] = index + 1
        return RouteChoice(instances[index % len(instances)].instance)

    def record_sent(self, instance: str, kind: str, now: float) -> None:
        """Ignore a sent attempt."""

    def record_result(self, end: AttemptResult, now: float) -> None:
        """Ignore the end of an attempt."""


class PerHopRetries:
    """A retry policy that retries every failure while this hop has retries left."""

    __slots__ = ()

    def decide(
        self, row: Row, outcome: Outcome, allowance: int, deadline: float, now: float
    ) -> RetryDecision:
        """Retry after a fixed delay, or give up on success, at the deadline or without retries."""
        succeeded = isinstance(outcome, Ran) and outcome.status < 500
        if succeeded or allowance < 1 or now >= deadline:
            return GiveUp()
        return RetryAfter(RETRY_DELAY_SECONDS)


class NoPoisonGuard:
    """A poison guard that never suspects or bans a request."""

    __slots__ = ()

    def __init__(self, instance: str):
        pass

    def admit(self, *_) -> RunNormally:
        """Let every call run as usual."""
        return RunNormally()

    def recheck(self, *_) -> None:
        """Never refuse a call that waited for a slot."""

    def record_start(self, *_) -> None:
        """Ignore the start of a call."""

    def record_abandoned(self, *_) -> None:
        """Ignore a call that ended without a result."""

    def record_completion(self, *_) -> list:
        """Return no findings."""
        return []

    def record_crash(self, *_) -> list:
        """Return no findings."""
        return []

    def apply_finding(self, *_) -> list:
        """Ignore a finding of another node and return none."""
        return []

    def crashed_instances(self, fingerprint: int) -> set[str]:
        """Return an empty set, as no crash is attributed to a request."""
        return set()


class NoEdgeShedder:
    """A replacement for the edge levels that sheds nothing where requests enter."""

    __slots__ = ()

    def record_report(self, *_) -> None:
        """Ignore a load report."""

    def levels_to_relay(self, *_) -> tuple:
        """Return no admission levels."""
        return ()

    def check(self, *_) -> None:
        """Return None, as no call is shed at the edge."""
