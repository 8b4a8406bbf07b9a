"""Random faults on the machines of a soak test, several at a time, each cleared after a while."""

import asyncio
import random
import signal
from collections import Counter

from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.shapes import Shape
from bamboo_bench.soak.traffic import Traffic
from bamboo_standins.fault_proxy import Direction, ProxyFaults
from bamboo_standins.platform import PlatformStandIn, StoreFaults

FAULT_SECONDS_MIN = 0.2
FAULT_SECONDS_MAX = 3.0
PAUSE_SECONDS_MAX = 1.5
STOP_GAP_SECONDS = 2.0
# A series of reloads or configurations: how many there are, and the seconds between them.
SERIES_COUNT = 6
SERIES_GAP_SECONDS_MAX = 0.5
# How long a replaced upstream serves after its leaving was acknowledged.
REPLACED_DRAIN_SECONDS = 2.5
# A service keeps at least this many upstreams when one is replaced.
UPSTREAMS_MIN = 2
BURST_FACTOR = 3.0
HASTY_RETRIES = 5
# A crashing request comes again this often, with this time in between.
CRASHING_REQUESTS = 9
CRASHING_REQUEST_GAP_SECONDS = 1.5
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
        self,
        machines: list[Machine],
        platform: PlatformStandIn,
        change_configuration,
        send_crashing_request,
        traffic: Traffic,
        shape: Shape,
        seed: int,
    ):
        self._machines = machines
        self._shape = shape
        self._send_crashing_request_to = send_crashing_request
        self._traffic = traffic
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
            self._stop_nodes_in_turn,
            self._lose_answers_of_service,
            self._send_endless_bodies,
            self._send_crashing_request,
            self._kill_some_nodes,
            self._reload_nodes_in_series,
            self._refuse_nodes_at_store,
            self._configure_in_series,
            self._replace_upstream,
            self._fail_some_requests,
            self._send_burst,
            self._repeat_at_once,
            self._leave_early,
        )
        by_name = {_name_of(fault): fault for fault in self._faults}
        self._faults = tuple(by_name[name] for name in shape.fault_names)

    async def run(self, seconds: float) -> None:
        """Inject concurrent faults for a time in seconds, then wait until each has ended."""
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            *(self._inject_faults(ends_at) for _ in range(self._shape.concurrent_faults))
        )

    async def _inject_faults(self, ends_at: float) -> None:
        while asyncio.get_running_loop().time() < ends_at:
            fault = self._random.choice(self._faults)
            self.count_by_fault[_name_of(fault)] += 1
            await fault(self._random.choice(self._machines))
            await asyncio.sleep(self._random.uniform(0.0, self._shape.fault_gap_seconds_max))

    async def _wait_for_fault_duration(self) -> None:
        await asyncio.sleep(self._random.uniform(FAULT_SECONDS_MIN, FAULT_SECONDS_MAX))

    async def _stop_node(self, machine: Machine) -> None:
        await machine.restart_node(signal.SIGTERM)

    async def _stop_nodes_in_turn(self, machine: Machine) -> None:
        """Stop several machines one after the other, each before the one ahead has ended."""
        stopped = self._random.sample(self._machines, self._random.randint(1, 3))
        restarts = []
        for each in stopped:
            restarts.append(asyncio.create_task(each.restart_node(signal.SIGTERM)))
            await asyncio.sleep(STOP_GAP_SECONDS)
        await asyncio.gather(*restarts)

    async def _lose_answers_of_service(self, machine: Machine) -> None:
        """Lose the answers of all instances of a service."""
        upstreams = [
            each.upstream
            for each in self._machines
            if each.upstream.service == machine.upstream.service
        ]
        for upstream in upstreams:
            upstream.loses_answers = True
        await self._wait_for_fault_duration()
        for upstream in upstreams:
            upstream.loses_answers = False

    async def _send_endless_bodies(self, machine: Machine) -> None:
        machine.upstream.sends_endless_bodies = True
        await self._wait_for_fault_duration()
        machine.upstream.sends_endless_bodies = False

    async def _send_crashing_request(self, machine: Machine) -> None:
        """Send a request that crashes each upstream that runs it, several times."""
        number = self._random.getrandbits(32)
        for _ in range(CRASHING_REQUESTS):
            await self._send_crashing_request_to(machine, number)
            await asyncio.sleep(CRASHING_REQUEST_GAP_SECONDS)

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
        machine.upstream.runs.slow_seconds = self._random.uniform(0.1, 1.0)
        await self._wait_for_fault_duration()
        machine.upstream.runs.slow_seconds = 0.0

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

    async def _kill_some_nodes(self, machine: Machine) -> None:
        await asyncio.gather(*(each.restart_node(signal.SIGKILL) for each in self._sample()))

    async def _reload_nodes_in_series(self, machine: Machine) -> None:
        for _ in range(SERIES_COUNT):
            for each in self._sample():
                each.send_signal(signal.SIGHUP)
            await asyncio.sleep(self._random.uniform(0.0, SERIES_GAP_SECONDS_MAX))

    async def _refuse_nodes_at_store(self, machine: Machine) -> None:
        """Cut or stall the paths of some nodes to the store, which serves the others."""
        refused, faults = self._sample(), self._random.choice(PROXY_FAULTS)
        for each in refused:
            each.to_store.set_faults(faults)
        await self._wait_for_fault_duration()
        for each in refused:
            each.to_store.clear_faults()

    async def _configure_in_series(self, machine: Machine) -> None:
        for _ in range(SERIES_COUNT):
            self._change_configuration()
            await asyncio.sleep(self._random.uniform(0.0, SERIES_GAP_SECONDS_MAX))

    async def _replace_upstream(self, machine: Machine) -> None:
        """Replace an upstream by one of another service, at the same address."""
        service = machine.upstream.service
        count_by_service = Counter(each.upstream.service for each in self._machines)
        if count_by_service[service] > UPSTREAMS_MIN:
            others = sorted(set(count_by_service) - {service})
            await machine.replace_upstream(self._random.choice(others), REPLACED_DRAIN_SECONDS)

    async def _fail_some_requests(self, machine: Machine) -> None:
        machine.upstream.runs.fails_some = True
        await self._wait_for_fault_duration()
        machine.upstream.runs.fails_some = False

    async def _send_burst(self, machine: Machine) -> None:
        self._traffic.rate_factor = BURST_FACTOR
        await self._wait_for_fault_duration()
        self._traffic.rate_factor = 1.0

    async def _repeat_at_once(self, machine: Machine) -> None:
        self._traffic.hasty_retries = HASTY_RETRIES
        await self._wait_for_fault_duration()
        self._traffic.hasty_retries = 0

    async def _leave_early(self, machine: Machine) -> None:
        self._traffic.leaves_early = True
        await self._wait_for_fault_duration()
        self._traffic.leaves_early = False

    def _sample(self) -> list[Machine]:
        """Return some of the machines, up to half of them."""
        return self._random.sample(
            self._machines, self._random.randint(1, len(self._machines) // 2)
        )


def _name_of(fault) -> str:
    return fault.__name__.strip("_").replace("_", "-")
