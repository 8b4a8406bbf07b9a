"""A record takes no more memory than it is counted as."""

import tracemalloc
import unittest

from bamboojunction.core.once.gate_records import GateRecords
from bamboojunction.core.once.home import Home
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import Ran

KEYS = 2_000


def answer_of(number):
    return Ran(200, (("content-type", f"application/json;{number}"),), f"body {number}".encode())


def allocated_by(fill):
    tracemalloc.start()
    kept = fill()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return kept, size


class MemoryTests(unittest.TestCase):
    def test_home_counts_at_least_what_its_records_take(self):
        home, size = allocated_by(self.fill_home)
        print(f"home: {size // KEYS} bytes a key, counted as {home.bytes_held // KEYS}")
        self.assertLessEqual(size, home.bytes_held)

    def test_gate_counts_at_least_what_its_records_take(self):
        records, size = allocated_by(self.fill_gate)
        print(f"gate: {size // KEYS} bytes a key, counted as {records.bytes_held // KEYS}")
        self.assertLessEqual(size, records.bytes_held)

    def fill_home(self):
        home = Home("payments-1", "0123456789abcdef")
        prefix = home.current(0.0)
        for number in range(KEYS):
            key = ActionKey.parse(f"{prefix}/{number:032x}")
            attempt = home.begin(key, 0.0, 1).attempt
            home.settle(key, attempt, answer_of(number), 0.0)
        return home

    def fill_gate(self):
        records = GateRecords()
        for number in range(KEYS):
            key = ActionKey.parse(f"payments-1/0123456789abcdef/1/{number:032x}")
            records.admit(key, number, 0.0)
            records.ended(key, number, answer_of(number), 0.0)
        return records
