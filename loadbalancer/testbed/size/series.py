"""What was measured at several sizes, under one name, on its way to a slope."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.testbed.size.fit import Slope, fit


@dataclass(slots=True)
class Series:
    """`unit` of y; `per`: what x counts. `line`: one is looked for; else the points are all that is
    told.
    """

    name: str
    unit: str
    per: str
    line: bool = True
    points: list[tuple[float, float]] = field(default_factory=list)

    def add(self, x: float, y: float) -> None:
        self.points.append((x, y))

    def slope(self, command: str, date: str) -> Slope:
        """Raises Unusable where there are too few sizes."""
        return fit(
            self.points, name=self.name, unit=self.unit, per=self.per, command=command, date=date
        )

    def figures(self) -> dict[str, float]:
        return {f"{self.name}, {self.unit} at {x:g} {self.per}": y for x, y in self.points}
