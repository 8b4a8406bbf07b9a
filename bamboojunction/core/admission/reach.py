"""The services that each kind of work reaches, learned from the calls it makes."""

from collections.abc import Iterable

from bamboojunction.core.load import LoadReport

KINDS_MAX = 1_024
# The least urgent rank of calls below the service where a request enters. A service that serves
# chains of several kinds sheds the same part of each, since a chain that fails there has cost its
# upper services as much whatever its rank.
CHAIN_RANK_MAX = 1


def chain_rank(rank: int) -> int:
    """Return the rank of the calls that a request of a rank makes."""
    return min(rank, CHAIN_RANK_MAX)


class Reach:
    """Learn which services a kind of work leads to, its own and those of its child calls.

    A gate's answer names the services further below that shed, so a node that sees only the top
    of a chain learns of them when it matters.
    """

    __slots__ = ("_services_by_kind",)

    def __init__(self):
        self._services_by_kind: dict[str, tuple[str, ...]] = {}

    def services(self, kind: str) -> tuple[str, ...]:
        """Return the services that a kind is known to reach."""
        return self._services_by_kind.get(kind, ())

    def learn(self, kind: str, service: str, report: LoadReport | None, parent: str | None) -> None:
        """Take in an answer to a call of a kind; ``parent`` is the kind of the call above it."""
        below = () if report is None else (known.service for known in report.below)
        self._add(kind, (service, *below))
        if parent is not None:
            self._add(parent, self.services(kind))

    def _add(self, kind: str, services: Iterable[str]) -> None:
        known = self._services_by_kind.get(kind, ())
        new = tuple(service for service in services if service not in known)
        if not new:
            return
        if kind not in self._services_by_kind and len(self._services_by_kind) >= KINDS_MAX:
            del self._services_by_kind[next(iter(self._services_by_kind))]
        self._services_by_kind[kind] = known + tuple(dict.fromkeys(new))
