"""A table of immutable values, so that worlds are pickled and ordered by small numbers."""

from typing import Any

_values: list[Any] = []
_numbers: dict[Any, int] = {}


def number_of(value: Any) -> int:
    """Return a value's number, which is the order in which values were first met."""
    identity = (type(value), value)
    number = _numbers.setdefault(identity, len(_values))
    if number == len(_values):
        _values.append(value)
    return number


def value_of(number: int) -> Any:
    """Return the value that has a number."""
    return _values[number]
