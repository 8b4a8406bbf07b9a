"""The driver of at-most-once calls at the receiving node and at the home."""

import asyncio
from dataclasses import replace

from bamboojunction.core.calls import Call
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.once.gate_records import Knowledge
from bamboojunction.core.once.home import Answered, Home, StartAttempt
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from bamboojunction.core.poison.fingerprints import fingerprint_of
from bamboojunction.core.table.rows import Row
from bamboojunction.node.calling import CallRouter
from bamboojunction.node.testimony import GateQuestions
from bamboojunction.nodes.convert import answer_to_reply, call_to_request
from bamboojunction.nodes.link import LinkFailure
from bamboojunction.nodes.links import LinkPool
from bamboojunction.nodes.messages import Target


class HomeSends:
    """Number each sending of a key and tell the home where it goes."""

    __slots__ = ("_home", "_key", "_loop", "_started", "_view")

    def __init__(self, home: Home, key: ActionKey, started: StartAttempt, view: MembershipView):
        self._home = home
        self._key = key
        self._started = started
        self._view = view
        self._loop = asyncio.get_running_loop()

    @property
    def attempt(self) -> int:
        """Return the serial of the last attempt."""
        return self._started.attempt

    def prepare(self, call: Call, instance: str) -> bool:
        """Name the attempt and its gate in the call, unless the gate may not be used."""
        announcement = self._view.by_instance.get(instance)
        if announcement is None:
            return False
        gate = f"{instance}/{announcement.incarnation}"
        gates = self._started.gates
        if gates is not None and gate not in gates:
            return False
        call.attempt = self._started.attempt
        call.gate = gate
        self._home.sent(self._key, call.attempt, gate)
        return True

    def may_resend(self, outcome: Outcome) -> bool:
        """Settle a refused attempt and take the serial of the next one."""
        if not isinstance(outcome, NotRun):
            return False
        match self._home.resend(self._key, self.attempt, outcome, self._loop.time()):
            case StartAttempt() as started:
                self._started = started
                return True
        return False


class KeyedCalls:
    """Pass keyed calls to their home, and run those whose home is this node."""

    __slots__ = (
        "_futures_by_key",
        "_home",
        "_links",
        "_loop",
        "_questions",
        "_router",
        "_tasks",
        "_view",
        "last_key_at",
    )

    def __init__(
        self,
        home: Home,
        router: CallRouter,
        view: MembershipView,
        links: LinkPool,
        questions: GateQuestions,
    ):
        self._home = home
        self._router = router
        self._view = view
        self._links = links
        self._questions = questions
        self._loop = asyncio.get_running_loop()
        self.last_key_at: float | None = None
        self._futures_by_key: dict[ActionKey, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def home_text(self) -> str:
        """Return the home prefix for new keys."""
        return str(self._home.current(self._loop.time()))

    @property
    def running(self) -> int:
        """Return how many keys have an attempt under way."""
        return len(self._futures_by_key)

    def drain(self) -> None:
        """Start nothing for new copies; go on answering for the keys that are known."""
        self._home.is_draining = True

    async def route(self, call: Call, row: Row) -> Outcome:
        """Bring a keyed call to its home and return the outcome of its key."""
        key = ActionKey.parse(call.key)
        if key is None or (key.is_child and call.depth == 0):
            reason = NotRunReason.KEY_INVALID if call.key else NotRunReason.KEY_REQUIRED
            return NotRun(reason, allowance_left=call.allowance)
        home_id = self._home.home_id
        if (key.home.instance, key.home.incarnation) == (home_id.instance, home_id.incarnation):
            return await self.serve_home(call, row, key)
        announcement = self._view.by_instance.get(key.home.instance)
        if announcement is not None and announcement.incarnation == key.home.incarnation:
            outcome = await self._forward(announcement.address, call)
            if outcome is not None:
                return outcome
        found = await self._questions.outcome_without_home(key, call.service, call.deadline)
        return self._limit_allowance(found, call)

    async def serve_home(self, call: Call, row: Row, key: ActionKey) -> Outcome:
        """Start, join or answer a key as its home."""
        caller_attempt = call.attempt
        if self._home.doubt(key) is not None:
            await self._clear_doubt(key)
        fingerprint = 0 if key.is_child else _fingerprint(call)
        match self._home.begin(key, self._loop.time(), caller_attempt, fingerprint):
            case Answered(outcome):
                return self._limit_allowance(outcome, call)
            case StartAttempt() as started:
                self._start(replace(call), row, key, started)
        try:
            async with asyncio.timeout_at(call.deadline):
                outcome = await asyncio.shield(self._futures_by_key[key])
        except TimeoutError:
            outcome = Unknown(UnknownReason.DEADLINE)
        return self._limit_allowance(outcome, call)

    async def _forward(self, address: str, call: Call) -> Outcome | None:
        """Return the home's answer, or None when the home cannot be reached.

        That nothing left this node says nothing of earlier copies of the key, so an unreachable
        home is never a refusal here.
        """
        now = self._loop.time()
        request = call_to_request(call, Target.HOME, self._links.next_id(), now)
        try:
            async with asyncio.timeout_at(call.deadline):
                answer = await self._links.request(address, request)
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE)
        return None if isinstance(answer, LinkFailure) else answer_to_reply(answer).outcome

    def _start(self, call: Call, row: Row, key: ActionKey, started: StartAttempt) -> None:
        # The attempt outlives its caller: a charge under way is not cut by a lost connection.
        self._futures_by_key[key] = self._loop.create_future()
        self._spawn(self._run(call, row, key, started))

    async def _run(self, call: Call, row: Row, key: ActionKey, started: StartAttempt) -> None:
        sends = HomeSends(self._home, key, started, self._view)
        outcome: Outcome = Unknown(UnknownReason.CANCELLED)
        try:
            outcome = await self._router.route(call, row, sends)
        finally:
            self.last_key_at = self._loop.time()
            self._home.settle(key, sends.attempt, outcome, self.last_key_at)
            self._futures_by_key.pop(key).set_result(outcome)

    async def _clear_doubt(self, key: ActionKey) -> None:
        """Ask the gate of an unknown attempt how it ended."""
        doubt = self._home.doubt(key)
        testimony = await self._questions.ask(doubt.gate, key, doubt.attempt)
        now = self._loop.time()
        match testimony.knowledge if testimony is not None else None:
            case Knowledge.SEALED:
                refusal = NotRun(NotRunReason.UNREACHABLE)
                self._home.settle(key, doubt.attempt, refusal, now)
            case Knowledge.ENDED:
                self._home.settle(key, doubt.attempt, testimony.outcome, now)

    def _limit_allowance(self, outcome: Outcome, call: Call) -> Outcome:
        """Give a copy no more allowance back than it brought."""
        return replace(outcome, allowance_left=min(outcome.allowance_left, call.allowance))

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _fingerprint(call: Call) -> int:
    return fingerprint_of(call.kind, call.method, f"{call.service} {call.path}", call.body)
