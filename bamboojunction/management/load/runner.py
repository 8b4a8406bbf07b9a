"""Sending of a bounded load."""

import asyncio
from collections.abc import Callable, Iterator

from bamboojunction.management.load.client import CallClient, CallResult
from bamboojunction.management.load.plan import CallPlan, Pace

ResultHandler = Callable[[CallResult], None]


class LoadRunner:
    """Send the calls of a plan at a pace, with a bounded number under way."""

    __slots__ = ("_client", "_handle", "_loop", "_pace", "_plan")

    def __init__(self, client: CallClient, plan: CallPlan, pace: Pace, handle: ResultHandler):
        self._client = client
        self._plan = plan
        self._pace = pace
        self._handle = handle
        self._loop = asyncio.get_running_loop()

    async def run(self) -> float:
        """Send every call, hand each result on, and return the seconds it took."""
        started_at = self._loop.time()
        # The senders share one iterator, so that each call is sent by exactly one of them.
        calls = enumerate(self._plan.kinds(self._pace.count, self._pace.seed))
        senders = min(self._pace.concurrency, self._pace.count)
        await asyncio.gather(*(self._send_from(calls, started_at) for _ in range(senders)))
        return self._loop.time() - started_at

    async def _send_from(self, calls: Iterator[tuple[int, str]], started_at: float) -> None:
        for number, kind in calls:
            scheduled_at = await self._wait_turn(number, started_at)
            self._handle(await self._client.call(self._plan, kind, scheduled_at, number))

    async def _wait_turn(self, number: int, started_at: float) -> float:
        """Wait for a call's moment and return it; a call that is late keeps its moment."""
        now = self._loop.time()
        if not self._pace.rate:
            return now
        scheduled_at = started_at + number / self._pace.rate
        if scheduled_at > now:
            await asyncio.sleep(scheduled_at - now)
        return scheduled_at
