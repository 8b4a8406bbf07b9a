"""Straight-line fits of measured quantities, extrapolated to the target size."""

from dataclasses import dataclass

from bamboo_bench.state.regression import Line


@dataclass(slots=True, frozen=True)
class Point:
    """One measurement of a quantity, at a size."""

    size: float
    value: float


@dataclass(slots=True, frozen=True)
class Slope:
    """A straight-line fit of the measurements of a quantity.

    ``target_size`` is the size to design for, and ``limit`` the maximum allowed there, or None if
    there is none. ``unit`` is the unit of the quantity and ``per`` the unit of the size.
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
        """Return the least-squares line through the points."""
        return Line.fit([(point.size, point.value) for point in self.points])

    @property
    def value_at_target(self) -> float:
        """Return the value at the target size; a decreasing line is not extrapolated."""
        return max(self.line.value_at(self.target_size), self.points[-1].value)

    @property
    def is_met(self) -> bool:
        """Return whether the value at the target size is within the limit."""
        return self.limit is None or self.value_at_target <= self.limit

    def to_table_row(self) -> str:
        """Return a row of a Markdown table."""
        measured = ", ".join(f"{point.size:g}: {point.value:.3g}" for point in self.points)
        limit = (
            "-" if self.limit is None else f"{self.limit:g} ({'met' if self.is_met else 'MISSED'})"
        )
        return (
            f"| {self.name} | {measured} | {self.line.slope:.3g} {self.unit} a {self.per} "
            f"| {self.value_at_target:.3g} {self.unit} at {self.target_size:g} | {limit} "
            f"| `{self.command}` |"
        )
