"""The forms that the value of a setting can have, and how each is read."""

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
    """Accept the name of an instance, a service, a data centre or a region."""


@dataclass(slots=True, frozen=True)
class Address:
    """Accept an ``ip:port`` literal; without ``required`` the value may be empty."""

    required: bool = True


@dataclass(slots=True, frozen=True)
class Addresses:
    """Accept any number of ``ip:port`` literals separated by spaces."""


@dataclass(slots=True, frozen=True)
class HttpEndpoint:
    """Accept an http URL whose host is an IP literal with a port, or nothing."""


@dataclass(slots=True, frozen=True)
class Secret:
    """Accept any text, and never show it."""


@dataclass(slots=True, frozen=True)
class OneOf:
    """Accept one of several words."""

    words: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Integer:
    """Accept a whole number within bounds."""

    low: int
    high: int


@dataclass(slots=True, frozen=True)
class Decimal:
    """Accept a number within bounds."""

    low: float
    high: float


Form = Name | Address | Addresses | HttpEndpoint | Secret | OneOf | Integer | Decimal
Value = str | int | float


@dataclass(slots=True, frozen=True)
class Setting:
    """Describe a setting in the reference; ``unit`` is empty for values without one."""

    help: str
    form: Form
    unit: str = ""


def setting(help_text: str, form: Form, *, unit: str = "", default: Value | object = MISSING):
    """Return the dataclass field of a setting; one without a default is required."""
    metadata = {SETTING_KEY: Setting(help_text, form, unit)}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def expected(form: Form) -> str:
    """Describe the values that a form accepts."""
    match form:
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
        case OneOf(words=words):
            return "one of " + ", ".join(words)
        case Integer(low=low, high=high):
            return f"a whole number from {low} to {high}"
        case Decimal(low=low, high=high):
            return f"a number from {low:g} to {high:g}"


def read_value(form: Form, text: str) -> Result[Value, str]:
    """Read a value, or return what was expected."""
    value = _READERS[type(form)](form, text)
    return Err(expected(form)) if value is None else Ok(value)


def _read_name(form: Name, text: str) -> str | None:
    return text if NAME_PATTERN.fullmatch(text) else None


def _read_address(form: Address, text: str) -> str | None:
    if not text and not form.required:
        return text
    return text if _is_address(text) else None


def _read_addresses(form: Addresses, text: str) -> str | None:
    parts = text.split()
    return " ".join(parts) if all(map(_is_address, parts)) else None


def _read_endpoint(form: HttpEndpoint, text: str) -> str | None:
    if not text:
        return text
    try:
        parts = urlsplit(text)
    except ValueError:
        return None
    return text if parts.scheme == "http" and _is_address(parts.netloc) else None


def _read_secret(form: Secret, text: str) -> str | None:
    return text if len(text) <= TEXT_MAX_CHARACTERS else None


def _read_word(form: OneOf, text: str) -> str | None:
    return text if text in form.words else None


def _read_integer(form: Integer, text: str) -> int | None:
    if not INTEGER_PATTERN.fullmatch(text):
        return None
    value = int(text.replace("_", ""))
    return value if form.low <= value <= form.high else None


def _read_decimal(form: Decimal, text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and form.low <= value <= form.high else None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and len(port) < 6 and 1 <= int(port) <= PORT_MAX


_READERS: dict[type, Callable[[Form, str], Value | None]] = {
    Name: _read_name,
    Address: _read_address,
    Addresses: _read_addresses,
    HttpEndpoint: _read_endpoint,
    Secret: _read_secret,
    OneOf: _read_word,
    Integer: _read_integer,
    Decimal: _read_decimal,
}
