"""Estimates run times from observed ones, since declared run times are often inaccurate."""

import math

# Weight of the newest run in the moving average; covers about the last thirty runs.
WEIGHT = 0.03
# Expected run time of a task if none was declared and no run in its queue has ended yet.
DEFAULT_MS = 200.0


class Estimates:
    """Moving averages of the run times at speed 1, by queue."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}

    def expected_ms(self, queue: str, declared_ms: int) -> float:
        """Return the expected run time of a task, in milliseconds at speed 1.

        The geometric mean of the declared run time and of the queue's average halves the error of
        either one if they are off by independent factors.

        Args:
            queue: Key of the queue.
            declared_ms: Declared run time in milliseconds; 0 if nothing was declared.
        """
        mean_ms = self._mean_ms.get(queue)
        if declared_ms <= 0:
            return mean_ms or DEFAULT_MS
        if mean_ms is None:
            return float(declared_ms)
        return math.sqrt(declared_ms * mean_ms)

    def observe(self, queue: str, run_ms: float) -> None:
        """Record a run time in milliseconds, converted to speed 1."""
        known = self._mean_ms.setdefault(queue, run_ms)
        self._mean_ms[queue] = known + WEIGHT * (run_ms - known)
