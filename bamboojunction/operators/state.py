"""The read-only state page of a node."""

from dataclasses import dataclass

import msgspec

from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import Announcement


@dataclass(slots=True, frozen=True)
class NodeState:
    """The content of the state page."""

    instance: str
    incarnation: str
    service: str
    data_centre: str
    draining: bool
    table_version: int
    load: LoadReport
    upstreams: list[Announcement]


def render_state(state: NodeState) -> bytes:
    """Return the state page as JSON."""
    return msgspec.json.encode(state)
