"""Writing and removal of announcements in the store, and restarts of failed tasks."""

import asyncio
import os
import random
import unittest
import unittest.mock

import msgspec
from result import Err, Ok

from bamboojunction.core.membership.view import ANNOUNCEMENT_COLLECTION, Announcement
from bamboojunction.core.routes import CurrentRoutes
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


def announcement(instance, address, started_at):
    return Announcement(instance, "inc", "menu", "lac", "nord", address, started_at)


class WriteOnlyStore:
    """A store that accepts writes, and never responds to lists and watches."""

    def __init__(self):
        self.deleted: list[str] = []
        self.written = asyncio.Event()

    async def list(self, collection):
        await asyncio.Event().wait()

    async def put(self, collection, name, value, version):
        self.written.set()
        return Ok(PlatformObject(collection, name, 7, value))

    async def delete(self, collection, name, version):
        self.deleted.append(name)
        return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, ""))

    async def close(self):
        pass


class StaleStore(WriteOnlyStore):
    """A store whose watches are answered by a scripted replica that lags behind its list."""

    def __init__(self, listed: ObjectList, *batches: WatchBatch):
        super().__init__()
        self.listed = listed
        self.batches = list(batches)
        self.watched_revisions: list[tuple[str, int, bool]] = []

    async def list(self, collection):
        if collection != ANNOUNCEMENT_COLLECTION:
            await asyncio.Event().wait()
        return Ok(self.listed)

    async def watch(self, collection, after_revision, wait_seconds, may_be_stale=False):
        self.watched_revisions.append((collection, after_revision, may_be_stale))
        if not self.batches:
            await asyncio.Event().wait()
        return Ok(self.batches.pop(0))


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


class StaleWatchTests(unittest.IsolatedAsyncioTestCase):
    async def test_replica_that_lags_brings_nothing_back_and_moves_no_watch_back(self):
        stays = announcement("stays", "10.0.0.1:1", 1.0)
        item = PlatformObject(ANNOUNCEMENT_COLLECTION, "stays", 9, msgspec.to_builtins(stays))
        # The replica has not yet seen revision 9, with which an instance left.
        store = StaleStore(ObjectList(9, [item]), WatchBatch(4, [], []), WatchBatch(4, [], []))
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        events = EventLog("n", LineOutput(descriptor, 0.0))
        store_sync = StoreSync(store, CurrentRoutes(), random.Random(1), events)
        self.enterContext(
            unittest.mock.patch.object(store_sync_module, "INSTANCES_BATCH_SECONDS", 0)
        )
        store_sync.start()
        self.addAsyncCleanup(store_sync.close)
        async with asyncio.timeout(5.0):
            while len(store.watched_revisions) < 3:
                await asyncio.sleep(0.01)
        self.assertEqual(store.watched_revisions, [(ANNOUNCEMENT_COLLECTION, 9, True)] * 3)
        self.assertEqual(store_sync.announcements(), [stays])


class TaskTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, self.log_descriptor)

    async def test_announcements_known_only_from_peers_are_not_removed_from_the_store(self):
        store = WriteOnlyStore()
        events = EventLog("n", LineOutput(self.log_descriptor, 0.0))
        store_sync = StoreSync(store, CurrentRoutes(), random.Random(1), events)
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
