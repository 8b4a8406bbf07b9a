"""Load patterns: the services, the kinds of requests and what changes during a replay.

A pattern is a TOML file in ``patterns``. Sizes are those of a small fleet; ``scaled`` multiplies
instances and arrivals alike.
"""

import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bamboojunction.core.retries.fleet_budget import RetryLimit

PATTERNS_DIRECTORY = Path(__file__).parent / "patterns"


class ServicePattern(msgspec.Struct, frozen=True):
    """A service; instance ``i`` has the speed ``speeds[i % len(speeds)]``, 1 being usual.

    ``slots`` is the number of calls that an instance runs at once. While it is short of them, up to
    ``queue`` further ones wait at the upstream, and it refuses the rest.
    """

    name: str
    instances: int
    slots: int
    speeds: tuple[float, ...] = (1.0,)
    queue: int = 0


class ChildCalls(msgspec.Struct, frozen=True):
    """Calls that a run makes one after the other, once its own work is done."""

    kind: str
    times: int = 1


class KindPattern(msgspec.Struct, frozen=True):
    """A kind of request; ``rate`` is the number that clients send a second in the whole fleet.

    ``work_ms`` is the mean execution time without child calls, which varies with a log-normal
    ``spread``. Clients wait for ``deadline_ms``, and an answer within ``goal_ms`` counts in full.
    """

    name: str
    service: str
    rank: int
    work_ms: float
    goal_ms: float
    deadline_ms: float
    timeout_ms: float
    rate: float = 0.0
    spread: float = 0.4
    idempotent: bool = True
    attempts: int = 2
    calls: tuple[ChildCalls, ...] = ()


class Burst(msgspec.Struct, frozen=True, tag="burst"):
    """Clients send ``factor`` times as many requests of a kind."""

    at: float
    seconds: float
    kind: str
    factor: float


class Refusals(msgspec.Struct, frozen=True, tag="refusals"):
    """All upstreams of a service refuse a ``share`` of the calls at random."""

    at: float
    seconds: float
    service: str
    share: float


class Slowdown(msgspec.Struct, frozen=True, tag="slowdown"):
    """A ``share`` of the upstreams of a service take ``factor`` times as long."""

    at: float
    seconds: float
    service: str
    share: float
    factor: float


class LostAnswers(msgspec.Struct, frozen=True, tag="lost-answers"):
    """The upstreams of a service lose the answers of a ``share`` of the calls that they ran."""

    at: float
    seconds: float
    service: str
    share: float


Change = Burst | LostAnswers | Refusals | Slowdown


class Pattern(msgspec.Struct, frozen=True):
    """A load pattern of ``seconds``; figures are taken from ``measured_from`` on."""

    name: str
    title: str
    seconds: float
    data_centres: tuple[str, ...]
    services: tuple[ServicePattern, ...]
    kinds: tuple[KindPattern, ...]
    changes: tuple[Change, ...] = ()
    measured_from: float = 2.0
    measured_to: float = 0.0
    one_way_ms: float = 0.9
    client_retries: int = 1
    retry_ratio: float = 0.2
    retry_slack: float = 48.0
    retry_window_seconds: float = 10.0

    def scaled(self, factor: float) -> "Pattern":
        """Return the pattern for a fleet that is ``factor`` times as large."""
        return msgspec.structs.replace(
            self,
            retry_slack=self.retry_slack * factor,
            services=tuple(
                msgspec.structs.replace(service, instances=round(service.instances * factor))
                for service in self.services
            ),
            kinds=tuple(
                msgspec.structs.replace(kind, rate=kind.rate * factor) for kind in self.kinds
            ),
        )

    @property
    def retry_limit(self) -> RetryLimit:
        """Return the fleet's limit on retries."""
        return RetryLimit(self.retry_ratio, self.retry_slack, self.retry_window_seconds)

    @property
    def measured_until(self) -> float:
        """Return the end of the time from which figures are taken."""
        return self.measured_to or self.seconds


def pattern_names() -> list[str]:
    """Return the names of all patterns."""
    return sorted(path.stem for path in PATTERNS_DIRECTORY.glob("*.toml"))


def load_pattern(name: str) -> Pattern:
    """Load a pattern by its name, or from the path of a TOML file.

    Raises msgspec.ValidationError or tomllib.TOMLDecodeError if the file is malformed.
    """
    path = Path(name) if name.endswith(".toml") else PATTERNS_DIRECTORY / f"{name}.toml"
    fields = tomllib.loads(path.read_text())
    return msgspec.convert(fields | {"name": path.stem}, Pattern)


@dataclass(slots=True)
class Conditions:
    """What the changes of a pattern currently set, by kind, service and instance."""

    factor_by_kind: dict[str, float]
    refused_share_by_service: dict[str, float]
    slowness_by_instance: dict[str, float]
    lost_share_by_service: dict[str, float]

    @classmethod
    def usual(cls) -> "Conditions":
        """Return the conditions without any change."""
        return cls({}, {}, {}, {})

    def begin(self, change: Change, instances_by_service: dict[str, list[str]]) -> None:
        """Apply a change."""
        match change:
            case Burst(kind=kind, factor=factor):
                self.factor_by_kind[kind] = factor
            case Refusals(service=service, share=share):
                self.refused_share_by_service[service] = share
            case LostAnswers(service=service, share=share):
                self.lost_share_by_service[service] = share
            case Slowdown(service=service, share=share, factor=factor):
                instances = instances_by_service[service]
                slow = instances[: round(share * len(instances))]
                self.slowness_by_instance.update(dict.fromkeys(slow, factor))

    def end(self, change: Change, instances_by_service: dict[str, list[str]]) -> None:
        """Take a change back."""
        match change:
            case Burst():
                self.begin(msgspec.structs.replace(change, factor=1.0), instances_by_service)
            case Refusals() | LostAnswers():
                self.begin(msgspec.structs.replace(change, share=0.0), instances_by_service)
            case Slowdown():
                self.begin(msgspec.structs.replace(change, factor=1.0), instances_by_service)
