"""The version of a node's table never decreases, and a delta results in exactly its version."""

import itertools
import unittest
from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboojunction.core.table.columns import cells_from_row, row_from_cells
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.deltas import DeltaFailure, delta_between
from bamboojunction.core.table.diff import diff_tables, format_change
from bamboojunction.core.table.holder import RECENT_VERSIONS_MAX, CurrentTable
from bamboojunction.core.table.rows import Effect, Row, Table
from bamboojunction.core.table.stored_object import (
    HISTORY_MAX_BYTES,
    HISTORY_MAX_ENTRIES,
    Edit,
    build_object_value,
    read_object,
    read_table_object,
    with_unknown_cells,
)

names = st.from_regex(r"[a-z][a-z0-9._-]{0,8}", fullmatch=True)
rows = st.builds(
    Row,
    kind=names,
    rank=st.integers(0, 9),
    weight=st.integers(1, 1000),
    effect=st.sampled_from(Effect),
    deadline_ms=st.integers(10, 120_000),
    retries=st.integers(0, 10),
    slots_max=st.integers(0, 10_000),
    services=st.lists(names, max_size=4, unique=True).map(tuple),
    extra=st.sampled_from([(), (("x-note", 'a "b", c'),), (("tier", "7"),)]),
)
row_maps = st.lists(rows, max_size=6).map(lambda entries: {row.kind: row for row in entries})


def row(kind: str, **cells) -> Row:
    return replace(Row(kind, 1, 10, Effect.IDEMPOTENT, 100), **cells)


def table(version: int, *entries: Row) -> Table:
    return Table(version, f"edit-{version}", {entry.kind: entry for entry in entries})


class CurrentTableTests(unittest.TestCase):
    def test_highest_version_stays_in_force_in_every_order_of_arrival(self):
        versions = [table(number, row("a", weight=number)) for number in (1, 4, 5, 9)]
        for order in itertools.permutations(versions):
            current_table = CurrentTable()
            seen = []
            for version in order:
                current_table.replace_if_newer(version)
                seen.append(current_table.table.version)
            with self.subTest(order=[version.version for version in order]):
                self.assertEqual(seen, sorted(seen))
                self.assertEqual(current_table.table, versions[-1])

    @settings(derandomize=True, max_examples=150)
    @given(row_maps, row_maps)
    def test_delta_leads_to_the_later_version(self, before, after):
        current_table, peer = CurrentTable(), CurrentTable()
        old, new = Table(3, "old", before), Table(8, "new", after)
        for version in (old, new):
            current_table.replace_if_newer(version)
        peer.replace_if_newer(old)
        peer.replace_by_delta(current_table.delta_from(3))
        self.assertEqual(peer.table, new)

    @settings(derandomize=True, max_examples=100)
    @given(rows)
    def test_cells_of_a_row_read_back(self, entry):
        self.assertEqual(row_from_cells(cells_from_row(entry)).ok(), entry)

    def test_delta_on_another_base_changes_nothing(self):
        current_table = CurrentTable()
        current_table.replace_if_newer(table(2, row("a")))
        delta = delta_between(table(3, row("a"), row("b")), table(4, row("a")))
        self.assertIs(current_table.replace_by_delta(delta).err(), DeltaFailure.BASE_MISMATCH)
        self.assertEqual(current_table.table.version, 2)

    def test_replayed_or_damaged_delta_changes_nothing(self):
        old, new = table(2, row("a")), table(3, row("a", weight=9))
        delta = delta_between(old, new)
        current_table = CurrentTable()
        current_table.replace_if_newer(old)
        damaged = replace(delta, content_hash=1)
        self.assertIs(current_table.replace_by_delta(damaged).err(), DeltaFailure.HASH_MISMATCH)
        malformed = replace(delta, changed=({"kind": "a"},))
        self.assertIs(current_table.replace_by_delta(malformed).err(), DeltaFailure.MALFORMED)
        self.assertEqual(current_table.table, old)
        self.assertTrue(current_table.replace_by_delta(delta).is_ok())
        self.assertIs(current_table.replace_by_delta(delta).err(), DeltaFailure.STALE)
        self.assertEqual(current_table.table, new)

    def test_peers_with_an_older_version_than_the_kept_ones_need_the_whole_table(self):
        current_table = CurrentTable()
        for version in range(1, RECENT_VERSIONS_MAX + 2):
            current_table.replace_if_newer(table(version, row("a", weight=version)))
        self.assertIsNone(current_table.delta_from(1))
        self.assertIsNotNone(current_table.delta_from(2))
        self.assertIsNone(current_table.delta_from(current_table.table.version))


class DiffTests(unittest.TestCase):
    def test_diff_names_added_removed_and_changed_rows(self):
        before = table(1, row("a"), row("b"), row("same"))
        after = table(2, row("b", weight=20), row("c"), row("same"))
        lines = [format_change(change) for change in diff_tables(before, after)]
        self.assertEqual([line[:4] for line in lines], ["- a:", "~ b:", "+ c:"])
        self.assertEqual(lines[1], "~ b: weight: '10' -> '20'")
        self.assertEqual(diff_tables(before, before), [])


class ObjectTests(unittest.TestCase):
    edit = Edit("e1", "ana", "2030-01-01T00:00:00Z", "summer")

    def write(self, new: Table, replaced: dict, old: Table) -> dict:
        changes = diff_tables(old, new)
        return build_object_value(new, self.edit, old.version, replaced, changes)

    def test_object_reads_back_with_the_platform_version(self):
        value = self.write(table(0, row("a")), {}, Table())
        read = read_table_object(value, 41).ok()
        self.assertEqual((read.version, read.edit_id), (41, "e1"))
        self.assertEqual(read.by_kind, {"a": row("a")})

    def test_fields_and_cells_of_a_newer_release_survive_a_rewrite(self):
        newer = {
            "schema": 2,
            "edit_id": "e0",
            "rows": [{**cells_from_row(row("a")), "tier": "gold"}],
            "approved_by": "zora",
        }
        old = read_table_object(newer, 5).ok()
        text = "kind,rank,weight,effect,deadline_ms\na,1,30,idempotent,100\n"
        new = with_unknown_cells(parse_table(text, 0, "").ok(), old)
        value = self.write(new, newer, old)
        self.assertEqual((value["schema"], value["approved_by"]), (2, "zora"))
        self.assertEqual((value["rows"][0]["tier"], value["rows"][0]["weight"]), ("gold", "30"))

    def test_an_object_with_one_invalid_row_is_rejected(self):
        value = self.write(table(0, row("a"), row("b")), {}, Table())
        value["rows"][1]["effect"] = "sometimes"
        self.assertIn("effect", read_table_object(value, 5).err())
        for broken in ({}, {"schema": 1}, {"schema": 1, "edit_id": "e", "rows": [3]}):
            with self.subTest(broken=broken):
                self.assertTrue(read_table_object(broken, 5).is_err())

    def test_history_records_the_changed_cells_and_stays_bounded(self):
        value: dict = {}
        old = Table()
        for number in range(HISTORY_MAX_ENTRIES + 5):
            new = table(number + 1, row("a", weight=number + 1))
            value = self.write(new, value, old)
            old = new
        history = read_object(value).ok().history
        self.assertGreater(len(history), 50)
        self.assertLessEqual(len(history), HISTORY_MAX_ENTRIES)
        self.assertLessEqual(len(msgspec.json.encode(history)), HISTORY_MAX_BYTES * 1.1)
        last = history[-1].changes[0]
        self.assertEqual((last.before, last.after), ({"weight": "204"}, {"weight": "205"}))
