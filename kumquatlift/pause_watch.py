"""Tells whether this process stood still, so that times it measured can be discarded."""

from kumquatlift.clock import Clock

TICK_S = 0.25
"""Interval between calls of ``PauseWatch.tick``."""
MIN_PAUSE_S = 1.0
"""Ticks this far apart count as a pause; a busy process delays a tick by about 0.2 s."""


class PauseWatch:
    """Notices that a process was stopped or suspended, from ticks that stayed away.

    The monotonic clock counts a stop by signal, so a request that was in flight seems to have run
    for as long.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at: float | None = None
        self._pause_ended_at = float("-inf")

    def tick(self) -> None:
        """Note that the process runs; to be called every ``TICK_S`` seconds."""
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
