"""The services that calls of each kind lead to, learned from answers."""

from collections.abc import Iterable

from bamboojunction.core.load_reports import LoadReport

# Kinds stored; the kind that was added first is evicted.
KINDS_MAX = 1_024
# Child calls of less urgent kinds get this rank, so that a service sheds the same fraction of all
# of their call chains. A chain that fails there has already cost the services above it the same
# work, whatever its rank.
CHILD_CALL_RANK_MAX = 1


def child_call_rank(rank: int) -> int:
    """Return the rank of the child calls of a call of the given rank."""
    return min(rank, CHILD_CALL_RANK_MAX)


class ServiceDependencies:
    """The services that calls of each kind lead to, directly and through child calls.

    The load report of an answer names the services further down the call chain that shed load, so
    a node that sees only the first call of a chain learns of them as soon as they do.
    """

    __slots__ = ("_services_by_kind",)

    def __init__(self):
        self._services_by_kind: dict[str, tuple[str, ...]] = {}

    def services(self, kind: str) -> tuple[str, ...]:
        """Return the services that calls of a kind are known to lead to."""
        return self._services_by_kind.get(kind, ())

    def record_answer(
        self, kind: str, service: str, report: LoadReport | None, parent_kind: str | None
    ) -> None:
        """Record the answer to a call; ``parent_kind`` is the kind of its parent call, or None."""
        services_below = () if report is None else (known.service for known in report.below)
        self._add(kind, (service, *services_below))
        if parent_kind is not None:
            self._add(parent_kind, self.services(kind))

    def _add(self, kind: str, services: Iterable[str]) -> None:
        known = self._services_by_kind.get(kind, ())
        new = tuple(service for service in services if service not in known)
        if not new:
            return
        if kind not in self._services_by_kind and len(self._services_by_kind) >= KINDS_MAX:
            del self._services_by_kind[next(iter(self._services_by_kind))]
        self._services_by_kind[kind] = known + tuple(dict.fromkeys(new))
