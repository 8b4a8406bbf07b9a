"""The runner that sends the calls of a load."""

import asyncio
from collections.abc import Callable, Iterator

from bamboojunction.management.load.client import CallClient, CallResult
from bamboojunction.management.load.plan import CallPlan, LoadLimits

ResultHandler = Callable[[CallResult], None]


class LoadRunner:
    """A runner that sends the calls of a plan at a rate with bounded concurrency."""

    __slots__ = ("_client", "_limits", "_loop", "_on_result", "_plan")

    def __init__(
        self, client: CallClient, plan: CallPlan, limits: LoadLimits, on_result: ResultHandler
    ):
        self._client = client
        self._plan = plan
        self._limits = limits
        self._on_result = on_result
        self._loop = asyncio.get_running_loop()

    async def run(self) -> float:
        """Send every call, pass each result to the handler and return the seconds it took."""
        started_at = self._loop.time()
        # The workers share one iterator, so that each call is sent by exactly one worker.
        calls = enumerate(self._plan.kinds(self._limits.count, self._limits.seed))
        workers = min(self._limits.concurrency, self._limits.count)
        await asyncio.gather(*(self._send_calls(calls, started_at) for _ in range(workers)))
        return self._loop.time() - started_at

    async def _send_calls(self, calls: Iterator[tuple[int, str]], started_at: float) -> None:
        for number, kind in calls:
            scheduled_at = await self._wait_until_due(number, started_at)
            self._on_result(await self._client.call(self._plan, kind, scheduled_at, number))

    async def _wait_until_due(self, number: int, started_at: float) -> float:
        """Wait until the scheduled time of a call and return it, even if it has already passed."""
        now = self._loop.time()
        if not self._limits.rate:
            return now
        scheduled_at = started_at + number / self._limits.rate
        if scheduled_at > now:
            await asyncio.sleep(scheduled_at - now)
        return scheduled_at
