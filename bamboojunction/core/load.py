"""What a gate tells its callers about its load, on every answer."""

from dataclasses import dataclass

import xxhash

_HASH_RANGE = float(1 << 64)


def action_hash(action: str) -> float:
    """Return the place of an action between 0 and 1, the same at every node."""
    return xxhash.xxh3_64_intdigest(action.encode()) / _HASH_RANGE


@dataclass(slots=True, frozen=True)
class RankShare:
    """Name the fraction of one rank's actions, from 0 to 1, that a gate admits."""

    rank: int
    fraction: float


@dataclass(slots=True, frozen=True)
class AdmissionLevel:
    """List the ranks that a gate sheds and what it still admits of each.

    An action whose hash is below its rank's fraction is admitted; a rank that is not listed is
    admitted whole. Gates that shed the same rank therefore admit the same actions.
    """

    shares: tuple[RankShare, ...] = ()

    def fraction(self, rank: int) -> float:
        """Return the fraction of a rank's actions that is admitted."""
        return next((share.fraction for share in self.shares if share.rank == rank), 1.0)

    def admits(self, rank: int, action: str) -> bool:
        """Return whether an action of a rank is admitted."""
        return not self.shares or action_hash(action) < self.fraction(rank)


@dataclass(slots=True, frozen=True)
class ServiceLevel:
    """Name the admission level of a whole service, as a node knows it from answers."""

    service: str
    level: AdmissionLevel


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Describe a gate's load at the moment it answered.

    ``below`` gives the levels of services that the gate's own upstream calls, so that they travel
    up the chain to where requests enter.
    """

    queued: int = 0
    in_flight: int = 0
    limit: int = 1
    level: AdmissionLevel = AdmissionLevel()
    draining: bool = False
    below: tuple[ServiceLevel, ...] = ()
