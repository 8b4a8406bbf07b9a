"""What a gate tells its callers about its load, on every answer."""

from dataclasses import dataclass

# The level of a gate that admits every rank.
OPEN_RANK = 1_000_000


@dataclass(slots=True, frozen=True)
class AdmissionLevel:
    """Name the point from which a gate sheds.

    Calls of a rank above ``rank`` (less urgent) are shed; of the calls at ``rank`` those whose
    action hash, a fraction from 0 to 1, is at or above ``fraction`` are shed.
    """

    rank: int = OPEN_RANK
    fraction: float = 1.0


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Describe a gate's load at the moment it answered."""

    queued: int = 0
    in_flight: int = 0
    limit: int = 1
    level: AdmissionLevel = AdmissionLevel()
    draining: bool = False
