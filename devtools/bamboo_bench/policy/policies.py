"""The policies that the bench compares: today's classes and the baselines."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboo_bench.policy.baseline import (
    FifoAdmission,
    HopRetries,
    NoEdge,
    NoPoisonGuard,
    RoundRobinRouter,
)
from bamboo_bench.policy.upstream import COLD_START_SECONDS
from bamboojunction.core.admission.edge import EdgeLevels
from bamboojunction.core.admission.gate import Admission
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.retries.policy import RetryPolicy
from bamboojunction.core.routing.router import Router


@dataclass(slots=True, frozen=True)
class Policy:
    """Name a set of decision classes and what travels with a call.

    ``hop_retries`` of None uses the allowance of the action; a number lets every hop retry that
    often on its own.
    """

    name: str
    admission: Callable[[int, random.Random], Admission]
    router: Callable[[str, random.Random], Router]
    retries: Callable[[random.Random], RetryPolicy] = RetryPolicy
    guard: Callable[[str], PoisonGuard] = PoisonGuard
    edge: Callable[[], EdgeLevels] = EdgeLevels
    hop_retries: int | None = None
    carries_deadline: bool = True
    cancels: bool = True


def _today_admission(slots: int, rng: random.Random) -> Admission:
    return Admission(slots, COLD_START_SECONDS)


def _today_router(data_centre: str, rng: random.Random) -> Router:
    return Router(data_centre, "region", rng)


TODAY = Policy("today", _today_admission, _today_router)

NO_LAYER = Policy(
    name="no-layer",
    admission=lambda slots, rng: FifoAdmission(slots),
    router=lambda data_centre, rng: RoundRobinRouter(),
    retries=lambda rng: HopRetries(),
    guard=NoPoisonGuard,
    edge=NoEdge,
    hop_retries=3,
    carries_deadline=False,
    cancels=False,
)

POLICIES = {policy.name: policy for policy in (TODAY, NO_LAYER)}
