"""The fleet under test: nodes, links between them and clients."""

import random
from collections.abc import Callable
from itertools import count

from bamboo_bench.policy.calls import LOCAL_ONE_WAY_SECONDS, LOST_LINK_SECONDS, Reply, SimCall
from bamboo_bench.policy.clock import VirtualClock
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Ledger, Window
from bamboo_bench.policy.node import FakeNode
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.upstream import FakeUpstream
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bamboojunction.core.poison.decisions import Finding
from bamboojunction.core.poison.quarantine import quarantine_instance


class World:
    """Own the clock, the nodes and the links of one run."""

    __slots__ = (
        "_cut_data_centres",
        "clock",
        "deployment",
        "ledger",
        "nodes_by_instance",
        "poisoned_service",
        "policy",
        "random",
        "table",
        "ticket_ids",
    )

    def __init__(self, deployment: Deployment, policy: Policy, seed: int, windows: list[Window]):
        self.deployment = deployment
        self.policy = policy
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.ledger = Ledger(windows)
        self.table = deployment.table()
        self.poisoned_service = ""
        self.ticket_ids = count(1)
        self._cut_data_centres: set[str] = set()
        self.nodes_by_instance = self._build_nodes()
        for node in self.nodes_by_instance.values():
            for service in deployment.services:
                node.router.update(service.name, self.announcements(service.name))

    def nodes(self, service: str) -> list[FakeNode]:
        """Return the nodes of a service."""
        return [node for node in self.nodes_by_instance.values() if node.service == service]

    def announcements(self, service: str) -> list[Announcement]:
        """Return the announcements of a service."""
        return [node.announcement for node in self.nodes(service)]

    def cut_off(self, data_centre: str) -> None:
        """Lose every link between a data centre and the others."""
        self._cut_data_centres.add(data_centre)

    def rejoin(self, data_centre: str) -> None:
        """Restore the links of a data centre."""
        self._cut_data_centres.discard(data_centre)

    def spread(self, origin: FakeNode, findings: list[Finding]) -> None:
        """Tell every reachable node of the service of findings."""
        if not findings:
            return
        for node in self.nodes(origin.service):
            if node is not origin and self._is_connected(origin, node):
                for finding in findings:
                    self.clock.call_later(self._one_way(origin, node), node.hear, finding)

    def is_quarantine(self, node: FakeNode, fingerprint: int) -> bool:
        """Return whether a suspect may run at this node's upstream."""
        names = [entry.instance for entry in self.announcements(node.service)]
        avoided = node.guard.crashed_instances(fingerprint)
        return quarantine_instance(fingerprint, names, avoided) == node.announcement.instance

    def transmit(
        self, sender: FakeNode, instance: str, sim: SimCall, answered: Callable[[Reply], None]
    ) -> Callable[[], None]:
        """Send an attempt to a gate and its reply back; return how to withdraw it."""
        receiver = self.nodes_by_instance[instance]
        delay = self._one_way(sender, receiver)
        gate_calls = []
        withdrawn = []

        def lose_link() -> None:
            if not withdrawn:
                answered(Reply(NotRun(NotRunReason.UNREACHABLE, 0.0, sim.call.allowance)))

        def lose_answer() -> None:
            answered(Reply(Unknown(UnknownReason.LOST_LINK)))

        def arrive() -> None:
            if not withdrawn:
                gate_calls.append(receiver.serve(sim, send_back))

        def send_back(reply: Reply) -> None:
            if self._is_connected(sender, receiver):
                self.clock.call_later(delay, answered, reply)
            else:
                self.clock.call_later(LOST_LINK_SECONDS, lose_answer)

        def arrive_withdrawal() -> None:
            for gate_call in gate_calls:
                gate_call.withdraw()

        def withdraw() -> None:
            if not withdrawn:
                withdrawn.append(True)
                cancelled = Unknown(UnknownReason.CANCELLED)
                answered(Reply(cancelled))
                if self._is_connected(sender, receiver):
                    self.clock.call_later(delay, arrive_withdrawal)

        if self._is_connected(sender, receiver):
            self.clock.call_later(delay, arrive)
        else:
            self.clock.call_later(LOST_LINK_SECONDS, lose_link)
        return withdraw

    def _is_connected(self, one: FakeNode, other: FakeNode) -> bool:
        first, second = one.announcement.data_centre, other.announcement.data_centre
        return first == second or not self._cut_data_centres & {first, second}

    def _one_way(self, one: FakeNode, other: FakeNode) -> float:
        if one is other:
            return 0.0
        if one.announcement.data_centre == other.announcement.data_centre:
            return LOCAL_ONE_WAY_SECONDS
        return self.deployment.one_way_seconds

    def _build_nodes(self) -> dict[str, FakeNode]:
        centres = self.deployment.data_centres
        nodes: dict[str, FakeNode] = {}
        for service in self.deployment.services:
            for number in range(service.upstreams):
                announcement = Announcement(
                    instance=f"{service.name}-{number}",
                    incarnation="1",
                    service=service.name,
                    data_centre=centres[number % len(centres)],
                    region="region",
                    address="127.0.0.1:1",
                    started_at=0.0,
                )
                rng = random.Random(self.random.random())
                upstream = FakeUpstream(service.slots, self.clock, rng)
                node = FakeNode(self, announcement, self.policy, upstream, rng)
                nodes[announcement.instance] = node
        return nodes
