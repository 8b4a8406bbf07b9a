"""Calls to the platform stay within the rate limits, also when all nodes retry after a failure."""

import asyncio
import random
import unittest

from bamboo_standins.memory_platform import InMemoryPlatform, InMemoryPlatformClient
from bamboo_standins.paused_clock import with_paused_clock
from bamboojunction.core.platform_rate_limit import (
    BACKOFF_MAX_SECONDS,
    FLEET_READS_PER_SECOND,
    FLEET_WRITES_PER_SECOND,
    READ_BURST_CALLS,
    WRITE_BURST_CALLS,
    Backoff,
    PlatformRateLimiter,
)
from bamboojunction.node.rate_limited_client import RateLimitedPlatformClient

FLEET_SIZE = 950


class PlatformRateLimitTests(unittest.TestCase):
    def test_fleet_of_full_size_stays_within_its_rates(self):
        rate_limiter = PlatformRateLimiter(0.0)
        rate_limiter.set_fleet_size(FLEET_SIZE)
        cases = (
            (rate_limiter.reserve_read, FLEET_READS_PER_SECOND, READ_BURST_CALLS),
            (rate_limiter.reserve_write, FLEET_WRITES_PER_SECOND, WRITE_BURST_CALLS),
        )
        for take, fleet_rate, burst in cases:
            with self.subTest(take=take):
                waits = [take(0.0) for _ in range(100)]
                self.assertEqual([wait for wait in waits if wait == 0.0], [0.0] * int(burst))
                self.assertAlmostEqual(waits[-1], (100 - burst) * FLEET_SIZE / fleet_rate)

    def test_backoff_grows_to_its_maximum_and_resets(self):
        backoff = Backoff(random.Random(1))
        waits = [backoff.next_delay() for _ in range(200)]
        self.assertLessEqual(max(waits), BACKOFF_MAX_SECONDS)
        self.assertGreater(max(waits), BACKOFF_MAX_SECONDS / 2)
        backoff.reset()
        self.assertLessEqual(backoff.next_delay(), 0.5)

    def test_retries_of_nodes_that_failed_together_are_spread(self):
        waits = []
        for seed in range(FLEET_SIZE):
            backoff = Backoff(random.Random(seed))
            for _ in range(8):
                wait = backoff.next_delay()
            waits.append(wait)
        busiest = max(sum(second <= wait < second + 1 for wait in waits) for second in range(30))
        self.assertLess(busiest, FLEET_WRITES_PER_SECOND)

    @with_paused_clock
    async def test_rate_limited_client_counts_calls_and_errors_and_waits(self):
        shared = InMemoryPlatform()
        inner = InMemoryPlatformClient(shared)
        loop = asyncio.get_running_loop()
        client = RateLimitedPlatformClient(inner, PlatformRateLimiter(loop.time()))
        client.rate_limiter.set_fleet_size(FLEET_SIZE)
        started_at = loop.time()
        inner.faults.refuse_status = 503
        for _ in range(10):
            await client.list("tables")
        self.assertGreater(loop.time() - started_at, (9 - READ_BURST_CALLS))
        self.assertEqual(client.counts, {"list": 10, "error-unavailable": 10})
