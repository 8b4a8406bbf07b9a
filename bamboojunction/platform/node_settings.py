"""Decoding of the settings file that the platform writes for a node process."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
from result import Err, Ok, Result

# The environment variable with the path of the settings file.
SETTINGS_FILE_VARIABLE = "BAMBOOJUNCTION_NODE_FILE"


class _MachineLimits(msgspec.Struct):
    memory_mb: float = 200.0


class _Machine(msgspec.Struct):
    node: str
    zone: str
    region: str
    ip: str
    service: str
    # The address of the upstream, which is reachable only from this machine.
    app_addr: str
    # Whether the whole system starts for the first time.
    bootstrap: bool = False
    limits: _MachineLimits = msgspec.field(default_factory=_MachineLimits)


class _Listen(msgspec.Struct):
    outbound: str
    ready: str
    control: str


class _Network(msgspec.Struct):
    listen: _Listen
    port_range: tuple[int, int]


class _Store(msgspec.Struct):
    address: str
    history_s: float = 20.0


class _Provider(msgspec.Struct):
    # The file nests the object store's address as provider.provider.address.
    provider: _Store


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 48.0


class _Terms(msgspec.Struct):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _SettingsFile(msgspec.Struct):
    self: _Machine
    network: _Network
    provider: _Provider
    terms: _Terms


@dataclass(slots=True, frozen=True)
class PlatformNodeSettings:
    """The settings of a node, as the platform provides them; times are in seconds.

    ``retry_ratio``, ``retry_slack`` and ``retry_window_seconds`` bound the retries that reach a
    service, summed over all nodes. ``memory_bytes`` is the memory limit of the process, and
    ``store_history_seconds`` the time for which the store keeps changes for watches. With
    ``is_first_start`` no earlier process of this node has acknowledged anything. Links use the
    first free port from that of ``link_address`` to ``link_port_max``.
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


def load_node_settings(path: Path) -> Result[PlatformNodeSettings, str]:
    """Read the settings file, or return an error text that names the file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err(f"settings file cannot be read: {error}")
    return parse_node_settings(text).map_err(lambda problem: f"{path}: {problem}")


def parse_node_settings(text: bytes) -> Result[PlatformNodeSettings, str]:
    """Decode the settings file, or return an error text that names the invalid field."""
    try:
        file = msgspec.yaml.decode(text, type=_SettingsFile)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(str(error))
    machine, bounds, store = file.self, file.terms.bounds, file.provider.provider
    return Ok(
        PlatformNodeSettings(
            instance=machine.node,
            service=machine.service,
            data_centre=machine.zone,
            region=machine.region,
            upstream_address=machine.app_addr,
            caller_address=file.network.listen.outbound,
            ready_address=file.network.listen.ready,
            report_address=file.network.listen.control,
            link_address=f"{machine.ip}:{file.network.port_range[0]}",
            store_address=store.address,
            stop_seconds=bounds.grace_s,
            retry_ratio=bounds.budget_ratio,
            retry_window_seconds=bounds.budget_window_s,
            retry_slack=bounds.budget_slack,
            memory_bytes=int(machine.limits.memory_mb * 1_000_000),
            store_history_seconds=store.history_s,
            is_first_start=machine.bootstrap,
            link_port_max=file.network.port_range[1],
        )
    )
