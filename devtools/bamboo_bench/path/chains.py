"""Two chains of the same services, one calling through the nodes and the other directly."""

import os
from dataclasses import dataclass
from pathlib import Path

from bamboo_standins.process_fleet import InstancePlan, ProcessFleet, free_port

KIND = "bench-read"
ENTRY_INSTANCE = "front-1"
DIRECT_HOST = "127.0.0.1"
SLOTS = 64
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True, frozen=True)
class CpuTime:
    """The processor time that a process has used, in seconds."""

    user: float
    system: float

    @classmethod
    def of_process(cls, process_id: int | str) -> "CpuTime":
        """Return the processor time of a process, read from ``/proc``."""
        fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
        user, system = int(fields[11]), int(fields[12])
        return cls(user / CLOCK_TICKS_PER_SECOND, system / CLOCK_TICKS_PER_SECOND)

    @property
    def total(self) -> float:
        """Return the sum of user and system time, in seconds."""
        return self.user + self.system


@dataclass(slots=True, frozen=True)
class MachineCpuTime:
    """The busy and stolen processor time of the machine since it booted, in clock ticks.

    Stolen time is time in which a virtual processor was ready to run but the hypervisor ran
    something else.
    """

    busy: int
    stolen: int

    @classmethod
    def now(cls) -> "MachineCpuTime":
        """Return the times summed over all processors, read from ``/proc``."""
        fields = Path("/proc/stat").read_text().splitlines()[0].split()[1:]
        user, nice, system, _, _, interrupts, soft_interrupts, stolen = map(int, fields[:8])
        return cls(user + nice + system + interrupts + soft_interrupts, stolen)

    def stolen_share_since(self, earlier: "MachineCpuTime") -> float:
        """Return the stolen share of the time in which a process was ready to run."""
        stolen = self.stolen - earlier.stolen
        ready = self.busy - earlier.busy + stolen
        return stolen / ready if ready else 0.0


def resident_bytes(process_id: int | str) -> int:
    """Return the resident set size of a process, in bytes."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


class Chains:
    """The processes of both chains, each of them ``hops`` services long."""

    def __init__(self, directory: Path, hops: int, extra_settings: str = ""):
        self.hops = hops
        services = [f"service-{number}" for number in range(1, hops + 1)]
        plans = [InstancePlan(ENTRY_INSTANCE, "front", "north")]
        plans += [
            InstancePlan(f"{service}-1", service, "north", slots=SLOTS, seconds=0.0, calls=calls)
            for service, calls in zip(services, self._downstream_calls(services), strict=True)
        ]
        table = (
            "kind,rank,weight,effect,deadline_ms,retries,slots_max,services\n"
            f"{KIND},1,10,idempotent,5000,0,0,{' '.join(services)}\n"
        )
        self.fleet = ProcessFleet(directory, plans, table, extra_settings, proxied=False)
        self._services = services
        self.direct_address = ""

    async def start(self) -> None:
        """Start all processes of both chains."""
        await self.fleet.start()
        await self._start_direct()

    async def stop(self) -> None:
        """Stop all processes."""
        await self.fleet.stop()

    @property
    def layered_address(self) -> str:
        """Return the caller address of the node at which calls enter the layered chain."""
        return self.fleet.running_by_instance[ENTRY_INSTANCE].caller_address

    @property
    def entry_service(self) -> str:
        """Return the first service of the chain."""
        return self._services[0]

    def processor_time_by_instance(self) -> dict[str, CpuTime]:
        """Return the processor time that each node has used so far, by instance."""
        return {
            name: CpuTime.of_process(running.node.pid)
            for name, running in self.fleet.running_by_instance.items()
        }

    def resident_bytes_by_instance(self) -> dict[str, int]:
        """Return the resident set size of each node in bytes, by instance."""
        return {
            name: resident_bytes(running.node.pid)
            for name, running in self.fleet.running_by_instance.items()
        }

    @staticmethod
    def _downstream_calls(services: list[str]) -> list[str]:
        return [f"{service}:next" for service in services[1:]] + [""]

    async def _start_direct(self) -> None:
        next_address = ""
        for service in reversed(self._services):
            address = f"{DIRECT_HOST}:{free_port(DIRECT_HOST)}"
            arguments = [
                *("--address", address, "--service", service, "--instance", f"{service}-direct"),
                *("--node", next_address, "--slots", str(SLOTS), "--seconds", "0", "--direct"),
                *("--calls", "next:next" if next_address else ""),
            ]
            await self.fleet.spawn_extra(f"{service}-direct", "bamboo_standins.upstream", arguments)
            await self.fleet.wait_http(f"http://{address}/_health")
            next_address = address
        self.direct_address = next_address
