"""Logs: one line of key=value pairs for each event."""

import json
import re
import sys
from typing import TextIO

from loguru import logger

from bamboojunction.conf.settings import TelemetrySettings

PLAIN_VALUE = re.compile(r"[!#-<>-~]+")
SECRET_NAMES = frozenset(
    {"authorization", "cookie", "password", "proof", "secret", "set-cookie", "token"}
)
HIDDEN = "***"


def configure_logs(settings: TelemetrySettings, sink: TextIO = sys.stderr) -> None:
    """Send all events of the settings' level and above to a sink, one line each."""
    logger.remove()
    logger.add(sink, level=settings.log_level, format=_format_record, colorize=False)


class Logs:
    """Write the events of one part of the node."""

    __slots__ = ("_part",)

    def __init__(self, part: str):
        self._part = part

    def info(self, event: str, **pairs: object) -> None:
        """Log what an operator may want to know."""
        self._write("INFO", event, pairs)

    def warning(self, event: str, **pairs: object) -> None:
        """Log what went wrong outside the node."""
        self._write("WARNING", event, pairs)

    def error(self, event: str, **pairs: object) -> None:
        """Log what the node failed to do."""
        self._write("ERROR", event, pairs)

    def _write(self, level: str, event: str, pairs: dict[str, object]) -> None:
        # Braces of values are never taken as a format, as no arguments go to loguru.
        logger.opt(depth=2).log(level, format_pairs({"event": event, "part": self._part, **pairs}))


def format_pairs(pairs: dict[str, object]) -> str:
    """Return pairs as text; values that are not plain are quoted, those of secrets are hidden."""
    return " ".join(f"{name}={_format_value(name, value)}" for name, value in pairs.items())


def _format_value(name: str, value: object) -> str:
    if name.lower() in SECRET_NAMES:
        return HIDDEN
    match value:
        case float():
            return f"{value:.6g}"
        case int():
            return str(value)
    text = str(value)
    return text if PLAIN_VALUE.fullmatch(text) else json.dumps(text)


def _format_record(record) -> str:
    """Return the template of a record, whose text is a single line whatever was logged."""
    moment = record["time"].astimezone(tz=None)
    line = f"time={moment.isoformat(timespec='milliseconds')} level={record['level'].name.lower()}"
    message = record["message"].replace("\n", "\\n").replace("\r", "\\r")
    line = f"{line} {message}"
    if record["exception"] is not None:
        error = record["exception"]
        detail = format_pairs({"error": error.type.__name__, "detail": error.value})
        line = f"{line} {detail}"
    record["extra"]["line"] = line
    return "{extra[line]}\n"
