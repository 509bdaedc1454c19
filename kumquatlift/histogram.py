"""A histogram of durations with fixed buckets, cheap enough to update on every request."""

from bisect import bisect_left

# Upper bounds of the buckets, from the time of a network round trip to the longest wait that
# callers accept.
BOUNDS_MS = (2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Histogram:
    """Histogram of durations; only one controller records into it.

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
        """Add a duration, in milliseconds."""
        self._counts[bisect_left(BOUNDS_MS, duration_ms)] += 1
        self._sum_ms += duration_ms

    @property
    def sum_ms(self) -> float:
        """Sum of all durations, in milliseconds."""
        return self._sum_ms

    def cumulative(self) -> list[tuple[str, float]]:
        """Return each bucket's upper bound and the number of durations up to it.

        The bound of the last bucket is "+Inf".
        """
        total = 0
        rows: list[tuple[str, float]] = []
        for bound, count in zip((*map(str, BOUNDS_MS), "+Inf"), self._counts, strict=True):
            total += count
            rows.append((bound, float(total)))
        return rows
