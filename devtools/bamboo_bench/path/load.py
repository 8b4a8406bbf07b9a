"""Load on both chains from one process: open-loop pairs, and a closed loop for the maximum."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

import aiohttp

from bamboo_bench.path.chains import KIND, Chains


@dataclass(slots=True)
class Pairs:
    """Hold the latencies, in seconds, of calls that were sent in pairs; failures are counted."""

    direct: list[float] = field(default_factory=list)
    layered: list[float] = field(default_factory=list)
    failures: int = 0


class LoadSource:
    """Send calls over both chains with one HTTP client."""

    def __init__(self, chains: Chains, body_bytes: int, seed: int):
        self._direct_url = f"http://{chains.direct_address}/work"
        self._layered_url = f"http://{chains.layered_address}/work"
        self._service = chains.entry_service
        self._body = random.Random(seed).randbytes(body_bytes)
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), cookie_jar=aiohttp.DummyCookieJar()
        )

    async def close(self) -> None:
        """Close the client."""
        await self._session.close()

    async def run_pairs(self, rate: float, seconds: float) -> Pairs:
        """Send ``rate`` pairs a second at random moments, each call at its own moment."""
        pairs = Pairs()
        tasks = []
        started = self._loop.time()
        due = started
        while due < started + seconds:
            due += self._random.expovariate(rate)
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            tasks.append(asyncio.create_task(self._pair(pairs)))
        await asyncio.gather(*tasks)
        return pairs

    async def run_closed(self, workers: int, seconds: float) -> int:
        """Send layered calls from a fixed number of workers and return how many ran."""
        stop_at = self._loop.time() + seconds
        counts = await asyncio.gather(*(self._work(stop_at) for _ in range(workers)))
        return sum(counts)

    async def _pair(self, pairs: Pairs) -> None:
        """Send the two calls of a pair one after the other, in random order."""
        order = [(self._direct_url, pairs.direct), (self._layered_url, pairs.layered)]
        self._random.shuffle(order)
        results = [await self._timed(url) for url, _ in order]
        if None in results:
            pairs.failures += 1
            return
        for (_, latencies), latency in zip(order, results, strict=True):
            latencies.append(latency)

    async def _timed(self, url: str) -> float | None:
        # The clock of uvloop has a resolution of a millisecond.
        started = time.perf_counter()
        headers = {"Bamboo-Kind": KIND, "Bamboo-Service": self._service}
        async with self._session.post(url, data=self._body, headers=headers) as response:
            body = await response.read()
        whole = response.status == 200 and body == self._body
        return time.perf_counter() - started if whole else None

    async def _work(self, stop_at: float) -> int:
        for done in itertools.count():
            if self._loop.time() >= stop_at:
                return done
            await self._timed(self._layered_url)
