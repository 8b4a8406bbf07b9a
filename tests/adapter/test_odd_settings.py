"""Settings files with odd fields give a node what it can serve with, or one line."""

import copy
import math
import unittest
from collections.abc import Iterator

import yaml
from hypothesis import given
from hypothesis import strategies as st

import tests.fuzz.profiles  # noqa: F401
from bamboojunction.checks.machine import check_machine
from bamboojunction.checks.messages import has_errors
from bamboojunction.platform.node_settings import parse_node_settings
from tests.adapter.test_node_settings import SETTINGS_FILE

ABSENT = "(absent)"
TABLES = yaml.safe_load(SETTINGS_FILE)


def paths_of(value: object, prefix: str = "") -> Iterator[str]:
    """Return the paths of all fields, tables and items of lists below a value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for name, entry in items:
        yield f"{prefix}{name}"
        if isinstance(entry, dict | list):
            yield from paths_of(entry, f"{prefix}{name}.")


REQUIRED = (
    *("self", "network", "network.listen", "network.port_range", "network.port_range.0"),
    *("self.node", "self.service", "self.ip", "self.app_addr"),
    *(f"network.listen.{name}" for name in ("outbound", "ready", "control")),
    *("provider", "provider.provider", "provider.provider.address"),
)
OPTIONAL = tuple(path for path in paths_of(TABLES) if path not in REQUIRED)
ODD_VALUES = (ABSENT, None, "", " ", "x", "\u200b", "a\nb", [], [None], {}, {"a": 1}, True, False)
ODD_NUMBERS = (-1, 0, 1e-9, 1e300, 10**400, 1 << 20_000, math.nan, math.inf, -math.inf, "300")
ODD = st.one_of(
    st.sampled_from(ODD_VALUES + ODD_NUMBERS), st.integers(), st.floats(), st.text(), st.dates()
)
# Scalars that YAML gives a type by their form or tag, but whose value is none.
ODD_SCALARS = ("2026-13-45", "0x_", "9" * 5_000, "!!int x", "!!bool x", "!own x", "!own [1]", "~")


def with_fields(value_by_path: dict[str, object]) -> bytes:
    """Return the settings file with other values at some paths, the shortest path last."""
    tables = copy.deepcopy(TABLES)
    for path in sorted(value_by_path, reverse=True):
        *parents, name = [int(part) if part.isdigit() else part for part in path.split(".")]
        table = tables
        for parent in parents:
            table = table[parent]
        if value_by_path[path] is not ABSENT:
            table[name] = value_by_path[path]
        elif name == 0:
            # Without its first item, a list would have its second one there.
            table[name] = None
        else:
            del table[name]
    return yaml.dump(tables, Dumper=Dumper).encode()


class Dumper(yaml.SafeDumper):
    """A dumper that writes integers of any length."""

    def represent_int(self, data):
        return self.represent_scalar("tag:yaml.org,2002:int", hex(data))


Dumper.add_representer(int, Dumper.represent_int)


class OddSettingsTests(unittest.TestCase):
    def assert_usable(self, text: bytes, *paths: str) -> None:
        """Assert that settings load, and that each default is told in one line with its field."""
        settings = parse_node_settings(text).unwrap()
        messages = check_machine(settings)
        self.assertFalse(has_errors(messages), messages)
        for entry in settings.defaulted:
            self.assertTrue(entry.field.startswith(paths), entry)
            self.assertEqual(len(str(entry).splitlines()), 1)
        self.assertGreater(min(settings.stop_seconds, settings.retry_window_seconds), 0)
        self.assertGreaterEqual(min(settings.retry_ratio, settings.retry_slack), 0)
        self.assertTrue(1_000_000 <= settings.memory_bytes <= 10**12)
        self.assertTrue(math.isfinite(settings.store_history_seconds + settings.retry_slack))
        self.assertTrue(f"{settings.data_centre}/{settings.region}".isprintable())

    def test_field_that_is_not_needed_gets_its_default_with_a_line(self):
        """An empty ``limits.memory_mb`` refused the settings whole, at each start."""
        for path in OPTIONAL:
            for value in ODD_VALUES + ODD_NUMBERS:
                with self.subTest(path=path, value=type(value)):
                    self.assert_usable(with_fields({path: value}), path)
        for scalar in ODD_SCALARS:
            with self.subTest(scalar=scalar[:20]):
                text = SETTINGS_FILE.replace(b"memory_mb: 300", f"memory_mb: {scalar}".encode())
                self.assert_usable(text, "self.limits.memory_mb")

    def test_line_names_field_value_and_default(self):
        settings = parse_node_settings(with_fields({"self.limits.memory_mb": None})).unwrap()
        line = "self.limits.memory_mb is empty; 200.0 is used"
        self.assertEqual([str(entry) for entry in settings.defaulted], [line])
        self.assertIn(line, str(check_machine(settings)[0]))

    def test_field_that_is_needed_gives_one_line_that_names_it(self):
        for path in REQUIRED:
            for value in (ABSENT, None, "", [], {}, "\u200b"):
                with self.subTest(path=path, value=value):
                    problem = parse_node_settings(with_fields({path: value})).unwrap_err()
                    self.assertIn(path, problem)
                    self.assertEqual(len(problem.splitlines()), 1)

    def test_file_that_is_no_table_gives_one_line(self):
        for text in (b"", b"[1]", b"a: [", b"\xff", b"[" * 20_000, b"? [a]\n: 1", b"a: *b", b"%"):
            with self.subTest(text[:10]):
                problem = parse_node_settings(text).unwrap_err()
                self.assertEqual(len(problem.splitlines()), 1)

    @given(st.dictionaries(st.sampled_from(OPTIONAL + REQUIRED), ODD, max_size=6))
    def test_odd_fields_in_combination_are_usable_or_give_one_line(self, value_by_path):
        text = with_fields(value_by_path)
        if value_by_path.keys().isdisjoint(REQUIRED):
            self.assert_usable(text, *value_by_path)
            return
        loaded = parse_node_settings(text)
        lines = [loaded.err()] if loaded.is_err() else map(str, check_machine(loaded.ok()))
        for line in lines:
            self.assertEqual(len(line.splitlines()), 1, line)
