"""Discrete events on a manual clock."""

import heapq
import itertools
from collections.abc import Callable

from kumquatlift.clock import ManualClock


class EventQueue:
    """Actions in order of time; those of one time run in the order in which they were added."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Time of the clock, in seconds."""
        return self.clock.now()

    def at(self, time: float, action: Callable[..., None], *args: object) -> None:
        """Run an action at a time."""
        heapq.heappush(self._heap, (time, next(self._numbers), action, args))

    def run(self) -> None:
        """Run actions until none is left."""
        while self._heap:
            time, _, action, args = heapq.heappop(self._heap)
            self.clock.advance(time - self.now)
            action(*args)
