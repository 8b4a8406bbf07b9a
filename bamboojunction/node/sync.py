"""Announces this node and follows the table and the announcements of others."""

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger
from result import Ok

from bamboojunction.core.membership.view import Announcement, MembershipView, drained
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.holder import TableHolder
from bamboojunction.platform.client import PlatformClient, PlatformObject

UPSTREAMS = "upstreams"
TABLES = "tables"
RETRY_SECONDS = 0.5


class Sync:
    """Keep the view and the table equal to the platform's."""

    __slots__ = (
        "_announcement",
        "_client",
        "_holder",
        "_on_view",
        "_tasks",
        "_version",
        "_view",
        "_wait",
    )

    def __init__(
        self,
        announcement: Announcement,
        view: MembershipView,
        holder: TableHolder,
        client: PlatformClient,
        watch_seconds: float,
        on_view: Callable[[], None],
    ):
        self._announcement = announcement
        self._view = view
        self._holder = holder
        self._client = client
        self._wait = watch_seconds
        self._on_view = on_view
        self._version = 0
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the tasks."""
        self._view.merge(self._announcement)
        self._on_view()
        self._tasks = [
            asyncio.create_task(self._announce()),
            asyncio.create_task(self._follow(UPSTREAMS, self._take_upstream)),
            asyncio.create_task(self._follow(TABLES, self._take_table)),
        ]

    async def leave(self) -> None:
        """Announce that this node takes no new work."""
        self._announcement = drained(self._announcement)
        self._view.merge(self._announcement)
        self._on_view()
        await self._announce()

    async def close(self) -> None:
        """End the tasks and close the platform client."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    async def _announce(self) -> None:
        name = self._announcement.instance
        while True:
            known = await self._client.get(UPSTREAMS, name)
            version = known.ok().version if known.is_ok() else 0
            value = msgspec.to_builtins(self._announcement)
            written = await self._client.put(UPSTREAMS, name, value, version)
            if written.is_ok():
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _follow(self, collection: str, take: Callable[[PlatformObject], None]) -> None:
        while True:
            listed = await self._client.list(collection)
            if listed.is_ok():
                for item in listed.ok().objects:
                    take(item)
                self._on_view()
                await self._watch(collection, listed.ok().revision, take)
            await asyncio.sleep(RETRY_SECONDS)

    async def _watch(self, collection: str, revision: int, take) -> None:
        while True:
            watched = await self._client.watch(collection, revision, self._wait)
            if watched.is_err():
                return
            batch = watched.ok()
            revision = batch.revision
            for item in batch.changed:
                take(item)
            self._on_view()

    def _take_upstream(self, item: PlatformObject) -> None:
        try:
            self._view.merge(msgspec.convert(item.value, Announcement))
        except msgspec.ValidationError as error:
            logger.warning("event=announcement_invalid name={} error={}", item.name, error)

    def _take_table(self, item: PlatformObject) -> None:
        text = item.value.get("text", "")
        match parse_table(text, item.version, item.value.get("edit_id", "")):
            case Ok(table):
                if self._holder.offer(table):
                    logger.info("event=table_in_force version={}", table.version)
