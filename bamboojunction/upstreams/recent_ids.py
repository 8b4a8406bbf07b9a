"""The ids of the requests that were sent to an upstream most recently."""

from collections import OrderedDict

IDS_MAX = 8_192


class RecentRequestIds:
    """The latest request ids, up to a number; older ones are forgotten."""

    __slots__ = ("_ids", "_ids_max")

    def __init__(self, ids_max: int = IDS_MAX):
        self._ids: OrderedDict[str, None] = OrderedDict()
        self._ids_max = ids_max

    def record(self, request_id: str) -> bool:
        """Record an id as the latest, and return whether it was among the latest before."""
        is_known = request_id in self._ids
        self._ids[request_id] = None
        self._ids.move_to_end(request_id)
        if len(self._ids) > self._ids_max:
            self._ids.popitem(last=False)
        return is_known
