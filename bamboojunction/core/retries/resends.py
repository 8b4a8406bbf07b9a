"""The limit on how often a caller may resend one action."""

from dataclasses import dataclass

from bamboojunction.core.retries.allowance import AllowancePool

ACTION_RETENTION_SECONDS = 60.0
ACTIONS_MAX = 20_000


@dataclass(slots=True)
class _ActionAllowance:
    pool: AllowancePool
    expires_at: float
    last_call_ran: bool = False


class Resends:
    """The allowances of recent actions, to which the resends of their callers are charged.

    An action is recognised only by an id from its caller, and only at the node where it enters. A
    call is lent half of the action's remaining allowance, rounded up, so that the caller may still
    resend a call that was lost.
    """

    __slots__ = ("_by_action",)

    def __init__(self):
        self._by_action: dict[str, _ActionAllowance] = {}

    def begin(self, action: str, allowance: int, now: float) -> int | None:
        """Return the allowance of a call, or None when its action has no allowance left."""
        entry = self._by_action.get(action)
        if entry is None or entry.expires_at <= now:
            self._by_action.pop(action, None)
            self._evict_old_actions(now)
            entry = _ActionAllowance(AllowancePool(allowance), now + ACTION_RETENTION_SECONDS)
            self._by_action[action] = entry
        elif entry.last_call_ran and not entry.pool.spend():
            return None
        entry.last_call_ran = True
        return entry.pool.lend()

    def ended(self, action: str, lent: int, unspent: int, ran: bool) -> None:
        """Take back the unspent allowance of a call; a resend is free if the call did not run."""
        entry = self._by_action.get(action)
        if entry is None:
            return
        entry.pool.give_back(unspent, lent)
        entry.last_call_ran = ran

    def _evict_old_actions(self, now: float) -> None:
        """Evict expired actions, and the oldest one when there are ``ACTIONS_MAX``."""
        while self._by_action:
            oldest = next(iter(self._by_action))
            is_full = len(self._by_action) >= ACTIONS_MAX
            if not is_full and self._by_action[oldest].expires_at > now:
                return
            del self._by_action[oldest]
