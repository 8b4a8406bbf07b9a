"""The schema of all settings and their defaults."""

from dataclasses import dataclass, field

from bamboojunction.conf.value_formats import (
    Address,
    Addresses,
    Decimal,
    HttpEndpoint,
    Integer,
    Name,
    OneOf,
    Secret,
    setting,
)

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@dataclass(slots=True)
class NodeSettings:
    """Say who this node is and where it listens."""

    instance: str = setting("Name of the upstream instance, unique in the fleet.", Name())
    service: str = setting("Service that the upstream belongs to.", Name())
    data_centre: str = setting("Data centre that the instance runs in.", Name())
    region: str = setting("Region that the data centre belongs to.", Name())
    link_address: str = setting("Where other nodes connect to this node.", Address())
    caller_address: str = setting(
        "Where callers and the upstream beside the node send their calls.", Address()
    )
    link_advertised_address: str = setting(
        "Where other nodes reach `link_address`, when that is another address: behind an address "
        "translation, for example.",
        Address(required=False),
        default="",
    )
    stop_deadline_seconds: float = setting(
        "Longest time that a graceful stop waits for running calls.",
        Decimal(0, 3_600),
        unit="seconds",
        default=20.0,
    )


@dataclass(slots=True)
class UpstreamSettings:
    """Describe the upstream beside the node."""

    address: str = setting("Where the upstream listens.", Address())
    slots: int = setting(
        "Calls that the upstream can run at once; the adaptive limit stays at or below it.",
        Integer(1, 100_000),
        unit="calls",
        default=16,
    )
    connections: int = setting(
        "Connections that the node opens to the upstream at most.",
        Integer(1, 100_000),
        unit="connections",
        default=64,
    )
    cold_start_seconds: float = setting(
        "Time after its start during which the upstream is slow.",
        Decimal(0, 3_600),
        unit="seconds",
        default=0.0,
    )


@dataclass(slots=True)
class PlatformSettings:
    """Say where the platform's object API is."""

    addresses: str = setting(
        "Addresses of the object API, tried in turn; empty runs the node without it.",
        Addresses(),
        default="",
    )
    timeout_seconds: float = setting(
        "Time after which a call to the platform has failed.",
        Decimal(0.05, 60),
        unit="seconds",
        default=2.0,
    )
    watch_seconds: float = setting(
        "Time that one watch waits for changes.",
        Decimal(0.1, 300),
        unit="seconds",
        default=5.0,
    )


@dataclass(slots=True)
class LinkSettings:
    """Limit the links between nodes."""

    secret: str = setting(
        "Secret that all nodes share; both sides of a link prove that they know it. It is never "
        "logged or shown.",
        Secret(),
        default="",
    )
    seeds: str = setting(
        "Link addresses of nodes to ask first while the platform is down.",
        Addresses(),
        default="",
    )
    idle_close_seconds: float = setting(
        "Time without calls after which a link is closed.",
        Decimal(1, 86_400),
        unit="seconds",
        default=60.0,
    )
    heartbeat_seconds: float = setting(
        "Time between heartbeats on a link in use.",
        Decimal(0.05, 60),
        unit="seconds",
        default=1.0,
    )
    open_timeout_seconds: float = setting(
        "Time within which a link is open, or the instance counts as unreachable.",
        Decimal(0.05, 60),
        unit="seconds",
        default=1.0,
    )
    frame_max_bytes: int = setting(
        "Largest message on a link.",
        Integer(1_024, 100_000_000),
        unit="bytes",
        default=1_200_000,
    )


@dataclass(slots=True)
class CallerSettings:
    """Limit what callers may send."""

    body_max_bytes: int = setting(
        "Largest body of a call.", Integer(0, 100_000_000), unit="bytes", default=1_000_000
    )
    header_max_bytes: int = setting(
        "Largest sum of a call's headers.",
        Integer(1_024, 1_000_000),
        unit="bytes",
        default=16_384,
    )
    connections_max: int = setting(
        "Connections from callers at once.",
        Integer(1, 100_000),
        unit="connections",
        default=2_000,
    )
    request_seconds: float = setting(
        "Time within which a whole request arrives, or its connection is closed.",
        Decimal(0.1, 600),
        unit="seconds",
        default=10.0,
    )


@dataclass(slots=True)
class TelemetrySettings:
    """Say where logs, metrics and traces go; an empty address turns the export off."""

    log_level: str = setting("Least level that is logged.", OneOf(LOG_LEVELS), default="INFO")
    statsd_address: str = setting(
        "Where the metrics go over UDP; empty turns them off.", Address(required=False), default=""
    )
    trace_endpoint: str = setting(
        "Where the traces go, as OTLP over HTTP; empty turns them off.", HttpEndpoint(), default=""
    )


@dataclass(slots=True)
class Settings:
    """All sections of a settings file."""

    node: NodeSettings
    upstream: UpstreamSettings
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    links: LinkSettings = field(default_factory=LinkSettings)
    callers: CallerSettings = field(default_factory=CallerSettings)
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
