"""Run times learned for each queue, since declared ones are often far off."""

import math

# Weight of the newest run; about the last thirty count.
WEIGHT = 0.03
DEFAULT_MS = 200.0


class Estimates:
    """Run times at speed 1, by queue."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}

    def expected_ms(self, queue: str, declared_ms: int) -> float:
        """Return the run time to expect of a task.

        The geometric mean of what was declared and of the queue's mean halves the error of either,
        when both are off by independent factors.
        """
        mean_ms = self._mean_ms.get(queue)
        if declared_ms <= 0:
            return mean_ms or DEFAULT_MS
        if mean_ms is None:
            return float(declared_ms)
        return math.sqrt(declared_ms * mean_ms)

    def observe(self, queue: str, run_ms: float) -> None:
        """Take note of a run time, corrected for the speed of its upstream."""
        known = self._mean_ms.setdefault(queue, run_ms)
        self._mean_ms[queue] = known + WEIGHT * (run_ms - known)
