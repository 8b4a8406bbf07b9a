"""The read-only health page of a node."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from bamboojunction.operators.state import NodeState


class HealthStatus(StrEnum):
    """Whether a node accepts new calls."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class Health:
    """The content of the health page; table version 0 means that no table is in force."""

    status: HealthStatus
    instance: str
    table_version: int
    known_upstreams: int


def build_health(state: NodeState) -> Health:
    """Return the health page's content for a node's state."""
    status = HealthStatus.DRAINING if state.draining else HealthStatus.SERVING
    return Health(status, state.instance, state.table_version, len(state.upstreams))


def render_health(health: Health) -> bytes:
    """Return the health page as JSON."""
    return msgspec.json.encode(health)
