"""A platform client whose objects are in memory, for tests that run on a paused clock."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from bamboo_standins.object_store import ObjectStore
from bamboo_standins.platform import StoreFaults
from bamboojunction.platform.client import (
    ObjectList,
    PlatformClient,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)


@dataclass(slots=True)
class InMemoryPlatform:
    """The object store, call counts and watch notifications that several clients share.

    Watches that may be stale get each change ``replica_lag_seconds`` late.
    """

    store: ObjectStore = field(default_factory=ObjectStore)
    call_counts: Counter[str] = field(default_factory=Counter)
    timed_calls: list[tuple[float, str]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    replica_lag_seconds: float = 0.0

    def wake_watches(self) -> None:
        """Wake all pending watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def count(self, kind: str) -> None:
        """Count one call and record the event loop's time of it."""
        self.call_counts[kind] += 1
        self.timed_calls.append((asyncio.get_running_loop().time(), kind))


class InMemoryPlatformClient(PlatformClient):
    """A client of a shared in-memory store.

    ``faults`` apply to this client only. If ``stale`` is set, reads and watches use that store
    instead of the shared one.
    """

    def __init__(self, shared: InMemoryPlatform, latency_seconds: float = 0.002):
        self.shared = shared
        self.faults = StoreFaults()
        self.stale_snapshot: ObjectStore | None = None
        self._latency_seconds = latency_seconds
        self.received_bytes = 0

    async def get(self, collection: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Return one object."""
        failure = await self._apply_call_faults("reads")
        return failure or self._count_received(self._readable_store().get(collection, name))

    async def list(
        self, collection: str, may_be_stale: bool = False
    ) -> Result[ObjectList, PlatformError]:
        """Return all objects of a collection; whether it is stale depends on the faults only."""
        failure = await self._apply_call_faults("reads")
        return failure or self._count_received(Ok(self._readable_store().list(collection)))

    async def put(
        self, collection: str, name: str, value: dict, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write an object if its version is ``expected_version``."""
        failure = await self._apply_call_faults("writes")
        if failure:
            return failure
        written = self.shared.store.put(collection, name, value, expected_version)
        self.shared.wake_watches()
        return self._apply_lost_answer() or written

    async def delete(
        self, collection: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object if its version is ``expected_version``."""
        failure = await self._apply_call_faults("writes")
        if failure:
            return failure
        deleted = self.shared.store.delete(collection, name, expected_version)
        self.shared.wake_watches()
        return self._apply_lost_answer() or deleted

    async def watch(
        self,
        collection: str,
        after_revision: int,
        wait_seconds: float,
        may_be_stale: bool = False,
    ) -> Result[WatchBatch, PlatformError]:
        """Return the changes after ``after_revision``, waiting up to ``wait_seconds`` for one."""
        failure = await self._apply_call_faults("stale watches" if may_be_stale else "watches")
        if failure:
            return failure
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while True:
            batch = self._readable_store().changed_since(collection, after_revision)
            if (
                batch.is_err()
                or batch.ok().changed
                or batch.ok().deleted
                or loop.time() >= deadline
            ):
                break
            try:
                # The paused clock cannot advance by less than its resolution.
                async with asyncio.timeout(max(deadline - loop.time(), 0.001)):
                    await self.shared.changed.wait()
            except TimeoutError:
                continue
        if may_be_stale and batch.is_ok() and (batch.ok().changed or batch.ok().deleted):
            await asyncio.sleep(self.shared.replica_lag_seconds)
        if self.faults.down:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, "reset"))
        return self._count_received(batch)

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""

    def _count_received(self, result: Result) -> Result:
        """Add the encoded size of a successful result to ``received_bytes``; return the result."""
        if result.is_ok():
            self.received_bytes += len(msgspec.json.encode(result.ok()))
        return result

    def _readable_store(self) -> ObjectStore:
        return self.stale_snapshot or self.shared.store

    async def _apply_call_faults(self, kind: str) -> Err[PlatformError] | None:
        self.shared.count(kind)
        await asyncio.sleep(self._latency_seconds + self.faults.delay_seconds)
        if self.faults.down or self.faults.refuse_status:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, "down"))
        return None

    def _apply_lost_answer(self) -> Err[PlatformError] | None:
        if self.faults.lose_answers <= 0:
            return None
        self.faults.lose_answers -= 1
        return Err(PlatformError(PlatformErrorKind.LOST_ANSWER, "answer lost by an injected fault"))
