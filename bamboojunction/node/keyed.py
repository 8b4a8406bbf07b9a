"""The driver of at-most-once calls at the receiving node, the home and the gate."""

import asyncio

from bamboojunction.core.calls import Call
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.once.home import Answered, Home, JoinAttempt, StartAttempt
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from bamboojunction.core.table.rows import Row
from bamboojunction.node.calling import CallRouter
from bamboojunction.nodes.messages import Target


class KeyedCalls:
    """Pass keyed calls to their home, and run those whose home is this node."""

    __slots__ = ("_futures_by_key", "_home", "_loop", "_router", "_tasks", "_view")

    def __init__(self, home: Home, router: CallRouter, view: MembershipView):
        self._home = home
        self._router = router
        self._view = view
        self._loop = asyncio.get_running_loop()
        self._futures_by_key: dict[ActionKey, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def home_text(self) -> str:
        """Return the home prefix for new keys."""
        return str(self._home.home_id)

    async def route(self, call: Call, row: Row) -> Outcome:
        """Bring a keyed call to its home and return the outcome of its key."""
        key = ActionKey.parse(call.key)
        if key is None:
            reason = NotRunReason.KEY_INVALID if call.key else NotRunReason.KEY_REQUIRED
            return NotRun(reason, allowance_left=call.allowance)
        if key.home.instance == self._home.home_id.instance:
            return await self.serve_home(call, row, key)
        announcement = self._view.by_instance.get(key.home.instance)
        if announcement is None:
            return Unknown(UnknownReason.LOST_HOME)
        reply = await self._router.send_to_node(announcement.address, call, Target.HOME)
        return reply.outcome

    async def serve_home(self, call: Call, row: Row, key: ActionKey) -> Outcome:
        """Start, join or answer a key as its home."""
        match self._home.begin(key, self._loop.time()):
            case Answered(outcome=outcome):
                return outcome
            case StartAttempt(attempt=attempt):
                self._start(call, row, key, attempt)
            case JoinAttempt():
                pass
        return await asyncio.shield(self._futures_by_key[key])

    def _start(self, call: Call, row: Row, key: ActionKey, attempt: int) -> None:
        # The attempt outlives its caller: a charge under way is not cut by a lost connection.
        self._futures_by_key[key] = self._loop.create_future()
        task = asyncio.create_task(self._run(call, row, key, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, call: Call, row: Row, key: ActionKey, attempt: int) -> None:
        call.attempt = attempt
        outcome = await self._router.route(call, row)
        self._home.settle(key, attempt, outcome, self._loop.time())
        self._futures_by_key.pop(key).set_result(outcome)
