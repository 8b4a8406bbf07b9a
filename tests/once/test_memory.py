"""Records take no more memory than their estimated size."""

import tracemalloc
import unittest

from bamboojunction.core.once.gate_records import GateRecords
from bamboojunction.core.once.home import Home
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import Ran

KEY_COUNT = 2_000


def make_answer(number):
    return Ran(200, (("content-type", f"application/json;{number}"),), f"body {number}".encode())


def measure_allocation(fill):
    tracemalloc.start()
    filled = fill()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return filled, size


class MemoryTests(unittest.TestCase):
    def test_estimate_of_a_home_covers_its_records(self):
        home, size = measure_allocation(self.fill_home)
        print(f"home: {size // KEY_COUNT} bytes per key, estimate {home.bytes_held // KEY_COUNT}")
        self.assertLessEqual(size, home.bytes_held)

    def test_estimate_of_a_gate_covers_its_records(self):
        records, size = measure_allocation(self.fill_gate)
        print(
            f"gate: {size // KEY_COUNT} bytes per key, estimate {records.bytes_held // KEY_COUNT}"
        )
        self.assertLessEqual(size, records.bytes_held)

    def fill_home(self):
        home = Home("payments-1", "0123456789abcdef")
        prefix = home.current(0.0)
        for number in range(KEY_COUNT):
            key = ActionKey.parse(f"{prefix}/{number:032x}")
            attempt = home.begin(key, 0.0, 1).attempt
            home.record_outcome(key, attempt, make_answer(number), 0.0)
        return home

    def fill_gate(self):
        records = GateRecords()
        for number in range(KEY_COUNT):
            key = ActionKey.parse(f"payments-1/0123456789abcdef/1/{number:032x}")
            records.begin_attempt(key, number, 0.0)
            records.end_attempt(key, number, make_answer(number), 0.0)
        return records
