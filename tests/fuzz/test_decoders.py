"""Tests that decoders return a value or an error for any input and never raise an exception.

The ``ci`` profile derives the examples of a test from a hash of its source text, so a rename within
a test replaces its examples.
"""

import contextlib
import json
import tempfile
import types
import unittest
from pathlib import Path

import cbor2
import msgspec
from hypothesis import given
from hypothesis import strategies as st

import tests.fuzz.profiles  # noqa: F401
from bamboojunction.conf.loader import load_settings
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.links.codec import TYPE_BY_TAG, decode, encode
from bamboojunction.links.convert import answer_to_reply
from bamboojunction.links.messages import CallAnswer
from bamboojunction.platform.configuration import decode_configuration
from bamboojunction.platform.lenient_json import NESTING_MAX, decode_leniently, replace_undecodable
from tests.processes.base import TABLE

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda children: st.lists(children, max_size=6)
    | st.dictionaries(st.text(), children, max_size=4),
    max_leaves=20,
)
TAGS = st.sampled_from(sorted(TYPE_BY_TAG)) | st.integers()


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text(),
    lambda children: st.lists(children, max_size=4)
    | st.dictionaries(st.text(), children, max_size=3),
    max_leaves=12,
)


class LenientJsonTests(unittest.TestCase):
    @given(JSON_VALUES)
    def test_text_that_can_be_decoded_is_left_as_it_is(self, value):
        content = json.dumps(value).encode()
        self.assertEqual(replace_undecodable(content), content)

    @given(JSON_VALUES, st.integers(NESTING_MAX, 3_000), JSON_VALUES)
    def test_values_beside_one_that_is_nested_too_deeply_are_kept(self, before, depth, after):
        content = "[{}, {}{}{}, {}]".format(
            json.dumps(before), "[" * depth, json.dumps(before), "]" * depth, json.dumps(after)
        )
        decoded = msgspec.json.decode(replace_undecodable(content.encode()))
        self.assertEqual((decoded[0], decoded[2]), (before, after))

    @given(st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_refused(self, content):
        with contextlib.suppress(msgspec.DecodeError):
            decode_leniently(content, object)


class FrameTests(unittest.TestCase):
    @given(st.binary(max_size=400))
    def test_any_bytes_are_decoded_or_refused(self, frame):
        decoded = decode(frame)
        self.assertTrue(decoded.is_ok() or "malformed" in decoded.err())

    @given(TAGS, st.lists(VALUES, max_size=18))
    def test_any_fields_are_decoded_or_refused(self, tag, fields):
        decoded = decode(cbor2.dumps([tag, *fields]))
        if decoded.is_ok():
            self.assertEqual(decode(encode(decoded.ok())).is_ok(), True)

    def test_deep_nesting_is_refused(self):
        self.assertTrue(decode(b"\x81" * 100_000).is_err())

    @given(st.integers(), st.integers(), st.text(), st.binary(max_size=20))
    def test_an_answer_that_makes_no_sense_is_never_not_run(self, verdict, status, reason, body):
        answer = CallAnswer(1, verdict, status, (), body, reason, 0.0, 0, 0.0, None)
        reply = answer_to_reply(answer)
        known = verdict in (0, 1, 2)
        if not known:
            self.assertEqual(type(reply.outcome).__name__, "Unknown")


class TextTests(unittest.TestCase):
    @given(st.text(max_size=400))
    def test_any_table_text_is_parsed_or_refused(self, text):
        parsed = parse_table(text, 1, "edit")
        self.assertTrue(parsed.is_ok() or parsed.err())

    @given(st.integers(0, len(TABLE) - 1), st.characters())
    def test_any_change_of_one_cell_is_parsed_or_refused(self, position, character):
        text = TABLE[:position] + character + TABLE[position + 1 :]
        parsed = parse_table(text, 1, "edit")
        self.assertTrue(parsed.is_ok() or parsed.err())

    @given(st.binary(max_size=300))
    def test_any_settings_file_is_loaded_or_refused(self, content):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "node.ini")
            path.write_bytes(content)
            self.assertTrue(load_settings(path).is_err())

    @given(st.text(max_size=250))
    def test_a_key_that_parses_renders_as_the_same_text(self, text):
        key = ActionKey.parse(text)
        self.assertTrue(key is None or ActionKey.parse(str(key)) == key)


class ConfigurationTests(unittest.TestCase):
    PATH = types.MappingProxyType(
        {
            "name": "r-1",
            "path_prefix": "/a/",
            "kind": "idempotent",
            "timeout_ms": 1200,
            "goal_ms": 300,
            "priority": 1,
            "service": "menu",
            "attempts": 2,
        }
    )

    @given(VALUES)
    def test_any_value_is_decoded_or_refused(self, value):
        decoded = decode_configuration(value)
        self.assertTrue(decoded.is_ok() or "cannot be read" in decoded.err())

    @given(st.sampled_from(sorted(PATH)), VALUES, st.booleans())
    def test_a_damaged_path_entry_leaves_the_others_in_force(self, field, value, is_missing):
        damaged = {**self.PATH, "name": "r-2", "path_prefix": "/b/", field: value}
        if is_missing:
            del damaged[field]
        paths = [damaged, dict(self.PATH)]
        document = {"version": 3, "vhosts": [value, {"host": "h.example", "paths": paths}]}
        routes = decode_configuration(document).unwrap().routes
        self.assertEqual(routes.version, 3)
        self.assertEqual(routes.find("h.example", "/a/x").weighted_services[0].service, "menu")
