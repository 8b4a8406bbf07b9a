"""What a load consists of."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from bamboojunction.core.table.rows import Effect, Table, row_for

UNKNOWN_RANK = -1
# Stands in a path or a body for the number of the call, so that calls can differ.
NUMBER_PLACEHOLDER = "{number}"


@dataclass(slots=True, frozen=True)
class KindShare:
    """Give a kind of work its share of the calls."""

    kind: str
    share: int = 1


@dataclass(slots=True)
class CallPlan:
    """Describe the calls of a load.

    The calls differ in kind and key only, unless the path or the body has the placeholder.
    """

    shares: tuple[KindShare, ...]
    service: str = ""
    method: str = "GET"
    path: str = "/"
    body: bytes = b""
    deadline_ms: int = 0
    key: str = ""
    is_once: bool = False
    table: Table = field(default_factory=Table)

    def path_of(self, number: int) -> str:
        """Return the path of a call."""
        return self.path.replace(NUMBER_PLACEHOLDER, str(number))

    def body_of(self, number: int) -> bytes:
        """Return the body of a call."""
        return self.body.replace(NUMBER_PLACEHOLDER.encode(), b"%d" % number)

    def is_keyed(self, kind: str) -> bool:
        """Return whether calls of a kind need a key."""
        row = self.table.by_kind.get(kind)
        return self.is_once or (row is not None and row.effect is Effect.ONCE)

    def rank(self, kind: str) -> int:
        """Return the rank of a kind, or `UNKNOWN_RANK` without its row."""
        if kind not in self.table.by_kind:
            return UNKNOWN_RANK
        return row_for(self.table, kind).rank

    def kinds(self, count: int, seed: int) -> Iterator[str]:
        """Yield the kinds of so many calls, drawn by their shares."""
        source = random.Random(seed)
        names = [share.kind for share in self.shares]
        weights = list(itertools.accumulate(share.share for share in self.shares))
        return (source.choices(names, cum_weights=weights)[0] for _ in range(count))


@dataclass(slots=True, frozen=True)
class Pace:
    """Bound a load; a rate of 0 sends as fast as the concurrency allows."""

    count: int = 1
    concurrency: int = 1
    rate: float = 0.0
    seed: int = 1
