"""Comparison of what callers were told with the effects that truly happened."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from itertools import chain

from bamboojunction.core.once.keys import STEP_SEPARATOR
from bamboojunction.management.load.client import CallResult, Ending


class LedgerAudit:
    """Hold the effects of a run by the key of the call at the edge that led to them.

    The key of a child call starts with its parent's key, as long as it is short enough to be
    written out.
    """

    __slots__ = ("_keys_by_root",)

    def __init__(self, effects: Iterable[dict]):
        self._keys_by_root: defaultdict[str, list[str]] = defaultdict(list)
        for effect in effects:
            root, _, _ = effect["key"].partition(STEP_SEPARATOR)
            self._keys_by_root[root].append(effect["key"])

    def repeated(self) -> list[str]:
        """Return the keys whose effect happened more than once."""
        counts = Counter(chain.from_iterable(self._keys_by_root.values()))
        return [key for key, count in counts.items() if count > 1]

    def effects_of(self, root: str) -> list[str]:
        """Return the keys of the effects that a call at the edge led to."""
        return self._keys_by_root.get(root, [])

    def contradictions(self, results: Iterable[CallResult]) -> Iterator[str]:
        """Yield what callers were told of keyed calls and what the ledger denies."""
        for result in results:
            effects = self.effects_of(result.key) if result.key else []
            if result.ending is Ending.NOT_RUN and effects:
                yield f"{result.key} was answered as not run and had an effect"
            if result.key and result.is_good and result.key not in effects:
                yield f"{result.key} was answered as ran and had no effect"
