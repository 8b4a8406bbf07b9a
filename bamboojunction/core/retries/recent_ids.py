"""A bounded memory of ids."""


class RecentIds:
    """The ids that were added last, at most ``ids_max``."""

    __slots__ = ("_ids", "_ids_max")

    def __init__(self, ids_max: int):
        self._ids: dict[str, None] = {}
        self._ids_max = ids_max

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def add(self, request_id: str) -> None:
        """Add an id, and forget the oldest one if there are too many."""
        self._ids[request_id] = None
        if len(self._ids) > self._ids_max:
            del self._ids[next(iter(self._ids))]
