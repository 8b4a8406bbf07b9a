"""Slopes of measured quantities, and what they give at the size to design for."""

from dataclasses import dataclass

from bamboo_bench.state.fit import Line


@dataclass(slots=True, frozen=True)
class Point:
    """Hold one measurement: a quantity at a size."""

    size: float
    value: float


@dataclass(slots=True, frozen=True)
class Slope:
    """Hold a straight line through measurements.

    ``target_size`` is the size to design for and ``limit`` the most that is allowed there, or None
    where nothing is stated.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    target_size: float
    limit: float | None
    command: str

    @property
    def line(self) -> Line:
        """Return the line of least squares through the points."""
        return Line.through([(point.size, point.value) for point in self.points])

    @property
    def at_target(self) -> float:
        """Return the value at the size to design for; a falling line is not drawn on."""
        return max(self.line.at(self.target_size), self.points[-1].value)

    @property
    def is_met(self) -> bool:
        """Return whether the value at the size is within the limit."""
        return self.limit is None or self.at_target <= self.limit

    def to_row(self) -> str:
        """Return the row of a table in Markdown."""
        measured = ", ".join(f"{point.size:g}: {point.value:.3g}" for point in self.points)
        limit = (
            "-" if self.limit is None else f"{self.limit:g} ({'met' if self.is_met else 'MISSED'})"
        )
        return (
            f"| {self.name} | {measured} | {self.line.slope:.3g} {self.unit} a {self.per} "
            f"| {self.at_target:.3g} {self.unit} at {self.target_size:g} | {limit} "
            f"| `{self.command}` |"
        )
