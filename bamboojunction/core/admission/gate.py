"""Admission control for the slots of one upstream."""

from bamboojunction.core.admission.breaker import RefusalBreaker
from bamboojunction.core.admission.limit import AdaptiveLimit
from bamboojunction.core.admission.queue import RankQueue
from bamboojunction.core.admission.service_times import GateServiceTimes
from bamboojunction.core.admission.shedding import LoadShedder
from bamboojunction.core.admission.tickets import (
    CompletionStatus,
    Decision,
    Refuse,
    Start,
    Ticket,
)
from bamboojunction.core.load_reports import AdmissionLevel, LoadReport, action_hash
from bamboojunction.core.outcomes import NotRun, NotRunReason

__all__ = ["AdmissionController", "CompletionStatus", "Decision", "Refuse", "Start", "Ticket"]

# Queue capacity of a rank: calls per slot, plus a constant number for upstreams with few slots.
QUEUE_CALLS_PER_SLOT = 2
QUEUE_CALLS_BASE = 16
# Mean retry-after of a refused call; the hash of its action spreads it from 0.5 to 1.5 times this.
RETRY_AFTER_SECONDS = 0.3
# The same while the upstream refuses all calls.
OPEN_RETRY_AFTER_SECONDS = 1.0
# Queued calls are refused this long before their deadline, so that the refusal arrives in time. A
# caller that hears nothing until the deadline has to assume that the call may have run.
REFUSAL_MARGIN_SECONDS = 0.03


class AdmissionController:
    """Admission controller that starts, queues or refuses the calls to an upstream.

    It does no I/O: methods take the current time in seconds, and those that may start or refuse
    calls return the decisions for the caller to carry out. A started call holds its slot until
    ``finish``.
    """

    __slots__ = (
        "_breaker",
        "_draining",
        "_in_flight",
        "_limit",
        "_queue",
        "_queue_max_per_rank",
        "_running_by_kind",
        "_service_times",
        "_shedder",
    )

    def __init__(self, slots: int, cold_start_seconds: float = 0.0):
        self._limit = AdaptiveLimit(slots, cold_start_seconds)
        self._queue = RankQueue()
        self._queue_max_per_rank = QUEUE_CALLS_PER_SLOT * slots + QUEUE_CALLS_BASE
        self._service_times = GateServiceTimes()
        self._shedder = LoadShedder()
        self._breaker = RefusalBreaker()
        self._in_flight: dict[int, Ticket] = {}
        self._running_by_kind: dict[str, int] = {}
        self._draining = False

    @classmethod
    def from_config(cls, upstream_settings) -> "AdmissionController":
        """Create the admission controller of an upstream from its settings."""
        return cls(upstream_settings.slots, upstream_settings.cold_start_seconds)

    def begin_cold_start(self, now: float) -> None:
        """Ramp the limit up from 1 after the upstream was started."""
        self._limit.begin_cold_start(now)

    def submit(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse a new call."""
        if self._draining:
            return [Refuse(ticket.ticket_id, NotRun(NotRunReason.DRAINING))]
        self._update_shedder(now)
        hash_value = action_hash(ticket.action)
        if not self._shedder.admits(ticket.rank, hash_value, ticket.depth):
            return [self._refuse(ticket, NotRunReason.SHED, hash_value)]
        if self._will_miss_deadline(ticket, now):
            return [self._refuse(ticket, NotRunReason.DEADLINE, hash_value)]
        if not self._breaker.admits(now):
            return [self._refuse_while_open(ticket)]
        waiting = self._queue.waiting_count(ticket.rank)
        exceeds_max_delay = self._shedder.exceeds_max_delay(ticket.rank, waiting)
        if exceeds_max_delay or waiting >= self._queue_max_per_rank:
            return [self._refuse(ticket, NotRunReason.FULL, hash_value)]
        self._shedder.record_admitted(ticket.rank, is_child_call=ticket.depth > 0)
        self._queue.push(ticket)
        return self._start_queued(now)

    def finish(
        self,
        ticket_id: int,
        status: CompletionStatus,
        service_seconds: float,
        now: float,
        child_call_seconds: float = 0.0,
    ) -> list[Decision]:
        """Free the slot of a started call, and update the limit and the service times.

        ``service_seconds`` is the time that the call took at the upstream.
        ``child_call_seconds``, the part of it that the child calls took, is not used.
        """
        ticket = self._in_flight.get(ticket_id)
        if ticket is None:
            return []
        was_open = self._breaker.is_open
        self._breaker.record_end(status, now)
        if not was_open:
            # Refused probes do not lower the limit, which applies again once the breaker closes.
            self._limit.record_end(status, len(self._in_flight), now)
        del self._in_flight[ticket_id]
        if status is CompletionStatus.SUCCEEDED:
            self._service_times.add(ticket.kind, service_seconds, now)
        self._queue.record_end(ticket)
        self._release_kind_slot(ticket)
        if self._breaker.is_open and not was_open:
            return [self._refuse_while_open(queued) for queued in self._queue.clear()]
        return self._start_queued(now)

    def cancel(self, ticket_id: int, now: float) -> list[Decision]:
        """Remove a queued call whose caller has gone, and return no decisions.

        A started call keeps its slot.
        """
        self._queue.cancel(ticket_id)
        return []

    def tick(self, now: float) -> list[Decision]:
        """Refuse queued calls that can no longer meet their deadline, and start others."""
        self._update_shedder(now)
        late = list(self._queue.drop_late(lambda ticket: self._will_miss_deadline(ticket, now)))
        refusals = [self._refuse(ticket, NotRunReason.DEADLINE) for ticket in late]
        return [*refusals, *self._start_queued(now)]

    def next_tick(self, now: float) -> float | None:
        """Return when ``tick`` is due, or None if no call is queued and no rank is being shed."""
        if not len(self._queue) and not self._shedder.is_shedding:
            return None
        next_tick = self._shedder.next_update()
        earliest_deadline = self._queue.earliest_deadline()
        if earliest_deadline is not None:
            # Within the margin, so that rounding does not make the tick come just too early.
            next_tick = min(next_tick, earliest_deadline - 0.9 * REFUSAL_MARGIN_SECONDS)
        return max(now, next_tick)

    def drain(self, now: float) -> list[Decision]:
        """Refuse all queued calls and all calls offered from now on."""
        self._draining = True
        queued = self._queue.clear()
        return [Refuse(ticket.ticket_id, NotRun(NotRunReason.DRAINING)) for ticket in queued]

    def report(self, now: float) -> LoadReport:
        """Return the load report to be sent with an answer."""
        return LoadReport(
            queued=len(self._queue),
            in_flight=len(self._in_flight),
            limit=self._limit.current(now),
            level=self._level(),
            draining=self._draining,
            refused_share=self._breaker.refused_share,
        )

    def _level(self) -> AdmissionLevel:
        return self._shedder.closed_level() if self._breaker.is_open else self._shedder.level

    def _update_shedder(self, now: float) -> None:
        has_free_slot = len(self._in_flight) < self._limit.current(now)
        self._shedder.update(
            self._queue.waiting_count, has_free_slot, self._service_times.overall_mean, now
        )

    def _start_queued(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        limit = self._limit.current(now)
        while len(self._queue) and len(self._in_flight) < limit:
            ticket = self._queue.pop(lambda queued: self._expected_seconds(queued, now))
            if ticket is None:
                break
            decision = self._dispatch(ticket, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _dispatch(self, ticket: Ticket, now: float) -> Decision | None:
        if self._will_miss_deadline(ticket, now):
            self._queue.refund(ticket, self._expected_seconds(ticket, now))
            return self._refuse(ticket, NotRunReason.DEADLINE)
        running = self._running_by_kind.get(ticket.kind, 0)
        if ticket.slots_max and running >= ticket.slots_max:
            self._queue.refund(ticket, self._expected_seconds(ticket, now))
            self._queue.suspend(ticket)
            return None
        self._running_by_kind[ticket.kind] = running + 1
        self._in_flight[ticket.ticket_id] = ticket
        self._shedder.record_started(ticket.rank, self._queue.waiting_count(ticket.rank))
        return Start(ticket.ticket_id)

    def _release_kind_slot(self, ticket: Ticket) -> None:
        running = self._running_by_kind[ticket.kind] - 1
        if running:
            self._running_by_kind[ticket.kind] = running
        else:
            del self._running_by_kind[ticket.kind]
        self._queue.resume(ticket.kind)

    def _expected_seconds(self, ticket: Ticket, now: float) -> float:
        return self._service_times.expected(ticket.kind, now)

    def _will_miss_deadline(self, ticket: Ticket, now: float) -> bool:
        remaining = ticket.deadline - now
        if not len(self._queue):
            # With an empty queue the call delays no other, so it may start even if it is likely
            # to miss its deadline.
            return remaining <= 0
        needed = max(REFUSAL_MARGIN_SECONDS, self._service_times.upper_bound(ticket.kind, now))
        return remaining <= needed

    def _refuse(
        self, ticket: Ticket, reason: NotRunReason, hash_value: float | None = None
    ) -> Refuse:
        hash_value = action_hash(ticket.action) if hash_value is None else hash_value
        return Refuse(ticket.ticket_id, NotRun(reason, RETRY_AFTER_SECONDS * (0.5 + hash_value)))

    def _refuse_while_open(self, ticket: Ticket) -> Refuse:
        retry_after = OPEN_RETRY_AFTER_SECONDS * (0.5 + action_hash(ticket.action))
        return Refuse(ticket.ticket_id, NotRun(NotRunReason.SHED, retry_after))
