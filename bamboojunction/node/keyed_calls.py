"""At-most-once calls, at the node that receives them and at the home of their action key.

The home of a key is the one node incarnation that may start attempts of the call.
"""

import asyncio
from dataclasses import replace

from bamboojunction.core.calls import Call
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.once.gate_records import KeyStatus
from bamboojunction.core.once.home import AnswerRecorded, Home, StartAttempt
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from bamboojunction.core.poison.fingerprints import fingerprint_of
from bamboojunction.core.table.rows import Row
from bamboojunction.links.convert import answer_to_reply, call_to_request
from bamboojunction.links.link import LinkFailure
from bamboojunction.links.messages import Target
from bamboojunction.links.pool import LinkPool
from bamboojunction.node.call_router import CallRouter
from bamboojunction.node.gate_queries import GateQueryClient


class HomeAttemptTracker:
    """The tracker of the attempts of one key, which records each with the home.

    Each attempt has its own serial number and is bound to one gate incarnation.
    """

    __slots__ = ("_current_attempt", "_home", "_key", "_loop", "_view")

    def __init__(self, home: Home, key: ActionKey, started: StartAttempt, view: MembershipView):
        self._home = home
        self._key = key
        self._current_attempt = started
        self._view = view
        self._loop = asyncio.get_running_loop()

    @property
    def attempt(self) -> int:
        """Return the serial number of the latest attempt."""
        return self._current_attempt.attempt

    def assign_attempt(self, call: Call, instance: str) -> bool:
        """Set the attempt and its gate in the call; return False if the gate may not be used."""
        announcement = self._view.by_instance.get(instance)
        if announcement is None:
            return False
        gate = f"{instance}/{announcement.incarnation}"
        gates = self._current_attempt.allowed_gates
        if gates is not None and gate not in gates:
            return False
        call.attempt = self._current_attempt.attempt
        call.gate_incarnation = gate
        self._home.record_gate(self._key, call.attempt, gate)
        return True

    def settle_and_begin_next(self, outcome: Outcome) -> bool:
        """Settle a refused attempt, begin the next one if allowed, and return whether it began."""
        if not isinstance(outcome, NotRun):
            return False
        match self._home.retry(self._key, self.attempt, outcome, self._loop.time()):
            case StartAttempt() as started:
                self._current_attempt = started
                return True
        return False


class KeyedCalls:
    """The router of keyed calls, which forwards them to their home or runs them as the home."""

    __slots__ = (
        "_futures_by_key",
        "_gate_queries",
        "_home",
        "_links",
        "_loop",
        "_router",
        "_tasks",
        "_view",
        "last_key_settled_at",
    )

    def __init__(
        self,
        home: Home,
        router: CallRouter,
        view: MembershipView,
        links: LinkPool,
        gate_queries: GateQueryClient,
    ):
        self._home = home
        self._router = router
        self._view = view
        self._links = links
        self._gate_queries = gate_queries
        self._loop = asyncio.get_running_loop()
        self.last_key_settled_at: float | None = None
        self._futures_by_key: dict[ActionKey, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def key_prefix(self) -> str:
        """Return the prefix of new action keys, which names this node as their home."""
        return str(self._home.current(self._loop.time()))

    @property
    def running_count(self) -> int:
        """Return how many keys have a running attempt."""
        return len(self._futures_by_key)

    def drain(self) -> None:
        """Start no calls of new keys, but keep answering for known keys."""
        self._home.is_draining = True

    async def route(self, call: Call, row: Row) -> Outcome:
        """Send a keyed call to its home and return the outcome of its key."""
        key = ActionKey.parse(call.key)
        if key is None or (key.is_child and call.depth == 0):
            reason = NotRunReason.KEY_INVALID if call.key else NotRunReason.KEY_REQUIRED
            return NotRun(reason, allowance_left=call.allowance)
        home_id = self._home.home_id
        if (key.home.instance, key.home.incarnation) == (home_id.instance, home_id.incarnation):
            return await self.serve_as_home(call, row, key)
        announcement = self._view.by_instance.get(key.home.instance)
        if announcement is not None and announcement.incarnation == key.home.incarnation:
            outcome = await self._forward(announcement.address, call)
            if outcome is not None:
                return outcome
        outcome = await self._gate_queries.outcome_without_home(key, call.service, call.deadline)
        return self._cap_allowance(outcome, call)

    async def serve_as_home(self, call: Call, row: Row, key: ActionKey) -> Outcome:
        """Start the call of a key, join its running attempt, or return its recorded outcome."""
        caller_attempt = call.attempt
        if self._home.unsettled_attempt(key) is not None:
            await self._resolve_unknown_attempt(key)
        fingerprint = 0 if key.is_child else _fingerprint(call)
        match self._home.begin(key, self._loop.time(), caller_attempt, fingerprint):
            case AnswerRecorded(outcome):
                return self._cap_allowance(outcome, call)
            case StartAttempt() as started:
                self._start(replace(call), row, key, started)
        try:
            async with asyncio.timeout_at(call.deadline):
                outcome = await asyncio.shield(self._futures_by_key[key])
        except TimeoutError:
            outcome = Unknown(UnknownReason.DEADLINE)
        return self._cap_allowance(outcome, call)

    async def _forward(self, address: str, call: Call) -> Outcome | None:
        """Return the home's answer, or None when the home cannot be reached.

        An unreachable home is never reported as "not run": an earlier request with the
        same key may have reached it, even if this request was not sent.
        """
        now = self._loop.time()
        request = call_to_request(call, Target.HOME, self._links.next_request_id(), now)
        try:
            async with asyncio.timeout_at(call.deadline):
                answer = await self._links.request(address, request)
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE)
        return None if isinstance(answer, LinkFailure) else answer_to_reply(answer).outcome

    def _start(self, call: Call, row: Row, key: ActionKey, started: StartAttempt) -> None:
        # The attempt outlives its caller: a lost connection must not abort a running action.
        self._futures_by_key[key] = self._loop.create_future()
        self._spawn(self._run(call, row, key, started))

    async def _run(self, call: Call, row: Row, key: ActionKey, started: StartAttempt) -> None:
        attempt_tracker = HomeAttemptTracker(self._home, key, started, self._view)
        outcome: Outcome = Unknown(UnknownReason.CANCELLED)
        try:
            outcome = await self._router.route(call, row, attempt_tracker)
        finally:
            self.last_key_settled_at = self._loop.time()
            self._home.record_outcome(
                key, attempt_tracker.attempt, outcome, self.last_key_settled_at
            )
            self._futures_by_key.pop(key).set_result(outcome)

    async def _resolve_unknown_attempt(self, key: ActionKey) -> None:
        """Query the gate of an attempt with unknown outcome, and record how the attempt ended."""
        unknown_attempt = self._home.unsettled_attempt(key)
        report = await self._gate_queries.query(unknown_attempt.gate, key, unknown_attempt.attempt)
        now = self._loop.time()
        match report.status if report is not None else None:
            case KeyStatus.SEALED:
                refusal = NotRun(NotRunReason.UNREACHABLE)
                self._home.record_outcome(key, unknown_attempt.attempt, refusal, now)
            case KeyStatus.ENDED:
                self._home.record_outcome(key, unknown_attempt.attempt, report.outcome, now)

    def _cap_allowance(self, outcome: Outcome, call: Call) -> Outcome:
        """Return the outcome with at most the retry allowance that this request carried."""
        return replace(outcome, allowance_left=min(outcome.allowance_left, call.allowance))

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _fingerprint(call: Call) -> int:
    return fingerprint_of(call.kind, call.method, f"{call.service} {call.path}", call.body)
