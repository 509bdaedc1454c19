"""Age of a member's newest heartbeat, whether received directly or relayed by others."""

# A member whose newest heartbeat is older than this is not live. With a gossip period of 250 ms, a
# dead member is detected within 3 s.
LIVENESS_TIMEOUT_S = 2.75
# Increments of a heartbeat counter per second, on the clock of its process.
COUNTS_PER_S = 8
# The clock offset of a member that counts as dead is measured again after this many advances of its
# counter.
CLOCK_RESET_ADVANCES = 8
# The offset between two clocks is the smallest one seen within the current and the previous window.
OFFSET_WINDOW_S = 30.0


class HeartbeatAge:
    """Newest heartbeat counter of one member, and the time at which it was sent.

    The counter runs on the member's clock. The smallest difference between the local clock and the
    counter, over recent heartbeats, is taken as the offset of the clocks. With it, the send time of
    a relayed counter is known too, so that relaying does not delay the detection of a failure.

    Args:
        counter: First counter received.
        now: Monotonic clock, in seconds.
    """

    def __init__(self, *, counter: int, now: float) -> None:
        self.counter = counter
        self.received_at = now
        self._late_advances = 0
        # The first counter received may be old; only an advance proves that the member is alive.
        self._is_confirmed = False
        self._previous_offset = self._current_offset = _offset(counter, now)
        self._window_started_at = now

    def advance(self, counter: int, now: float) -> None:
        """Record a newer counter."""
        is_late = self.age_s(now) >= LIVENESS_TIMEOUT_S
        self._late_advances = self._late_advances + 1 if is_late else 0
        self.counter = counter
        self.received_at = now
        self._is_confirmed = True
        offset = _offset(counter, now)
        if self._late_advances >= CLOCK_RESET_ADVANCES:
            # The member's clock stopped for a while, for example because its machine was
            # suspended, so the offset measured before no longer holds.
            self._late_advances = 0
            self._previous_offset = self._current_offset = offset
        self._current_offset = min(self._current_offset, offset)
        if now - self._window_started_at > OFFSET_WINDOW_S:
            self._previous_offset, self._current_offset, self._window_started_at = (
                self._current_offset,
                offset,
                now,
            )

    def age_s(self, now: float) -> float:
        """Return the time in seconds since the newest known heartbeat was sent."""
        return now - min(self._previous_offset, self._current_offset) - self.counter / COUNTS_PER_S

    def is_live(self, now: float) -> bool:
        """Return whether the newest heartbeat is recent and the counter has advanced."""
        return self._is_confirmed and self.age_s(now) < LIVENESS_TIMEOUT_S


def _offset(counter: int, now: float) -> float:
    return now - counter / COUNTS_PER_S
