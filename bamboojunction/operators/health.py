"""The read-only health page of a node."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from bamboojunction.operators.state import NodeState


class HealthStatus(StrEnum):
    """Say whether the node takes new calls."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class Health:
    """Hold what the health page shows; a table version of 0 means that no table is in force."""

    status: HealthStatus
    instance: str
    table_version: int
    known_upstreams: int


def health_of(state: NodeState) -> Health:
    """Return the health of a node in a state."""
    status = HealthStatus.DRAINING if state.draining else HealthStatus.SERVING
    return Health(status, state.instance, state.table_version, len(state.upstreams))


def render_health(health: Health) -> bytes:
    """Return the page as JSON."""
    return msgspec.json.encode(health)
