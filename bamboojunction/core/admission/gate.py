"""Admission of calls to one upstream's slots."""

from bamboojunction.core.admission.limit import AdaptiveLimit
from bamboojunction.core.admission.queue import RankQueue
from bamboojunction.core.admission.service_times import ServiceTimes
from bamboojunction.core.admission.shedding import Shedding
from bamboojunction.core.admission.tickets import (
    Decision,
    Refuse,
    ServiceEnd,
    Start,
    Ticket,
)
from bamboojunction.core.load import LoadReport, action_hash
from bamboojunction.core.outcomes import NotRun, NotRunReason

__all__ = ["Admission", "Decision", "Refuse", "ServiceEnd", "Start", "Ticket"]

# Each rank may queue this many calls for each slot, and a few more at small upstreams.
QUEUE_CALLS_PER_SLOT = 2
QUEUE_CALLS_MIN = 16
RETRY_AFTER_SECONDS = 0.3


class Admission:
    """Decide which calls take the upstream's slots, and which are refused.

    Every method takes the time in seconds and returns the decisions that the driver carries out.
    A call that was started stays in flight until ``finish``.
    """

    __slots__ = (
        "_draining",
        "_in_flight",
        "_limit",
        "_queue",
        "_queue_max",
        "_running_by_kind",
        "_service_times",
        "_shedding",
    )

    def __init__(self, slots: int, cold_start_seconds: float = 0.0):
        self._limit = AdaptiveLimit(slots, cold_start_seconds)
        self._queue = RankQueue()
        self._queue_max = QUEUE_CALLS_PER_SLOT * slots + QUEUE_CALLS_MIN
        self._service_times = ServiceTimes()
        self._shedding = Shedding()
        self._in_flight: dict[int, Ticket] = {}
        self._running_by_kind: dict[str, int] = {}
        self._draining = False

    @classmethod
    def from_config(cls, upstream_settings) -> "Admission":
        """Create the admission of the upstream that the settings describe."""
        return cls(upstream_settings.slots, upstream_settings.cold_start_seconds)

    def start_cold(self, now: float) -> None:
        """Ramp the limit up from 1, as the upstream was just started."""
        self._limit.start_cold(now)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Admit, queue or refuse a new call."""
        if self._draining:
            return [Refuse(ticket.ticket_id, NotRun(NotRunReason.DRAINING))]
        self._update_shedding(now)
        place = action_hash(ticket.action)
        if not self._shedding.admits(ticket.rank, place, ticket.depth):
            return [self._refuse(ticket, NotRunReason.SHED, place)]
        if self._is_doomed(ticket, now):
            return [self._refuse(ticket, NotRunReason.DEADLINE, place)]
        waiting = self._queue.waiting(ticket.rank)
        is_too_long = self._shedding.waits_too_long(ticket.rank, waiting)
        if is_too_long or waiting >= self._queue_max:
            return [self._refuse(ticket, NotRunReason.FULL, place)]
        self._shedding.note_admitted(ticket.rank)
        self._queue.push(ticket)
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
        ticket = self._in_flight.get(ticket_id)
        if ticket is None:
            return []
        self._limit.ended(end, len(self._in_flight), now)
        del self._in_flight[ticket_id]
        if end is ServiceEnd.SUCCEEDED:
            self._service_times.add(ticket.kind, service_seconds, now)
        self._queue.ended(ticket)
        self._release_kind(ticket)
        return self._fill(now)

    def cancel(self, ticket_id: int, now: float) -> list[Decision]:
        """Drop a queued call whose caller went away; a started call keeps its slot."""
        self._queue.cancel(ticket_id)
        return []

    def tick(self, now: float) -> list[Decision]:
        """Drop queued calls that can no longer finish in time."""
        self._update_shedding(now)
        doomed = list(self._queue.drop(lambda ticket: self._is_doomed(ticket, now)))
        refusals = [self._refuse(ticket, NotRunReason.DEADLINE) for ticket in doomed]
        return [*refusals, *self._fill(now)]

    def next_tick(self, now: float) -> float | None:
        """Return when ``tick`` is due, or None while nothing waits."""
        if not len(self._queue) and not self._shedding.sheds:
            return None
        return max(now, self._shedding.next_update())

    def drain(self, now: float) -> list[Decision]:
        """Hand the queue back and refuse all new calls."""
        self._draining = True
        waiting = self._queue.clear()
        return [Refuse(ticket.ticket_id, NotRun(NotRunReason.DRAINING)) for ticket in waiting]

    def report(self, now: float) -> LoadReport:
        """Describe the load for the answer that is about to leave."""
        return LoadReport(
            queued=len(self._queue),
            in_flight=len(self._in_flight),
            limit=self._limit.current(now),
            level=self._shedding.level,
            draining=self._draining,
        )

    def _update_shedding(self, now: float) -> None:
        has_free_slot = len(self._in_flight) < self._limit.current(now)
        self._shedding.update(self._queue.waiting, has_free_slot, self._service_times.usual, now)

    def _fill(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        limit = self._limit.current(now)
        while len(self._queue) and len(self._in_flight) < limit:
            ticket = self._queue.take(lambda waiting: self._cost(waiting, now))
            if ticket is None:
                break
            decision = self._dispatch(ticket, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _dispatch(self, ticket: Ticket, now: float) -> Decision | None:
        if self._is_doomed(ticket, now):
            self._queue.refund(ticket, self._cost(ticket, now))
            return self._refuse(ticket, NotRunReason.DEADLINE)
        running = self._running_by_kind.get(ticket.kind, 0)
        if ticket.slots_max and running >= ticket.slots_max:
            self._queue.refund(ticket, self._cost(ticket, now))
            self._queue.park(ticket)
            return None
        self._running_by_kind[ticket.kind] = running + 1
        self._in_flight[ticket.ticket_id] = ticket
        self._shedding.note_started(ticket.rank, self._queue.waiting(ticket.rank))
        return Start(ticket.ticket_id)

    def _release_kind(self, ticket: Ticket) -> None:
        running = self._running_by_kind[ticket.kind] - 1
        if running:
            self._running_by_kind[ticket.kind] = running
        else:
            del self._running_by_kind[ticket.kind]
        self._queue.unpark(ticket.kind)

    def _cost(self, ticket: Ticket, now: float) -> float:
        return self._service_times.expected(ticket.kind, now)

    def _is_doomed(self, ticket: Ticket, now: float) -> bool:
        remaining = ticket.deadline - now
        if not len(self._queue):
            # A call that displaces no other may try, whatever the chance that it ends in time.
            return remaining <= 0
        return remaining <= self._service_times.cautious(ticket.kind, now)

    def _refuse(self, ticket: Ticket, reason: NotRunReason, place: float | None = None) -> Refuse:
        place = action_hash(ticket.action) if place is None else place
        return Refuse(ticket.ticket_id, NotRun(reason, RETRY_AFTER_SECONDS * (0.5 + place)))
