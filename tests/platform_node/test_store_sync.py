"""How a node follows the store, and writes and removes announcements in it."""

import asyncio
import os
import random
import unittest
import unittest.mock

import msgspec
from result import Err, Ok

from bamboojunction.core.membership.view import ANNOUNCEMENT_COLLECTION, Announcement
from bamboojunction.core.routes import CurrentRoutes
from bamboojunction.platform import configuration
from bamboojunction.platform.client import (
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    PlatformObject,
    WatchBatch,
)
from bamboojunction.platform_node import store_sync as store_sync_module
from bamboojunction.platform_node.store_sync import StoreSync, without_superseded
from bamboojunction.platform_node.supervision import RESTART_SECONDS, run_supervised
from bamboojunction.telemetry.events import EventLog
from bamboojunction.telemetry.line_output import LineOutput

HISTORY_SECONDS = 20.0


def announcement(instance, address, started_at):
    return Announcement(instance, "inc", "menu", "lac", "nord", address, started_at)


class WriteOnlyStore:
    """A store that accepts writes, and never responds to lists and watches."""

    def __init__(self):
        self.deleted: list[str] = []
        self.written = asyncio.Event()

    async def list(self, collection, may_be_stale=False):
        await asyncio.Event().wait()

    async def put(self, collection, name, value, version):
        self.written.set()
        return Ok(PlatformObject(collection, name, 7, value))

    async def delete(self, collection, name, version):
        self.deleted.append(name)
        return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, ""))

    async def close(self):
        pass


class ScriptedStore(WriteOnlyStore):
    """A store with one collection, whose watches get scripted responses after a list."""

    def __init__(self, listed: ObjectList, *batches: WatchBatch | PlatformError):
        super().__init__()
        self.collection = ANNOUNCEMENT_COLLECTION
        self.listed = listed
        self.lists_may_be_stale: list[bool] = []
        self.batches = list(batches)
        self.put_versions: list[int] = []
        self.watched_revisions: list[tuple[str, int, bool]] = []

    async def list(self, collection, may_be_stale=False):
        if collection != self.collection:
            await asyncio.Event().wait()
        self.lists_may_be_stale.append(may_be_stale)
        return Ok(self.listed)

    async def watch(self, collection, after_revision, wait_seconds, may_be_stale=False):
        self.watched_revisions.append((collection, after_revision, may_be_stale))
        if not self.batches:
            await asyncio.Event().wait()
        match self.batches.pop(0):
            case PlatformError() as error:
                return Err(error)
            case batch:
                return Ok(batch)

    async def put(self, collection, name, value, version):
        self.put_versions.append(version)
        return await super().put(collection, name, value, version)


class RecordingEventLog(EventLog):
    """An event log that records task failures."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.failed: list[tuple[str, str]] = []

    def task_failed(self, task, problem):
        self.failed.append((task, problem))


class SupersededTests(unittest.TestCase):
    def test_most_recently_started_instance_of_an_address_is_kept(self):
        old, new = announcement("a", "10.0.0.1:1", 100.0), announcement("b", "10.0.0.1:1", 200.0)
        other = announcement("c", "10.0.0.2:1", 50.0)
        found = without_superseded({item.instance: item for item in (new, old, other)})
        self.assertEqual(found, {"b": new, "c": other})


class OddEntryTests(unittest.IsolatedAsyncioTestCase):
    """An entry that another writer left names no instance, and leaves the others as they are."""

    ODD_CHANGES = (
        {"address": "10.0.0.9:99999"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:http"},
        {"address": "10.0.0.9:\u0663"},
        {"address": "no address"},
        {"address": ["10.0.0.9:1"]},
        {"started_at": 1e30},
        {"started_at": "now"},
        {"state": "resting"},
        {"instance": "another"},
    )

    async def apply(self, objects: list[PlatformObject], own: str = "") -> StoreSync:
        output = LineOutput(os.open(os.devnull, os.O_WRONLY), 0.0)
        store_sync = StoreSync(
            WriteOnlyStore(),
            CurrentRoutes(),
            random.Random(1),
            EventLog("a", output),
            HISTORY_SECONDS,
        )
        store_sync.own_instance = own
        store_sync._apply_instances(objects, [], True)
        return store_sync

    async def test_entry_that_names_no_instance_is_left_out(self):
        good = announcement("good", "10.0.0.1:1", 1.0)
        odd = msgspec.to_builtins(announcement("odd", "10.0.0.9:9", 2.0))
        for change in self.ODD_CHANGES:
            with self.subTest(change=change):
                objects = [
                    PlatformObject(ANNOUNCEMENT_COLLECTION, "odd", 8, odd | change),
                    PlatformObject(ANNOUNCEMENT_COLLECTION, "good", 9, msgspec.to_builtins(good)),
                ]
                self.assertEqual((await self.apply(objects)).announcements(), [good])

    async def test_own_entry_is_written_again_after_another_writer_replaced_it(self):
        own = announcement("own", "10.0.0.1:1", 1.0)
        store_sync = await self.apply([], "own")
        store_sync.announce(own)
        store_sync._set_stored(own, 3)
        store_sync._own_announcement_changed.clear()
        odd = PlatformObject(ANNOUNCEMENT_COLLECTION, "own", 4, {"instance": 7})
        store_sync._apply_instances([odd], [], False)
        self.assertTrue(store_sync._own_announcement_changed.is_set())
        self.assertEqual(store_sync._stored_version, 4)


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    async def test_replica_that_lags_brings_nothing_back_and_moves_no_watch_back(self):
        stays = announcement("stays", "10.0.0.1:1", 1.0)
        item = PlatformObject(ANNOUNCEMENT_COLLECTION, "stays", 9, msgspec.to_builtins(stays))
        # The replica has not yet seen revision 9, with which an instance left.
        store = ScriptedStore(ObjectList(9, [item]), WatchBatch(4, [], []), WatchBatch(4, [], []))
        store_sync = self.start_store_sync(store)
        await self.wait_for_watches(store, 3)
        self.assertEqual(store.watched_revisions, [(ANNOUNCEMENT_COLLECTION, 9, True)] * 3)
        self.assertEqual(store_sync.announcements(), [stays])

    async def test_only_the_first_list_of_the_instances_may_be_stale(self):
        compacted = PlatformError(PlatformErrorKind.COMPACTED)
        store = ScriptedStore(ObjectList(9, []), compacted)
        self.start_store_sync(store)
        await self.wait_for_watches(store, 2)
        self.assertEqual(store.lists_may_be_stale, [True, False])

    async def test_store_watcher_replaces_its_stale_watch_of_the_configuration(self):
        store = ScriptedStore(ObjectList(9, []))
        store.collection = configuration.COLLECTION
        store_sync = self.start_store_sync(store)
        await self.wait_for_watches(store, 1)
        store_sync.set_store_watcher(True)
        await self.wait_for_watches(store, 2)
        self.assertEqual(store.lists_may_be_stale, [False])
        self.assertEqual(
            store.watched_revisions,
            [(configuration.COLLECTION, 9, True), (configuration.COLLECTION, 9, False)],
        )

    async def test_store_watcher_probes_a_failed_store_by_cheap_calls(self):
        failed = PlatformError(PlatformErrorKind.UNAVAILABLE)
        store = ScriptedStore(ObjectList(9, []), failed, failed, WatchBatch(9, [], []))
        store.collection = configuration.COLLECTION
        store_sync = self.start_store_sync(store)
        store_sync.set_store_watcher(True)
        await self.wait_for_watches(store, 4)
        may_be_stale = [may_be_stale for _, _, may_be_stale in store.watched_revisions]
        self.assertEqual(may_be_stale, [False, True, True, False])

    async def test_restarted_node_replaces_its_announcement_by_one_write(self):
        earlier = announcement("n", "10.0.0.1:1", 1.0)
        item = PlatformObject(ANNOUNCEMENT_COLLECTION, "n", 6, msgspec.to_builtins(earlier))
        store = ScriptedStore(ObjectList(9, [item]))
        store_sync = self.start_store_sync(store)
        await self.wait_for_watches(store, 1)
        store_sync.announce(announcement("n", "10.0.0.1:1", 2.0))
        await asyncio.wait_for(store.written.wait(), 5.0)
        self.assertEqual((store.deleted, store.put_versions), ([], [6]))

    def start_store_sync(self, store: ScriptedStore) -> StoreSync:
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        events = EventLog("n", LineOutput(descriptor, 0.0))
        self.enterContext(
            unittest.mock.patch.object(store_sync_module, "INSTANCES_BATCH_SECONDS", 0)
        )
        store_sync = StoreSync(store, CurrentRoutes(), random.Random(1), events, HISTORY_SECONDS)
        store_sync.own_instance = "n"
        store_sync.start()
        self.addAsyncCleanup(store_sync.close)
        return store_sync

    async def wait_for_watches(self, store: ScriptedStore, count: int) -> None:
        async with asyncio.timeout(5.0):
            while len(store.watched_revisions) < count:
                await asyncio.sleep(0.01)


class TaskTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, self.log_descriptor)

    async def test_announcements_known_only_from_peers_are_not_removed_from_the_store(self):
        store = WriteOnlyStore()
        events = EventLog("n", LineOutput(self.log_descriptor, 0.0))
        store_sync = StoreSync(store, CurrentRoutes(), random.Random(1), events, HISTORY_SECONDS)
        store_sync.own_instance = "new"
        store_sync.start()
        self.addAsyncCleanup(store_sync.close)
        store_sync.offer_instances([announcement("old", "10.0.0.1:1", 1.0)])
        store_sync.announce(announcement("new", "10.0.0.1:1", 2.0))
        await asyncio.wait_for(store.written.wait(), 5.0)
        store.written.clear()
        store_sync.announce(announcement("new", "10.0.0.1:1", 3.0))
        await asyncio.wait_for(store.written.wait(), 5.0)
        self.assertEqual(store.deleted, [])

    async def test_task_that_fails_is_logged_and_started_again(self):
        events = RecordingEventLog("n", LineOutput(self.log_descriptor, 0.0))
        runs = 0
        is_running = asyncio.Event()

        async def work():
            nonlocal runs
            runs += 1
            if runs == 1:
                raise KeyError("gone")
            is_running.set()
            await asyncio.Event().wait()

        task = asyncio.create_task(run_supervised("work", work, events))
        await asyncio.wait_for(is_running.wait(), RESTART_SECONDS + 5.0)
        task.cancel()
        self.assertEqual(events.failed, [("work", "KeyError: 'gone'")])
