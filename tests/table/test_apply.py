"""Exactly one of several concurrent edits is applied, and a lost answer causes no second write."""

import asyncio
import random
import unittest
from unittest import mock

from result import Err

from bamboo_standins.memory_platform import InMemoryPlatform, InMemoryPlatformClient
from bamboo_standins.paused_clock import with_paused_clock
from bamboo_standins.simulated_fleet import render_uniform_table, replace_weight
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.diff import changed_kind
from bamboojunction.core.table.stored_object import (
    TABLE_COLLECTION,
    TABLE_OBJECT_NAME,
    Edit,
    read_object,
)
from bamboojunction.operators.table_edit import (
    Applied,
    Conflict,
    NotApplied,
    OutcomeUnknown,
    TableEditor,
    Unchanged,
)
from bamboojunction.platform.client import PlatformError, PlatformErrorKind

TEXT = render_uniform_table(3)


class ApplyTests(unittest.TestCase):
    def setUp(self):
        self.platform = InMemoryPlatform()
        self.client = InMemoryPlatformClient(self.platform)

    async def apply(self, text, edit_id, base=None, client=None):
        editor = TableEditor(client or self.client, 20.0, random.Random(1))
        edit = Edit(edit_id, f"operator-{edit_id}", "")
        return await editor.apply(parse_table(text, 0, "").unwrap(), edit, base)

    def stored(self):
        return self.platform.store.object_by_key[TABLE_COLLECTION, TABLE_OBJECT_NAME]

    def history_ids(self):
        history = read_object(self.stored().value).unwrap().history
        return [entry.edit_id for entry in history]

    @with_paused_clock
    async def test_first_edit_then_the_same_rows_again(self):
        self.assertEqual(await self.apply(TEXT, "a"), Applied(1))
        self.assertEqual(await self.apply(TEXT, "b"), Unchanged(1))

    @with_paused_clock
    async def test_exactly_one_of_several_concurrent_edits_is_applied(self):
        await self.apply(TEXT, "first")
        texts = [replace_weight(TEXT, f"kind-{number % 3}", 20 + number) for number in range(5)]
        clients = [InMemoryPlatformClient(self.platform) for _ in texts]
        outcomes = await asyncio.gather(
            *(
                self.apply(text, f"e{number}", client=clients[number])
                for number, text in enumerate(texts)
            )
        )
        applied = [outcome for outcome in outcomes if isinstance(outcome, Applied)]
        conflicts = [outcome for outcome in outcomes if isinstance(outcome, Conflict)]
        self.assertEqual((len(applied), len(conflicts)), (1, 4))
        self.assertEqual(self.stored().version, applied[0].version)
        self.assertEqual({conflict.version for conflict in conflicts}, {applied[0].version})
        self.assertTrue(all(conflict.changes for conflict in conflicts))

    @with_paused_clock
    async def test_edit_of_an_older_version_shows_the_rows_that_differ(self):
        first = await self.apply(TEXT, "a")
        await self.apply(replace_weight(TEXT, "kind-0", 30), "b")
        result = await self.apply(replace_weight(TEXT, "kind-2", 40), "c", base=first.version)
        self.assertIsInstance(result, Conflict)
        self.assertEqual([changed_kind(change) for change in result.changes], ["kind-0", "kind-2"])
        self.assertEqual(result.edited_by, "operator-b")

    @with_paused_clock
    async def test_lost_answer_is_recognised_and_not_written_twice(self):
        self.client.faults.lose_answers = 1
        self.assertEqual(await self.apply(TEXT, "a"), Applied(1))
        self.assertEqual(self.platform.call_counts["writes"], 1)
        self.assertEqual(self.history_ids(), ["a"])

    @with_paused_clock
    async def test_lost_answer_of_an_edit_that_was_replaced_since_is_recognised(self):
        await self.apply(TEXT, "a")
        self.client.faults.lose_answers = 1
        slow = asyncio.create_task(self.apply(replace_weight(TEXT, "kind-1", 50), "b"))
        while self.platform.call_counts["writes"] < 2:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        other = InMemoryPlatformClient(self.platform)
        await self.apply(replace_weight(TEXT, "kind-2", 60), "c", client=other)
        self.assertEqual(await slow, Applied(2, replaced_by=3))

    @with_paused_clock
    async def test_edit_is_unsettled_after_a_lost_answer_and_an_outage_until_its_id_is_read(self):
        self.client.faults.lose_answers = 1
        task = asyncio.create_task(self.apply(TEXT, "a"))
        await asyncio.sleep(0.01)
        self.client.faults.down = True
        self.assertIsInstance(await task, OutcomeUnknown)
        self.client.faults.down = False
        self.assertEqual(await self.apply(TEXT, "a"), Applied(1))
        self.assertEqual(self.platform.call_counts["writes"], 1)

    @with_paused_clock
    async def test_edit_during_an_outage_is_reported_as_not_applied(self):
        self.client.faults.refuse_status = 503
        self.assertIsInstance(await self.apply(TEXT, "a"), NotApplied)
        self.assertEqual(self.platform.store.revision, 0)

    @with_paused_clock
    async def test_short_outage_is_waited_for(self):
        self.client.faults.down = True
        task = asyncio.create_task(self.apply(TEXT, "a"))
        await asyncio.sleep(3)
        self.client.faults.down = False
        self.assertEqual(await task, Applied(1))

    @with_paused_clock
    async def test_stale_reads_never_undo_another_edit(self):
        await self.apply(TEXT, "a")
        self.client.stale_snapshot = self.platform.store.snapshot()
        other = InMemoryPlatformClient(self.platform)
        await self.apply(replace_weight(TEXT, "kind-0", 30), "b", client=other)
        result = await self.apply(replace_weight(TEXT, "kind-2", 40), "c")
        self.assertIsInstance(result, NotApplied)
        self.assertEqual(self.history_ids(), ["a", "b"])

    @with_paused_clock
    async def test_delayed_write_is_applied_once(self):
        """The platform refuses a write that was delayed in the network if its retry was first."""
        original = self.client.put
        held = []

        async def hold_first(*arguments):
            if not held:
                held.append(arguments)
                return Err(PlatformError(PlatformErrorKind.LOST_ANSWER))
            return await original(*arguments)

        with mock.patch.object(self.client, "put", hold_first):
            self.assertEqual(await self.apply(TEXT, "a"), Applied(1))
        result = await original(*held[0])
        self.assertTrue(result.is_err())
        self.assertEqual(self.history_ids(), ["a"])
