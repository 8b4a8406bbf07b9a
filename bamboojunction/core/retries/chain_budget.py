"""The charge of one repeat to the budgets of all services that its run calls."""

import random
from collections.abc import Mapping

from bamboojunction.core.retries.fleet_budget import FleetRetryBudget


class ChainRetryBudget:
    """The budgets that pay for a repeat, each with the number of arrivals at its service.

    The calls that a repeated run makes count as repeats at the services called, and these cannot
    refuse them without losing the work above. The node that decides on the repeat therefore pays
    for all of them. A node with little traffic rarely has as many retries as a long chain needs at
    once. If it has only a part, it spends that part and repeats with the same probability, so that
    the arrivals of the fleet match what its nodes have spent.
    """

    __slots__ = (
        "_budget_by_service",
        "_cost_by_service",
        "_has_calls",
        "_own_budget",
        "_random",
    )

    def __init__(
        self,
        service: str,
        calls_by_service: Mapping[str, float],
        budget_by_service: Mapping[str, FleetRetryBudget],
        rng: random.Random,
    ):
        self._budget_by_service = budget_by_service
        self._has_calls = bool(calls_by_service)
        self._cost_by_service = dict(calls_by_service)
        self._cost_by_service[service] = self._cost_by_service.get(service, 0.0) + 1.0
        self._own_budget = budget_by_service[service]
        self._random = rng

    def spend(self, now: float) -> bool:
        """Spend the cost of a repeat, and return False when it is not allowed."""
        if not self._has_calls:
            return self._own_budget.spend(now)
        share = min(
            1.0,
            *(
                self._budget_by_service[service].available(now) / cost
                for service, cost in self._cost_by_service.items()
                if cost > 0.0
            ),
        )
        if share <= 0.0:
            return False
        for service, cost in self._cost_by_service.items():
            self._budget_by_service[service].take(int(share * cost + self._random.random()))
        return self._random.random() < share

    def retries_left(self) -> int:
        """Return the unspent retries of the service of the request."""
        return self._own_budget.retries_left()
