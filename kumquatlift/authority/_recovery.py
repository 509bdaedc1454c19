"""Tells how long a new leader starts nothing that an earlier one may have started.

Load pattern: a change of leader while some upstreams cannot be heard. Jobs go on arriving, and
those that cannot be in time once the earlier leader's leases are over are refused at once.
"""

# For errors of the estimate of an upstream's clock, which are about a round trip between zones, and
# for clocks of instances that differ by 2% over the half second of an election.
RECOVERY_MARGIN_S = 0.1
# The looks of a new leader are answered within about 10 ms, and lost ones are repeated twice.
FIRST_POLLS_S = 0.15


class Recovery:
    """The time from an election until all leases of earlier leaders are over or known.

    Args:
        now: Time of the election.
        lease_s: Longest lease of an upstream on its slowest clock, in seconds.
        former_quiet_s: Seconds since the newest time that an earlier leader's lease can count from.
    """

    def __init__(self, *, now: float, lease_s: float, former_quiet_s: float) -> None:
        self._began_at = now
        self._leases_end_at = now + lease_s + RECOVERY_MARGIN_S - former_quiet_s
        self.is_open = True

    def expected_wait_s(self, now: float) -> float:
        """Return for how long the leader will probably start nothing yet.

        Most recoveries end with the first looks; one that does not waits for leases.
        """
        if not self.is_open or now - self._began_at < FIRST_POLLS_S:
            return 0.0
        return max(0.0, self._leases_end_at - now)

    def is_over(self, now: float, *, is_fleet_known: bool) -> bool:
        """Tell whether it ends now, since all upstreams are known or all leases are over."""
        return is_fleet_known or now >= self._leases_end_at
