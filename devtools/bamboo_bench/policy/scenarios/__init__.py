"""The scenarios of the policy bench, which register themselves when their module is imported."""

import importlib
import pkgutil
from dataclasses import dataclass, field

from bamboo_bench.policy.clients import Clients, Traffic
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Ledger, Window
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.simulation import Simulation


@dataclass(slots=True, frozen=True)
class Measurement:
    """The value of a metric in one run, with its target if it has one.

    ``at_least`` and ``at_most`` are the bounds of the target. ``higher_is_worse`` gives the
    direction of a metric without a target, such as a latency.
    """

    metric: str
    value: float
    at_least: float | None = None
    at_most: float | None = None
    higher_is_worse: bool = False

    @property
    def meets_target(self) -> bool:
        """Return whether the value is within the bounds."""
        meets_lower_bound = self.at_least is None or self.value >= self.at_least
        meets_upper_bound = self.at_most is None or self.value <= self.at_most
        return meets_lower_bound and meets_upper_bound

    @property
    def has_target(self) -> bool:
        """Return whether the metric has a target."""
        return self.at_least is not None or self.at_most is not None


@dataclass(slots=True)
class ScenarioRun:
    """One run of a scenario: the simulated fleet and its clients.

    ``comparison_runs`` holds further runs with the same seed, by name, to compare with.
    """

    deployment: Deployment
    simulation: Simulation
    clients: Clients
    traffic: Traffic
    comparison_runs: dict[str, "ScenarioRun"] = field(default_factory=dict)

    @property
    def ledger(self) -> Ledger:
        """Return the records of the run."""
        return self.simulation.ledger


@dataclass(slots=True)
class Scenario:
    """The base of all scenarios; a subclass sets the traffic, the faults and the measurements.

    ``number`` identifies the scenario on the command line and in the issue that specifies it.
    ``policies`` and ``deployments`` name those to run it with.
    """

    number: int = 0
    title: str = ""
    seconds: float = 30.0
    policies: tuple[str, ...] = ("today", "no-layer")
    deployments: tuple[str, ...] = ("cycle-bays", "khmira", "deep")
    windows: list[Window] = field(default_factory=list)

    def traffic(self, deployment: Deployment) -> Traffic:
        """Return the traffic at the start of a run."""
        raise NotImplementedError

    def schedule_events(self, run: ScenarioRun) -> None:
        """Schedule the faults and traffic changes on the clock of a run."""
        raise NotImplementedError

    def measurements(self, run: ScenarioRun) -> list[Measurement]:
        """Return the measurements of a finished run."""
        raise NotImplementedError

    def simulate(self, deployment: Deployment, policy: Policy, seed: int) -> ScenarioRun:
        """Run the scenario once and return the finished run."""
        simulation = Simulation(deployment, policy, seed, list(self.windows))
        traffic = self.traffic(deployment)
        run = ScenarioRun(deployment, simulation, Clients(simulation, traffic), traffic)
        run.clients.start()
        self.schedule_events(run)
        simulation.clock.run_until(self.seconds)
        return run


SCENARIOS: dict[int, Scenario] = {}


def register(scenario: type[Scenario]) -> type[Scenario]:
    """Add a scenario class to the registry."""
    instance = scenario()
    SCENARIOS[instance.number] = instance
    return scenario


def load_scenarios() -> dict[int, Scenario]:
    """Import every scenario module and return the scenarios by number."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f"{__name__}.{module.name}")
    return dict(sorted(SCENARIOS.items()))
