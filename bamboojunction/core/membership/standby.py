"""The choice of the instances that follow the store without stale answers for their data centre.

Load pattern: two instances of each data centre follow the store for all others, which tell each
other of its changes. If both are lost, the others learn of a configuration only from answers that
may lag. The next instances of the ring therefore keep links to those ahead of them, at a cost that
does not grow with the fleet, and take the place of those that cannot be reached.
"""

from collections.abc import Iterable, Sequence

# This many instances of each ring stand by for the store watchers.
STANDBYS = 2
# Checks in a row that have to fail before an instance counts as lost. A link that broke is opened
# again between two checks.
FAILED_CHECKS_MIN = 2


class WatcherRole:
    """The role of one instance among the store watchers of its data centre."""

    __slots__ = ("_failed_checks_by_instance", "_instance", "_instances", "_watchers_max")

    def __init__(self, instance: str, watchers_max: int):
        self._instance = instance
        self._watchers_max = watchers_max
        self._instances: Sequence[str] = ()
        self._failed_checks_by_instance: dict[str, int] = {}

    def update_instances(self, instances: Sequence[str]) -> None:
        """Replace the present instances of the data centre, in the order of the ring."""
        self._instances = instances
        self._failed_checks_by_instance = {
            name: count
            for name, count in self._failed_checks_by_instance.items()
            if name in self.predecessors()
        }

    def predecessors(self) -> Sequence[str]:
        """Return the instances whose loss would make this one a store watcher."""
        if self._instance not in self._instances:
            return ()
        position = self._instances.index(self._instance)
        if not self._watchers_max <= position < self._watchers_max + STANDBYS:
            return ()
        return self._instances[:position]

    def record_check(self, unreachable: Iterable[str]) -> None:
        """Record which of the predecessors could not be reached; all others were."""
        self._failed_checks_by_instance = {
            name: self._failed_checks_by_instance.get(name, 0) + 1 for name in unreachable
        }

    def is_watcher(self) -> bool:
        """Return whether this instance follows the store without stale answers."""
        if self._instance not in self._instances:
            return False
        position = self._instances.index(self._instance)
        lost = sum(count >= FAILED_CHECKS_MIN for count in self._failed_checks_by_instance.values())
        return position - lost < self._watchers_max
