"""Queries to gates about action keys whose outcome is unknown or whose home is gone."""

import asyncio

from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.once.gate_records import KeyReport, KeyStatus
from bamboojunction.core.once.key_recovery import KeyRecovery
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.outcomes import Outcome
from bamboojunction.links.convert import answer_to_key_report
from bamboojunction.links.link import LinkFailure
from bamboojunction.links.messages import Seal
from bamboojunction.links.pool import LinkPool
from bamboojunction.node.keyed_gate import INDETERMINATE, KeyedGate

QUERY_TIMEOUT_SECONDS = 1.0
RUNNING_POLL_SECONDS = 0.05


class GateQueryClient:
    """A client that queries gates, including the local one, about what they know of a key."""

    __slots__ = ("_links", "_local_gate", "_loop", "_view")

    def __init__(self, links: LinkPool, view: MembershipView, local_gate: KeyedGate):
        self._links = links
        self._view = view
        self._local_gate = local_gate
        self._loop = asyncio.get_running_loop()

    async def query(
        self, gate: str, key: ActionKey, attempt: int = 0, *, may_seal: bool = True
    ) -> KeyReport | None:
        """Return what a gate incarnation knows about a key, or None when it cannot be reached.

        ``attempt`` asks about that attempt only, 0 about the key. With ``may_seal`` the gate seals
        a key that it has not seen.
        """
        if gate == self._local_gate.gate_id:
            return self._local_gate.query(key, attempt, may_seal)
        instance, _, incarnation = gate.partition("/")
        announcement = self._view.by_instance.get(instance)
        if announcement is None or announcement.incarnation != incarnation:
            return INDETERMINATE
        seal = Seal(self._links.next_request_id(), str(key), attempt, gate, may_seal)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                answer = await self._links.request(announcement.address, seal)
        except TimeoutError:
            return None
        return None if isinstance(answer, LinkFailure) else answer_to_key_report(answer)

    async def outcome_without_home(self, key: ActionKey, service: str, deadline: float) -> Outcome:
        """Return the outcome of a key whose home is gone, as far as the service's gates know it.

        A gate that ran the call returns its outcome. This node cannot know that it queried every
        gate that the home may have used, so the result is never "not run".
        """
        while True:
            recovery = KeyRecovery(key, None, self._gates_of(service))
            gates = sorted(recovery.pending_gates)
            reports = await asyncio.gather(
                *(self.query(gate, key, may_seal=False) for gate in gates)
            )
            for gate, report in zip(gates, reports, strict=True):
                if report is None:
                    recovery.record_unreachable(gate)
                else:
                    recovery.record_report(gate, report)
            running = any(
                report is not None and report.status is KeyStatus.RUNNING for report in reports
            )
            if not running or self._loop.time() + RUNNING_POLL_SECONDS >= deadline:
                return recovery.outcome()
            await asyncio.sleep(RUNNING_POLL_SECONDS)

    def _gates_of(self, service: str) -> frozenset[str]:
        return frozenset(
            f"{entry.instance}/{entry.incarnation}"
            for entry in self._view.by_instance.values()
            if entry.service == service
        )
