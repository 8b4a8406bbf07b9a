"""Synchronisation with one collection of the platform, by long polling or periodic reads."""

import asyncio
import random
from collections.abc import Callable
from enum import Enum, auto

from result import Err, Ok

from bamboojunction.core.membership.gossip import GossipProtocol
from bamboojunction.core.platform_rate_limit import Backoff
from bamboojunction.node.rate_limited_client import RateLimitedPlatformClient
from bamboojunction.platform.client import (
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)

POLL_SECONDS = 60.0
# Mean delay after which a node that is not a watcher reads the collection when its data is stale,
# that is, when no known node has reached the platform for two watch intervals.
STALE_POLL_SECONDS = 15.0
# How long a node watches in place of the regular watchers after its read found the platform
# reachable again.
TEMPORARY_WATCH_SECONDS = 120.0
# The whole collection is read again this often, in case the store was rolled back.
RELIST_SECONDS = 1_800.0
# How often a node that does not watch checks whether it should poll or watch.
ROLE_CHECK_SECONDS = 1.0


class ReadResult(Enum):
    """How a read of the platform ended."""

    ANSWERED = auto()
    COMPACTED = auto()
    FAILED = auto()


class CollectionWatcher:
    """A reader of one platform collection that reports objects that changed.

    ``on_change`` gets the objects that changed, and ``on_list`` all objects after each read of the
    whole collection. ``known_revision`` returns the revision up to which the node already knows
    the collection from other sources.
    """

    def __init__(
        self,
        collection: str,
        client: RateLimitedPlatformClient,
        gossip: GossipProtocol,
        rng: random.Random,
        on_change: Callable[[list[PlatformObject]], None],
        known_revision: Callable[[], int] = lambda: 0,
    ):
        self._collection = collection
        self._client = client
        self._gossip = gossip
        self._random = rng
        self._on_change = on_change
        self.on_list: Callable[[list[PlatformObject]], None] = lambda items: None
        self._known_revision = known_revision
        self._loop = asyncio.get_running_loop()
        self._backoff = Backoff(rng)
        self._revision: int | None = None
        self._relist_at = 0.0
        self._temporary_watcher_until = 0.0
        self._read_requested = asyncio.Event()

    def request_read(self) -> None:
        """Wake the running loop, so that it reads the latest changes without further delay."""
        self._read_requested.set()

    async def poll(self) -> None:
        """Read at long intervals, until cancelled; gossip delivers most changes earlier."""
        while True:
            await self._read(0.0)
            await self._sleep(POLL_SECONDS * self._random.uniform(0.75, 1.25))

    async def watch(self, wait_seconds: float) -> None:
        """Watch for changes as long as this node is a watcher, else poll, until cancelled.

        ``wait_seconds`` is how long the platform holds a watch open.
        """
        while True:
            if self._is_watcher():
                await self._read(wait_seconds)
                continue
            await self._sleep_until_due(wait_seconds)
            was_stale = self._is_stale(wait_seconds)
            if await self._read(0.0) is ReadResult.ANSWERED and was_stale:
                self._temporary_watcher_until = self._loop.time() + TEMPORARY_WATCH_SECONDS

    def _is_watcher(self) -> bool:
        is_temporary_watcher = self._loop.time() < self._temporary_watcher_until
        return self._revision is None or is_temporary_watcher or self._gossip.watches_platform()

    def _is_stale(self, wait_seconds: float) -> bool:
        """Return whether no known node has reached the platform for two watch intervals."""
        age = self._gossip.platform_age(self._loop.time())
        return age is None or age > 2 * wait_seconds

    async def _sleep_until_due(self, wait_seconds: float) -> None:
        """Sleep until the next poll, earlier if this node becomes a watcher or data is stale."""
        poll_at = self._loop.time() + POLL_SECONDS * self._random.uniform(0.75, 1.25)
        stale_poll_at: float | None = None
        while self._loop.time() < poll_at and not self._is_watcher():
            await self._sleep(ROLE_CHECK_SECONDS)
            if not self._is_stale(wait_seconds):
                stale_poll_at = None
            elif stale_poll_at is None:
                delay = STALE_POLL_SECONDS * self._random.uniform(0.0, 2.0)
                stale_poll_at = self._loop.time() + delay
            elif self._loop.time() >= stale_poll_at:
                return

    async def _sleep(self, seconds: float) -> None:
        """Sleep, but return early when a read is requested."""
        try:
            async with asyncio.timeout(seconds):
                await self._read_requested.wait()
        except TimeoutError:
            return
        self._read_requested.clear()

    async def _read(self, wait_seconds: float) -> ReadResult:
        if self._revision is None or self._loop.time() >= self._relist_at:
            result = await self._client.list(self._collection)
        else:
            # Peers may have sent changes that were made since the last read.
            after_revision = max(self._revision, self._known_revision())
            result = await self._client.watch(self._collection, after_revision, wait_seconds)
        match result:
            case Ok(ObjectList(revision, items)):
                self._revision = revision
                self._relist_at = self._loop.time() + RELIST_SECONDS
                self.on_list(items)
                return self._handle_answer(items)
            case Ok(WatchBatch(revision, changed, _)):
                # An older revision from a stale replica must not move the next watch back.
                self._revision = max(self._revision or 0, revision)
                return self._handle_answer(changed)
            case Err(PlatformError(PlatformErrorKind.COMPACTED)):
                self._revision = None
                return ReadResult.COMPACTED
        await self._sleep(self._backoff.next_delay())
        return ReadResult.FAILED

    def _handle_answer(self, items: list[PlatformObject]) -> ReadResult:
        self._backoff.reset()
        self._gossip.record_platform_answer(self._loop.time())
        self._on_change(items)
        return ReadResult.ANSWERED
