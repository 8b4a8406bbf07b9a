"""Random faults on a fleet, each taken back after a while."""

import asyncio
import random
import signal
from collections import Counter

from bamboo_standins.fault_proxy import Direction, ProxyFaults
from bamboo_standins.fleet import Fleet

FAULT_SECONDS_MAX = 4.0
SLOW_FACTOR = 20.0
LINK_FAULTS = (
    ProxyFaults(cut=True),
    ProxyFaults(stall=True),
    ProxyFaults(half_open=Direction.TO_CLIENT),
    ProxyFaults(delay_seconds=0.2),
)


class FaultSource:
    """Draw one fault after another from a seed and count them by name."""

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._random = random.Random(seed)
        self.count_by_name: Counter[str] = Counter()
        self._faults = (
            self._restart_node,
            self._kill_node,
            self._kill_upstream,
            self._slow_upstream,
            self._lose_answers,
            self._break_links,
            self._pause_node,
            self._break_platform,
            self._cut_data_centre,
            self._edit_table,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Inject faults until told to stop."""
        while not stop.is_set():
            fault = self._random.choice(self._faults)
            self.count_by_name[fault.__name__.strip("_").replace("_", "-")] += 1
            await fault()
            await asyncio.sleep(self._random.uniform(0.5, FAULT_SECONDS_MAX))

    def _name(self) -> str:
        return self._random.choice(sorted(self._fleet.by_instance))

    def _some_seconds(self) -> float:
        return self._random.uniform(0.2, FAULT_SECONDS_MAX)

    async def _restart_node(self) -> None:
        name = self._name()
        await self._fleet.stop_node(name)
        await self._fleet.start_node(name)

    async def _kill_node(self) -> None:
        name = self._name()
        await self._fleet.kill_node(name)
        await asyncio.sleep(self._some_seconds())
        await self._fleet.start_node(name)

    async def _kill_upstream(self) -> None:
        name = self._name()
        await self._fleet.kill_upstream(name)
        await asyncio.sleep(self._some_seconds())
        await self._fleet.start_upstream(name)

    async def _slow_upstream(self) -> None:
        name = self._name()
        await self._fleet.upstream_faults(name, slow_factor=SLOW_FACTOR)
        await asyncio.sleep(self._some_seconds())
        await self._fleet.upstream_faults(name)

    async def _lose_answers(self) -> None:
        await self._fleet.upstream_faults(self._name(), drop_answer=3)

    async def _break_links(self) -> None:
        proxy = self._fleet.by_instance[self._name()].proxy
        proxy.set_faults(self._random.choice(LINK_FAULTS))
        await asyncio.sleep(self._some_seconds())
        proxy.clear_faults()

    async def _pause_node(self) -> None:
        name = self._name()
        self._fleet.signal_node(name, signal.SIGSTOP)
        await asyncio.sleep(self._some_seconds())
        self._fleet.signal_node(name, signal.SIGCONT)

    async def _break_platform(self) -> None:
        faults = self._random.choice(
            ({"down": True}, {"delay_seconds": 1.5}, {"stale_reads": True})
        )
        await self._fleet.platform_faults(**faults)
        await asyncio.sleep(self._some_seconds())
        await self._fleet.platform_faults()

    async def _cut_data_centre(self) -> None:
        plans = self._fleet.plans
        self._fleet.cut_data_centre(self._random.choice(sorted({p.data_centre for p in plans})))
        await asyncio.sleep(self._some_seconds())
        self._fleet.heal()

    async def _edit_table(self) -> None:
        current = await self._fleet.table_version()
        await self._fleet.write_table(self._fleet.table_text, current)
