"""Detection of announced nodes whose addresses have been unreachable for a while."""

from dataclasses import dataclass

# Most network partitions between data centres end sooner. If an entry is removed although its
# node is alive, the node writes it again.
UNREACHABLE_AFTER_SECONDS = 15.0
FAILED_ATTEMPTS_MIN = 3


@dataclass(slots=True)
class _FailureStreak:
    first_failed_at: float
    count: int = 0


class ConnectFailureTracker:
    """Counts the failed connection attempts to each address since the last successful one."""

    __slots__ = ("_streak_by_address",)

    def __init__(self):
        self._streak_by_address: dict[str, _FailureStreak] = {}

    def record_failure(self, address: str, now: float) -> None:
        """Record a failed attempt to open a link to the address."""
        self._streak_by_address.setdefault(address, _FailureStreak(now)).count += 1

    def record_success(self, address: str) -> None:
        """Record that a link to the address was opened."""
        self._streak_by_address.pop(address, None)

    def retain(self, addresses: set[str]) -> None:
        """Forget all addresses except the given ones, which are still announced."""
        self._streak_by_address = {
            address: streak
            for address, streak in self._streak_by_address.items()
            if address in addresses
        }

    def unreachable(self, now: float) -> set[str]:
        """Return the addresses that several attempts over a sufficient time could not reach."""
        return {
            address
            for address, streak in self._streak_by_address.items()
            if streak.count >= FAILED_ATTEMPTS_MIN
            and now - streak.first_failed_at >= UNREACHABLE_AFTER_SECONDS
        }
