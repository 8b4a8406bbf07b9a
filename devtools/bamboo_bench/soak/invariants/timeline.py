"""The disturbances and the planned work of a soak test."""

from collections.abc import Iterable
from dataclasses import dataclass

from bamboo_bench.soak.invariants import bounds
from bamboo_bench.soak.invariants.records import Request

# The name under which disturbances of the platform's store are recorded.
STORE = "the store"


@dataclass(slots=True)
class Disturbance:
    """A span of time in which a machine or the store is disturbed; times are in seconds."""

    started_at: float
    is_planned: bool
    ended_at: float = float("inf")

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether a part of the disturbance lies between two times."""
        return self.started_at <= end and self.ended_at >= start


@dataclass(slots=True, frozen=True)
class Stop:
    """A SIGTERM that a machine's node got."""

    machine: str
    at: float


@dataclass(slots=True, frozen=True)
class Reload:
    """A SIGHUP that a machine's node got."""

    machine: str
    at: float


@dataclass(slots=True, frozen=True)
class Change:
    """A configuration, from its sending to its acknowledgement."""

    sent_at: float
    acknowledged_at: float

    def covers(self, now: float) -> bool:
        """Return whether the configuration may excuse or explain what happens at a time."""
        until = self.acknowledged_at + bounds.CONFIGURATION_SECONDS + bounds.CHANGE_SLACK_SECONDS
        return self.sent_at <= now <= until


PlannedWork = Stop | Reload | Change


def is_around(work: PlannedWork, request: Request) -> bool:
    """Return whether a request ended around planned work of its own node, or a configuration."""
    ended_at = request.ending.at
    match work:
        case Stop(machine, at):
            last = at + bounds.GRACE_SECONDS + bounds.STOP_SLACK_SECONDS
            return machine == request.machine and at <= ended_at <= last
        case Reload(machine, at):
            is_in_time = request.sent_at <= at + bounds.CONFIGURATION_SECONDS
            return machine == request.machine and is_in_time and ended_at >= at
        case Change():
            return work.covers(ended_at)


class Timeline:
    """A record of the disturbances, by machine, of planned work, and of the machines' services."""

    def __init__(self):
        self.planned_work: list[PlannedWork] = []
        self._disturbances_by_machine: dict[str, list[Disturbance]] = {STORE: []}
        self._service_by_machine: dict[str, str] = {}

    def add_machine(self, name: str, service: str) -> None:
        """Add a machine and the service of its upstream."""
        self._service_by_machine[name] = service
        self._disturbances_by_machine.setdefault(name, [])

    def begin(self, machine: str, now: float, is_planned: bool = False) -> Disturbance:
        """Begin a disturbance of a machine, or of the store, that ends at its ``ended_at``."""
        disturbance = Disturbance(now, is_planned)
        self._disturbances_by_machine.setdefault(machine, []).append(disturbance)
        return disturbance

    def is_in_touch(self, machine: str, start: float, end: float) -> bool:
        """Return whether a machine is in touch from ``start`` to ``end``."""
        disturbances = self._of((machine, STORE))
        return not any(each.overlaps(start - bounds.CONTACT_SECONDS, end) for each in disturbances)

    def is_calm(self, machines: Iterable[str], start: float, end: float) -> bool:
        """Return whether no unplanned disturbance touches machines from ``start`` to ``end``."""
        return not any(
            each.overlaps(start, end) for each in self._of(machines) if not each.is_planned
        )

    def machines_of(self, request: Request) -> set[str]:
        """Return the names of the machines that a request may have passed."""
        at_service = {
            name for name, service in self._service_by_machine.items() if service == request.service
        }
        return at_service | {request.machine}

    def _of(self, machines: Iterable[str]) -> list[Disturbance]:
        return [
            disturbance
            for machine in machines
            for disturbance in self._disturbances_by_machine.get(machine, ())
        ]
