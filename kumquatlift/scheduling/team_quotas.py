"""Team quotas for one service in one zone."""

from collections.abc import Mapping

from kumquatlift.configuration.document import Team
from kumquatlift.scheduling.runner_pool import RunnerPool


class TeamQuotas:
    """Share of the team quotas that one zone applies.

    Args:
        teams: Configuration of the teams.
        total_slots: Slots of the service in all zones; 0 applies the whole quotas in this zone.
        pool: Runners of the zone.
    """

    def __init__(self, *, teams: Mapping[str, Team], total_slots: int, pool: RunnerPool) -> None:
        self.teams = teams
        self.total_slots = total_slots
        self._pool = pool

    def max_running(self, name: str) -> int:
        """Return how many requests of a team may run concurrently in the zone."""
        return self._zone_share(self.teams.get(name, Team()).max_running)

    def max_queued(self, name: str) -> int:
        """Return how many requests of a team may wait in the zone."""
        return self._zone_share(self.teams.get(name, Team()).max_queued)

    def _zone_share(self, quota: int) -> int:
        if not self.total_slots:
            return quota
        slots = sum(self._pool.capacity(state) for state in self._pool)
        return max(1, min(quota, round(quota * slots / self.total_slots)))
