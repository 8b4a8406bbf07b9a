"""The messages that checks report."""

from dataclasses import dataclass
from enum import IntEnum


class Level(IntEnum):
    """The severity of a message; a node does not start with an ERROR."""

    WARNING = 30
    ERROR = 40


@dataclass(slots=True, frozen=True)
class CheckMessage:
    """One finding of a check; ``message_id`` is stable and documented in the reference."""

    message_id: str
    level: Level
    message: str
    hint: str

    def __str__(self) -> str:
        return f"{self.level.name.lower()} {self.message_id}: {self.message} ({self.hint})"


def has_errors(messages: list[CheckMessage]) -> bool:
    """Return whether any message is an error, which keeps a node from starting."""
    return any(message.level >= Level.ERROR for message in messages)
