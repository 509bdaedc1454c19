"""Admission control: queues a demand or refuses it with a Retry-After time."""

from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import Team
from kumquatlift.failure import Failure
from kumquatlift.scheduling.demand import Demand
from kumquatlift.scheduling.fair_queue import FairQueue
from kumquatlift.scheduling.placement import Placement
from kumquatlift.scheduling.run_estimate import RunEstimate
from kumquatlift.scheduling.runner_pool import RunnerPool
from kumquatlift.scheduling.team_quotas import TeamQuotas

NO_RUNNER_GRACE_S = 3.0
"""For this long after its first call, a scheduler admits demands without any known runner, since
runners may not have announced themselves to a new owner yet."""


class Admission:
    """Refuses demands that cannot run, exceed a limit or would miss their deadline.

    Args:
        pool: Runners of the service in this zone.
        queue: Waiting demands.
        quotas: Quotas of the teams.
        estimate: Expected run times.
        placement: Lists the runners with free slots.
    """

    def __init__(
        self,
        *,
        pool: RunnerPool,
        queue: FairQueue[Demand],
        quotas: TeamQuotas,
        estimate: RunEstimate,
        placement: Placement,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._quotas = quotas
        self._estimate = estimate
        self._placement = placement
        self._first_call_at: float | None = None

    def record_call(self, now: float) -> None:
        """Record a call of the scheduler; ``NO_RUNNER_GRACE_S`` counts from the first one."""
        if self._first_call_at is None:
            self._first_call_at = now

    def refusal(self, demand: Demand, now: float) -> Failure | None:
        """Return the reason to refuse a whole demand, or None to admit it."""
        team = self._quotas.teams.get(demand.team)
        if demand.team and team is None:
            return Failure(ResultCode.UNKNOWN_TEAM, f"team {demand.team!r} is not configured")
        if demand.kind not in self._pool.service.kinds:
            return Failure(ResultCode.UNKNOWN_KIND, f"kind {demand.kind!r} is not configured")
        if demand.count < 1:
            return Failure(ResultCode.MALFORMED, "count: a whole number from 1 is needed")
        return (
            self._never_fits(demand, team or Team())
            or self._no_runner(now)
            or self._over_bounds(demand, now)
            or self._over_deadline(demand, now)
        )

    def wait_s(self, rank: int, count: int, now: float) -> float:
        """Return the expected time until the last of ``count`` requests of a rank starts.

        Infinity if there is no usable runner.
        """
        free = sum(item.free for item in self._placement.free_runners(now))
        waiting = self._queue.queued_up_to(rank) + count - free
        return self._estimate.drain_s(waiting, now) if waiting > 0 else 0.0

    def _never_fits(self, demand: Demand, team: Team) -> Failure | None:
        for limit, name in (
            (self._pool.service.max_queued, "service max_queued"),
            (team.max_queued, "team max_queued"),
        ):
            if demand.count > limit:
                reason = f"{demand.count} requests are over {name} = {limit} at any time"
                return Failure(ResultCode.NEVER_FITS, reason)
        return None

    def _no_runner(self, now: float) -> Failure | None:
        assert self._first_call_at is not None
        if self._pool.order(now) or now - self._first_call_at < NO_RUNNER_GRACE_S:
            return None
        return Failure(ResultCode.NO_RUNNER, "no runner of the service announces itself", 1000)

    def _over_bounds(self, demand: Demand, now: float) -> Failure | None:
        excess = self._queue.queued + demand.count - self._pool.service.max_queued
        if excess > 0:
            reason = (
                f"{self._queue.queued} of {self._pool.service.max_queued} queue places are taken"
            )
            return Failure(ResultCode.OVERLOADED, reason, self._drain_ms(excess, now))
        quota = max(self._quotas.max_queued(demand.team), demand.count)
        excess = self._queue.queued_by_team(demand.team) + demand.count - quota
        if demand.team and excess > 0:
            reason = f"team {demand.team!r} has its quota of {quota} waiting requests"
            return Failure(ResultCode.OVER_QUOTA, reason, self._drain_ms(excess, now))
        return None

    def _over_deadline(self, demand: Demand, now: float) -> Failure | None:
        remaining_s = demand.deadline_at - now
        wait_s = self.wait_s(demand.urgency, demand.count, now)
        run_s = 0.0
        order = self._pool.order(now)
        if order and self._estimate.is_learned(demand.kind):
            run_s = self._estimate.expected_s(demand) * order[0].slowness
        if not order or wait_s + run_s <= remaining_s:
            return None
        reason = f"{wait_s + run_s:.2f} s are expected and {remaining_s:.2f} s are left"
        retry_ms = _clamp_ms(wait_s + run_s - max(remaining_s, 0.0))
        return Failure(ResultCode.DEADLINE_UNREACHABLE, reason, retry_ms)

    def _drain_ms(self, count: int, now: float) -> int:
        if self._pool.speed(now) <= 0:
            return 1000
        return _clamp_ms(self._estimate.drain_s(count, now))


def _clamp_ms(seconds: float) -> int:
    return int(min(max(seconds * 1000, 50), 60_000))
