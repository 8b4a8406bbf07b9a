"""Random faults on the machines of a soak test, several at a time, each cleared after a while."""

import asyncio
import random
import signal
from collections import Counter

from bamboo_bench.soak.machines import Machine
from bamboo_standins.fault_proxy import Direction, ProxyFaults
from bamboo_standins.platform import PlatformStandIn, StoreFaults

FAULT_SECONDS_MIN = 0.2
FAULT_SECONDS_MAX = 3.0
PAUSE_SECONDS_MAX = 1.5
# Faults that are in progress at the same time.
CONCURRENT_FAULTS = 3
PROXY_FAULTS = (
    ProxyFaults(cut=True),
    ProxyFaults(stall=True),
    ProxyFaults(half_open=Direction.TO_CLIENT),
    ProxyFaults(delay_seconds=0.1),
)
STORE_FAULTS = (
    StoreFaults(down=True),
    StoreFaults(hang=True),
    StoreFaults(delay_seconds=0.5),
    StoreFaults(stale_reads=True),
    StoreFaults(lose_answers=3),
    StoreFaults(refuse_status=503),
)


class FaultInjector:
    """A seeded random source of faults that injects them and counts them by name."""

    def __init__(
        self, machines: list[Machine], platform: PlatformStandIn, change_configuration, seed: int
    ):
        self._machines = machines
        self._platform = platform
        self._change_configuration = change_configuration
        self._random = random.Random(seed)
        self.count_by_fault: Counter[str] = Counter()
        self._faults = (
            self._stop_node,
            self._kill_node,
            self._pause_node,
            self._reload_node,
            self._kill_all_nodes,
            self._crash_upstream,
            self._drain_upstream,
            self._slow_upstream,
            self._lose_answers,
            self._spoil_answers,
            self._harm_upstream_path,
            self._harm_store_path,
            self._harm_store,
            self._forget_history,
            self._configure,
        )

    async def run(self, seconds: float) -> None:
        """Inject concurrent faults for a time in seconds, then wait until each has ended."""
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self._inject_faults(ends_at) for _ in range(CONCURRENT_FAULTS)))

    async def _inject_faults(self, ends_at: float) -> None:
        while asyncio.get_running_loop().time() < ends_at:
            fault = self._random.choice(self._faults)
            self.count_by_fault[fault.__name__.strip("_").replace("_", "-")] += 1
            await fault(self._random.choice(self._machines))
            await asyncio.sleep(self._random.uniform(0.0, 1.0))

    async def _wait_for_fault_duration(self) -> None:
        await asyncio.sleep(self._random.uniform(FAULT_SECONDS_MIN, FAULT_SECONDS_MAX))

    async def _stop_node(self, machine: Machine) -> None:
        await machine.restart_node(signal.SIGTERM)

    async def _kill_node(self, machine: Machine) -> None:
        await machine.restart_node(signal.SIGKILL)

    async def _kill_all_nodes(self, machine: Machine) -> None:
        await asyncio.gather(*(each.restart_node(signal.SIGKILL) for each in self._machines))

    async def _pause_node(self, machine: Machine) -> None:
        await machine.pause_node(self._random.uniform(FAULT_SECONDS_MIN, PAUSE_SECONDS_MAX))

    async def _reload_node(self, machine: Machine) -> None:
        machine.send_signal(signal.SIGHUP)

    async def _crash_upstream(self, machine: Machine) -> None:
        await machine.upstream.crash(self._random.uniform(FAULT_SECONDS_MIN, FAULT_SECONDS_MAX))

    async def _drain_upstream(self, machine: Machine) -> None:
        try:
            await machine.upstream.leave(FAULT_SECONDS_MAX)
        except TimeoutError:
            # The node did not acknowledge the drain; the upstream exits anyway.
            await machine.upstream.crash(FAULT_SECONDS_MIN)

    async def _slow_upstream(self, machine: Machine) -> None:
        machine.upstream.slow_seconds = self._random.uniform(0.1, 1.0)
        await self._wait_for_fault_duration()
        machine.upstream.slow_seconds = 0.0

    async def _lose_answers(self, machine: Machine) -> None:
        machine.upstream.loses_answers = True
        await self._wait_for_fault_duration()
        machine.upstream.loses_answers = False

    async def _spoil_answers(self, machine: Machine) -> None:
        machine.upstream.sends_extra_answers = True
        await self._wait_for_fault_duration()
        machine.upstream.sends_extra_answers = False

    async def _harm_upstream_path(self, machine: Machine) -> None:
        await self._disturb_proxy(machine.to_upstream)

    async def _harm_store_path(self, machine: Machine) -> None:
        await self._disturb_proxy(machine.to_store)

    async def _disturb_proxy(self, proxy) -> None:
        proxy.set_faults(self._random.choice(PROXY_FAULTS))
        await self._wait_for_fault_duration()
        proxy.clear_faults()

    async def _harm_store(self, machine: Machine) -> None:
        await self._platform.set_faults(self._random.choice(STORE_FAULTS))
        await self._wait_for_fault_duration()
        await self._platform.set_faults(StoreFaults())

    async def _forget_history(self, machine: Machine) -> None:
        self._platform.store.compact()

    async def _configure(self, machine: Machine) -> None:
        self._change_configuration()
