"""Counts of durations by bucket, cheap enough for every request."""

from bisect import bisect_left

# Upper bounds in milliseconds: from a round trip to the longest wait that callers accept.
BOUNDS_MS = (2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Histogram:
    """Durations of one kind, written by one controller.

    Args:
        name: Name of the metric.
        help: One line that says what is measured.
    """

    def __init__(self, *, name: str, help: str) -> None:
        self.name = name
        self.help = help
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self._sum_ms = 0.0

    def record(self, duration_ms: float) -> None:
        """Count a duration in milliseconds."""
        self._counts[bisect_left(BOUNDS_MS, duration_ms)] += 1
        self._sum_ms += duration_ms

    @property
    def sum_ms(self) -> float:
        """Sum of all durations."""
        return self._sum_ms

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the number of durations up to each bound, the last one without a bound."""
        total = 0
        rows: list[tuple[str, float]] = []
        for bound, count in zip((*map(str, BOUNDS_MS), "+Inf"), self._counts, strict=True):
            total += count
            rows.append((bound, float(total)))
        return rows
