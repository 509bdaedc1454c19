"""Fits lines through costs measured at several sizes, and writes them as JSON, table and plot."""

import json
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple


class Slope(NamedTuple):
    """A cost measured at several sizes, with a least-squares line through the points.

    Args:
        name: Name of the measurement.
        unit: Unit of the slope.
        sizes: Sizes in the order of measurement, repeated once per repetition.
        costs: Cost at each of the sizes.
        slope: Slope of the line.
        base: Cost at size 0 according to the line.
        residual: Largest deviation of a cost from the line, as a share of the largest cost.
    """

    name: str
    unit: str
    sizes: list[float]
    costs: list[float]
    slope: float
    base: float
    residual: float

    @classmethod
    def fit(cls, name: str, unit: str, points: list[tuple[float, float]]) -> "Slope":
        """Fit a line through points of size and cost."""
        sizes = [float(size) for size, _ in points]
        costs = [float(cost) for _, cost in points]
        slope, base = statistics.linear_regression(sizes, costs)
        worst = max(
            abs(cost - base - slope * size) for size, cost in zip(sizes, costs, strict=True)
        )
        return cls(name, unit, sizes, costs, slope, base, worst / max(map(abs, costs)))


def measure(
    name: str, unit: str, sizes: list[int], cost: Callable[[int], float], repeats: int = 3
) -> Slope:
    """Measure a cost at each size several times and fit a line.

    Args:
        name: Name of the measurement.
        unit: Unit of the slope.
        sizes: Sizes to measure at.
        cost: Returns the cost at a size.
        repeats: Number of measurements at each size.
    """
    points = [(float(size), cost(size)) for size in sizes for _ in range(repeats)]
    return Slope.fit(name, unit, points)


def write(slopes: list[Slope], folder: Path) -> None:
    """Write ``capacity.json`` and ``capacity.png`` and print a table."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = [slope._asdict() for slope in slopes]
    (folder / "capacity.json").write_text(json.dumps(rows, indent=1) + "\n")
    print(f"{'measure':58} {'slope':>11} {'base':>11} {'residual':>9}  unit of the slope")
    for row in slopes:
        print(f"{row.name:58} {row.slope:11.4g} {row.base:11.4g} {row.residual:9.1%}  {row.unit}")
    _plot(slopes, folder / "capacity.png")


def _plot(slopes: list[Slope], path: Path) -> None:
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    columns = 3
    lines = -(-len(slopes) // columns)
    figure, axes = plt.subplots(lines, columns, figsize=(15, 3.2 * lines), squeeze=False)
    for axis, row in zip(axes.flat, slopes, strict=False):
        axis.plot(row.sizes, row.costs, "o")
        ends = [min(row.sizes), max(row.sizes)]
        axis.plot(ends, [row.base + row.slope * size for size in ends])
        axis.set_title(f"{row.name}\n{row.slope:.4g} {row.unit}", fontsize=8)
    for axis in list(axes.flat)[len(slopes) :]:
        axis.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
