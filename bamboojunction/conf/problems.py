"""Problems found in a settings file."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SettingsProblem:
    """A problem and its location; lines count from 1, and 0 stands for the whole file."""

    path: str
    line: int
    message: str

    def __str__(self) -> str:
        location = f"{self.path}:{self.line}" if self.line else self.path
        return f"{location}: {self.message}"


@dataclass(slots=True, frozen=True)
class SettingsProblems:
    """All problems of a settings file; the text has one line for each."""

    problems: tuple[SettingsProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)
