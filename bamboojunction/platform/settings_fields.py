"""Reading of single fields from the platform's settings file, which may hold odd values."""

import reprlib
from collections.abc import Callable
from dataclasses import dataclass

import yaml
from result import Err, Ok, Result

SHOWN_CHARACTERS_MAX = 60
_ABSENT = object()
_TAG_PREFIX = "tag:yaml.org,2002:"
_REPR = reprlib.Repr()
_REPR.maxlevel = 2
_REPR.maxstring = _REPR.maxother = _REPR.maxlong = SHOWN_CHARACTERS_MAX


@dataclass(slots=True, frozen=True)
class DefaultedField:
    """A field that cannot be used as it stands, and what is used instead.

    ``field`` is the path in the file, and ``setting`` the attribute of the settings.
    """

    field: str
    setting: str
    value: str
    used: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value}; {self.used} is used"


class FieldReader:
    """A reader of fields that are named by their path in the file, such as ``self.limits``.

    ``problems`` describes the required fields that cannot be used, and ``defaulted`` the others.
    """

    __slots__ = ("_tables", "defaulted", "problems")

    def __init__(self, tables: dict):
        self._tables = tables
        self.defaulted: list[DefaultedField] = []
        self.problems: list[str] = []

    def find(self, path: str) -> object:
        """Return the value at a path, which is a private marker if there is none."""
        value: object = self._tables
        for name in path.split("."):
            value = value.get(name, _ABSENT) if isinstance(value, dict) else _ABSENT
        return value

    def required_text(self, path: str) -> str:
        """Return a text, or an empty one with a problem."""
        value = self.find(path)
        if is_text(value):
            return value
        self.problems.append(f"{path} is {describe(value)} and has to be a text")
        return ""

    def required_port(self, path: str, position: int) -> int:
        """Return a number of a list, or 0 with a problem."""
        value = item(self.find(path), position)
        if isinstance(value, int) and not isinstance(value, bool):
            return value
        self.problems.append(f"{path}.{position} is {describe(value)} and has to be a port")
        return 0

    def text(self, setting: str, path: str, default: str) -> str:
        """Return a text that may be missing."""
        return self._optional(setting, path, self.find(path), is_text, default)

    def flag(self, setting: str, path: str, default: bool) -> bool:
        """Return a truth value that may be missing."""
        return self._optional(
            setting, path, self.find(path), lambda value: isinstance(value, bool), default
        )

    def number(
        self, setting: str, path: str, default: float, bounds: tuple[float, float]
    ) -> int | float:
        """Return a number within bounds, both included, that may be missing."""
        return self._optional(
            setting, path, self.find(path), lambda value: _is_between(value, bounds), default
        )

    def port(self, setting: str, path: str, position: int, default: int, port_max: int) -> int:
        """Return a number of a list, from the default to the highest port, that may be missing."""
        value = item(self.find(path), position)
        bounds = (default, port_max)
        return self._optional(
            setting,
            f"{path}.{position}",
            value,
            lambda port: isinstance(port, int) and _is_between(port, bounds),
            default,
        )

    def _optional(
        self,
        setting: str,
        field: str,
        value: object,
        is_valid: Callable[[object], bool],
        default: object,
    ):
        if is_valid(value):
            return value
        self.defaulted.append(DefaultedField(field, setting, describe(value), describe(default)))
        return default


def decode_tables(text: bytes) -> Result[dict, str]:
    """Decode a settings file, or return an error text of one line."""
    try:
        tables = yaml.load(text, _Loader)
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        return Err(" ".join(f"{type(error).__name__}: {error}".split()))
    return Ok(tables) if isinstance(tables, dict) else Err("the file holds no table")


def item(value: object, position: int) -> object:
    """Return an item of a list, which is a private marker if there is none."""
    return value[position] if isinstance(value, list) and position < len(value) else _ABSENT


def is_text(value: object) -> bool:
    """Return whether a value is a text that a log line and a header can show."""
    return isinstance(value, str) and bool(value.strip()) and value.isprintable()


def describe(value: object) -> str:
    """Return a value as a short text of one line."""
    if value is _ABSENT:
        return "absent"
    if value is None:
        return "empty"
    try:
        return _REPR.repr(value)
    except ValueError:
        # Python refuses to write integers of thousands of digits.
        return f"a long {type(value).__name__}"


def _is_between(value: object, bounds: tuple[float, float]) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and bounds[0] <= value <= bounds[1]


class _Loader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """A YAML loader in which one odd scalar does not fail the file: it stays a text."""


def _value_or_text(construct: Callable) -> Callable:
    def construct_leniently(loader: _Loader, node: yaml.Node) -> object:
        try:
            return construct(loader, node)
        except (ValueError, KeyError, AttributeError, OverflowError):
            return loader.construct_scalar(node)

    return construct_leniently


for _name in ("bool", "float", "int", "timestamp"):
    _tag = _TAG_PREFIX + _name
    _Loader.add_constructor(_tag, _value_or_text(_Loader.yaml_constructors[_tag]))
# A value with a tag of its own counts as empty.
_Loader.add_constructor(None, lambda loader, node: None)
