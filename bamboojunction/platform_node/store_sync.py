"""The tasks that synchronize a node with the platform's store."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok

from bamboojunction.conf.addresses import is_valid_address
from bamboojunction.core.membership.departures import (
    RETENTION_SECONDS,
    DepartureRecord,
    UpstreamDeparture,
)
from bamboojunction.core.membership.view import ANNOUNCEMENT_COLLECTION, Announcement, InstanceState
from bamboojunction.core.retries.exponential_backoff import ExponentialBackoff
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.platform import configuration
from bamboojunction.platform.client import PlatformClient, PlatformErrorKind, PlatformObject
from bamboojunction.platform.configuration import DecodedConfiguration
from bamboojunction.platform.heartbeats import STARTED_AT_MAX_MS
from bamboojunction.platform_node.collection_follower import (
    RETRY_SECONDS_MAX,
    RETRY_SECONDS_MIN,
    CollectionFollower,
)
from bamboojunction.platform_node.supervision import run_supervised
from bamboojunction.telemetry.events import EventLog

# Mean interval at which each node looks for announcements of unreachable nodes; the first to
# find one removes it.
UNREACHABLE_CHECK_SECONDS = 5.0
# The pause after a batch of changes; changes in that time are read as one batch. A configuration
# must be active within seconds of its acknowledgement; announcements may lag, because the gate of a
# departed instance refuses calls.
ROUTES_BATCH_SECONDS = 0.1
INSTANCES_BATCH_SECONDS = 1.0
# Until then a node that has started leaves the announcement of its previous process in the store.
# The upstream usually outlived that process, and its first heartbeat replaces the announcement by
# one write.
FIRST_HEARTBEAT_SECONDS = 3.0
# How long a node that has started waits for the departures that an earlier process acknowledged. If
# the store does not answer by then, the upstream is used all the same.
READ_DEPARTURES_SECONDS = 3.0


class StoreSync:
    """A synchronizer of the node with the store.

    It publishes the announcement of the local upstream, or its departures while it does not serve,
    and follows the configuration and the
    announcements of all nodes. Only nodes with the role of a store watcher need current answers
    about the configuration; the others learn of changes from peers.
    """

    def __init__(
        self,
        client: PlatformClient,
        current_routes: CurrentRoutes,
        rng: random.Random,
        events: EventLog,
        history_seconds: float,
    ):
        self._client = client
        self._current_routes = current_routes
        self._rng = rng
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._desired: Announcement | DepartureRecord | None = None
        self._stored_version = 0
        self._stored: Announcement | DepartureRecord | None = None
        self._stored_changed = asyncio.Event()
        self._first_announced = asyncio.Event()
        self._own_announcement_changed = asyncio.Event()
        self._by_instance: dict[str, Announcement] = {}
        # The versions of all announcements and records of departures in the store, and since when
        # the records have been known.
        self._version_by_instance: dict[str, int] = {}
        self._recorded_at_by_instance: dict[str, float] = {}
        self.on_instances_changed: Callable[[dict[str, Announcement]], None] = (
            lambda by_instance: None
        )
        # Called with the departures that the store holds for this instance.
        self.on_departures_read: Callable[[tuple[UpstreamDeparture, ...]], None] = (
            lambda departures: None
        )
        # Called with the source of each configuration that becomes active: "store" or a peer.
        self.on_configuration_applied: Callable[[str], None] = lambda source: None
        self.own_instance = ""
        self.routes_document: dict | None = None
        self._has_listed_instances = False
        # When the active configuration was applied, and when the store last reported instances.
        self.routes_applied_at = self.instances_updated_at = self._loop.time()
        self._is_store_watcher = False
        self._routes = CollectionFollower(
            configuration.COLLECTION,
            ROUTES_BATCH_SECONDS,
            history_seconds,
            client,
            rng,
            events,
            self._apply_routes,
            may_be_stale=lambda: not self._is_store_watcher,
            first_list_may_be_stale=False,
        )
        # A late change of the instances does no harm, as the gate of an instance that left refuses
        # calls and a call names the service that it is meant for.
        self._instances = CollectionFollower(
            ANNOUNCEMENT_COLLECTION,
            INSTANCES_BATCH_SECONDS,
            history_seconds,
            client,
            rng,
            events,
            self._apply_instances,
            may_be_stale=lambda: True,
            first_list_may_be_stale=True,
        )
        self._tasks: list[asyncio.Task] = []
        self._follow_routes_task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks = [
            self._start_task("follow_instances", self._instances.run),
            self._start_task("announce", self._announce),
        ]
        self._follow_routes_task = self._start_task("follow_routes", self._routes.run)

    async def close(self) -> None:
        """Cancel the background tasks and close the connections."""
        tasks = [*self._tasks]
        if self._follow_routes_task is not None:
            tasks.append(self._follow_routes_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()

    def set_store_watcher(self, is_store_watcher: bool) -> None:
        """Set whether this node follows the configuration without allowing stale answers."""
        if is_store_watcher is self._is_store_watcher:
            return
        self._is_store_watcher = is_store_watcher
        self._events.store_watcher_changed(is_store_watcher)
        if is_store_watcher and self._follow_routes_task is not None:
            # The pending watch may be stale; the next one may not.
            self._follow_routes_task.cancel()
            self._follow_routes_task = self._start_task("follow_routes", self._routes.run)

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task:
        return asyncio.create_task(run_supervised(name, run, self._events))

    @property
    def routes_version(self) -> int:
        """Return the version of the active configuration, or 0 if there is none."""
        return self._current_routes.routes.version

    def offer_configuration(self, decoded: DecodedConfiguration, source: str) -> None:
        """Activate a configuration if it is newer; ``source`` tells the log where it came from."""
        if self._current_routes.replace_if_newer(decoded.routes):
            self.routes_document = decoded.document
            self.routes_applied_at = self._loop.time()
            self._events.configuration_applied(decoded.routes.version, source)
            if decoded.problems:
                self._events.configuration_incomplete(decoded.routes.version, decoded.problems)
            self.on_configuration_applied(source)

    def announcements(self) -> list[Announcement]:
        """Return all announcements that this node knows."""
        return list(self._by_instance.values())

    def offer_instances(self, entries: list[Announcement]) -> None:
        """Merge announcements from a peer, unless the store has already listed them."""
        if self._has_listed_instances:
            return
        self._by_instance.update((entry.instance, entry) for entry in entries if _is_usable(entry))
        self.on_instances_changed(without_superseded(self._by_instance))

    async def read_departures(self) -> None:
        """Read which departures an earlier process of this node acknowledged."""
        backoff = ExponentialBackoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX, self._rng)
        try:
            async with asyncio.timeout(READ_DEPARTURES_SECONDS):
                while not await self._read_own_entry():
                    await asyncio.sleep(backoff.next_delay())
        except TimeoutError:
            self._events.departures_unknown()
            self.on_departures_read(())

    async def wait_until_stored(self, timeout: float) -> bool:
        """Wait until the store holds what this node announces; return whether it does.

        ``timeout`` is in seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                while self._desired != self._stored:
                    self._stored_changed.clear()
                    await self._stored_changed.wait()
        except TimeoutError:
            return False
        return True

    async def remove_unreachable(self, find_unreachable: Callable[[], set[str]]) -> None:
        """Remove announcements at the addresses from ``find_unreachable``, until cancelled.

        Store watchers also remove the records of departures that have been there for long, as the
        node that wrote them may be gone.
        """
        while True:
            await asyncio.sleep(UNREACHABLE_CHECK_SECONDS * self._rng.uniform(0.5, 1.5))
            addresses = find_unreachable()
            unreachable_names = [
                name for name, entry in self._by_instance.items() if entry.address in addresses
            ]
            for name in unreachable_names + self._expired_records():
                await self._remove(name)
            if self._is_own_record_expired():
                self.announce(None)

    def announce(self, announcement: Announcement | DepartureRecord | None) -> None:
        """Set what the store should hold for this node; None deletes it."""
        self._desired = announcement
        self._first_announced.set()
        self._own_announcement_changed.set()

    async def _announce(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_HEARTBEAT_SECONDS):
                await self._first_announced.wait()
        while True:
            await self._own_announcement_changed.wait()
            self._own_announcement_changed.clear()
            backoff = ExponentialBackoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX, self._rng)
            while self._desired != self._stored:
                if not await self._write():
                    await asyncio.sleep(backoff.next_delay())
            for name in self._superseded():
                await self._remove(name)

    async def _remove(self, name: str) -> None:
        """Delete an announcement from the store, unless the announcement has changed meanwhile."""
        version = self._version_by_instance.get(name)
        if version is None:
            # Known only from a peer, or already deleted from the store.
            return
        self._events.store_called(ANNOUNCEMENT_COLLECTION, "remove")
        result = await self._client.delete(ANNOUNCEMENT_COLLECTION, name, version)
        self._events.announcement_removed(name, result.is_ok())
        if result.is_ok():
            self._forget(name)

    def _forget(self, name: str) -> None:
        self._by_instance.pop(name, None)
        self._version_by_instance.pop(name, None)
        self._recorded_at_by_instance.pop(name, None)

    def _set_stored(self, entry: Announcement | DepartureRecord | None, version: int) -> None:
        self._stored, self._stored_version = entry, version
        self._stored_changed.set()

    def _expired_records(self) -> list[str]:
        if not self._is_store_watcher:
            return []
        expired_before = self._loop.time() - 2 * RETENTION_SECONDS
        return [
            name
            for name, recorded_at in self._recorded_at_by_instance.items()
            if recorded_at < expired_before
        ]

    def _is_own_record_expired(self) -> bool:
        recorded_at = self._recorded_at_by_instance.get(self.own_instance)
        return recorded_at is not None and recorded_at < self._loop.time() - RETENTION_SECONDS

    async def _write(self) -> bool:
        """Reconcile this node's announcement by one store call; return whether it succeeded."""
        desired = self._desired
        self._events.store_called(
            ANNOUNCEMENT_COLLECTION, "withdraw" if desired is None else "announce"
        )
        if desired is None:
            result = await self._client.delete(
                ANNOUNCEMENT_COLLECTION, self.own_instance, self._stored_version
            )
            if result.is_ok() or result.err().kind is PlatformErrorKind.NOT_FOUND:
                self._set_stored(None, 0)
                return True
        else:
            value = msgspec.to_builtins(desired)
            result = await self._client.put(
                ANNOUNCEMENT_COLLECTION, self.own_instance, value, self._stored_version
            )
            if result.is_ok():
                self._set_stored(desired, result.ok().version)
                return True
        error = result.err()
        self._events.announcement_failed(f"{error.kind}: {error.detail}")
        if error.kind is PlatformErrorKind.CONFLICT:
            return await self._read_own_entry()
        return False

    async def _read_own_entry(self) -> bool:
        """Read what the store holds for this node; return whether the read succeeded."""
        self._events.store_called(ANNOUNCEMENT_COLLECTION, "read")
        match await self._client.get(ANNOUNCEMENT_COLLECTION, self.own_instance):
            case Ok(found):
                entry = _decode_entry(found)
                self._set_stored(entry, found.version)
                self.on_departures_read(_departures_in(entry))
                return True
            case Err(error) if error.kind is PlatformErrorKind.NOT_FOUND:
                self._set_stored(None, 0)
                self.on_departures_read(())
                return True
        return False

    def _apply_routes(
        self, objects: list[PlatformObject], deleted: list[str], is_snapshot: bool
    ) -> None:
        for item in objects:
            if item.name != configuration.OBJECT_NAME:
                continue
            match configuration.decode_configuration(item.value):
                case Ok(decoded):
                    self.offer_configuration(decoded, "store")
                case Err(problem):
                    self._events.configuration_rejected(item.version, problem)

    def _apply_instances(
        self, objects: list[PlatformObject], deleted: list[str], is_snapshot: bool
    ) -> None:
        self.instances_updated_at = self._loop.time()
        if is_snapshot:
            self._has_listed_instances = True
            self._by_instance.clear()
            self._version_by_instance.clear()
            self._recorded_at_by_instance.clear()
        for name in deleted:
            self._forget(name)
        for item in objects:
            self._apply_entry(item)
        # Another node may delete this node's entry; _announce then writes it again.
        if self._stored is not None and self.own_instance not in self._version_by_instance:
            self._set_stored(None, 0)
        if self._desired != self._stored or self._superseded():
            self._own_announcement_changed.set()
        self.on_instances_changed(without_superseded(self._by_instance))

    def _apply_entry(self, item: PlatformObject) -> None:
        entry = _decode_entry(item)
        if entry is None:
            self._events.announcement_rejected(item.name)
            if item.name == self.own_instance:
                # Another writer has replaced this node's entry; _announce then writes it again.
                self._version_by_instance[item.name] = item.version
                self._set_stored(None, item.version)
            return
        self._forget(item.name)
        self._version_by_instance[item.name] = item.version
        match entry:
            case Announcement():
                self._by_instance[item.name] = entry
            case DepartureRecord():
                self._recorded_at_by_instance[item.name] = self._loop.time()
        if item.name == self.own_instance and item.version > self._stored_version:
            self._set_stored(entry, item.version)
            if isinstance(entry, DepartureRecord):
                self.on_departures_read(entry.departures)

    def _superseded(self) -> list[str]:
        """Return the other instances announced at this node's address; they no longer exist."""
        own = self._desired
        if not isinstance(own, Announcement):
            return []
        return [
            name
            for name, entry in self._by_instance.items()
            if name != own.instance and entry.address == own.address
        ]


def without_superseded(by_instance: dict[str, Announcement]) -> dict[str, Announcement]:
    """Return only the most recently started announcement of each address."""
    latest: dict[str, Announcement] = {}
    for entry in by_instance.values():
        known = latest.get(entry.address)
        if known is None or entry.started_at > known.started_at:
            latest[entry.address] = entry
    return {entry.instance: entry for entry in latest.values()}


def _decode_entry(item: PlatformObject) -> Announcement | DepartureRecord | None:
    """Return the announcement or the record of departures in an object, or None if it is neither.

    Other writers may leave any object in the collection.
    """
    is_record = item.value.get("state") == InstanceState.GONE
    try:
        entry = msgspec.convert(item.value, DepartureRecord if is_record else Announcement)
    except msgspec.ValidationError:
        return None
    if isinstance(entry, Announcement) and not _is_usable(entry):
        return None
    return entry if entry.instance == item.name else None


def _is_usable(announcement: Announcement) -> bool:
    is_plausible_start = 0 <= announcement.started_at <= STARTED_AT_MAX_MS
    return is_plausible_start and is_valid_address(announcement.address)


def _departures_in(
    entry: Announcement | DepartureRecord | None,
) -> tuple[UpstreamDeparture, ...]:
    return entry.departures if isinstance(entry, DepartureRecord) else ()
