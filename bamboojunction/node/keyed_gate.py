"""The gate's side of at-most-once calls: checks the records before and after each attempt."""

import asyncio
from dataclasses import replace

from bamboojunction.core.calls import Call
from bamboojunction.core.once.gate_records import (
    Admit,
    GateRecords,
    Knowledge,
    Replay,
    Testimony,
)
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from bamboojunction.node.serving import GateService
from bamboojunction.nodes.convert import testimony_to_answer
from bamboojunction.nodes.messages import Seal, SealAnswer
from bamboojunction.nodes.replies import GateReply

FORGOTTEN = Testimony(Knowledge.FORGOTTEN)


class KeyedGate:
    """Serve calls at the gate beside this node, each attempt of a keyed one at most once."""

    __slots__ = ("_gate", "_loop", "_records", "_tasks", "gate_id")

    def __init__(self, gate: GateService, records: GateRecords, gate_id: str):
        self.gate_id = gate_id
        self._gate = gate
        self._records = records
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()

    async def serve(self, call: Call) -> GateReply:
        """Serve one attempt; a keyed one goes on when the link that asked for it is lost."""
        if not call.gate:
            return await self._gate.serve(call)
        key = ActionKey.parse(call.key)
        if key is None or call.gate != self.gate_id:
            return GateReply(NotRun(NotRunReason.UNREACHABLE, allowance_left=call.allowance))
        match self._records.admit(key, call.attempt, self._loop.time()):
            case Replay(outcome):
                replayed = replace(outcome, allowance_left=call.allowance)
                return GateReply(replayed, self._gate.report())
            case Admit():
                task = asyncio.create_task(self._run(call, key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                return await asyncio.shield(task)

    def testify(self, key: ActionKey, attempt: int, promises: bool) -> Testimony:
        """Tell what this gate knows of a key, and refuse it from now on where that is asked."""
        now = self._loop.time()
        if attempt:
            return self._records.ask(key, attempt, now)
        return self._records.seal(key, now) if promises else self._records.peek(key)

    def answer_seal(self, seal: Seal) -> SealAnswer:
        """Answer a peer's question about a key."""
        key = ActionKey.parse(seal.key)
        testimony = FORGOTTEN
        if key is not None and seal.gate == self.gate_id:
            testimony = self.testify(key, seal.attempt, seal.promises)
        return testimony_to_answer(seal.request_id, testimony)

    async def _run(self, call: Call, key: ActionKey) -> GateReply:
        outcome: Outcome = Unknown(UnknownReason.CANCELLED)
        try:
            reply = await self._gate.serve(call)
            outcome = reply.outcome
            return reply
        finally:
            self._records.ended(key, call.attempt, outcome, self._loop.time())
