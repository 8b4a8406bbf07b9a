"""Questions to gates about keys: by the home of an unknown attempt, or when the home is gone."""

import asyncio

from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.once.gate_records import Knowledge, Testimony
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.once.sealing import Sealing
from bamboojunction.core.outcomes import Outcome
from bamboojunction.node.keyed_gate import FORGOTTEN, KeyedGate
from bamboojunction.nodes.convert import answer_to_testimony
from bamboojunction.nodes.link import LinkFailure
from bamboojunction.nodes.links import LinkPool
from bamboojunction.nodes.messages import Seal

ASK_TIMEOUT_SECONDS = 1.0
RUNNING_POLL_SECONDS = 0.05


class GateQuestions:
    """Ask gates, the one beside this node among them, what they know of a key."""

    __slots__ = ("_links", "_local", "_loop", "_view")

    def __init__(self, links: LinkPool, view: MembershipView, local: KeyedGate):
        self._links = links
        self._view = view
        self._local = local
        self._loop = asyncio.get_running_loop()

    async def ask(
        self, gate: str, key: ActionKey, attempt: int = 0, *, promises: bool = True
    ) -> Testimony | None:
        """Return what a gate incarnation tells, or None when it cannot be reached."""
        if gate == self._local.gate_id:
            return self._local.testify(key, attempt, promises)
        instance, _, incarnation = gate.partition("/")
        announcement = self._view.by_instance.get(instance)
        if announcement is None or announcement.incarnation != incarnation:
            return FORGOTTEN
        seal = Seal(self._links.next_id(), str(key), attempt, gate, promises)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
                answer = await self._links.request(announcement.address, seal)
        except TimeoutError:
            return None
        return None if isinstance(answer, LinkFailure) else answer_to_testimony(answer)

    async def outcome_without_home(self, key: ActionKey, service: str, deadline: float) -> Outcome:
        """Return what the gates of a service tell of a key whose home is gone.

        A gate that ran the call tells its outcome. No set of gates is known to be complete here, so
        that "not run" is never concluded.
        """
        while True:
            sealing = Sealing(key, None, self._gates_of(service))
            gates = sorted(sealing.to_ask)
            heard = await asyncio.gather(*(self.ask(gate, key, promises=False) for gate in gates))
            for gate, testimony in zip(gates, heard, strict=True):
                if testimony is None:
                    sealing.unreachable(gate)
                else:
                    sealing.heard(gate, testimony)
            running = any(
                testimony is not None and testimony.knowledge is Knowledge.RUNNING
                for testimony in heard
            )
            if not running or self._loop.time() + RUNNING_POLL_SECONDS >= deadline:
                return sealing.outcome()
            await asyncio.sleep(RUNNING_POLL_SECONDS)

    def _gates_of(self, service: str) -> frozenset[str]:
        return frozenset(
            f"{entry.instance}/{entry.incarnation}"
            for entry in self._view.by_instance.values()
            if entry.service == service
        )
