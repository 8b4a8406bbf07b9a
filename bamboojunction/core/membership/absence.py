"""Evidence that an announced node is gone: nobody answers at its address for long."""

from dataclasses import dataclass

# Most cuts between data centres end sooner, and an owner that lives writes its entry back.
ABSENT_SECONDS = 15.0
FAILURES_MIN = 3


@dataclass(slots=True)
class _Failures:
    first_at: float
    count: int = 0


class Absence:
    """Count the failed openings of links to each address since the last one that succeeded."""

    __slots__ = ("_by_address",)

    def __init__(self):
        self._by_address: dict[str, _Failures] = {}

    def failed(self, address: str, now: float) -> None:
        """Note that no link could be opened."""
        self._by_address.setdefault(address, _Failures(now)).count += 1

    def opened(self, address: str) -> None:
        """Note that somebody answers at the address."""
        self._by_address.pop(address, None)

    def keep(self, addresses: set[str]) -> None:
        """Forget addresses that nobody announces any more."""
        self._by_address = {
            address: failures
            for address, failures in self._by_address.items()
            if address in addresses
        }

    def absent(self, now: float) -> set[str]:
        """Return the addresses at which nobody has answered for long."""
        return {
            address
            for address, failures in self._by_address.items()
            if failures.count >= FAILURES_MIN and now - failures.first_at >= ABSENT_SECONDS
        }
