"""A least-squares fit of a straight line."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Line:
    """A straight line, fitted to points by least squares."""

    slope: float
    intercept: float

    @classmethod
    def fit(cls, points: list[tuple[float, float]]) -> "Line":
        """Return the line fitted to points, of which at least two differ in ``x``."""
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
        return cls(slope, mean_y - slope * mean_x)

    def value_at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x
