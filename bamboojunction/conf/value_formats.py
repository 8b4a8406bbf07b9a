"""The value formats of settings, and the parsers that validate them."""

import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import MISSING, dataclass, field
from urllib.parse import urlsplit

from result import Err, Ok, Result

SETTING_KEY = "setting"
PORT_MAX = 65_535
TEXT_MAX_CHARACTERS = 4_096
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
INTEGER_PATTERN = re.compile(r"[0-9][0-9_]{0,15}")


@dataclass(slots=True, frozen=True)
class Name:
    """The name of an instance, a service, a data centre or a region."""


@dataclass(slots=True, frozen=True)
class Address:
    """An ``ip:port`` literal; unless ``required``, the value may be empty."""

    required: bool = True


@dataclass(slots=True, frozen=True)
class Addresses:
    """Any number of ``ip:port`` literals, separated by spaces."""


@dataclass(slots=True, frozen=True)
class HttpEndpoint:
    """An ``http`` URL whose host is an IPv4 literal with a port, or an empty value."""


@dataclass(slots=True, frozen=True)
class Secret:
    """Text that is never shown in messages."""


@dataclass(slots=True, frozen=True)
class OneOf:
    """One of several choices."""

    choices: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Integer:
    """A whole number from ``minimum`` to ``maximum``, both included."""

    minimum: int
    maximum: int


@dataclass(slots=True, frozen=True)
class Decimal:
    """A finite number from ``minimum`` to ``maximum``, both included."""

    minimum: float
    maximum: float


ValueFormat = Name | Address | Addresses | HttpEndpoint | Secret | OneOf | Integer | Decimal
Value = str | int | float


@dataclass(slots=True, frozen=True)
class Setting:
    """The metadata of a setting; ``unit`` is empty for values without one."""

    help: str
    value_format: ValueFormat
    unit: str = ""


def setting(
    help_text: str, value_format: ValueFormat, *, unit: str = "", default: Value | object = MISSING
):
    """Return the dataclass field of a setting, which is required unless it has a default."""
    metadata = {SETTING_KEY: Setting(help_text, value_format, unit)}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def describe_format(value_format: ValueFormat) -> str:
    """Return a description of the values that a format accepts."""
    match value_format:
        case Name():
            return "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
        case Address(required=True):
            return "an IPv4 address and a port, like 127.0.0.1:7100"
        case Address():
            return "an IPv4 address and a port, like 127.0.0.1:7100, or nothing"
        case Addresses():
            return "IPv4 addresses with ports, separated by spaces, or nothing"
        case HttpEndpoint():
            return "a URL like http://127.0.0.1:4318/v1/traces with an IPv4 address, or nothing"
        case Secret():
            return f"text of at most {TEXT_MAX_CHARACTERS} characters"
        case OneOf(choices=choices):
            return "one of " + ", ".join(choices)
        case Integer(minimum=minimum, maximum=maximum):
            return f"a whole number from {minimum} to {maximum}"
        case Decimal(minimum=minimum, maximum=maximum):
            return f"a number from {minimum:g} to {maximum:g}"


def parse_value(value_format: ValueFormat, text: str) -> Result[Value, str]:
    """Return the value of a text, or a description of what was expected."""
    value = _PARSERS[type(value_format)](value_format, text)
    return Err(describe_format(value_format)) if value is None else Ok(value)


def _parse_name(value_format: Name, text: str) -> str | None:
    return text if NAME_PATTERN.fullmatch(text) else None


def _parse_address(value_format: Address, text: str) -> str | None:
    if not text and not value_format.required:
        return text
    return text if _is_address(text) else None


def _parse_addresses(value_format: Addresses, text: str) -> str | None:
    parts = text.split()
    return " ".join(parts) if all(map(_is_address, parts)) else None


def _parse_endpoint(value_format: HttpEndpoint, text: str) -> str | None:
    if not text:
        return text
    try:
        parts = urlsplit(text)
    except ValueError:
        return None
    return text if parts.scheme == "http" and _is_address(parts.netloc) else None


def _parse_secret(value_format: Secret, text: str) -> str | None:
    return text if len(text) <= TEXT_MAX_CHARACTERS else None


def _parse_choice(value_format: OneOf, text: str) -> str | None:
    return text if text in value_format.choices else None


def _parse_integer(value_format: Integer, text: str) -> int | None:
    if not INTEGER_PATTERN.fullmatch(text):
        return None
    value = int(text.replace("_", ""))
    return value if value_format.minimum <= value <= value_format.maximum else None


def _parse_decimal(value_format: Decimal, text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return (
        value
        if math.isfinite(value) and value_format.minimum <= value <= value_format.maximum
        else None
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and len(port) < 6 and 1 <= int(port) <= PORT_MAX


_PARSERS: dict[type, Callable[[ValueFormat, str], Value | None]] = {
    Name: _parse_name,
    Address: _parse_address,
    Addresses: _parse_addresses,
    HttpEndpoint: _parse_endpoint,
    Secret: _parse_secret,
    OneOf: _parse_choice,
    Integer: _parse_integer,
    Decimal: _parse_decimal,
}
