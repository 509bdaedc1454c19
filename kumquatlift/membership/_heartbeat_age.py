"""Age of a member's newest heartbeat, also when it was passed on by others."""

# A member without a heartbeat newer than this is not live; with a period of 250 ms a dead member is
# noticed within 3 s.
LIVENESS_TIMEOUT_S = 2.75
# Heartbeat counters count this many times a second, on the clock of their process.
COUNTS_PER_S = 8
# Advances of the counter of a member that counts as dead until its clock is measured anew.
CLOCK_RESET_ADVANCES = 8
# The offset between two clocks is the least one seen within one or two of these spans.
OFFSET_WINDOW_S = 30.0


class HeartbeatAge:
    """Newest counter of one member, and when it was sent.

    The counter runs on the member's clock. The least difference between the local clock and the
    counter, over recent heartbeats, is the offset of the clocks; with it a counter that was passed
    on by others still tells when it was sent, so that detours don't delay the detection of a death.

    Args:
        counter: First counter heard.
        now: Monotonic seconds.
    """

    def __init__(self, *, counter: int, now: float) -> None:
        self.counter = counter
        self.received_at = now
        self._late_advances = 0
        # The first counter may be old; only one that advances proves that the member is alive.
        self._is_confirmed = False
        self._previous_offset = self._current_offset = _offset(counter, now)
        self._window_started_at = now

    def advance(self, counter: int, now: float) -> None:
        """Take a newer counter."""
        is_late = self.age_s(now) >= LIVENESS_TIMEOUT_S
        self._late_advances = self._late_advances + 1 if is_late else 0
        self.counter = counter
        self.received_at = now
        self._is_confirmed = True
        offset = _offset(counter, now)
        if self._late_advances >= CLOCK_RESET_ADVANCES:
            # The member's clock has stood still for a while; the offset is of the time before.
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
        """Return the time since the newest known heartbeat was sent, in seconds."""
        return now - min(self._previous_offset, self._current_offset) - self.counter / COUNTS_PER_S

    def is_live(self, now: float) -> bool:
        """Tell whether the newest heartbeat is recent."""
        return self._is_confirmed and self.age_s(now) < LIVENESS_TIMEOUT_S


def _offset(counter: int, now: float) -> float:
    return now - counter / COUNTS_PER_S
