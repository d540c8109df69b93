"""Straight lines through the stored results of the benchmarks.

`python -m bench.slopes` prints them. Each line says what one more shard, node or upstream costs.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from msgspec import Struct

from bench.run_all import RESULTS, load
from bench.slope_lines import LINES, SlopeLine

Point = tuple[float, float]


class Slope(Struct, frozen=True, kw_only=True):
    """A straight line through measured points."""

    name: str
    """What is measured."""
    unit: str
    """Unit of a point's height."""
    per: str
    """What the slope counts, such as a shard."""
    slope: float
    """Units for one more of `per`."""
    base: float
    """Units at none of `per`."""
    low: float
    """Least slope when any one point is left out, or when each point is at its least."""
    high: float
    """Greatest slope, found in the same way."""
    spread: float
    """Greatest distance of a point from the line, in units."""
    points: tuple[Point, ...]
    """What was measured."""
    source: str
    """Benchmark that measured it."""

    def at(self, size: float) -> float:
        """Reads the line at a size, with a falling slope counted as level.

        Args:
            size: How many of `per`.

        Returns:
            Units, never below zero.
        """
        if self.slope >= 0:
            return max(0.0, self.base + self.slope * size)
        last = self.points[-1][0]
        return max(0.0, self.base + self.slope * min(size, last))


def fit(points: tuple[Point, ...]) -> tuple[float, float]:
    """Fits a straight line by least squares.

    Args:
        points: At least two, at two different places or more.

    Returns:
        Slope and base.

    Raises:
        ValueError: The points give no line.
    """
    count = len(points)
    middle = sum(x for x, _ in points) / count if count else 0.0
    width = sum((x - middle) ** 2 for x, _ in points)
    if width == 0:
        raise ValueError(f"{count} points at one place give no line")
    level = sum(y for _, y in points) / count
    slope = sum((x - middle) * (y - level) for x, y in points) / width
    return slope, level - slope * middle


def all_slopes(folder: Path = RESULTS) -> dict[str, Slope]:
    """Fits every line whose benchmark has a stored result.

    Args:
        folder: Where the results are kept.

    Returns:
        Lines by name.
    """
    results: dict[str, Any] = {}
    slopes = {}
    for line in LINES:
        if line.source not in results:
            results[line.source] = load(line.source, folder).result
        slopes[line.name] = _fitted(line, results[line.source])
    return slopes


def pick(value: Any, path: str) -> Any:
    """Reads a part of a result.

    Args:
        value: The result.
        path: Keys and list places, joined by dots.

    Returns:
        The part.
    """
    for key in path.split("."):
        value = value[int(key)] if isinstance(value, list) else value[key]
    return value


def _fitted(line: SlopeLine, result: Any) -> Slope:
    rows = _rows(line, result)
    points = _points(line, rows, line.y)
    slope, base = fit(points)
    slopes = [slope]
    for path in (line.low, line.high):
        if path:
            slopes.append(fit(_points(line, rows, path))[0])
    if len(points) > 2:
        slopes += [fit(points[:n] + points[n + 1 :])[0] for n in range(len(points))]
    return Slope(
        name=line.name,
        unit=line.unit,
        per=line.per,
        slope=slope,
        base=base,
        low=min(slopes),
        high=max(slopes),
        spread=max(abs(y - base - slope * x) for x, y in points),
        points=points,
        source=line.source,
    )


def _rows(line: SlopeLine, result: Any) -> list[dict[str, Any]]:
    """Lists the rows of a line; sizes that are keys become a column."""
    if line.source == "dispatch_cost":
        names = [name for name in result if name.split()[0] == line.rows]
        return [{line.x: float(name.split()[1]), **result[name]} for name in names]
    rows = pick(result, line.rows)
    if isinstance(rows, dict):
        return [{line.x: float(size), **row} for size, row in rows.items()]
    return [row for row in rows if line.x in row and line.y.split(".")[0] in row]


def _points(line: SlopeLine, rows: list[dict[str, Any]], path: str) -> tuple[Point, ...]:
    points = []
    for row in rows:
        x, y = float(row[line.x]), float(pick(row, path))
        points.append((x, x * y if line.of_each else y))
    # The same size may stand in two rows.
    return tuple(dict.fromkeys(points))


def main() -> None:
    """Prints every line."""
    for slope in all_slopes().values():
        line = f"{slope.slope:12.6g} {slope.unit} per {slope.per}, {slope.base:.6g} at none"
        print(f"{slope.name:<22} {line} ({slope.low:.6g} to {slope.high:.6g})")


if __name__ == "__main__":
    main()
