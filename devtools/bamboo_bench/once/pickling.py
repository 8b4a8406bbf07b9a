"""Fast pickling of models: an immutable value is stored as its index in the intern table."""

import copyreg
from typing import Any

from bamboo_bench.once import events, model
from bamboo_bench.once.interning import intern_index, interned_value
from bamboojunction.core import outcomes
from bamboojunction.core.once import gate_records, home, keys


def register_reducers() -> None:
    """Register reducers that make pickle store the immutable values of a model by index."""
    enums = (model.GatePhase, model.HomePhase, home.KeyState, gate_records.KeyStatus)
    reasons = (outcomes.NotRunReason, outcomes.UnknownReason)
    values = (keys.HomeId, keys.ActionKey, gate_records.KeyReport, outcomes.NotRun)
    answers = (outcomes.Ran, outcomes.Unknown)
    messages = events.Message.__args__
    for immutable_class in (*enums, *reasons, *values, *answers, *messages):
        copyreg.pickle(immutable_class, _reduce)


def _reduce(value: Any) -> tuple:
    return interned_value, (intern_index(value),)
