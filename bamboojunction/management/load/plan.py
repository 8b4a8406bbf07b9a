"""The plan of a load: the calls to send and the pace."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from bamboojunction.core.table.rows import Effect, Table, row_for

UNKNOWN_RANK = -1
# Replaced in a path or a body by the number of the call, so that calls can differ.
NUMBER_PLACEHOLDER = "{number}"


@dataclass(slots=True, frozen=True)
class KindShare:
    """The share of a load's calls that a kind of work gets, relative to other shares."""

    kind: str
    share: int = 1


@dataclass(slots=True)
class CallPlan:
    """The calls of a load.

    They differ in kind and key only, unless the path or the body contains NUMBER_PLACEHOLDER.
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
        """Return the path of the call with a number."""
        return self.path.replace(NUMBER_PLACEHOLDER, str(number))

    def body_of(self, number: int) -> bytes:
        """Return the body of the call with a number."""
        return self.body.replace(NUMBER_PLACEHOLDER.encode(), b"%d" % number)

    def is_keyed(self, kind: str) -> bool:
        """Return whether calls of a kind need an idempotency key."""
        row = self.table.by_kind.get(kind)
        return self.is_once or (row is not None and row.effect is Effect.ONCE)

    def rank(self, kind: str) -> int:
        """Return the rank of a kind, or UNKNOWN_RANK if the table has no row for it."""
        if kind not in self.table.by_kind:
            return UNKNOWN_RANK
        return row_for(self.table, kind).rank

    def kinds(self, count: int, seed: int) -> Iterator[str]:
        """Yield the kinds of ``count`` calls, drawn at random by their shares."""
        rng = random.Random(seed)
        names = [share.kind for share in self.shares]
        weights = list(itertools.accumulate(share.share for share in self.shares))
        return (rng.choices(names, cum_weights=weights)[0] for _ in range(count))


@dataclass(slots=True, frozen=True)
class LoadLimits:
    """The limits of a load.

    ``rate`` is in calls per second; with rate 0 only ``concurrency`` limits the load.
    """

    count: int = 1
    concurrency: int = 1
    rate: float = 0.0
    seed: int = 1
