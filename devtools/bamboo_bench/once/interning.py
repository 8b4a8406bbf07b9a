"""A table of interned immutable values, by which models are pickled and messages are sorted."""

from typing import Any

_interned: list[Any] = []
_index_by_value: dict[Any, int] = {}


def intern_index(value: Any) -> int:
    """Return the index of a value, interning the value if it is new."""
    typed_value = (type(value), value)
    index = _index_by_value.setdefault(typed_value, len(_interned))
    if index == len(_interned):
        _interned.append(value)
    return index


def interned_value(index: int) -> Any:
    """Return the interned value at an index."""
    return _interned[index]
