"""What a check has to say."""

from dataclasses import dataclass
from enum import IntEnum


class Level(IntEnum):
    """Rank messages; a node does not start with an error."""

    WARNING = 30
    ERROR = 40


@dataclass(slots=True, frozen=True)
class CheckMessage:
    """Hold one finding; ``message_id`` is stable and named in the reference."""

    message_id: str
    level: Level
    message: str
    hint: str

    def __str__(self) -> str:
        return f"{self.level.name.lower()} {self.message_id}: {self.message} ({self.hint})"


def has_errors(messages: list[CheckMessage]) -> bool:
    """Return whether any message keeps a node from starting."""
    return any(message.level >= Level.ERROR for message in messages)
