"""Load on both chains: paired calls in an open loop, and layered calls in a closed loop."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

import aiohttp

from bamboo_bench.path.chains import KIND, Chains


@dataclass(slots=True)
class PairedLatencies:
    """The latencies in seconds of calls that were sent in pairs, and the number of failed pairs."""

    direct: list[float] = field(default_factory=list)
    layered: list[float] = field(default_factory=list)
    failures: int = 0


class LoadGenerator:
    """A load generator that calls both chains with one HTTP client."""

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
        """Close the HTTP client."""
        await self._session.close()

    async def run_open_loop(self, rate: float, seconds: float) -> PairedLatencies:
        """Send ``rate`` pairs per second at random times, and return their latencies."""
        pairs = PairedLatencies()
        tasks = []
        started = self._loop.time()
        send_at = started
        while send_at < started + seconds:
            send_at += self._random.expovariate(rate)
            await asyncio.sleep(max(0.0, send_at - self._loop.time()))
            tasks.append(asyncio.create_task(self._send_pair(pairs)))
        await asyncio.gather(*tasks)
        return pairs

    async def run_closed_loop(self, workers: int, seconds: float) -> int:
        """Send layered calls from a fixed number of workers, and return how many completed."""
        stop_at = self._loop.time() + seconds
        counts = await asyncio.gather(*(self._run_worker(stop_at) for _ in range(workers)))
        return sum(counts)

    async def _send_pair(self, pairs: PairedLatencies) -> None:
        """Send the two calls of a pair in random order, one after the other."""
        order = [(self._direct_url, pairs.direct), (self._layered_url, pairs.layered)]
        self._random.shuffle(order)
        results = [await self._measure_call(url) for url, _ in order]
        if None in results:
            pairs.failures += 1
            return
        for (_, latencies), latency in zip(order, results, strict=True):
            latencies.append(latency)

    async def _measure_call(self, url: str) -> float | None:
        # The loop's own clock has a resolution of only a millisecond under uvloop.
        started = time.perf_counter()
        headers = {"Bamboo-Kind": KIND, "Bamboo-Service": self._service}
        async with self._session.post(url, data=self._body, headers=headers) as response:
            body = await response.read()
        is_intact = response.status == 200 and body == self._body
        return time.perf_counter() - started if is_intact else None

    async def _run_worker(self, stop_at: float) -> int:
        for completed in itertools.count():
            if self._loop.time() >= stop_at:
                return completed
            await self._measure_call(self._layered_url)
