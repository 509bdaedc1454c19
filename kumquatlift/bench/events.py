"""Event queue of a discrete-event simulation, on a manual clock."""

import heapq
import itertools
from collections.abc import Callable

from kumquatlift.clock import ManualClock


class EventQueue:
    """Actions ordered by time; actions of the same time run in the order in which they were added.

    Attributes:
        clock: Clock of the simulation.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Current simulated time, in seconds."""
        return self.clock.now()

    def at(self, time: float, action: Callable[..., None], *args: object) -> None:
        """Schedule an action for a simulated time, in seconds."""
        heapq.heappush(self._heap, (time, next(self._numbers), action, args))

    def run(self) -> None:
        """Advance the clock from action to action and run each, until the queue is empty."""
        while self._heap:
            time, _, action, args = heapq.heappop(self._heap)
            self.clock.advance(time - self.now)
            action(*args)
