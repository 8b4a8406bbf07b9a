"""Breadth-first search of the interleavings of a protocol model, and single walks through them."""

import math
import pickle
import time
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b

from bamboo_bench.once.events import Step
from bamboo_bench.once.model import ProtocolModel, Violation
from bamboo_bench.once.pickling import register_reducers

DIGEST_BYTES = 16


@dataclass(slots=True)
class SearchResult:
    """The result of a search.

    ``complete`` is true when every state within the budget was visited and no property was
    violated. ``trace`` holds the steps that led to the violation.
    """

    states: int = 0
    steps: int = 0
    complete: bool = True
    violation: str = ""
    trace: tuple[Step, ...] = ()
    outcome_labels: set[str] = field(default_factory=set)


def search_states(
    model: ProtocolModel, states_max: int, seconds_max: float = math.inf
) -> SearchResult:
    """Visit the reachable states of a model until a violation or until a limit is reached."""
    register_reducers()
    deadline = time.monotonic() + seconds_max
    result = SearchResult()
    pickled = pickle.dumps(model)
    seen = {_digest(pickled)}
    queue: deque[tuple[bytes, tuple]] = deque([(pickled, ())])
    while queue:
        if result.states >= states_max or time.monotonic() >= deadline:
            result.complete = False
            return result
        pickled, trace = queue.popleft()
        result.states += 1
        state: ProtocolModel = pickle.loads(pickled)
        result.outcome_labels.update(_outcome_labels(state))
        for step in state.steps():
            result.steps += 1
            successor: ProtocolModel = pickle.loads(pickled)
            try:
                successor.apply(step)
            except Violation as violation:
                result.complete = False
                result.violation = str(violation)
                result.trace = _flatten_trace((trace, step))
                return result
            pickled_successor = pickle.dumps(successor)
            digest = _digest(pickled_successor)
            if digest not in seen:
                seen.add(digest)
                queue.append((pickled_successor, (trace, step)))
    return result


def walk(model: ProtocolModel, choices: list[int]) -> ProtocolModel:
    """Apply one sequence of steps to a model, each picked by a choice, and return the model.

    Raise Violation if a property does not hold.
    """
    for choice in choices:
        steps = model.steps()
        if not steps:
            break
        model.apply(steps[choice % len(steps)])
    return model


def _digest(pickled: bytes) -> bytes:
    return blake2b(pickled, digest_size=DIGEST_BYTES).digest()


def _flatten_trace(trace: tuple) -> tuple[Step, ...]:
    """Return the steps of a trace that is stored as nested pairs of an earlier trace and a step."""
    steps = []
    while trace:
        trace, step = trace
        steps.append(step)
    return tuple(reversed(steps))


def _outcome_labels(model: ProtocolModel) -> set[str]:
    """Return a label for each outcome that a copy was given, with who decided it."""
    return {
        f"{type(copy.outcome).__name__} told by {copy.told_by}"
        for copy in model.call_copies
        if copy.outcome is not None
    }
