"""Assigns free slots of one service in one zone to waiting demands.

The code has no clock, thread or input and output of its own: callers serialize the calls and pass
the time in monotonic seconds.
"""

import heapq
from collections.abc import Mapping

from kumquatlift.configuration.document import Service, Team, Urgency
from kumquatlift.failure import Failure
from kumquatlift.scheduling.admission import Admission
from kumquatlift.scheduling.demand import UNMEASURED_S, AttemptOutcome, Demand, Grant
from kumquatlift.scheduling.fair_queue import Entry, FairQueue
from kumquatlift.scheduling.placement import Placement
from kumquatlift.scheduling.run_estimate import RunEstimate
from kumquatlift.scheduling.run_times import RunTimes
from kumquatlift.scheduling.runner_pool import (
    MAX_BACKOFF_S,
    REFUSAL_BACKOFF_S,
    RunnerOffer,
    RunnerPool,
    RunnerState,
)
from kumquatlift.scheduling.slots_in_use import SlotsInUse, SlotUse
from kumquatlift.scheduling.team_quotas import TeamQuotas
from kumquatlift.scheduling.zone_choice import FreeSlots, ZoneLoad

__all__ = ["AttemptOutcome", "Demand", "Grant", "RunnerOffer", "Scheduler"]

START_WITHIN_S = 0.75
"""Time within which a requester must start the request of a grant."""
MAX_STRETCH = 10.0
"""A demand is ordered by its deadline or by the time at which it has waited this many times its
uncontended response time, whichever is earlier. So a small job does not wait for a large one, and a
demand with a late deadline is not starved."""
_MAX_DEFERRED = 32
"""Largest number of demands that one poll defers because they end sooner on a faster, busy runner.
The next one is treated as the last of the queue, so that a long queue uses every runner."""
_RECHECK_INTERVAL_S = 0.05
"""Interval at which ``poll`` is repeated while demands wait beside free slots or a due trial."""
MAX_FREE_GROUPS = 16
"""Largest number of runners with free slots that are reported to other zones."""


class Scheduler:
    """Demands, grants and runners of one service in one zone.

    Args:
        service: Configuration of the service.
        teams: Configuration of the teams; their quotas apply to each service separately.
        total_slots: Slots of the service in all zones. The zone applies the same share of each
            team's quota as it has of these slots; 0 applies the whole quota.
        grant_prefix: Prefix of the grant ids.
    """

    def __init__(
        self,
        *,
        service: Service,
        teams: Mapping[str, Team],
        total_slots: int = 0,
        grant_prefix: str = "g",
    ) -> None:
        self._grant_prefix = grant_prefix
        self._run_times = RunTimes()
        self._pool = RunnerPool(service=service, run_times=self._run_times)
        self._queue: FairQueue[Demand] = FairQueue()
        self._quotas = TeamQuotas(teams=teams, total_slots=total_slots, pool=self._pool)
        self._estimate = RunEstimate(pool=self._pool, run_times=self._run_times)
        self._placement = Placement(pool=self._pool, estimate=self._estimate)
        self._admission = Admission(
            pool=self._pool,
            queue=self._queue,
            quotas=self._quotas,
            estimate=self._estimate,
            placement=self._placement,
        )
        self._slots = SlotsInUse()
        self._entries: dict[str, Entry[Demand]] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._granted = 0

    def offer(self, offer: RunnerOffer, now: float) -> None:
        """Add a runner or refresh its announcement."""
        self._admission.record_call(now)
        self._pool.offer(offer, now)

    def withdraw(self, runner: str, now: float) -> None:
        """Remove a runner; its running requests occupy their slots until they end."""
        self._pool.withdraw(runner)

    def enqueue(self, demand: Demand, now: float) -> Failure | None:
        """Queue a demand; has no effect if a demand with the same id is waiting.

        Returns:
            None, or the reason why the whole demand is refused.
        """
        self._admission.record_call(now)
        if demand.id in self._entries:
            return None
        failure = self._admission.refusal(demand, now)
        if failure is not None:
            return failure
        since = now - demand.waited_s
        entry = Entry(
            item=demand,
            rank=demand.urgency,
            team=demand.team,
            remaining=demand.count,
            deadline_at=min(
                demand.deadline_at, since + MAX_STRETCH * self._estimate.uncontended_s(demand, now)
            ),
            waiting_since=since,
        )
        self._entries[demand.id] = entry
        self._queue.push(entry)
        heapq.heappush(self._deadlines, (demand.deadline_at, demand.id))
        return None

    def cancel(self, demand_id: str, now: float, count: int | None = None) -> int:
        """Remove waiting requests of a demand; existing grants are not affected.

        Args:
            demand_id: The demand.
            now: Monotonic seconds.
            count: Largest number of requests to remove; None for all.

        Returns:
            The number of requests removed.
        """
        entry = self._entries.get(demand_id)
        if entry is None:
            return 0
        removed = self._queue.reduce(entry, entry.remaining if count is None else count)
        if not entry.remaining:
            del self._entries[demand_id]
            self._deadlines = _compacted(self._deadlines, self._entries)
        return removed

    def poll(self, now: float) -> list[Grant]:
        """Assign free slots to waiting demands.

        Returns:
            New grants, in the order in which they were made.
        """
        self._expire(now)
        grants: list[Grant] = []
        if not self._queue.queued:
            return grants
        free = self._placement.free_runners(now)
        ahead = deferred = 0
        while entry := self._queue.peek(self._is_under_quota, now):
            if deferred == _MAX_DEFERRED:
                ahead = self._queue.queued - entry.remaining
            runner = self._placement.choose(free, entry, ahead, now)
            if runner is not None:
                grants.append(self._grant(entry, runner, now))
                continue
            if not free or deferred == _MAX_DEFERRED:
                break
            ahead += entry.remaining
            deferred += 1
            self._queue.defer(entry)
        self._queue.restore_deferred()
        return grants

    def started(self, grant_id: str, now: float) -> None:
        """Record that the request of a grant was sent; its lease starts now."""
        self._slots.start(grant_id, self._pool.service.kinds, now)

    def finish(self, grant_id: str, outcome: AttemptOutcome, run_s: float, now: float) -> None:
        """Free the slot of a grant and update the estimates with the outcome.

        Args:
            grant_id: The grant; an unknown one is ignored.
            outcome: Outcome of the grant.
            run_s: Run time in seconds, or ``UNMEASURED_S``; for ``REFUSED``, the
                runner's Retry-After in seconds, or 0 without one.
            now: Monotonic seconds.
        """
        use = self._slots.release(grant_id)
        if use is not None:
            self._record_outcome(grant_id, use, outcome, run_s, now)

    def mark_requester_unreachable(self, requester: str) -> None:
        """Don't judge runners by running requests of a requester that cannot report their end."""
        if self._slots.mark_requester_unreachable(requester):
            self._pool.invalidate()

    def next_wakeup(self, now: float) -> float:
        """Return when ``poll`` is due without other events; infinity for never."""
        times = [self._slots.next_lapse_at()]
        if self._queue.queued:
            times.append(max(self._pool.next_trial_at(), now + _RECHECK_INTERVAL_S))
            if self._placement.free_runners(now):
                times.append(now + _RECHECK_INTERVAL_S)
        return min(times)

    def reconfigure(self, service: Service, teams: Mapping[str, Team]) -> None:
        """Apply another configuration; waiting demands and grants are kept."""
        self._quotas.teams = teams
        self._pool.reconfigure(service)

    def set_total_slots(self, total_slots: int) -> None:
        """Set the slots of the service in all zones."""
        self._quotas.total_slots = total_slots

    def expected_wait(self, kind: str, count: int, now: float) -> float:
        """Return the expected time in seconds until the last of ``count`` requests starts.

        Infinity if there is no usable runner.
        """
        cfg = self._pool.service.kinds.get(kind)
        rank = cfg.urgency.rank if cfg else len(Urgency) - 1
        return self._admission.wait_s(rank, count, now)

    def zone_load(self, now: float) -> ZoneLoad:
        """Return the load by which other zones choose a zone; its ``delay_s`` is 0."""
        order = self._pool.order(now)
        free = self._placement.free_runners(now)
        groups = tuple(
            FreeSlots(item.free, self._estimate.mean_s * item.ranked.slowness)
            for item in free[: -MAX_FREE_GROUPS - 1 : -1]
        )
        slots = sum(ranked.slots for ranked in order)
        speed = self._pool.speed(now)
        expected_s = self._estimate.mean_s * slots / speed if speed > 0 else 0.0
        total = sum(item.free for item in free)
        return ZoneLoad(total, self._queue.queued, slots, expected_s, 0.0, groups)

    def snapshot(self, now: float = 0.0) -> dict[str, object]:
        """Return the state for the state dump, as plain data."""
        return {
            "queue": self._queue.snapshot(),
            "demands": len(self._entries),
            "running": len(self._slots),
            "granted": self._granted,
            "mean_run_s": round(self._estimate.mean_s, 4),
            "runners": self._pool.snapshot(now),
            "run_times": self._run_times.snapshot(now),
        }

    def _grant(self, entry: Entry[Demand], runner: RunnerState, now: float) -> Grant:
        demand = entry.item
        expected_s = self._estimate.expected_s(demand)
        team = self._quotas.teams.get(demand.team, Team())
        self._queue.take(entry, cost=expected_s, share=team.share)
        if not entry.remaining:
            del self._entries[demand.id]
        self._granted += 1
        grant_id = f"{self._grant_prefix}{self._granted}"
        use = SlotUse(demand=demand, runner=runner, expected_s=expected_s)
        self._slots.occupy(grant_id, use, now)
        if runner.health.may_start_trial(now):
            runner.health.start_trial(grant_id)
        return Grant(
            grant_id,
            demand.id,
            demand.requester,
            runner.offer.runner,
            runner.offer.address,
            now + START_WITHIN_S,
        )

    def _is_under_quota(self, team: str) -> bool:
        return not team or self._slots.used_by(team) < self._quotas.max_running(team)

    def _record_outcome(
        self, grant_id: str, use: SlotUse, outcome: AttemptOutcome, run_s: float, now: float
    ) -> None:
        runner = use.runner
        if outcome is AttemptOutcome.UNUSED:
            runner.health.record_unused(grant_id)
            return
        runner.progress_at = now
        if outcome is AttemptOutcome.OK:
            if run_s != UNMEASURED_S:
                self._estimate.observe(use.demand, runner.offer.runner, run_s, now)
            runner.is_probed = False
            was_quarantined = runner.health.is_quarantined
            runner.health.record_success(grant_id, now)
            if was_quarantined != runner.health.is_quarantined:
                self._pool.invalidate()
        elif outcome is AttemptOutcome.REFUSED:
            runner.health.record_unused(grant_id)
            runner.is_probed = True
            runner.backoff_until = now + min(max(run_s, REFUSAL_BACKOFF_S), MAX_BACKOFF_S)
        else:
            runner.health.record_failure(grant_id, now)
            self._pool.invalidate()

    def _expire(self, now: float) -> None:
        for grant_id, use in self._slots.lapse(now):
            # A grant that was not started, or whose requester is unreachable, says nothing about
            # the runner. Any other request may have run.
            is_informative = use.started_at and not use.is_requester_unreachable
            outcome = AttemptOutcome.UNKNOWN if is_informative else AttemptOutcome.UNUSED
            self._record_outcome(grant_id, use, outcome, 0.0, now)
        while self._deadlines and self._deadlines[0][0] <= now:
            entry = self._entries.pop(heapq.heappop(self._deadlines)[1], None)
            if entry is not None:
                self._queue.remove(entry)


def _compacted(
    heap: list[tuple[float, str]], alive: Mapping[str, object]
) -> list[tuple[float, str]]:
    """Return the heap, without the items of ended demands if those are the majority."""
    if len(heap) <= 64 + 2 * len(alive):
        return heap
    kept = [item for item in heap if item[1] in alive]
    heapq.heapify(kept)
    return kept
