"""Registration of this node at the platform, and synchronisation with its collections."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from ipaddress import ip_address

import msgspec
from loguru import logger
from result import Err, Ok

from bamboojunction.conf.settings import PlatformSettings
from bamboojunction.core.membership.gossip import GossipProtocol
from bamboojunction.core.membership.messages import OutgoingMessage
from bamboojunction.core.membership.view import ANNOUNCEMENT_COLLECTION, Announcement
from bamboojunction.core.platform_rate_limit import Backoff, PlatformRateLimiter
from bamboojunction.core.table import stored_object
from bamboojunction.node.collection_watcher import CollectionWatcher
from bamboojunction.node.rate_limited_client import RateLimitedPlatformClient
from bamboojunction.platform.client import (
    PlatformClient,
    PlatformErrorKind,
    PlatformObject,
)

# Version of the format of stored announcements.
ANNOUNCEMENT_SCHEMA = 1
# An unchanged announcement is written again after about this long.
REFRESH_SECONDS = 6 * 3600.0
# Mean interval between two searches for announcements of instances that are gone.
GONE_CHECK_INTERVAL_SECONDS = 30.0


class PlatformSync:
    """The tasks that keep the platform and this node in sync.

    They write this node's announcement, read tables and announcements, and delete the announcements
    of instances that are gone. ``on_sends`` is called with the messages to send to peers.
    """

    def __init__(
        self,
        gossip: GossipProtocol,
        client: PlatformClient,
        settings: PlatformSettings,
        rng: random.Random,
        own_announcement_changed: asyncio.Event,
    ):
        self.on_sends: Callable[[Iterable[OutgoingMessage]], None] = lambda messages: None
        self._gossip = gossip
        self._loop = asyncio.get_running_loop()
        self.client = RateLimitedPlatformClient(client, PlatformRateLimiter(self._loop.time()))
        self._random = rng
        self._own_announcement_changed = own_announcement_changed
        self._own_object = PlatformObject(
            ANNOUNCEMENT_COLLECTION, gossip.own_announcement.instance, 0, {}
        )
        self._deleted: set[tuple[str, str]] = set()
        self._table_watcher = CollectionWatcher(
            stored_object.TABLE_COLLECTION,
            self.client,
            gossip,
            rng,
            self._apply_tables,
            lambda: gossip.current_table.table.version,
        )
        self._announcement_watcher = CollectionWatcher(
            ANNOUNCEMENT_COLLECTION, self.client, gossip, rng, self._apply_announcements
        )
        self._announcement_watcher.on_list = self._reannounce_if_missing
        self._watch_seconds = settings.watch_seconds
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the tasks."""
        coroutines = (
            self._announce(),
            self._table_watcher.watch(self._watch_seconds),
            self._announcement_watcher.poll(),
            self._delete_gone_announcements(),
        )
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def deregister(self) -> None:
        """Stop the tasks and delete this node's announcement from the platform."""
        for task in self._tasks:
            task.cancel()
        if self._own_object.version:
            await self.client.delete(
                ANNOUNCEMENT_COLLECTION, self._own_object.name, self._own_object.version
            )

    async def close(self) -> None:
        """End the tasks and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.client.close()

    async def _announce(self) -> None:
        backoff = Backoff(self._random)
        while not self._gossip.is_superseded:
            self._own_announcement_changed.clear()
            is_first = self._own_object.version == 0
            await self._write_own_announcement(backoff)
            if is_first:
                # If two nodes start together, the later writer reads the other's announcement.
                self._announcement_watcher.request_read()
            await self._wait_for_change()
        logger.error("event=superseded instance={}", self._gossip.own_announcement.instance)

    async def _wait_for_change(self) -> None:
        refresh = REFRESH_SECONDS * self._random.uniform(0.75, 1.25)
        try:
            async with asyncio.timeout(refresh):
                await self._own_announcement_changed.wait()
        except TimeoutError:
            own = self._gossip.own_announcement
            self._gossip.announce(replace(own, sequence=own.sequence + 1), self._loop.time())

    async def _write_own_announcement(self, backoff: Backoff) -> None:
        while not self._gossip.is_superseded:
            own = self._gossip.own_announcement
            value = {
                **self._own_object.value,
                "schema": ANNOUNCEMENT_SCHEMA,
                **msgspec.to_builtins(own),
            }
            version = self._own_object.version
            match await self.client.put(ANNOUNCEMENT_COLLECTION, own.instance, value, version):
                case Ok(written):
                    self._own_object = written
                    backoff.reset()
                    self._gossip.record_platform_answer(self._loop.time())
                    if self._gossip.own_announcement == own:
                        return
                case Err(error) if error.kind is PlatformErrorKind.CONFLICT:
                    await self._read_own_announcement(backoff)
                case Err(_):
                    # After a lost answer, the next write conflicts and reads the object back.
                    await asyncio.sleep(backoff.next_delay())

    async def _read_own_announcement(self, backoff: Backoff) -> None:
        """Read this node's object after a write conflict, and merge the announcement in it."""
        own = self._gossip.own_announcement
        match await self.client.get(ANNOUNCEMENT_COLLECTION, own.instance):
            case Ok(found):
                self._own_object = found
                stored = _read_announcement(found)
                if stored is not None:
                    self._merge_announcements([stored])
            case Err(error) if error.kind is PlatformErrorKind.NOT_FOUND:
                self._own_object = PlatformObject(ANNOUNCEMENT_COLLECTION, own.instance, 0, {})
            case Err(_):
                await asyncio.sleep(backoff.next_delay())

    def _reannounce_if_missing(self, items: list[PlatformObject]) -> None:
        """Write this node's announcement again if it is missing from the platform."""
        is_listed = any(item.name == self._own_object.name for item in items)
        if self._own_object.version and not is_listed:
            self._own_announcement_changed.set()

    def _apply_tables(self, items: list[PlatformObject]) -> None:
        for item in items:
            if item.name != stored_object.TABLE_OBJECT_NAME:
                continue
            match stored_object.read_table_object(item.value, item.version):
                case Ok(table):
                    messages = self._gossip.accept_table(table, self._loop.time())
                    if self._gossip.current_table.table is table:
                        logger.info("event=table_in_force version={} source=platform", item.version)
                    self.on_sends(messages)
                case Err(problem):
                    logger.error("event=table_refused version={} error={!r}", item.version, problem)

    def _apply_announcements(self, items: list[PlatformObject]) -> None:
        self._merge_announcements([entry for item in items if (entry := _read_announcement(item))])
        self.client.rate_limiter.set_fleet_size(len(self._gossip.view.by_instance))

    def _merge_announcements(self, entries: list[Announcement]) -> None:
        self._gossip.merge_announcements(entries, self._loop.time())
        # Without messages, this only schedules the flush that forwards the merged announcements.
        self.on_sends([])

    async def _delete_gone_announcements(self) -> None:
        """Delete announcements of gone instances for which this node is the first monitor."""
        while True:
            await asyncio.sleep(GONE_CHECK_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5))
            gone = [entry for entry in self._gossip.view.by_instance.values() if entry.is_gone]
            for entry in gone:
                key = (entry.instance, entry.incarnation)
                if key not in self._deleted and self._gossip.is_first_monitor(entry):
                    await self._delete_announcement(entry)
            present = {(entry.instance, entry.incarnation) for entry in gone}
            self._deleted &= present

    async def _delete_announcement(self, entry: Announcement) -> None:
        key = (entry.instance, entry.incarnation)
        found = await self.client.get(ANNOUNCEMENT_COLLECTION, entry.instance)
        if found.is_err():
            if found.err().kind is PlatformErrorKind.NOT_FOUND:
                self._deleted.add(key)
            return
        stored = _read_announcement(found.ok())
        if stored is not None and stored.order > entry.order:
            self._merge_announcements([stored])
            return
        await self.client.delete(ANNOUNCEMENT_COLLECTION, entry.instance, found.ok().version)


def _read_announcement(item: PlatformObject) -> Announcement | None:
    try:
        announcement = msgspec.convert(item.value, Announcement)
        ip_address(announcement.address.rpartition(":")[0].strip("[]"))
    except (msgspec.ValidationError, ValueError) as error:
        logger.warning("event=announcement_refused name={} error={!r}", item.name, str(error))
        return None
    return announcement
