"""A platform client that keeps the objects in memory, for tests under a paused clock."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from bamboo_standins.object_store import ObjectStore
from bamboo_standins.platform import Faults
from bamboojunction.platform.client import (
    ObjectList,
    PlatformClient,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)


@dataclass(slots=True)
class SharedPlatform:
    """Hold the store, the counted calls and the waiting watches of many clients."""

    store: ObjectStore = field(default_factory=ObjectStore)
    counts: Counter[str] = field(default_factory=Counter)
    call_times: list[tuple[float, str]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self) -> None:
        """Wake every waiting watch."""
        self.changed.set()
        self.changed = asyncio.Event()

    def count(self, kind: str) -> None:
        """Count one call at the loop's time."""
        self.counts[kind] += 1
        self.call_times.append((asyncio.get_running_loop().time(), kind))


class MemoryPlatformClient(PlatformClient):
    """Read, write and watch a shared store; ``faults`` and ``cut`` concern this client only."""

    def __init__(self, shared: SharedPlatform, latency_seconds: float = 0.002):
        self.shared = shared
        self.faults = Faults()
        self.stale: ObjectStore | None = None
        self._latency_seconds = latency_seconds
        self.received_bytes = 0

    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        failed = await self._fail_if_asked("reads")
        return failed or self._counted(self._readable().get(collection, name))

    async def list(self, collection: str) -> Result[ObjectList, PlatformError]:
        """Read a whole collection."""
        failed = await self._fail_if_asked("reads")
        return failed or self._counted(Ok(self._readable().list(collection)))

    async def put(
        self, collection: str, name: str, value: dict, if_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if it still has a version."""
        failed = await self._fail_if_asked("writes")
        if failed:
            return failed
        written = self.shared.store.put(collection, name, value, if_version)
        self.shared.wake()
        return self._lost_if_asked() or written

    async def delete(
        self, collection: str, name: str, if_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if it still has a version."""
        failed = await self._fail_if_asked("writes")
        if failed:
            return failed
        deleted = self.shared.store.delete(collection, name, if_version)
        self.shared.wake()
        return self._lost_if_asked() or deleted

    async def watch(
        self, collection: str, since: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes after a revision."""
        failed = await self._fail_if_asked("watches")
        if failed:
            return failed
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_seconds
        while True:
            batch = self._readable().changed_since(collection, since)
            if batch.is_err() or batch.ok().changed or batch.ok().deleted or loop.time() >= end:
                break
            try:
                # The paused clock does not advance by less than its resolution.
                async with asyncio.timeout(max(end - loop.time(), 0.001)):
                    await self.shared.changed.wait()
            except TimeoutError:
                continue
        if self.faults.down:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, "reset"))
        return self._counted(batch)

    async def close(self) -> None:
        """Do nothing, as there is no connection."""

    def _counted(self, result: Result) -> Result:
        """Count the bytes of an answer's body."""
        if result.is_ok():
            self.received_bytes += len(msgspec.json.encode(result.ok()))
        return result

    def _readable(self) -> ObjectStore:
        return self.stale or self.shared.store

    async def _fail_if_asked(self, kind: str) -> Err[PlatformError] | None:
        self.shared.count(kind)
        await asyncio.sleep(self._latency_seconds + self.faults.delay_seconds)
        if self.faults.down or self.faults.refuse_status:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, "down"))
        return None

    def _lost_if_asked(self) -> Err[PlatformError] | None:
        if self.faults.lose_answers <= 0:
            return None
        self.faults.lose_answers -= 1
        return Err(PlatformError(PlatformErrorKind.LOST_ANSWER, "lost on request"))
