"""The two example deployments and the settings files of their nodes.

Regenerate the settings files with ``python -m bamboo_standins.deployments EXAMPLES_DIRECTORY``.
"""

import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from bamboo_standins.process_fleet import InstancePlan

LINK_PORT = 7101
CALLER_PORT = 7102
UPSTREAM_PORT = 8080
PLATFORM_PORT = 8800
# Instances of a service run on hardware of different ages and so differ in speed.
SPEED_FACTORS = (1.0, 0.6, 1.5, 0.8)


@dataclass(slots=True, frozen=True)
class DataCentre:
    """A data centre; ``network`` holds the first three octets of its instances' addresses."""

    name: str
    region: str
    network: str


@dataclass(slots=True, frozen=True)
class ServicePlan:
    """A service: its number of instances and the settings that each of them gets.

    ``seconds`` is the service time of a call. ``calls`` lists the onward calls that its upstreams
    make, as the upstream stand-in's ``--calls`` takes them.
    """

    name: str
    instances: int
    slots: int
    connections: int
    seconds: float
    calls: str = ""


@dataclass(slots=True, frozen=True)
class Deployment:
    """An example deployment; instances are assigned to the data centres in round-robin order."""

    name: str
    data_centres: tuple[DataCentre, ...]
    services: tuple[ServicePlan, ...]

    def plans(self) -> list[InstancePlan]:
        """Return the plans of all instances."""
        return [plan for service in self.services for plan in self._service_plans(service)]

    def settings_files(self) -> Iterator[tuple[str, str]]:
        """Yield the name and the text of each node's settings file."""
        centre_by_name = {centre.name: centre for centre in self.data_centres}
        platform = " ".join(f"{centre.network}.5:{PLATFORM_PORT}" for centre in self.data_centres)
        host_count: Counter[str] = Counter()
        for plan in self.plans():
            host_count[plan.data_centre] += 1
            host = f"{centre_by_name[plan.data_centre].network}.{10 + host_count[plan.data_centre]}"
            yield f"{plan.instance}.ini", render_settings(plan, host, platform)

    def _service_plans(self, service: ServicePlan) -> Iterator[InstancePlan]:
        for number in range(service.instances):
            centre = self.data_centres[number % len(self.data_centres)]
            yield InstancePlan(
                instance=f"{service.name}-{number + 1}",
                service=service.name,
                data_centre=centre.name,
                region=centre.region,
                slots=service.slots,
                connections=service.connections,
                seconds=service.seconds,
                speed=SPEED_FACTORS[number % len(SPEED_FACTORS)],
                calls=service.calls,
            )


def render_settings(plan: InstancePlan, host: str, platform: str) -> str:
    """Return the text of a node's settings file."""
    return f"""[node]
instance = {plan.instance}
service = {plan.service}
data_centre = {plan.data_centre}
region = {plan.region}
link_address = {host}:{LINK_PORT}
caller_address = {host}:{CALLER_PORT}

[upstream]
address = {host}:{UPSTREAM_PORT}
slots = {plan.slots}
connections = {plan.connections}

[platform]
addresses = {platform}

[links]
secret = replace-this-secret-before-use
"""


CYCLE_BAYS = Deployment(
    "cycle-bays",
    (
        DataCentre("seq-brisbane", "south-east", "10.11.0"),
        DataCentre("nq-townsville", "north", "10.12.0"),
        DataCentre("seq-goldcoast", "south-east", "10.13.0"),
    ),
    (
        ServicePlan(
            "bayfinder",
            4,
            60,
            470,
            0.010,
            "bay-search=reservations:held-bays,occupancy-summary=lockerlog:usage",
        ),
        ServicePlan("reservations", 3, 80, 600, 0.015, "bay-reservation=payments:charge"),
        ServicePlan("payments", 3, 80, 600, 0.020),
        ServicePlan("lockerlog", 3, 20, 230, 0.015),
    ),
)
KHMIRA = Deployment(
    "khmira",
    (
        DataCentre("lac", "tunis", "10.21.0"),
        DataCentre("sakiet", "sfax", "10.22.0"),
        DataCentre("charguia", "tunis", "10.23.0"),
    ),
    (
        ServicePlan("menu-svc", 4, 40, 360, 0.010),
        ServicePlan("billing-svc", 3, 60, 440, 0.020),
        ServicePlan("dispatch-svc", 3, 60, 440, 0.015, "crate-dispatch=billing-svc:charge"),
        ServicePlan("tracking-svc", 3, 20, 200, 0.015, "delivery-tracking=dispatch-svc:position"),
    ),
)
DEPLOYMENT_BY_NAME = {deployment.name: deployment for deployment in (CYCLE_BAYS, KHMIRA)}


def main(examples_directory: Path) -> None:
    """Write the settings files of all deployments."""
    for deployment in DEPLOYMENT_BY_NAME.values():
        directory = examples_directory / deployment.name / "nodes"
        directory.mkdir(parents=True, exist_ok=True)
        for name, text in deployment.settings_files():
            (directory / name).write_text(text)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
