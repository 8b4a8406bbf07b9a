"""Base class of the tests that run against a fleet of real processes."""

import asyncio
import functools
import signal
import tempfile
import threading
import unittest
import uuid
from pathlib import Path
from typing import NamedTuple

from bamboo_standins.process_fleet import Answer, InstancePlan, ProcessFleet

WAIT_TIMEOUT_SECONDS = 30.0
TABLE = """kind,rank,weight,effect,deadline_ms,retries,slots_max,services
bay-search,3,10,idempotent,3000,2,0,bayfinder reservations payments
occupancy,5,10,idempotent,3000,2,0,payments
reserve,1,50,once,5000,2,0,bayfinder reservations payments
charge,1,50,once,3000,2,0,payments
"""
PLANS = [
    InstancePlan("bayfinder-1", "bayfinder", "north", calls="reservations:reserve"),
    InstancePlan("bayfinder-2", "bayfinder", "south", calls="reservations:reserve"),
    InstancePlan("reservations-1", "reservations", "south", calls="payments:charge"),
    InstancePlan("payments-1", "payments", "north", slots=4),
    InstancePlan("payments-2", "payments", "south", slots=4),
]
PAYMENTS_INSTANCES = ("payments-1", "payments-2")


class RunningCharge(NamedTuple):
    """A charge in progress: its key, the task of its answer and the instance that runs it."""

    key: str
    answer: asyncio.Task
    gate: str


def run_on_fleet_loop(method):
    """Wrap an async test method so that it runs on the event loop of the class's fleet."""

    @functools.wraps(method)
    def run(self):
        return self.run_coroutine(method(self))

    return run


class FleetTestCase(unittest.TestCase):
    """A test case whose fleet is started once for the class and restored after each test."""

    plans = PLANS
    table = TABLE

    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        cls.loop = asyncio.new_event_loop()
        cls.thread = threading.Thread(target=cls.loop.run_forever, daemon=True)
        cls.thread.start()
        cls.fleet = ProcessFleet(Path(cls.directory.name), cls.plans, cls.table)
        cls.addClassCleanup(cls._clean_up)
        cls.run_coroutine(cls.fleet.start())

    @classmethod
    def _clean_up(cls):
        cls.run_coroutine(cls.fleet.stop())
        cls.loop.call_soon_threadsafe(cls.loop.stop)
        cls.thread.join()
        cls.loop.close()
        cls.directory.cleanup()

    @classmethod
    def run_coroutine(cls, coroutine):
        """Run a coroutine on the fleet's event loop, wait for it and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, cls.loop).result()

    def setUp(self):
        self.reasons = []

    def tearDown(self):
        self.run_coroutine(self.restore())

    async def restore(self):
        """Clear all faults and restart the processes that have ended."""
        await self.fleet.restore()

    async def charge(self, name: str, key: str, **headers) -> Answer | None:
        """Send a charge to a node; return None if the connection to the node was lost."""
        try:
            return await self.fleet.call(name, "charge", body=key.encode(), key=key, **headers)
        except OSError:
            return None
        except Exception as error:
            if type(error).__module__.startswith("aiohttp"):
                return None
            raise

    async def resend_until_ran(self, names, key: str, attempts: int) -> list[str]:
        """Send a charge to the nodes in turn until one answers that it ran; return the outcomes."""
        outcomes = []
        for attempt in range(attempts):
            answer = await self.charge(names[attempt % len(names)], key)
            outcomes.append(answer.outcome if answer else "lost")
            self.reasons.append(answer.reason if answer else "lost")
            if outcomes[-1] == "ran":
                break
        return outcomes

    async def new_key(self, home: str) -> str:
        """Return a new idempotency key whose home, the node that owns it, is the given node."""
        return f"{await self.fleet.home_key_prefix(home)}/{uuid.uuid4().hex}"

    def count_effects(self, key: str) -> int:
        """Return how many effects the ledger holds for a key."""
        return sum(effect["key"] == key for effect in self.fleet.effects())

    def assert_outcomes_match_effects(self, key: str, outcomes: list[str]):
        """Check that the effects of a key agree with every outcome that callers received."""
        effect_count = self.count_effects(key)
        self.assertLessEqual(effect_count, 1, (outcomes, self.reasons))
        if "ran" in outcomes:
            self.assertEqual(effect_count, 1, outcomes)
        if set(outcomes) == {"not-run"}:
            self.assertEqual(effect_count, 0, outcomes)

    async def slow_down_payments(self, seconds: float):
        """Make each call of a payments upstream take the given time."""
        for name in PAYMENTS_INSTANCES:
            # A call of an upstream takes 0.005 s by default.
            await self.fleet.set_upstream_faults(name, slow_factor=seconds / 0.005)

    async def start_running_charge(
        self, seconds: float, home: str = "bayfinder-1", edge_node: str = "bayfinder-1"
    ) -> RunningCharge:
        """Send a charge that takes the given time and wait until an upstream runs it."""
        key = await self.new_key(home)
        await self.slow_down_payments(seconds)
        answer = asyncio.create_task(self.charge(edge_node, key))
        return RunningCharge(key, answer, await self.wait_for_running_gate())

    async def wait_for_running_gate(self) -> str:
        """Wait until a payments node reports a running call and return its instance name."""
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while True:
                for name in PAYMENTS_INSTANCES:
                    state = await self.fleet.state(name)
                    if state and state["load"]["in_flight"]:
                        return name
                await asyncio.sleep(0.02)

    def pause(self, name: str):
        """Suspend a node's process with SIGSTOP until it is resumed or the test ends."""
        self.fleet.signal_node(name, signal.SIGSTOP)

    def resume(self, name: str):
        """Resume a paused node's process with SIGCONT."""
        self.fleet.signal_node(name, signal.SIGCONT)
