"""Computes how long a new leader must not start tasks that an earlier leader may have started.

Load pattern: the leader changes while some upstreams are unreachable. Jobs keep arriving; those
that would miss their objective after waiting for the earlier leader's leases are refused at once.
"""

# Covers errors of the estimate of an upstream's clock, which are about a round trip between zones,
# and the drift between clocks of instances, 2% over the half second of an election.
RECOVERY_MARGIN_S = 0.1
# Time for the first polls of a new leader: answers take about 10 ms, and lost polls are repeated
# twice.
FIRST_POLLS_S = 0.15


class Recovery:
    """The period after an election in which runs of earlier leaders may be unknown.

    It ends when all upstreams have listed all their runs and ends, or when all leases of earlier
    leaders are over and no upstream still lists its ends.

    Args:
        now: Time of the election.
        lease_s: Longest lease of an upstream, measured on the slowest clock, in seconds.
        since_previous_leader_s: Seconds since the latest time at which an earlier leader's lease
            can have started.
    """

    def __init__(self, *, now: float, lease_s: float, since_previous_leader_s: float) -> None:
        self.started_at = now
        self._leases_end_at = now + lease_s + RECOVERY_MARGIN_S - since_previous_leader_s
        self.is_open = True

    def expected_wait_s(self, now: float) -> float:
        """Return the expected remaining recovery wait, in seconds.

        Most recoveries end with the answers to the first polls, so the wait counts as 0 until these
        should have arrived. A longer recovery lasts until the leases are over.
        """
        if not self.is_open or now - self.started_at < FIRST_POLLS_S:
            return 0.0
        return max(0.0, self._leases_end_at - now)

    def is_over(self, now: float, *, is_fleet_known: bool, is_fleet_listing: bool) -> bool:
        """Return whether recovery ends now.

        Args:
            now: Current time.
            is_fleet_known: Whether all upstreams have listed all their runs and ends.
            is_fleet_listing: Whether an upstream that has listed a part of its ends, under a lease
                of this leader, may list more.
        """
        return is_fleet_known or (now >= self._leases_end_at and not is_fleet_listing)
