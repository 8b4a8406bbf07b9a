"""The bound on how often a caller resends one action itself."""

from dataclasses import dataclass

from bamboojunction.core.retries.allowance import AllowancePool

REMEMBERED_SECONDS = 60.0
ACTIONS_MAX = 20_000


@dataclass(slots=True)
class _Action:
    pool: AllowancePool
    until: float
    ran: bool = False


class Resends:
    """Charge the resends of an action to the allowance that it began with.

    Only actions whose caller gave an id can be recognised, and only where they enter. A call is
    lent the larger half of what its action has left, so that a copy may follow a call that was
    lost.
    """

    __slots__ = ("_by_action",)

    def __init__(self):
        self._by_action: dict[str, _Action] = {}

    def begin(self, action: str, allowance: int, now: float) -> int | None:
        """Return what a call may spend, or None when its action has spent everything."""
        known = self._by_action.get(action)
        if known is None or known.until <= now:
            self._by_action.pop(action, None)
            self._make_room(now)
            known = _Action(AllowancePool(allowance), now + REMEMBERED_SECONDS)
            self._by_action[action] = known
        elif known.ran and not known.pool.spend():
            return None
        known.ran = True
        return known.pool.lend()

    def ended(self, action: str, lent: int, unspent: int, ran: bool) -> None:
        """Take back what a call did not spend; the next one is free if nothing of this one ran."""
        known = self._by_action.get(action)
        if known is None:
            return
        known.pool.give_back(unspent, lent)
        known.ran = ran

    def _make_room(self, now: float) -> None:
        """Forget the oldest actions; those that have expired stand first."""
        while self._by_action:
            oldest = next(iter(self._by_action))
            full = len(self._by_action) >= ACTIONS_MAX
            if not full and self._by_action[oldest].until > now:
                return
            del self._by_action[oldest]
