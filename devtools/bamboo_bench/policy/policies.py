"""The policies to compare: the current decision classes and a baseline without them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboo_bench.policy.baseline import (
    FifoAdmissionController,
    NoEdgeShedder,
    NoPoisonGuard,
    PerHopRetries,
    RoundRobinRouter,
)
from bamboo_bench.policy.upstream import COLD_START_SECONDS
from bamboojunction.core.admission.edge import EdgeShedder
from bamboojunction.core.admission.gate import AdmissionController
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.retries.policy import RetryPolicy
from bamboojunction.core.routing.router import Router


@dataclass(slots=True, frozen=True)
class Policy:
    """A named set of factories of decision classes, and what nodes pass on with a call.

    If ``retries_per_hop`` is None, all calls of an action share its retry allowance. Otherwise
    every hop retries up to that many times, independently of the others.
    """

    name: str
    create_admission: Callable[[int, random.Random], AdmissionController]
    create_router: Callable[[str, random.Random], Router]
    create_retry_policy: Callable[[random.Random], RetryPolicy] = RetryPolicy
    create_guard: Callable[[str], PoisonGuard] = PoisonGuard
    create_edge_levels: Callable[[], EdgeShedder] = EdgeShedder
    retries_per_hop: int | None = None
    propagates_deadline: bool = True
    propagates_cancellation: bool = True


def _create_admission(slots: int, rng: random.Random) -> AdmissionController:
    return AdmissionController(slots, COLD_START_SECONDS)


def _create_router(data_centre: str, rng: random.Random) -> Router:
    return Router(data_centre, "region", rng)


TODAY = Policy("today", _create_admission, _create_router)

NO_LAYER = Policy(
    name="no-layer",
    create_admission=lambda slots, rng: FifoAdmissionController(slots),
    create_router=lambda data_centre, rng: RoundRobinRouter(),
    create_retry_policy=lambda rng: PerHopRetries(),
    create_guard=NoPoisonGuard,
    create_edge_levels=NoEdgeShedder,
    retries_per_hop=3,
    propagates_deadline=False,
    propagates_cancellation=False,
)

POLICIES = {policy.name: policy for policy in (TODAY, NO_LAYER)}
