"""Load of the long run: callers that resend keyed calls until they know how they ended."""

import asyncio
import random
import uuid
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import aiohttp

from bamboo_standins.fleet import Fleet
from bamboojunction.core.table.rows import Effect, Row, Table

RESENDS_MAX = 6
RESEND_PAUSE_SECONDS = 0.2
THINK_SECONDS = 0.05


@dataclass(slots=True)
class Records:
    """Hold what callers were told: counts by rank and outcome, and the outcomes of each key."""

    count_by_rank_and_outcome: Counter[tuple[int, str]] = field(default_factory=Counter)
    outcomes_by_key: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    broken_answers: int = 0


class Caller:
    """Send calls of random kinds through random nodes."""

    def __init__(self, fleet: Fleet, table: Table, records: Records, seed: int):
        self._fleet = fleet
        self._rows = list(table.by_kind.values())
        self._records = records
        self._random = random.Random(seed)

    async def run(self, stop: asyncio.Event) -> None:
        """Call until told to stop."""
        while not stop.is_set():
            row = self._random.choice(self._rows)
            if row.effect is Effect.ONCE:
                await self._call_keyed(row)
            else:
                await self._call(row, self._node())
            await asyncio.sleep(THINK_SECONDS)

    async def resend(self, key: str, row: Row) -> str:
        """Send a key once more and return the outcome."""
        return await self._call(row, self._node(), key)

    async def _call_keyed(self, row: Row) -> None:
        try:
            home = await self._fleet.home(self._node())
        except aiohttp.ClientError:
            return
        key = f"{home}/{uuid.UUID(int=self._random.getrandbits(128)).hex}"
        for _ in range(RESENDS_MAX):
            outcome = await self._call(row, self._node(), key)
            if outcome == "ran":
                return
            await asyncio.sleep(RESEND_PAUSE_SECONDS)

    async def _call(self, row: Row, node: str, key: str = "") -> str:
        body = (key or row.kind).encode()
        headers = {"key": key} if key else {}
        try:
            answer = await self._fleet.call(node, row.kind, body=body, **headers)
            outcome = answer.outcome
        except (aiohttp.ClientError, TimeoutError):
            outcome = "lost"
        else:
            if outcome == "ran" and answer.status == 200 and answer.body != body:
                self._records.broken_answers += 1
            if outcome == "ran" and answer.status != 200:
                outcome = "failed"
        self._records.count_by_rank_and_outcome[(row.rank, outcome)] += 1
        if key:
            self._records.outcomes_by_key[key].append(outcome)
        return outcome

    def _node(self) -> str:
        return self._random.choice(sorted(self._fleet.by_instance))
