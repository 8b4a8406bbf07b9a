"""A platform client that counts its calls and keeps them within the node's budget."""

import asyncio
from collections import Counter

from result import Result

from bamboojunction.core.platform_budget import CallBudget
from bamboojunction.platform.client import (
    ObjectList,
    PlatformClient,
    PlatformError,
    PlatformObject,
    WatchBatch,
)


class PacedPlatformClient(PlatformClient):
    """Wait for the budget before each call of another client; ``counts`` holds calls by kind."""

    __slots__ = ("_client", "budget", "counts")

    def __init__(self, client: PlatformClient, budget: CallBudget):
        self._client = client
        self.budget = budget
        self.counts: Counter[str] = Counter()

    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        await self._wait_to_read("get")
        return self._counted(await self._client.get(collection, name))

    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        """Read a whole collection."""
        await self._wait_to_read("list")
        return self._counted(await self._client.list(collection))

    async def put(
        self, collection: str, name: str, value: dict, if_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if it still has a version; 0 means that it must not exist."""
        await self._wait_to_write("put")
        return self._counted(await self._client.put(collection, name, value, if_version))

    async def delete(
        self, collection: str, name: str, if_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if it still has a version."""
        await self._wait_to_write("delete")
        return self._counted(await self._client.delete(collection, name, if_version))

    async def watch(
        self, collection: str, since: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes after a revision."""
        await self._wait_to_read("watch")
        return self._counted(await self._client.watch(collection, since, wait_seconds))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _wait_to_read(self, kind: str) -> None:
        self.counts[kind] += 1
        await asyncio.sleep(self.budget.read(asyncio.get_running_loop().time()))

    async def _wait_to_write(self, kind: str) -> None:
        self.counts[kind] += 1
        await asyncio.sleep(self.budget.write(asyncio.get_running_loop().time()))

    def _counted(self, result: Result) -> Result:
        if result.is_err():
            self.counts[f"error-{result.err().kind.value}"] += 1
        return result
