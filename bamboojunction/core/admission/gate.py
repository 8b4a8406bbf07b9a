"""Admission of calls to one upstream's slots."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from bamboojunction.core.load import LoadReport
from bamboojunction.core.outcomes import NotRun, NotRunReason

QUEUE_MAX_CALLS = 256


class ServiceEnd(Enum):
    """Say how a started call ended at the upstream."""

    SUCCEEDED = auto()
    FAILED = auto()
    OVERLOADED = auto()
    CRASHED = auto()
    CANCELLED = auto()


@dataclass(slots=True)
class Ticket:
    """Describe a call that waits for a slot.

    ``deadline`` is in seconds on the gate's clock. A ``slots_max`` of 0 sets no limit on how many
    calls of the kind may run here at once.
    """

    ticket_id: int
    kind: str
    rank: int
    weight: int
    action: str
    deadline: float
    depth: int = 0
    slots_max: int = 0


@dataclass(slots=True, frozen=True)
class Start:
    """Tell the driver to send the call to the upstream now."""

    ticket_id: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Tell the driver to answer the call as not run."""

    ticket_id: int
    outcome: NotRun


Decision = Start | Refuse


class Admission:
    """Decide which calls take the upstream's slots, and which are refused.

    Every method takes the time in seconds and returns the decisions that the driver carries out.
    A call that was started stays in flight until ``finish``.
    """

    __slots__ = ("_draining", "_in_flight", "_limit", "_queue")

    def __init__(self, slots: int):
        self._limit = slots
        self._queue: deque[Ticket] = deque()
        self._in_flight: dict[int, Ticket] = {}
        self._draining = False

    @classmethod
    def from_config(cls, upstream_settings) -> "Admission":
        """Create the admission of the upstream that the settings describe."""
        return cls(slots=upstream_settings.slots)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Admit, queue or refuse a new call."""
        if self._draining:
            return [Refuse(ticket.ticket_id, NotRun(NotRunReason.DRAINING))]
        if len(self._queue) >= QUEUE_MAX_CALLS:
            return [Refuse(ticket.ticket_id, NotRun(NotRunReason.SHED, retry_after=0.1))]
        self._queue.append(ticket)
        return self._fill(now)

    def finish(
        self,
        ticket_id: int,
        end: ServiceEnd,
        service_seconds: float,
        now: float,
        below_seconds: float = 0.0,
    ) -> list[Decision]:
        """Free the slot of a started call and learn from how it ended.

        ``below_seconds`` is the part of the service time that the call's own child calls took.
        """
        self._in_flight.pop(ticket_id, None)
        return self._fill(now)

    def cancel(self, ticket_id: int, now: float) -> list[Decision]:
        """Drop a queued call whose caller went away; a started call keeps its slot."""
        kept = (ticket for ticket in self._queue if ticket.ticket_id != ticket_id)
        self._queue = deque(kept)
        return []

    def tick(self, now: float) -> list[Decision]:
        """Drop queued calls that can no longer finish in time."""
        expired = [ticket for ticket in self._queue if ticket.deadline <= now]
        self._queue = deque(ticket for ticket in self._queue if ticket.deadline > now)
        refusals = [Refuse(entry.ticket_id, NotRun(NotRunReason.DEADLINE)) for entry in expired]
        return [*refusals, *self._fill(now)]

    def next_tick(self, now: float) -> float | None:
        """Return when ``tick`` is due, or None while nothing waits."""
        return min((ticket.deadline for ticket in self._queue), default=None)

    def drain(self, now: float) -> list[Decision]:
        """Hand the queue back and refuse all new calls."""
        self._draining = True
        refusals = [
            Refuse(ticket.ticket_id, NotRun(NotRunReason.DRAINING)) for ticket in self._queue
        ]
        self._queue.clear()
        return refusals

    def report(self, now: float) -> LoadReport:
        """Describe the load for the answer that is about to leave."""
        return LoadReport(
            queued=len(self._queue),
            in_flight=len(self._in_flight),
            limit=self._limit,
            draining=self._draining,
        )

    def _fill(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._queue and len(self._in_flight) < self._limit:
            ticket = self._queue.popleft()
            if ticket.deadline <= now:
                decisions.append(Refuse(ticket.ticket_id, NotRun(NotRunReason.DEADLINE)))
                continue
            self._in_flight[ticket.ticket_id] = ticket
            decisions.append(Start(ticket.ticket_id))
        return decisions
