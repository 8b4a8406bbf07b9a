"""At-most-once calls at the gate: deduplication of the attempts of keyed calls."""

import asyncio
from dataclasses import replace

from bamboojunction.core.calls import Call
from bamboojunction.core.once.gate_records import (
    AdmitAttempt,
    GateRecords,
    KeyReport,
    KeyStatus,
    ReplayOutcome,
)
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from bamboojunction.links.convert import key_report_to_answer
from bamboojunction.links.messages import Seal, SealAnswer
from bamboojunction.links.replies import GateReply
from bamboojunction.node.gate import GateService

INDETERMINATE = KeyReport(KeyStatus.INDETERMINATE)


class KeyedGate:
    """The local gate for all calls, which runs each attempt of a keyed call at most once."""

    __slots__ = ("_gate", "_loop", "_records", "_tasks", "gate_id")

    def __init__(self, gate: GateService, records: GateRecords, gate_id: str):
        self.gate_id = gate_id
        self._gate = gate
        self._records = records
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()

    async def serve(self, call: Call) -> GateReply:
        """Serve one attempt; a keyed attempt continues if the link of its request is lost."""
        if not call.gate_incarnation:
            return await self._gate.serve(call)
        key = ActionKey.parse(call.key)
        if key is None or call.gate_incarnation != self.gate_id:
            return GateReply(NotRun(NotRunReason.UNREACHABLE, allowance_left=call.allowance))
        match self._records.begin_attempt(key, call.attempt, self._loop.time()):
            case ReplayOutcome(outcome):
                replayed = replace(outcome, allowance_left=call.allowance)
                return GateReply(replayed, self._gate.report())
            case AdmitAttempt():
                task = asyncio.create_task(self._run(call, key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                return await asyncio.shield(task)

    def query(self, key: ActionKey, attempt: int, may_seal: bool) -> KeyReport:
        """Return what this gate knows about a key.

        With an ``attempt``, only that attempt is looked up, and sealed if it did not run. Without
        one, a key that was not seen is sealed if ``may_seal`` is set.
        """
        now = self._loop.time()
        if attempt:
            return self._records.query_attempt(key, attempt, now)
        return self._records.seal(key, now) if may_seal else self._records.query_key(key)

    def answer_seal(self, seal: Seal) -> SealAnswer:
        """Answer a peer's query about a key."""
        key = ActionKey.parse(seal.key)
        report = INDETERMINATE
        if key is not None and seal.gate == self.gate_id:
            report = self.query(key, seal.attempt, seal.promises)
        return key_report_to_answer(seal.request_id, report)

    async def _run(self, call: Call, key: ActionKey) -> GateReply:
        outcome: Outcome = Unknown(UnknownReason.CANCELLED)
        try:
            reply = await self._gate.serve(call)
            outcome = reply.outcome
            return reply
        finally:
            self._records.end_attempt(key, call.attempt, outcome, self._loop.time())
