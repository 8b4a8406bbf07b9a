"""Structured logging: one line of key=value fields for each event."""

import functools
import json
import re
import sys
from typing import TextIO

from loguru import logger

from bamboojunction.conf.settings import TelemetrySettings

UNQUOTED_VALUE_PATTERN = re.compile(r"[!#-<>-~]+")
SECRET_FIELD_NAMES = frozenset(
    {"authorization", "cookie", "password", "proof", "secret", "set-cookie", "token"}
)
REDACTED = "***"
FIELD_NAMES_CACHED = 256


def configure_logs(settings: TelemetrySettings, sink: TextIO = sys.stderr) -> None:
    """Write events at the configured level and above to a sink, one line each."""
    logger.remove()
    logger.add(sink, level=settings.log_level, format=_format_record, colorize=False)


class ComponentLogger:
    """A logger for the events of one component of the node."""

    __slots__ = ("_component",)

    def __init__(self, component: str):
        self._component = component

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._write("INFO", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure outside the node."""
        self._write("WARNING", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a failure of the node itself."""
        self._write("ERROR", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        # loguru formats a message only if it gets arguments, so braces in values stay as they are.
        logger.opt(depth=2).log(
            level, format_fields({"event": event, "part": self._component, **fields})
        )


def format_fields(fields: dict[str, object]) -> str:
    """Return fields as key=value text, quoting where needed and redacting secret values."""
    return " ".join([f"{name}={_format_value(name, value)}" for name, value in fields.items()])


@functools.lru_cache(maxsize=FIELD_NAMES_CACHED)
def _is_secret(name: str) -> bool:
    return name.lower() in SECRET_FIELD_NAMES


def _format_value(name: str, value: object) -> str:
    if _is_secret(name):
        return REDACTED
    match value:
        case str():
            text = value
        case float():
            return f"{value:.6g}"
        case int():
            return str(value)
        case _:
            text = str(value)
    return text if UNQUOTED_VALUE_PATTERN.fullmatch(text) else json.dumps(text)


def _format_record(record) -> str:
    """Return the loguru template of a record and set its text, always a single line."""
    timestamp = record["time"].astimezone(tz=None)
    line = (
        f"time={timestamp.isoformat(timespec='milliseconds')} level={record['level'].name.lower()}"
    )
    message = record["message"].replace("\n", "\\n").replace("\r", "\\r")
    line = f"{line} {message}"
    if record["exception"] is not None:
        error = record["exception"]
        detail = format_fields({"error": error.type.__name__, "detail": error.value})
        line = f"{line} {detail}"
    record["extra"]["line"] = line
    return "{extra[line]}\n"
