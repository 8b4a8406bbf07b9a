"""The schema of all settings, with every default in one place."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class NodeSettings:
    """Say who this node is and where it listens; addresses are ``ip:port``.

    ``link_advertised_address`` is where peers reach the link listener when that is another address
    than ``link_address``, behind an address translation for example.
    """

    instance: str
    service: str
    data_centre: str
    region: str
    link_address: str
    caller_address: str
    link_advertised_address: str = ""
    stop_deadline_seconds: float = 20.0


@dataclass(slots=True)
class UpstreamSettings:
    """Describe the upstream beside the node."""

    address: str
    slots: int = 16
    connections: int = 64
    load_path: str = ""
    cold_start_seconds: float = 0.0


@dataclass(slots=True)
class PlatformSettings:
    """Say where the platform's object API is; addresses are ``ip:port``, space-separated."""

    addresses: str = ""
    timeout_seconds: float = 2.0
    watch_seconds: float = 5.0


@dataclass(slots=True)
class LinkSettings:
    """Limit the links between nodes."""

    secret: str = ""
    seeds: str = ""
    idle_close_seconds: float = 60.0
    heartbeat_seconds: float = 1.0
    frame_max_bytes: int = 1_200_000


@dataclass(slots=True)
class CallerSettings:
    """Limit what callers may send."""

    body_max_bytes: int = 1_000_000
    header_max_bytes: int = 16_384
    connections_max: int = 2_000


@dataclass(slots=True)
class TelemetrySettings:
    """Say where logs, metrics and traces go; an empty address turns the export off."""

    log_level: str = "INFO"
    statsd_address: str = ""
    trace_endpoint: str = ""


@dataclass(slots=True)
class Settings:
    """Hold every section of a settings file."""

    node: NodeSettings
    upstream: UpstreamSettings
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    links: LinkSettings = field(default_factory=LinkSettings)
    callers: CallerSettings = field(default_factory=CallerSettings)
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
