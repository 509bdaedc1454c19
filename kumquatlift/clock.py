"""Monotonic time, from the machine or from a test."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Return monotonic seconds from an arbitrary start."""


class MonotonicClock:
    """Clock of the machine; unaffected by steps of the wall clock."""

    def now(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()


def seconds_since_boot() -> float:
    """Return seconds of a steady clock that also counts the time in which the instance slept."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when told to.

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
