"""The tasks that announce this node at the platform and follow what it holds."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from ipaddress import ip_address

import msgspec
from loguru import logger
from result import Err, Ok

from bamboojunction.conf.settings import PlatformSettings
from bamboojunction.core.membership.exchange import Exchange
from bamboojunction.core.membership.messages import Send
from bamboojunction.core.membership.view import COLLECTION, Announcement
from bamboojunction.core.platform_budget import Backoff, CallBudget
from bamboojunction.core.table import objects
from bamboojunction.node.feeds import Feed
from bamboojunction.node.paced import PacedPlatformClient
from bamboojunction.platform.client import (
    PlatformClient,
    PlatformErrorKind,
    PlatformObject,
)

SCHEMA = 1
REFRESH_SECONDS = 6 * 3600.0
CLEAN_SECONDS = 30.0


class PlatformSync:
    """Write this node's announcement, follow the collections and delete what gone nodes left."""

    def __init__(
        self,
        exchange: Exchange,
        client: PlatformClient,
        settings: PlatformSettings,
        generator: random.Random,
        own_changed: asyncio.Event,
    ):
        self.on_news: Callable[[Iterable[Send]], None] = lambda sends: None
        self._exchange = exchange
        self._loop = asyncio.get_running_loop()
        self.client = PacedPlatformClient(client, CallBudget(self._loop.time()))
        self._random = generator
        self._own_changed = own_changed
        self._written = PlatformObject(COLLECTION, exchange.own.instance, 0, {})
        self._cleaned: set[tuple[str, str]] = set()
        self._tables = Feed(
            objects.COLLECTION,
            self.client,
            exchange,
            generator,
            self._take_tables,
            lambda: exchange.holder.table.version,
        )
        self._upstreams = Feed(COLLECTION, self.client, exchange, generator, self._take_upstreams)
        self._upstreams.on_list = self._check_own
        self._watch_seconds = settings.watch_seconds
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the tasks."""
        coroutines = (
            self._announce(),
            self._tables.watch(self._watch_seconds),
            self._upstreams.poll(),
            self._clean(),
        )
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def withdraw(self) -> None:
        """Delete this node's announcement, if the platform answers."""
        for task in self._tasks:
            task.cancel()
        if self._written.version:
            await self.client.delete(COLLECTION, self._written.name, self._written.version)

    async def close(self) -> None:
        """End the tasks and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.client.close()

    async def _announce(self) -> None:
        backoff = Backoff(self._random)
        while not self._exchange.is_superseded:
            self._own_changed.clear()
            is_first = self._written.version == 0
            await self._write_own(backoff)
            if is_first:
                # Of two nodes that start together, the later write sees the earlier one.
                self._upstreams.read_again()
            await self._wait_for_change()
        logger.error("event=superseded instance={}", self._exchange.own.instance)

    async def _wait_for_change(self) -> None:
        refresh = REFRESH_SECONDS * self._random.uniform(0.75, 1.25)
        try:
            async with asyncio.timeout(refresh):
                await self._own_changed.wait()
        except TimeoutError:
            own = self._exchange.own
            self._exchange.announce(replace(own, sequence=own.sequence + 1), self._loop.time())

    async def _write_own(self, backoff: Backoff) -> None:
        while not self._exchange.is_superseded:
            own = self._exchange.own
            value = {**self._written.value, "schema": SCHEMA, **msgspec.to_builtins(own)}
            version = self._written.version
            match await self.client.put(COLLECTION, own.instance, value, version):
                case Ok(written):
                    self._written = written
                    backoff.succeeded()
                    self._exchange.platform_answered(self._loop.time())
                    if self._exchange.own == own:
                        return
                case Err(error) if error.kind is PlatformErrorKind.CONFLICT:
                    await self._read_own(backoff)
                case Err(_):
                    # A lost answer shows as a conflict of the next write, which is then read back.
                    await asyncio.sleep(backoff.failed())

    async def _read_own(self, backoff: Backoff) -> None:
        """Read what the platform holds in place of what this node last wrote."""
        own = self._exchange.own
        match await self.client.get(COLLECTION, own.instance):
            case Ok(found):
                self._written = found
                stored = _read_announcement(found)
                if stored is not None:
                    self._take_entries([stored])
            case Err(error) if error.kind is PlatformErrorKind.NOT_FOUND:
                self._written = PlatformObject(COLLECTION, own.instance, 0, {})
            case Err(_):
                await asyncio.sleep(backoff.failed())

    def _check_own(self, items: list[PlatformObject]) -> None:
        """Announce this node again when the store has lost its announcement."""
        is_listed = any(item.name == self._written.name for item in items)
        if self._written.version and not is_listed:
            self._own_changed.set()

    def _take_tables(self, items: list[PlatformObject]) -> None:
        for item in items:
            if item.name != objects.NAME:
                continue
            match objects.read_table_object(item.value, item.version):
                case Ok(table):
                    sends = self._exchange.offer_table(table, self._loop.time())
                    if self._exchange.holder.table is table:
                        logger.info("event=table_in_force version={} source=platform", item.version)
                    self.on_news(sends)
                case Err(problem):
                    logger.error("event=table_refused version={} error={!r}", item.version, problem)

    def _take_upstreams(self, items: list[PlatformObject]) -> None:
        self._take_entries([entry for item in items if (entry := _read_announcement(item))])
        self.client.budget.resize(len(self._exchange.view.by_instance))

    def _take_entries(self, entries: list[Announcement]) -> None:
        self._exchange.take_announcements(entries, self._loop.time())
        self.on_news([])

    async def _clean(self) -> None:
        """Delete the announcements of gone instances that this node is the first to watch."""
        while True:
            await asyncio.sleep(CLEAN_SECONDS * self._random.uniform(0.5, 1.5))
            gone = [entry for entry in self._exchange.view.by_instance.values() if entry.is_gone]
            for entry in gone:
                key = (entry.instance, entry.incarnation)
                if key not in self._cleaned and self._exchange.is_first_monitor(entry):
                    await self._delete_left(entry)
            present = {(entry.instance, entry.incarnation) for entry in gone}
            self._cleaned &= present

    async def _delete_left(self, entry: Announcement) -> None:
        key = (entry.instance, entry.incarnation)
        found = await self.client.get(COLLECTION, entry.instance)
        if found.is_err():
            if found.err().kind is PlatformErrorKind.NOT_FOUND:
                self._cleaned.add(key)
            return
        stored = _read_announcement(found.ok())
        if stored is not None and stored.order > entry.order:
            self._take_entries([stored])
            return
        await self.client.delete(COLLECTION, entry.instance, found.ok().version)


def _read_announcement(item: PlatformObject) -> Announcement | None:
    try:
        announcement = msgspec.convert(item.value, Announcement)
        ip_address(announcement.address.rpartition(":")[0].strip("[]"))
    except (msgspec.ValidationError, ValueError) as error:
        logger.warning("event=announcement_refused name={} error={!r}", item.name, str(error))
        return None
    return announcement
