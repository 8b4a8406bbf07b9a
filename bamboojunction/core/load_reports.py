"""The load report that a gate sends with every answer, and the admission levels in it."""

from dataclasses import dataclass

import xxhash

_HASH_RANGE = float(1 << 64)


def action_hash(action: str) -> float:
    """Return a hash of the action between 0 and 1 that is the same at every node."""
    return xxhash.xxh3_64_intdigest(action.encode()) / _HASH_RANGE


@dataclass(slots=True, frozen=True)
class RankFraction:
    """The fraction of the actions of one rank, from 0 to 1, that a gate admits."""

    rank: int
    fraction: float


@dataclass(slots=True, frozen=True)
class AdmissionLevel:
    """The ranks that a gate is shedding, with the fraction that it still admits of each.

    An action is admitted if its hash is below the fraction of its rank; ranks without an entry are
    admitted in full. Gates that shed the same rank therefore admit the same actions.
    """

    shares: tuple[RankFraction, ...] = ()

    @property
    def is_closed(self) -> bool:
        """Return whether no action of any listed rank is admitted."""
        return bool(self.shares) and not any(share.fraction for share in self.shares)

    def fraction(self, rank: int) -> float:
        """Return the admitted fraction of the actions of a rank."""
        return next((share.fraction for share in self.shares if share.rank == rank), 1.0)

    def admits(self, rank: int, action: str) -> bool:
        """Return whether an action with the given rank is admitted."""
        return not self.shares or action_hash(action) < self.fraction(rank)


@dataclass(slots=True, frozen=True)
class ServiceAdmissionLevel:
    """The admission level of a whole service, as a node knows it from answers."""

    service: str
    level: AdmissionLevel


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The load of a gate at the time of an answer.

    ``queued`` and ``in_flight`` are numbers of calls, and ``limit`` is the number that may run at
    once. ``below`` contains the levels of the services that the gate's own upstream calls. They are
    relayed up the call chain to the node where requests enter. ``refused_share`` is the share, from
    0 to 1, of the recent calls that the upstream itself refused.
    """

    queued: int = 0
    in_flight: int = 0
    limit: int = 1
    level: AdmissionLevel = AdmissionLevel()
    draining: bool = False
    below: tuple[ServiceAdmissionLevel, ...] = ()
    refused_share: float = 0.0
