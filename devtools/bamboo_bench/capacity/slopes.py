"""Slopes of measured quantities, and what they give at the size to design for."""

from dataclasses import dataclass


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
    def per_one(self) -> float:
        """Return the rise for each one of the size, by least squares."""
        mean_size = sum(point.size for point in self.points) / len(self.points)
        mean_value = sum(point.value for point in self.points) / len(self.points)
        spread = sum((point.size - mean_size) ** 2 for point in self.points)
        if spread == 0:
            return 0.0
        rise = sum((point.size - mean_size) * (point.value - mean_value) for point in self.points)
        return rise / spread

    @property
    def base(self) -> float:
        """Return the value of the line at size 0."""
        mean_size = sum(point.size for point in self.points) / len(self.points)
        mean_value = sum(point.value for point in self.points) / len(self.points)
        return mean_value - self.per_one * mean_size

    @property
    def at_target(self) -> float:
        """Return the value of the line at the size to design for."""
        return self.base + self.per_one * self.target_size

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
            f"| {self.name} | {measured} | {self.per_one:.3g} {self.unit} a {self.per} "
            f"| {self.at_target:.3g} {self.unit} at {self.target_size:g} | {limit} "
            f"| `{self.command}` |"
        )
