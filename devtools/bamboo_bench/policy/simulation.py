"""The simulated fleet: nodes, their upstreams and the links between them."""

import random
from collections.abc import Callable
from itertools import count

from bamboo_bench.policy.clock import VirtualClock
from bamboo_bench.policy.deployments import Deployment
from bamboo_bench.policy.ledger import Ledger, Window
from bamboo_bench.policy.node import FakeNode
from bamboo_bench.policy.policies import Policy
from bamboo_bench.policy.simulated_calls import (
    LINK_LOSS_DETECTION_SECONDS,
    LOCAL_ONE_WAY_DELAY_SECONDS,
    Reply,
    SimCall,
)
from bamboo_bench.policy.upstream import FakeUpstream
from bamboojunction.core.membership.view import Announcement
from bamboojunction.core.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bamboojunction.core.poison.decisions import Finding
from bamboojunction.core.poison.quarantine import quarantine_instance


class Simulation:
    """The clock, the nodes, the links and the ledger of one run."""

    __slots__ = (
        "_partitioned_data_centres",
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
        self._partitioned_data_centres: set[str] = set()
        self.nodes_by_instance = self._build_nodes()
        for node in self.nodes_by_instance.values():
            for service in deployment.services:
                node.router.update_instances(service.name, self.announcements(service.name))

    def nodes(self, service: str) -> list[FakeNode]:
        """Return the nodes of a service."""
        return [node for node in self.nodes_by_instance.values() if node.service == service]

    def announcements(self, service: str) -> list[Announcement]:
        """Return the announcements of a service."""
        return [node.announcement for node in self.nodes(service)]

    def partition_data_centre(self, data_centre: str) -> None:
        """Cut every link between a data centre and the others."""
        self._partitioned_data_centres.add(data_centre)

    def heal_data_centre(self, data_centre: str) -> None:
        """Restore the links between a data centre and the others."""
        self._partitioned_data_centres.discard(data_centre)

    def propagate_findings(self, origin: FakeNode, findings: list[Finding]) -> None:
        """Send findings of a poison guard to every reachable node of the same service."""
        if not findings:
            return
        for node in self.nodes(origin.service):
            if node is not origin and self._is_connected(origin, node):
                for finding in findings:
                    self.clock.call_later(
                        self._one_way_delay(origin, node), node.receive_finding, finding
                    )

    def is_quarantine_instance(self, node: FakeNode, fingerprint: int) -> bool:
        """Return whether this node's upstream is the one that may run a suspected request."""
        names = [entry.instance for entry in self.announcements(node.service)]
        avoided = node.guard.crashed_instances(fingerprint)
        return quarantine_instance(fingerprint, names, avoided) == node.announcement.instance

    def transmit(
        self, sender: FakeNode, instance: str, sim_call: SimCall, on_reply: Callable[[Reply], None]
    ) -> Callable[[], None]:
        """Send an attempt to an instance and its reply back.

        Return a function that cancels the attempt.
        """
        receiver = self.nodes_by_instance[instance]
        delay = self._one_way_delay(sender, receiver)
        gate_calls = []
        cancelled_flags = []

        def fail_unreachable() -> None:
            if not cancelled_flags:
                on_reply(Reply(NotRun(NotRunReason.UNREACHABLE, 0.0, sim_call.call.allowance)))

        def fail_lost_link() -> None:
            on_reply(Reply(Unknown(UnknownReason.LOST_LINK)))

        def arrive() -> None:
            if not cancelled_flags:
                gate_calls.append(receiver.serve(sim_call, return_reply))

        def return_reply(reply: Reply) -> None:
            if self._is_connected(sender, receiver):
                self.clock.call_later(delay, on_reply, reply)
            else:
                self.clock.call_later(LINK_LOSS_DETECTION_SECONDS, fail_lost_link)

        def arrive_cancellation() -> None:
            for gate_call in gate_calls:
                gate_call.cancel()

        def cancel() -> None:
            if not cancelled_flags:
                cancelled_flags.append(True)
                cancelled_outcome = Unknown(UnknownReason.CANCELLED)
                on_reply(Reply(cancelled_outcome))
                if self._is_connected(sender, receiver):
                    self.clock.call_later(delay, arrive_cancellation)

        if self._is_connected(sender, receiver):
            self.clock.call_later(delay, arrive)
        else:
            self.clock.call_later(LINK_LOSS_DETECTION_SECONDS, fail_unreachable)
        return cancel

    def _is_connected(self, first_node: FakeNode, second_node: FakeNode) -> bool:
        first_data_centre, second_data_centre = (
            first_node.announcement.data_centre,
            second_node.announcement.data_centre,
        )
        return first_data_centre == second_data_centre or not self._partitioned_data_centres & {
            first_data_centre,
            second_data_centre,
        }

    def _one_way_delay(self, first_node: FakeNode, second_node: FakeNode) -> float:
        if first_node is second_node:
            return 0.0
        if first_node.announcement.data_centre == second_node.announcement.data_centre:
            return LOCAL_ONE_WAY_DELAY_SECONDS
        return self.deployment.one_way_delay_seconds

    def _build_nodes(self) -> dict[str, FakeNode]:
        data_centres = self.deployment.data_centres
        nodes: dict[str, FakeNode] = {}
        for service in self.deployment.services:
            for index in range(service.upstreams):
                announcement = Announcement(
                    instance=f"{service.name}-{index}",
                    incarnation="1",
                    service=service.name,
                    data_centre=data_centres[index % len(data_centres)],
                    region="region",
                    address="127.0.0.1:1",
                    started_at=0.0,
                )
                rng = random.Random(self.random.random())
                upstream = FakeUpstream(service.slots, self.clock, rng)
                node = FakeNode(self, announcement, self.policy, upstream, rng)
                nodes[announcement.instance] = node
        return nodes
