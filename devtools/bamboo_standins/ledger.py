"""Audit of the outcomes that callers received against the effects that upstreams recorded."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from itertools import chain

from bamboojunction.core.once.keys import STEP_SEPARATOR
from bamboojunction.management.load.client import CallEnding, CallResult


class LedgerAudit:
    """The recorded effects of a run, grouped by the key of the caller's original request.

    The key of a child call starts with its parent's key, so its effect is grouped with that of
    the original request. A child key above the length limit holds a digest instead, and its effect
    is not grouped.
    """

    __slots__ = ("_keys_by_root",)

    def __init__(self, effects: Iterable[dict]):
        self._keys_by_root: defaultdict[str, list[str]] = defaultdict(list)
        for effect in effects:
            root, _, _ = effect["key"].partition(STEP_SEPARATOR)
            self._keys_by_root[root].append(effect["key"])

    def repeated_keys(self) -> list[str]:
        """Return the keys whose effect was recorded more than once."""
        counts = Counter(chain.from_iterable(self._keys_by_root.values()))
        return [key for key, count in counts.items() if count > 1]

    def effect_keys(self, root: str) -> list[str]:
        """Return the keys of the effects that the original request with key ``root`` caused."""
        return self._keys_by_root.get(root, [])

    def contradictions(self, results: Iterable[CallResult]) -> Iterator[str]:
        """Yield a message for each outcome of a keyed call that the ledger contradicts."""
        for result in results:
            effects = self.effect_keys(result.key) if result.key else []
            if result.ending is CallEnding.NOT_RUN and effects:
                yield f"{result.key} was answered as not run, but its effect is in the ledger"
            if result.key and result.succeeded and result.key not in effects:
                yield f"{result.key} was answered as ran, but its effect is not in the ledger"
