"""Search of every interleaving of a small world, breadth first and within its budgets."""

import math
import pickle
import time
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b

from bamboo_bench.once.events import Step
from bamboo_bench.once.freezing import register
from bamboo_bench.once.world import Violation, World

DIGEST_BYTES = 16


@dataclass(slots=True)
class SearchResult:
    """Report a search; ``complete`` is true when no state within the budgets was left out."""

    states: int = 0
    steps: int = 0
    complete: bool = True
    violation: str = ""
    trace: tuple[Step, ...] = ()
    outcomes: set[str] = field(default_factory=set)


def search(world: World, states_max: int, seconds_max: float = math.inf) -> SearchResult:
    """Visit the states that a world can reach until a property breaks or a bound is met."""
    register()
    ends_at = time.monotonic() + seconds_max
    result = SearchResult()
    frozen = pickle.dumps(world)
    seen = {_digest(frozen)}
    queue: deque[tuple[bytes, tuple]] = deque([(frozen, ())])
    while queue:
        if result.states >= states_max or time.monotonic() >= ends_at:
            result.complete = False
            return result
        frozen, trace = queue.popleft()
        result.states += 1
        here: World = pickle.loads(frozen)
        result.outcomes.update(_outcomes(here))
        for step in here.steps():
            result.steps += 1
            there: World = pickle.loads(frozen)
            try:
                there.apply(step)
            except Violation as violation:
                result.complete = False
                result.violation = str(violation)
                result.trace = _unroll((trace, step))
                return result
            frozen_there = pickle.dumps(there)
            digest = _digest(frozen_there)
            if digest not in seen:
                seen.add(digest)
                queue.append((frozen_there, (trace, step)))
    return result


def walk(world: World, choices: list[int]) -> World:
    """Take one path through a world, each choice picking the next step, or raise Violation."""
    for choice in choices:
        steps = world.steps()
        if not steps:
            break
        world.apply(steps[choice % len(steps)])
    return world


def _digest(frozen: bytes) -> bytes:
    return blake2b(frozen, digest_size=DIGEST_BYTES).digest()


def _unroll(trace: tuple) -> tuple[Step, ...]:
    """Return the steps of a trace, which is kept as nested pairs."""
    steps = []
    while trace:
        trace, step = trace
        steps.append(step)
    return tuple(reversed(steps))


def _outcomes(world: World) -> set[str]:
    """Name the outcomes that the copies of a world were given."""
    return {
        f"{type(copy.outcome).__name__} told by {copy.told_by}"
        for copy in world.copies
        if copy.outcome is not None
    }
