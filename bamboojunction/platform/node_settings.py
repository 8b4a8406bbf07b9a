"""Decoding of the settings file that the platform writes for a node process."""

from dataclasses import dataclass, replace
from pathlib import Path

from result import Err, Ok, Result

from bamboojunction.conf.addresses import PORT_MAX
from bamboojunction.platform.settings_fields import (
    DefaultedField,
    FieldReader,
    decode_tables,
    is_text,
)

# The environment variable with the path of the settings file.
SETTINGS_FILE_VARIABLE = "BAMBOOJUNCTION_NODE_FILE"


# The defaults of fields without which a node can serve, and the values that are taken; both bounds
# are included.
MEMORY_MB, MEMORY_MB_BOUNDS = 200.0, (16.0, 1_000_000.0)
HISTORY_SECONDS, HISTORY_SECONDS_BOUNDS = 20.0, (0.1, 86_400.0)
STOP_SECONDS, STOP_SECONDS_BOUNDS = 6.0, (0.1, 3_600.0)
RETRY_RATIO, RETRY_RATIO_BOUNDS = 0.2, (0.0, 100.0)
RETRY_WINDOW_SECONDS, RETRY_WINDOW_SECONDS_BOUNDS = 10.0, (0.1, 3_600.0)
RETRY_SLACK, RETRY_SLACK_BOUNDS = 48.0, (0.0, 1e9)
DATA_CENTRE = "unknown"
# The others are bound to sockets, or to what peers know of the node.
RELOADED_SETTINGS = frozenset(
    {"stop_seconds", "retry_ratio", "retry_window_seconds", "retry_slack"}
)


@dataclass(slots=True, frozen=True)
class PlatformNodeSettings:
    """The settings of a node, as the platform provides them; times are in seconds.

    ``retry_ratio``, ``retry_slack`` and ``retry_window_seconds`` bound the retries that reach a
    service, summed over all nodes. ``memory_bytes`` is the memory limit of the process, and
    ``store_history_seconds`` the time for which the store keeps changes for watches. With
    ``is_first_start`` no earlier process of this node has acknowledged anything. Links use the
    first free port from that of ``link_address`` to ``link_port_max``. ``defaulted`` has the fields
    of the file that cannot be used and are not needed to serve.
    """

    instance: str
    service: str
    data_centre: str
    region: str
    upstream_address: str
    caller_address: str
    ready_address: str
    report_address: str
    link_address: str
    store_address: str
    stop_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    memory_bytes: int
    store_history_seconds: float = 20.0
    is_first_start: bool = False
    link_port_max: int = 0
    defaulted: tuple[DefaultedField, ...] = ()

    def with_values_in_force(self, current: "PlatformNodeSettings") -> "PlatformNodeSettings":
        """Return the current settings with those of these that a running node can take over.

        A field that cannot be used keeps its current value.
        """
        used = "the value in force"
        unusable = {entry.setting for entry in self.defaulted}
        return replace(
            current,
            defaulted=tuple(replace(entry, used=used) for entry in self.defaulted),
            **{name: getattr(self, name) for name in RELOADED_SETTINGS - unusable},
        )


def load_node_settings(path: Path) -> Result[PlatformNodeSettings, str]:
    """Read the settings file, or return an error text that names the file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err(f"settings file cannot be read: {error}")
    return parse_node_settings(text).map_err(lambda problem: f"{path}: {problem}")


def parse_node_settings(text: bytes) -> Result[PlatformNodeSettings, str]:
    """Decode the settings file, or return an error text that names the fields that are needed.

    A field that is not needed to serve gets its default if it cannot be used.
    """
    decoded = decode_tables(text)
    if isinstance(decoded, Err):
        return decoded
    reader = FieldReader(decoded.ok())
    settings = _read_settings(reader)
    if reader.problems:
        return Err("; ".join(reader.problems))
    return Ok(replace(settings, defaulted=tuple(reader.defaulted)))


def _read_settings(reader: FieldReader) -> PlatformNodeSettings:
    first_port = reader.required_port("network.port_range", 0)
    data_centre = reader.text("data_centre", "self.zone", DATA_CENTRE)
    memory_mb = reader.number("memory_bytes", "self.limits.memory_mb", MEMORY_MB, MEMORY_MB_BOUNDS)
    return PlatformNodeSettings(
        instance=reader.required_text("self.node"),
        service=reader.required_text("self.service"),
        data_centre=data_centre,
        region=reader.text("region", "self.region", _default_region(reader, data_centre)),
        upstream_address=reader.required_text("self.app_addr"),
        caller_address=reader.required_text("network.listen.outbound"),
        ready_address=reader.required_text("network.listen.ready"),
        report_address=reader.required_text("network.listen.control"),
        link_address=f"{reader.required_text('self.ip')}:{first_port}",
        store_address=reader.required_text("provider.provider.address"),
        stop_seconds=reader.number(
            "stop_seconds", "terms.bounds.grace_s", STOP_SECONDS, STOP_SECONDS_BOUNDS
        ),
        retry_ratio=reader.number(
            "retry_ratio", "terms.bounds.budget_ratio", RETRY_RATIO, RETRY_RATIO_BOUNDS
        ),
        retry_window_seconds=reader.number(
            "retry_window_seconds",
            "terms.bounds.budget_window_s",
            RETRY_WINDOW_SECONDS,
            RETRY_WINDOW_SECONDS_BOUNDS,
        ),
        retry_slack=reader.number(
            "retry_slack", "terms.bounds.budget_slack", RETRY_SLACK, RETRY_SLACK_BOUNDS
        ),
        memory_bytes=int(memory_mb * 1_000_000),
        # The file nests the object store's address as provider.provider.address.
        store_history_seconds=reader.number(
            "store_history_seconds",
            "provider.provider.history_s",
            HISTORY_SECONDS,
            HISTORY_SECONDS_BOUNDS,
        ),
        is_first_start=reader.flag("is_first_start", "self.bootstrap", False),
        link_port_max=reader.port("link_port_max", "network.port_range", 1, first_port, PORT_MAX),
    )


def _default_region(reader: FieldReader, data_centre: str) -> str:
    """Return the region that the file gives to the data centre, or else the data centre."""
    region_by_data_centre = reader.find("network.zones")
    if isinstance(region_by_data_centre, dict):
        region = region_by_data_centre.get(data_centre)
        return region if is_text(region) else data_centre
    return data_centre
