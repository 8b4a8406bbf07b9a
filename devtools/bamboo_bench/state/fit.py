"""Straight lines through measured points."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Line:
    """Hold a least-squares line."""

    slope: float
    intercept: float

    @classmethod
    def through(cls, points: list[tuple[float, float]]) -> "Line":
        """Fit a line to points of at least two different places."""
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
        return cls(slope, mean_y - slope * mean_x)

    def at(self, x: float) -> float:
        """Return the line's value at a place."""
        return self.intercept + self.slope * x
