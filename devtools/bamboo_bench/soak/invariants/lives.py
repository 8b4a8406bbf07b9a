"""The invariant that each node's process serves after its start."""

from collections.abc import Iterator
from dataclasses import dataclass

from bamboo_bench.soak.invariants import bounds
from bamboo_bench.soak.invariants.losses import Violation


@dataclass(slots=True)
class Life:
    """The time from the start of a node's process to its end; times are in seconds."""

    node: str
    started_at: float
    ended_at: float | None = None
    has_served: bool = False


class Lives:
    """A record of the processes of the nodes and of whether each has served a request."""

    def __init__(self):
        self._lives: list[Life] = []
        self._life_by_node: dict[str, Life] = {}

    def record_start(self, node: str, now: float) -> None:
        """Record the start of a node's process."""
        self._life_by_node[node] = Life(node, now)
        self._lives.append(self._life_by_node[node])

    def record_end(self, node: str, now: float) -> None:
        """Record that a node's process was told to end, or has ended."""
        if node in self._life_by_node:
            self._life_by_node.pop(node).ended_at = now

    def record_answer(self, node: str, status: int) -> None:
        """Record a node's answer to a caller."""
        if node in self._life_by_node and 200 <= status < 300:
            self._life_by_node[node].has_served = True

    def find_idle(self, now: float) -> Iterator[Violation]:
        """Yield the nodes whose process has run long without serving a request."""
        for life in self._lives:
            seconds = (now if life.ended_at is None else life.ended_at) - life.started_at
            if not life.has_served and seconds >= bounds.START_SECONDS:
                yield life.node, f"served nothing in the {seconds:.1f} s after its start"
