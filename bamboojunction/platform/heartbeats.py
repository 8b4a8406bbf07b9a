"""Decoding of the heartbeats and departures that the local upstream reports."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from bamboojunction.platform.lenient_json import decode_leniently

INSTANCES_PATH = "/instances/"


# Bounds on the numbers of a heartbeat; one beyond them was not written by an upstream.
SLOTS_MAX = 65_535
STARTED_AT_MAX_MS = 10**14
SEQUENCE_MAX = 2**53


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    slots: int
    state: str
    sequence: int
    # The remaining cold-start time.
    cold_left_ms: float = 0.0
    # The start time of the upstream, in Unix milliseconds.
    born: int = 0


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """The state that an upstream reports about itself.

    ``started_at`` is in Unix milliseconds and orders incarnations; ``sequence`` orders the
    heartbeats of one incarnation. ``cold_seconds`` is the remaining cold-start time.
    """

    instance_id: str
    service: str
    address: str
    slots: int
    is_draining: bool
    started_at: int
    sequence: int
    cold_seconds: float


@dataclass(slots=True, frozen=True)
class Departure:
    """The final report of an upstream incarnation that stops."""

    instance_id: str


def read_report(method: str, path: str, body: bytes) -> Result[Heartbeat | Departure, str]:
    """Decode a report of an upstream, or return why it is invalid; ``path`` is percent-decoded."""
    if not path.startswith(INSTANCES_PATH) or len(path) == len(INSTANCES_PATH):
        return Err("unknown path")
    instance_id = path[len(INSTANCES_PATH) :]
    match method:
        case "DELETE":
            return Ok(Departure(instance_id))
        case "PUT":
            return _read_heartbeat(instance_id, body)
    return Err("unknown method")


def _read_heartbeat(instance_id: str, body: bytes) -> Result[Heartbeat, str]:
    try:
        decoded = decode_leniently(body, _HeartbeatBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(f"heartbeat cannot be read: {error}")
    if decoded.state not in ("ready", "draining") or not 1 <= decoded.slots <= SLOTS_MAX:
        return Err(f"heartbeat has state {decoded.state!r} and {decoded.slots} slots")
    if not 0 <= decoded.born <= STARTED_AT_MAX_MS or not 0 <= decoded.sequence <= SEQUENCE_MAX:
        return Err(f"heartbeat has start {decoded.born} and sequence {decoded.sequence}")
    return Ok(
        Heartbeat(
            instance_id,
            decoded.service,
            decoded.address,
            decoded.slots,
            decoded.state == "draining",
            decoded.born,
            decoded.sequence,
            decoded.cold_left_ms / 1000,
        )
    )
