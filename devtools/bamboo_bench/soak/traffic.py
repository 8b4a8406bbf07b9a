"""The requests of a mesh, which arrive at the rates of their kinds, however slow the answers are.

Connections are kept open and used until the node closes them or is gone.
"""

import asyncio
import itertools
import random
from collections import Counter

import aiohttp
from hdrh.histogram import HdrHistogram

from bamboo_bench.soak.callers import Caller
from bamboo_bench.soak.exchange import Exchange, create_session
from bamboo_bench.soak.invariants import EndKind
from bamboo_bench.soak.invariants.checker import NOT_RUN_STATUSES
from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.sites import Kind

TICK_SECONDS = 0.01
KEPT_OPEN_SECONDS = 60.0
# Callers wait as told before they repeat, up to this share of the time that is left.
RETRY_WAIT_SHARE = 1 / 3
RETRY_WAIT_SECONDS = 0.05
# A caller that leaves early waits for this share of its goal.
EARLY_SHARE = 0.5
LATENCY_MAX_MS = 60_000


class Traffic:
    """The requests of all kinds that have a rate, with what came of them.

    Faults set ``rate_factor``, ``hasty_retries`` (how often a request is repeated at once) and
    ``leaves_early``.
    """

    def __init__(
        self, machines: list[Machine], kinds: tuple[Kind, ...], caller: Caller, seed: int, clock
    ):
        self.rate_factor = 1.0
        self.hasty_retries = 0
        self.leaves_early = False
        self.kinds = [kind for kind in kinds if kind.rate]
        self.count_by_outcome_by_kind = {kind.name: Counter() for kind in self.kinds}
        self.latency_by_kind = {
            kind.name: HdrHistogram(1, LATENCY_MAX_MS, 2) for kind in self.kinds
        }
        self._machines = machines
        self._caller = caller
        self._random = random.Random(seed)
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until ``stop`` is set, then wait until each has come to its end."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEPT_OPEN_SECONDS)
        async with create_session(connector) as session:
            checked_at = self._clock()
            while not stop.is_set():
                now = self._clock()
                for kind in self.kinds:
                    self._send_due(session, kind, now - checked_at)
                checked_at = now
                await asyncio.sleep(TICK_SECONDS)
            await asyncio.gather(*self._tasks)

    def _send_due(self, session: aiohttp.ClientSession, kind: Kind, seconds: float) -> None:
        """Send as many requests of a kind as arrive within a time."""
        expected = kind.rate * self.rate_factor * seconds
        arrivals = itertools.takewhile(
            lambda total: total <= expected,
            itertools.accumulate(self._random.expovariate(1.0) for _ in itertools.count()),
        )
        for _ in arrivals:
            task = asyncio.create_task(self._send_until_served(session, kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_until_served(self, session: aiohttp.ClientSession, kind: Kind) -> None:
        """Send a request, and repeat it as often as its kind allows while time is left."""
        began_at = self._clock()
        retries = max(kind.retries, self.hasty_retries)
        for number in range(1 + retries):
            exchange = await self._send(session, kind)
            if exchange is None or not _may_repeat(kind, exchange):
                return
            left = began_at + kind.deadline_seconds - self._clock()
            wait = max(RETRY_WAIT_SECONDS, exchange.retry_after_seconds)
            if self.hasty_retries:
                wait = 0.0
            if number == retries or wait > left * RETRY_WAIT_SHARE:
                return
            await asyncio.sleep(wait)

    async def _send(self, session: aiohttp.ClientSession, kind: Kind) -> Exchange | None:
        """Send a request once; return None if its caller left early."""
        machine = self._random.choice(self._machines)
        counts = self.count_by_outcome_by_kind[kind.name]
        counts["sent"] += 1
        sent_at = self._clock()
        patience = EARLY_SHARE * kind.goal_seconds if self.leaves_early else None
        try:
            async with asyncio.timeout(patience):
                exchange = await self._caller.send(session, machine, kind)
        except TimeoutError:
            counts["left"] += 1
            return None
        ending = exchange.ending
        if ending.kind is not EndKind.WHOLE:
            counts["none"] += 1
            return exchange
        counts[str(ending.status)] += 1
        if ending.status == 200:
            milliseconds = int(1000 * (ending.at - sent_at))
            self.latency_by_kind[kind.name].record_value(max(1, milliseconds))
        return exchange


def _may_repeat(kind: Kind, exchange: Exchange) -> bool:
    """Return whether a caller repeats a request: a failed read, or one that did not run."""
    ending = exchange.ending
    if ending.kind is not EndKind.WHOLE:
        return not kind.is_at_most_once
    is_failed = ending.status >= 500 and not kind.is_at_most_once
    return ending.status in NOT_RUN_STATUSES or is_failed
