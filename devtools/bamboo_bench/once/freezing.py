"""Fast pickling of worlds: immutable values are stored as their number in a table."""

import copyreg
from typing import Any

from bamboo_bench.once import events, world
from bamboo_bench.once.values import number_of, value_of
from bamboojunction.core import outcomes
from bamboojunction.core.once import gate_records, home, keys


def register() -> None:
    """Make pickle store the immutable values of a world by number."""
    enums = (world.GatePhase, world.HomePhase, home.KeyState, gate_records.Knowledge)
    reasons = (outcomes.NotRunReason, outcomes.UnknownReason)
    values = (keys.HomeId, keys.ActionKey, gate_records.Testimony, outcomes.NotRun)
    answers = (outcomes.Ran, outcomes.Unknown)
    messages = events.Message.__args__
    for frozen_class in (*enums, *reasons, *values, *answers, *messages):
        copyreg.pickle(frozen_class, _freeze)


def _freeze(value: Any) -> tuple:
    return value_of, (number_of(value),)
