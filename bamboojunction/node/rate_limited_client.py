"""A platform client that counts its calls and rate-limits them to the node's budget."""

import asyncio
from collections import Counter

from result import Result

from bamboojunction.core.platform_rate_limit import PlatformRateLimiter
from bamboojunction.platform.client import (
    ObjectList,
    PlatformClient,
    PlatformError,
    PlatformObject,
    WatchBatch,
)


class RateLimitedPlatformClient(PlatformClient):
    """A rate-limiting wrapper of a platform client; ``counts`` holds calls and errors by kind."""

    __slots__ = ("_client", "counts", "rate_limiter")

    def __init__(self, client: PlatformClient, rate_limiter: PlatformRateLimiter):
        self._client = client
        self.rate_limiter = rate_limiter
        self.counts: Counter[str] = Counter()

    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        await self._throttle_read("get")
        return self._count_error(await self._client.get(collection, name))

    async def list(
        self, collection: str, may_be_stale: bool = False
    ) -> Result[ObjectList, PlatformError]:
        """Read a whole collection."""
        await self._throttle_read("list")
        return self._count_error(await self._client.list(collection, may_be_stale))

    async def put(
        self, collection: str, name: str, value: dict, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if its version is ``expected_version``; 0 means that there is none."""
        await self._throttle_write("put")
        return self._count_error(await self._client.put(collection, name, value, expected_version))

    async def delete(
        self, collection: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if its version is ``expected_version``."""
        await self._throttle_write("delete")
        return self._count_error(await self._client.delete(collection, name, expected_version))

    async def watch(
        self,
        collection: str,
        after_revision: int,
        wait_seconds: float,
        may_be_stale: bool = False,
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes after the revision ``after_revision``, for at most ``wait_seconds``."""
        await self._throttle_read("watch")
        return self._count_error(
            await self._client.watch(collection, after_revision, wait_seconds, may_be_stale)
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _throttle_read(self, kind: str) -> None:
        self.counts[kind] += 1
        await asyncio.sleep(self.rate_limiter.reserve_read(asyncio.get_running_loop().time()))

    async def _throttle_write(self, kind: str) -> None:
        self.counts[kind] += 1
        await asyncio.sleep(self.rate_limiter.reserve_write(asyncio.get_running_loop().time()))

    def _count_error(self, result: Result) -> Result:
        if result.is_err():
            self.counts[f"error-{result.err().kind.value}"] += 1
        return result
