"""Monotonic clocks: that of the machine, and a manual one for tests and simulations."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""


class MonotonicClock:
    """Monotonic clock of the machine; setting the wall clock does not affect it."""

    def now(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()


def seconds_since_boot() -> float:
    """Return monotonic seconds since boot, including the time for which the machine was suspended.

    ``time.monotonic()`` does not count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when ``advance`` is called.

    Args:
        start: First reading, in seconds.
    """

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now += seconds
