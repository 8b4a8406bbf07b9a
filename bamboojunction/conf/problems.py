"""What can be wrong with a settings file."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SettingsProblem:
    """Name the place that is wrong; lines count from 1, and 0 stands for the whole file."""

    path: str
    line: int
    message: str

    def __str__(self) -> str:
        place = f"{self.path}:{self.line}" if self.line else self.path
        return f"{place}: {self.message}"


@dataclass(slots=True, frozen=True)
class SettingsProblems:
    """Hold every problem of a settings file; its text has one line for each."""

    problems: tuple[SettingsProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)
