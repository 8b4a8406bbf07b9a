"""The waiting calls: by rank, and within a rank deep calls first, then the earliest deadline."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import chain, count

from bamboojunction.core.admission.tickets import Ticket

# A rank may fall behind or run ahead of its share by this many seconds of slot time at most.
CREDIT_MAX_SECONDS = 1.0
COST_MIN_SECONDS = 0.001

_Heap = list[tuple[float, int, Ticket]]


@dataclass(slots=True)
class RankLine:
    """Hold the waiting calls of one rank and its credit of slot time.

    The credit grows by the rank's share of all slot time that is handed out while the rank waits,
    and shrinks by the slot time that the rank itself takes. The shares are those among the ranks
    with work, waiting or running.
    """

    rank: int
    weight: int = 1
    waiting: int = 0
    running: int = 0
    credit: float = 0.0
    deep: _Heap = field(default_factory=list)
    new: _Heap = field(default_factory=list)


class RankQueue:
    """Hand out waiting calls so that each rank with work keeps its weight's share.

    A rank whose credit covers one call is behind its share and goes first; with none behind, the
    most urgent rank goes. Adding, taking and cancelling cost the logarithm of the queue's length,
    and one step for each rank.
    """

    __slots__ = ("_by_ticket", "_lines", "_parked_by_kind", "_sequence")

    def __init__(self):
        self._lines: dict[int, RankLine] = {}
        self._by_ticket: dict[int, Ticket] = {}
        self._parked_by_kind: dict[str, _Heap] = {}
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._by_ticket)

    def waiting(self, rank: int) -> int:
        """Return how many calls of a rank wait."""
        line = self._lines.get(rank)
        return line.waiting if line else 0

    def push(self, ticket: Ticket) -> None:
        """Add a call."""
        line = self._lines.get(ticket.rank)
        if line is None:
            line = self._lines[ticket.rank] = RankLine(ticket.rank)
            self._lines = dict(sorted(self._lines.items()))
        if not line.waiting:
            line.credit = min(line.credit, 0.0)
            line.weight = ticket.weight
        line.weight = max(1, line.weight, ticket.weight)
        line.waiting += 1
        self._by_ticket[ticket.ticket_id] = ticket
        self._push_entry(line, ticket)

    def take(self, cost_of: Callable[[Ticket], float]) -> Ticket | None:
        """Remove and return the call that goes next; ``cost_of`` gives its expected seconds."""
        line = self._next_line(cost_of)
        if line is None:
            return None
        ticket = self._pop_entry(line)
        line.running += 1
        self._charge(line, max(COST_MIN_SECONDS, cost_of(ticket)))
        self._forget(ticket)
        return ticket

    def ended(self, ticket: Ticket) -> None:
        """Note that a call that was taken runs no longer."""
        self._lines[ticket.rank].running -= 1

    def refund(self, ticket: Ticket, cost: float) -> None:
        """Give back the credit of a call that was taken but did not run."""
        line = self._lines[ticket.rank]
        line.running -= 1
        line.credit = min(CREDIT_MAX_SECONDS, line.credit + max(COST_MIN_SECONDS, cost))

    def cancel(self, ticket_id: int) -> bool:
        """Remove a waiting call and return whether it waited."""
        ticket = self._by_ticket.get(ticket_id)
        if ticket is None:
            return False
        self._forget(ticket)
        return True

    def park(self, ticket: Ticket) -> None:
        """Keep a call aside while its kind runs as many calls as it may."""
        self._lines[ticket.rank].waiting += 1
        self._by_ticket[ticket.ticket_id] = ticket
        heap = self._parked_by_kind.setdefault(ticket.kind, [])
        heapq.heappush(heap, (ticket.deadline, next(self._sequence), ticket))

    def unpark(self, kind: str) -> None:
        """Put the earliest parked call of a kind back in its rank's line."""
        heap = self._parked_by_kind.get(kind)
        if not heap:
            return
        self._skip_forgotten(heap)
        if heap:
            ticket = heapq.heappop(heap)[2]
            self._push_entry(self._lines[ticket.rank], ticket)

    def drop(self, is_doomed: Callable[[Ticket], bool]) -> Iterator[Ticket]:
        """Remove and yield calls from the earliest deadline on while they are doomed."""
        for heap in list(self._heaps()):
            while self._skip_forgotten(heap) and is_doomed(heap[0][2]):
                ticket = heapq.heappop(heap)[2]
                self._forget(ticket)
                yield ticket

    def earliest_deadline(self) -> float | None:
        """Return the earliest deadline that waits."""
        deadlines = (heap[0][0] for heap in self._heaps() if self._skip_forgotten(heap))
        return min(deadlines, default=None)

    def clear(self) -> list[Ticket]:
        """Remove and return every call."""
        tickets = list(self._by_ticket.values())
        for ticket in tickets:
            self._forget(ticket)
        return tickets

    def _heaps(self) -> Iterator[_Heap]:
        lines = ((line.deep, line.new) for line in self._lines.values())
        return chain(chain.from_iterable(lines), self._parked_by_kind.values())

    def _push_entry(self, line: RankLine, ticket: Ticket) -> None:
        heap = line.deep if ticket.depth else line.new
        heapq.heappush(heap, (ticket.deadline, next(self._sequence), ticket))

    def _pop_entry(self, line: RankLine) -> Ticket:
        heap = line.deep if self._skip_forgotten(line.deep) else line.new
        return heapq.heappop(heap)[2]

    def _peek(self, line: RankLine) -> Ticket | None:
        heap = line.deep if self._skip_forgotten(line.deep) else line.new
        return heap[0][2] if self._skip_forgotten(heap) else None

    def _skip_forgotten(self, heap: _Heap) -> bool:
        while heap and heap[0][2].ticket_id not in self._by_ticket:
            heapq.heappop(heap)
        return bool(heap)

    def _forget(self, ticket: Ticket) -> None:
        del self._by_ticket[ticket.ticket_id]
        self._lines[ticket.rank].waiting -= 1

    def _next_line(self, cost_of: Callable[[Ticket], float]) -> RankLine | None:
        urgent: RankLine | None = None
        for line in self._lines.values():
            ticket = self._peek(line) if line.waiting else None
            if ticket is None:
                continue
            if line.credit >= max(COST_MIN_SECONDS, cost_of(ticket)):
                return line
            urgent = urgent or line
        return urgent

    def _charge(self, served: RankLine, cost: float) -> None:
        lines = self._lines.values()
        total = sum(line.weight for line in lines if line.waiting or line.running)
        for line in lines:
            if line.waiting:
                gained = line.credit + cost * line.weight / total
                line.credit = min(CREDIT_MAX_SECONDS, gained)
        served.credit = max(-CREDIT_MAX_SECONDS, served.credit - cost)
