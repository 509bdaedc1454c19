"""Detects pauses of this process, so that times measured across a pause can be discarded."""

from kumquatlift.clock import Clock

TICK_S = 0.25
"""Interval between calls of ``PauseWatch.tick``, in seconds."""
MIN_PAUSE_S = 1.0
"""Shortest time between two ticks that counts as a pause, in seconds.

In a busy process, a tick is late by about 0.2 s.
"""


class PauseWatch:
    """Detects from missing ticks that the process was stopped or suspended.

    The monotonic clock goes on while a process is stopped by a signal, so a request in flight
    seems to have run for all of that time.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at: float | None = None
        self._pause_ended_at = float("-inf")

    def tick(self) -> None:
        """Record that the process is running; to be called every ``TICK_S`` seconds."""
        now = self._clock.now()
        if self._is_overdue(now):
            self._pause_ended_at = now
        self._ticked_at = now

    def has_paused_since(self, start: float) -> bool:
        """Return whether a pause ended after ``start``, in monotonic seconds.

        A pause that has just ended counts even before the next tick.
        """
        return self._pause_ended_at >= start or self._is_overdue(self._clock.now())

    def _is_overdue(self, now: float) -> bool:
        return self._ticked_at is not None and now - self._ticked_at >= MIN_PAUSE_S
