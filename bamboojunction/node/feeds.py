"""Following of one collection of the platform, by a watch or by seldom reads."""

import asyncio
import random
from collections.abc import Callable
from enum import Enum, auto

from result import Err, Ok

from bamboojunction.core.membership.exchange import Exchange
from bamboojunction.core.platform_budget import Backoff
from bamboojunction.node.paced import PacedPlatformClient
from bamboojunction.platform.client import (
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)

POLL_SECONDS = 60.0
# A node that does not watch reads this soon when nobody has news of the platform.
STALE_POLL_SECONDS = 15.0
# A node whose read ends such a time watches in place of the others for this long.
DEPUTY_SECONDS = 120.0
# The whole collection is read again this often, in case the store itself went back.
RELIST_SECONDS = 1_800.0
DUE_CHECK_SECONDS = 1.0


class Read(Enum):
    """Say how a read ended."""

    ANSWERED = auto()
    COMPACTED = auto()
    FAILED = auto()


class Feed:
    """Read one collection and hand over the objects that changed.

    ``known_revision`` returns the revision up to which the node knows the collection otherwise.
    ``on_list`` gets the objects whenever the whole collection was read.
    """

    def __init__(
        self,
        collection: str,
        client: PacedPlatformClient,
        exchange: Exchange,
        generator: random.Random,
        take: Callable[[list[PlatformObject]], None],
        known_revision: Callable[[], int] = lambda: 0,
    ):
        self._collection = collection
        self._client = client
        self._exchange = exchange
        self._random = generator
        self._take = take
        self.on_list: Callable[[list[PlatformObject]], None] = lambda items: None
        self._known_revision = known_revision
        self._loop = asyncio.get_running_loop()
        self._backoff = Backoff(generator)
        self._revision: int | None = None
        self._relist_at = 0.0
        self._deputy_until = 0.0
        self._again = asyncio.Event()

    def read_again(self) -> None:
        """Read what changed since the last read soon."""
        self._again.set()

    async def poll(self) -> None:
        """Read seldom, until cancelled; peers bring most changes earlier."""
        while True:
            await self._read(0.0)
            await self._sleep(POLL_SECONDS * self._random.uniform(0.75, 1.25))

    async def watch(self, wait_seconds: float) -> None:
        """Wait for changes if it is this node's part, else read seldom, until cancelled."""
        while True:
            if self._is_watcher():
                await self._read(wait_seconds)
                continue
            await self._sleep_until_due(wait_seconds)
            was_stale = self._is_stale(wait_seconds)
            if await self._read(0.0) is Read.ANSWERED and was_stale:
                self._deputy_until = self._loop.time() + DEPUTY_SECONDS

    def _is_watcher(self) -> bool:
        is_deputy = self._loop.time() < self._deputy_until
        return self._revision is None or is_deputy or self._exchange.watches_platform()

    def _is_stale(self, wait_seconds: float) -> bool:
        age = self._exchange.platform_age(self._loop.time())
        return age is None or age > 2 * wait_seconds

    async def _sleep_until_due(self, wait_seconds: float) -> None:
        poll_at = self._loop.time() + POLL_SECONDS * self._random.uniform(0.75, 1.25)
        stale_poll_at: float | None = None
        while self._loop.time() < poll_at and not self._is_watcher():
            await self._sleep(DUE_CHECK_SECONDS)
            if not self._is_stale(wait_seconds):
                stale_poll_at = None
            elif stale_poll_at is None:
                delay = STALE_POLL_SECONDS * self._random.uniform(0.0, 2.0)
                stale_poll_at = self._loop.time() + delay
            elif self._loop.time() >= stale_poll_at:
                return

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._again.wait()
        except TimeoutError:
            return
        self._again.clear()

    async def _read(self, wait_seconds: float) -> Read:
        if self._revision is None or self._loop.time() >= self._relist_at:
            result = await self._client.list(self._collection)
        else:
            # Peers may have brought what changed since the last read.
            since = max(self._revision, self._known_revision())
            result = await self._client.watch(self._collection, since, wait_seconds)
        match result:
            case Ok(ObjectList(revision, items)):
                self._revision = revision
                self._relist_at = self._loop.time() + RELIST_SECONDS
                self.on_list(items)
                return self._answered(items)
            case Ok(WatchBatch(revision, changed, _)):
                # A stale replica must not make the next watch start earlier.
                self._revision = max(self._revision or 0, revision)
                return self._answered(changed)
            case Err(PlatformError(PlatformErrorKind.COMPACTED)):
                self._revision = None
                return Read.COMPACTED
        await self._sleep(self._backoff.failed())
        return Read.FAILED

    def _answered(self, items: list[PlatformObject]) -> Read:
        self._backoff.succeeded()
        self._exchange.platform_answered(self._loop.time())
        self._take(items)
        return Read.ANSWERED
