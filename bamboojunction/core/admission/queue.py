"""The queue of waiting calls: weighted by rank, then child calls first, then by deadline."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import chain, count

from bamboojunction.core.admission.tickets import Ticket

# Bound on how far a rank may fall behind or run ahead of its share, in seconds of slot time.
CREDIT_MAX_SECONDS = 1.0
COST_MIN_SECONDS = 0.001

_Heap = list[tuple[float, int, Ticket]]


@dataclass(slots=True)
class RankState:
    """The waiting calls of one rank and its credit of slot time in seconds.

    While calls of the rank wait, the credit grows by the rank's share of all slot time that is
    given out. It shrinks by the slot time that the rank itself takes. The shares are by weight,
    among the ranks that have calls waiting or running.
    """

    rank: int
    weight: int = 1
    waiting: int = 0
    running: int = 0
    credit: float = 0.0
    child_calls: _Heap = field(default_factory=list)
    root_calls: _Heap = field(default_factory=list)


class RankQueue:
    """A queue that gives each rank with work its share of slot time, in proportion to its weight.

    A rank whose credit covers the cost of its next call has fallen behind its share and is served
    first. If there is none, the most urgent rank, the one with the lowest number, is served. The
    cost of adding, taking and cancelling a call is logarithmic in the length of the queue and
    linear in the number of ranks.
    """

    __slots__ = ("_by_rank", "_parked_by_kind", "_sequence", "_ticket_by_id")

    def __init__(self):
        self._by_rank: dict[int, RankState] = {}
        self._ticket_by_id: dict[int, Ticket] = {}
        self._parked_by_kind: dict[str, _Heap] = {}
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._ticket_by_id)

    def waiting_count(self, rank: int) -> int:
        """Return the number of waiting calls of a rank."""
        state = self._by_rank.get(rank)
        return state.waiting if state else 0

    def push(self, ticket: Ticket) -> None:
        """Add a waiting call."""
        state = self._by_rank.get(ticket.rank)
        if state is None:
            state = self._by_rank[ticket.rank] = RankState(ticket.rank)
            self._by_rank = dict(sorted(self._by_rank.items()))
        if not state.waiting:
            state.credit = min(state.credit, 0.0)
            state.weight = ticket.weight
        state.weight = max(1, state.weight, ticket.weight)
        state.waiting += 1
        self._ticket_by_id[ticket.ticket_id] = ticket
        self._push_ticket(state, ticket)

    def pop(self, cost_of: Callable[[Ticket], float]) -> Ticket | None:
        """Remove and return the next call; ``cost_of`` returns a call's expected seconds."""
        state = self._next_rank(cost_of)
        if state is None:
            return None
        ticket = self._pop_ticket(state)
        state.running += 1
        self._charge(state, max(COST_MIN_SECONDS, cost_of(ticket)))
        self._remove_waiting(ticket)
        return ticket

    def record_end(self, ticket: Ticket) -> None:
        """Record that a taken call has finished."""
        self._by_rank[ticket.rank].running -= 1

    def refund(self, ticket: Ticket, cost: float) -> None:
        """Return the credit of a call that was taken but did not run."""
        state = self._by_rank[ticket.rank]
        state.running -= 1
        state.credit = min(CREDIT_MAX_SECONDS, state.credit + max(COST_MIN_SECONDS, cost))

    def cancel(self, ticket_id: int) -> bool:
        """Remove a call and return whether it was waiting."""
        ticket = self._ticket_by_id.get(ticket_id)
        if ticket is None:
            return False
        self._remove_waiting(ticket)
        return True

    def suspend(self, ticket: Ticket) -> None:
        """Set a taken call aside until a running call of its kind ends."""
        self._by_rank[ticket.rank].waiting += 1
        self._ticket_by_id[ticket.ticket_id] = ticket
        heap = self._parked_by_kind.setdefault(ticket.kind, [])
        heapq.heappush(heap, (ticket.deadline, next(self._sequence), ticket))

    def resume(self, kind: str) -> None:
        """Return the parked call of a kind with the earliest deadline to the queue of its rank."""
        heap = self._parked_by_kind.get(kind)
        if not heap:
            return
        self._discard_removed(heap)
        if heap:
            ticket = heapq.heappop(heap)[2]
            self._push_ticket(self._by_rank[ticket.rank], ticket)

    def drop_late(self, is_late: Callable[[Ticket], bool]) -> Iterator[Ticket]:
        """Remove and yield late calls.

        Each heap is read in order of deadline up to its first call that is not late.
        """
        for heap in list(self._heaps()):
            while self._discard_removed(heap) and is_late(heap[0][2]):
                ticket = heapq.heappop(heap)[2]
                self._remove_waiting(ticket)
                yield ticket

    def earliest_deadline(self) -> float | None:
        """Return the earliest deadline of all waiting calls, or None if there are none."""
        deadlines = (heap[0][0] for heap in self._heaps() if self._discard_removed(heap))
        return min(deadlines, default=None)

    def clear(self) -> list[Ticket]:
        """Remove and return all waiting calls."""
        tickets = list(self._ticket_by_id.values())
        for ticket in tickets:
            self._remove_waiting(ticket)
        return tickets

    def _heaps(self) -> Iterator[_Heap]:
        states = ((state.child_calls, state.root_calls) for state in self._by_rank.values())
        return chain(chain.from_iterable(states), self._parked_by_kind.values())

    def _push_ticket(self, state: RankState, ticket: Ticket) -> None:
        heap = state.child_calls if ticket.depth else state.root_calls
        heapq.heappush(heap, (ticket.deadline, next(self._sequence), ticket))

    def _pop_ticket(self, state: RankState) -> Ticket:
        heap = state.child_calls if self._discard_removed(state.child_calls) else state.root_calls
        return heapq.heappop(heap)[2]

    def _peek(self, state: RankState) -> Ticket | None:
        heap = state.child_calls if self._discard_removed(state.child_calls) else state.root_calls
        return heap[0][2] if self._discard_removed(heap) else None

    def _discard_removed(self, heap: _Heap) -> bool:
        """Pop removed calls off the front of a heap, and return whether a call is left."""
        while heap and heap[0][2].ticket_id not in self._ticket_by_id:
            heapq.heappop(heap)
        return bool(heap)

    def _remove_waiting(self, ticket: Ticket) -> None:
        del self._ticket_by_id[ticket.ticket_id]
        self._by_rank[ticket.rank].waiting -= 1

    def _next_rank(self, cost_of: Callable[[Ticket], float]) -> RankState | None:
        most_urgent: RankState | None = None
        for state in self._by_rank.values():
            ticket = self._peek(state) if state.waiting else None
            if ticket is None:
                continue
            if state.credit >= max(COST_MIN_SECONDS, cost_of(ticket)):
                return state
            most_urgent = most_urgent or state
        return most_urgent

    def _charge(self, served: RankState, cost: float) -> None:
        states = self._by_rank.values()
        total_weight = sum(state.weight for state in states if state.waiting or state.running)
        for state in states:
            if state.waiting:
                credit = state.credit + cost * state.weight / total_weight
                state.credit = min(CREDIT_MAX_SECONDS, credit)
        served.credit = max(-CREDIT_MAX_SECONDS, served.credit - cost)
