"""Assigns free slots of one service in one zone to waiting demands.

Pure code on a clock passed in: the caller serializes the calls and passes monotonic seconds.
"""

import heapq
from collections import OrderedDict
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.document import Service, Team, Urgency
from kumquatlift.failure import Failure
from kumquatlift.fair_queue import Entry, FairQueue
from kumquatlift.run_times import RunTimes
from kumquatlift.runner_pool import (
    LONGEST_PAUSE_S,
    REFUSAL_PAUSE_S,
    Ranked,
    RunnerOffer,
    RunnerPool,
    RunnerState,
    RunningRequest,
)
from kumquatlift.zone_choice import FreeSlots, ZoneLoad

__all__ = ["AttemptOutcome", "Demand", "Grant", "RunnerOffer", "Scheduler"]

START_WITHIN_S = 0.75
"""A requester starts a grant within this time."""
GRANT_VOID_S = 1.0
"""A grant not reported as started is void after this time; the rest is for the message."""
LEASE_MARGIN_S = 1.0
"""Time for delivery that is added to the lease of a request."""
NO_RUNNER_GRACE_S = 3.0
"""A new owner waits this long for announcements before it refuses for lack of runners."""
TRIAL_OF_LAST_RESORT_S = 5.0
"""A trial overdue by this time may use a request that is not repeatable."""
CLEARLY_SLOWER = 1.5
"""Smaller differences between runners may be errors of the estimate, and no reason to wait."""
STRETCH = 10.0
"""Demands are ordered as if each had to end after this many times its response time alone, so that
a small job does not wait for a large one; one that waits that long goes first."""
_MAX_HELD = 32
"""Demands passed over in one poll because they rather wait for a faster runner; the next one is
judged as if it were the last of the queue, so that a long queue uses every runner."""
_MAX_VOIDED = 1024
"""Void grants that are remembered, for the case that they were started after all."""
_RECHECK_S = 0.05
MAX_FREE_GROUPS = 16
"""Runners with free slots that are named to other zones."""


class Demand(NamedTuple):
    """A wish for slots.

    Args:
        id: Chosen by the requester, unique.
        requester: Entry process that asks.
        service: Service name.
        kind: Request kind of the service.
        team: Team that is charged; empty for none.
        count: Requests, each of which takes one slot.
        urgency: Rank; 0 goes first.
        deadline_at: Monotonic seconds of the scheduler's clock.
        expected_s: Declared run time of one request, in seconds.
        waited_s: Time that the job has waited before, in another zone or for a retry.
    """

    id: str
    requester: str
    service: str
    kind: str
    team: str
    # The name is the one that the protocol uses; it hides the method tuple.count.
    count: int  # type: ignore[assignment]
    urgency: int
    deadline_at: float
    expected_s: float
    waited_s: float = 0.0


class Grant(NamedTuple):
    """Permission to send one request to a runner.

    Args:
        id: Unique for the scheduler.
        demand_id: Demand that it serves.
        requester: Entry process that may use it.
        runner: Runner name.
        address: Address of the runner, "ip:port".
        expires_at: Monotonic seconds of the scheduler's clock until which it may be started.
    """

    id: str
    demand_id: str
    requester: str
    runner: str
    address: str
    expires_at: float


class AttemptOutcome(Enum):
    """How the use of a grant ended."""

    OK = "ok"
    FAILED = "failed"
    """It ran and failed."""
    REFUSED = "refused"
    """The runner refused it before it ran."""
    UNREACHABLE = "unreachable"
    """It was never sent."""
    UNKNOWN = "unknown"
    """It may have run."""
    UNUSED = "unused"
    """The grant was returned, or its requester cancelled the request: nothing is learned."""


class _Running:
    __slots__ = ("demand", "expected_s", "lapses_at", "runner", "started_at")

    def __init__(
        self, *, demand: Demand, runner: RunnerState, expected_s: float, lapses_at: float
    ) -> None:
        self.demand = demand
        self.runner = runner
        self.expected_s = expected_s
        self.lapses_at = lapses_at
        self.started_at = 0.0


class _FreeRunner:
    __slots__ = ("free", "ranked")

    def __init__(self, ranked: Ranked, free: int) -> None:
        self.ranked = ranked
        self.free = free


class Scheduler:
    """Demands, grants and runners of one service in one zone.

    Args:
        service: Configuration of the service.
        teams: Configuration of the teams; quotas of teams hold for this service.
        total_slots: Slots of the service in all zones; a zone grants each team the share of its
            quota that the zone has of the slots. 0 applies the whole quota here.
        grant_prefix: Start of grant ids.
    """

    def __init__(
        self,
        *,
        service: Service,
        teams: Mapping[str, Team],
        total_slots: int = 0,
        grant_prefix: str = "g",
    ) -> None:
        self._service = service
        self._teams = teams
        self._total_slots = total_slots
        self._grant_prefix = grant_prefix
        self._run_times = RunTimes()
        self._pool = RunnerPool(
            service=service,
            run_times=self._run_times,
        )
        self._queue: FairQueue[Demand] = FairQueue()
        self._entries: dict[str, Entry[Demand]] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._running: dict[str, _Running] = {}
        self._lapses: list[tuple[float, str]] = []
        self._voided: OrderedDict[str, _Running] = OrderedDict()
        self._running_by_team: dict[str, int] = {}
        self._granted = 0
        self._mean_s = 0.0
        self._finished = 0
        self._first_call_at: float | None = None

    def offer(self, offer: RunnerOffer, now: float) -> None:
        """Add a runner or refresh its announcement."""
        self._note_call(now)
        self._pool.offer(offer, now)

    def withdraw(self, runner: str, now: float) -> None:
        """Remove a runner; its running requests keep their slots until they end."""
        self._pool.withdraw(runner)

    def enqueue(self, demand: Demand, now: float) -> Failure | None:
        """Queue a demand; a demand whose id waits already is left as it is.

        Returns:
            None, or a failure that says why nothing of the demand will run.
        """
        self._note_call(now)
        if demand.id in self._entries:
            return None
        failure = self._refusal(demand, now)
        if failure is not None:
            return failure
        since = now - demand.waited_s
        entry = Entry(
            item=demand,
            rank=demand.urgency,
            team=demand.team,
            left=demand.count,
            deadline_at=min(demand.deadline_at, since + STRETCH * self._alone_s(demand, now)),
            waiting_since=since,
        )
        self._entries[demand.id] = entry
        self._queue.push(entry)
        heapq.heappush(self._deadlines, (demand.deadline_at, demand.id))
        return None

    def cancel(self, demand_id: str, now: float, count: int | None = None) -> int:
        """Remove what still waits of a demand; grants made already are not affected.

        Args:
            demand_id: The demand.
            now: Monotonic seconds.
            count: Requests to remove at most; None for all.

        Returns:
            The number of requests removed.
        """
        entry = self._entries.get(demand_id)
        if entry is None:
            return 0
        removed = self._queue.reduce(entry, entry.left if count is None else count)
        if not entry.left:
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
        free = self._free_slots(now)
        ahead = held = 0
        while entry := self._queue.peek(self._is_under_quota, now):
            if held == _MAX_HELD:
                ahead = self._queue.queued - entry.left
            runner = self._choose(free, entry, ahead, now)
            if runner is not None:
                grants.append(self._grant(entry, runner, now))
                continue
            if not free or held == _MAX_HELD:
                break
            ahead += entry.left
            held += 1
            self._queue.hold(entry)
        self._queue.release()
        return grants

    def started(self, grant_id: str, now: float) -> None:
        """Record that the request of a grant was sent; its lease counts from now."""
        running = self._running.get(grant_id)
        if running is None:
            running = self._voided.pop(grant_id, None)
            if running is None:
                return
            # Started too late: the slot is in use all the same.
            self._occupy(grant_id, running)
        kind = self._service.kinds.get(running.demand.kind)
        lease_s = (kind.lease_ms if kind else 10_000) / 1000
        running.started_at = now
        running.runner.started(grant_id, now)
        self._set_lapse(grant_id, running, now + lease_s + LEASE_MARGIN_S)

    def finish(self, grant_id: str, outcome: AttemptOutcome, run_s: float, now: float) -> None:
        """Free the slot of a grant and learn from the outcome.

        Args:
            grant_id: The grant; one that is not known any more is ignored.
            outcome: How the use of the grant ended.
            run_s: Run time in seconds; for ``REFUSED`` the runner's Retry-After, 0 without one.
            now: Monotonic seconds.
        """
        running = self._release(grant_id)
        if running is None:
            self._voided.pop(grant_id, None)
            return
        self._learn(grant_id, running, outcome, run_s, now)

    def next_wakeup(self, now: float) -> float:
        """Return when ``poll`` is due if nothing else happens; infinity for never."""
        times = [float("inf")]
        while self._lapses and not self._is_current(self._lapses[0]):
            heapq.heappop(self._lapses)
        if self._lapses:
            times.append(self._lapses[0][0])
        if self._queue.queued:
            times.append(max(self._pool.next_trial_at(), now + _RECHECK_S))
            if self._free_slots(now):
                times.append(now + _RECHECK_S)
        return min(times)

    def reconfigure(self, service: Service, teams: Mapping[str, Team]) -> None:
        """Apply another configuration; what waits and runs is kept."""
        self._service = service
        self._teams = teams
        self._pool.reconfigure(service)

    def set_total_slots(self, total_slots: int) -> None:
        """Set the slots of the service in all zones."""
        self._total_slots = total_slots

    def expected_wait(self, kind: str, count: int, now: float) -> float:
        """Return the expected time in seconds until the last of ``count`` requests starts.

        Infinity when there is no usable runner.
        """
        cfg = self._service.kinds.get(kind)
        rank = cfg.urgency.rank if cfg else len(Urgency) - 1
        return self._wait(rank, count, now)

    def zone_load(self, now: float) -> ZoneLoad:
        """Return the load that other zones need for their choice; the delay is left at 0."""
        order = self._pool.order(now)
        free = self._free_slots(now)
        groups = tuple(
            FreeSlots(item.free, self._mean_s * item.ranked.slowness)
            for item in free[: -MAX_FREE_GROUPS - 1 : -1]
        )
        slots = sum(ranked.slots for ranked in order)
        speed = self._pool.speed(now)
        expected_s = self._mean_s * slots / speed if speed > 0 else 0.0
        total = sum(item.free for item in free)
        return ZoneLoad(total, self._queue.queued, slots, expected_s, 0.0, groups)

    def snapshot(self, now: float = 0.0) -> dict[str, object]:
        """Return plain data for the state dump."""
        return {
            "queue": self._queue.snapshot(),
            "demands": len(self._entries),
            "running": len(self._running),
            "granted": self._granted,
            "mean_run_s": round(self._mean_s, 4),
            "runners": self._pool.snapshot(now),
            "run_times": self._run_times.snapshot(now),
        }

    # Admission

    def _refusal(self, demand: Demand, now: float) -> Failure | None:
        team = self._teams.get(demand.team)
        if demand.team and team is None:
            return Failure(ResultCode.UNKNOWN_TEAM, f"team {demand.team!r} is not configured")
        if demand.kind not in self._service.kinds:
            return Failure(ResultCode.UNKNOWN_KIND, f"kind {demand.kind!r} is not configured")
        if demand.count < 1:
            return Failure(ResultCode.MALFORMED, "count: a whole number from 1 is needed")
        return (
            self._never_fits(demand, team or Team())
            or self._no_runner(now)
            or self._over_bounds(demand, team or Team(), now)
            or self._over_deadline(demand, now)
        )

    def _never_fits(self, demand: Demand, team: Team) -> Failure | None:
        for limit, name in (
            (self._service.max_queued, "service max_queued"),
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

    def _over_bounds(self, demand: Demand, team: Team, now: float) -> Failure | None:
        excess = self._queue.queued + demand.count - self._service.max_queued
        if excess > 0:
            reason = f"{self._queue.queued} of {self._service.max_queued} queue places are taken"
            return Failure(ResultCode.OVERLOADED, reason, self._drain_ms(excess, now))
        quota = max(self._zone_share(team.max_queued), demand.count)
        excess = self._queue.queued_of(demand.team) + demand.count - quota
        if demand.team and excess > 0:
            reason = f"team {demand.team!r} has its quota of {quota} waiting requests"
            return Failure(ResultCode.OVER_QUOTA, reason, self._drain_ms(excess, now))
        return None

    def _over_deadline(self, demand: Demand, now: float) -> Failure | None:
        left_s = demand.deadline_at - now
        wait_s = self._wait(demand.urgency, demand.count, now)
        run_s = 0.0
        order = self._pool.order(now)
        if order and self._run_times.is_learned(demand.kind):
            run_s = self._expected_s(demand) * order[0].slowness
        if not order or wait_s + run_s <= left_s:
            return None
        reason = f"{wait_s + run_s:.2f} s are expected and {left_s:.2f} s are left"
        retry_ms = _clamp_ms(wait_s + run_s - max(left_s, 0.0))
        return Failure(ResultCode.DEADLINE_UNREACHABLE, reason, retry_ms)

    def _drain_ms(self, count: int, now: float) -> int:
        speed = self._pool.speed(now)
        if speed <= 0:
            return 1000
        return _clamp_ms(count * self._mean_s / speed)

    def _wait(self, rank: int, count: int, now: float) -> float:
        free = sum(item.free for item in self._free_slots(now))
        waiting = self._queue.queued_to(rank) + count - free
        if waiting <= 0:
            return 0.0
        speed = self._pool.speed(now)
        return waiting * self._mean_s / speed if speed > 0 else float("inf")

    # Placement

    def _free_slots(self, now: float) -> list[_FreeRunner]:
        """Return runners with free slots, the most preferred one last."""
        free = (
            _FreeRunner(ranked, self._pool.free(ranked.state, now))
            for ranked in reversed(self._pool.order(now))
        )
        return [item for item in free if item.free]

    def _choose(
        self, free: list[_FreeRunner], entry: Entry[Demand], ahead: int, now: float
    ) -> RunnerState | None:
        trial = self._pool.trial(now)
        if trial is not None and self._may_be_trial(entry, trial, now):
            return trial
        if not free or not self._is_worth_it(free[-1].ranked, entry, ahead):
            return None
        best = free[-1]
        best.free -= 1
        if not best.free:
            free.pop()
        return best.ranked.state

    def _may_be_trial(self, entry: Entry[Demand], trial: RunnerState, now: float) -> bool:
        kind = self._service.kinds.get(entry.item.kind)
        is_repeatable = kind is not None and kind.repeatable
        return is_repeatable or now >= trial.health.out_until + TRIAL_OF_LAST_RESORT_S

    def _is_worth_it(self, ranked: Ranked, entry: Entry[Demand], ahead: int) -> bool:
        """Whether a free slot ends the demand sooner than waiting for the faster, full runners."""
        if not ranked.faster_slots:
            return True
        faster_slowness = ranked.faster_slots / ranked.faster_speed
        if ranked.slowness < CLEARLY_SLOWER * faster_slowness:
            return True
        expected_s = self._expected_s(entry.item)
        wait_s = (ahead + entry.left) * self._mean_s / ranked.faster_speed
        return expected_s * ranked.slowness <= wait_s + expected_s * faster_slowness

    def _grant(self, entry: Entry[Demand], runner: RunnerState, now: float) -> Grant:
        demand = entry.item
        expected_s = self._expected_s(demand)
        team = self._teams.get(demand.team, Team())
        self._queue.take(entry, cost=expected_s, share=team.share)
        if not entry.left:
            del self._entries[demand.id]
        self._granted += 1
        grant_id = f"{self._grant_prefix}{self._granted}"
        running = _Running(demand=demand, runner=runner, expected_s=expected_s, lapses_at=0.0)
        self._occupy(grant_id, running)
        self._set_lapse(grant_id, running, now + GRANT_VOID_S)
        if runner.health.may_try(now):
            runner.health.try_with(grant_id)
        return Grant(
            grant_id,
            demand.id,
            demand.requester,
            runner.offer.runner,
            runner.offer.address,
            now + START_WITHIN_S,
        )

    def _is_under_quota(self, team: str) -> bool:
        if not team:
            return True
        quota = self._zone_share(self._teams.get(team, Team()).max_running)
        return self._running_by_team.get(team, 0) < quota

    def _zone_share(self, quota: int) -> int:
        if not self._total_slots:
            return quota
        slots = sum(self._pool.capacity(state) for state in self._pool)
        return max(1, min(quota, round(quota * slots / self._total_slots)))

    def _alone_s(self, demand: Demand, now: float) -> float:
        """Return the expected response time of a demand that has all runners for itself."""
        speed = self._pool.speed(now)
        share_s = demand.count * self._mean_s / speed if speed > 0 else 0.0
        return self._expected_s(demand) + share_s

    def _expected_s(self, demand: Demand) -> float:
        return self._run_times.expected_s(demand.kind, demand.expected_s)

    # Slots in use

    def _occupy(self, grant_id: str, running: _Running) -> None:
        self._running[grant_id] = running
        running.runner.running[grant_id] = RunningRequest(running.expected_s, 0.0)
        team = running.demand.team
        self._running_by_team[team] = self._running_by_team.get(team, 0) + 1

    def _release(self, grant_id: str) -> _Running | None:
        running = self._running.pop(grant_id, None)
        if running is None:
            return None
        del running.runner.running[grant_id]
        team = running.demand.team
        self._running_by_team[team] -= 1
        if not self._running_by_team[team]:
            del self._running_by_team[team]
        return running

    def _learn(
        self, grant_id: str, running: _Running, outcome: AttemptOutcome, run_s: float, now: float
    ) -> None:
        runner, demand = running.runner, running.demand
        if outcome is AttemptOutcome.UNUSED:
            runner.health.unused(grant_id)
            return
        runner.progress_at = now
        if outcome is AttemptOutcome.OK:
            name = runner.offer.runner
            self._run_times.observe(demand.kind, name, demand.expected_s, run_s, now)
            average_s = run_s / self._run_times.slowness(name, now)
            self._finished += 1
            self._mean_s += max(1 / self._finished, 0.01) * (average_s - self._mean_s)
            runner.is_probed = False
            was_out = runner.health.is_out
            runner.health.succeeded(grant_id, now)
            if was_out != runner.health.is_out:
                self._pool.invalidate()
        elif outcome is AttemptOutcome.REFUSED:
            runner.health.unused(grant_id)
            runner.is_probed = True
            runner.paused_until = now + min(max(run_s, REFUSAL_PAUSE_S), LONGEST_PAUSE_S)
        else:
            runner.health.failed(grant_id, now)
            self._pool.invalidate()

    def _expire(self, now: float) -> None:
        while self._lapses and self._lapses[0][0] <= now:
            item = heapq.heappop(self._lapses)
            if not self._is_current(item):
                continue
            running = self._release(item[1])
            assert running is not None
            if running.started_at:
                self._learn(item[1], running, AttemptOutcome.UNKNOWN, 0.0, now)
                continue
            running.runner.health.unused(item[1])
            self._voided[item[1]] = running
            if len(self._voided) > _MAX_VOIDED:
                self._voided.popitem(last=False)
        while self._deadlines and self._deadlines[0][0] <= now:
            entry = self._entries.pop(heapq.heappop(self._deadlines)[1], None)
            if entry is not None:
                self._queue.remove(entry)

    def _set_lapse(self, grant_id: str, running: _Running, at: float) -> None:
        running.lapses_at = at
        heapq.heappush(self._lapses, (at, grant_id))
        if len(self._lapses) > 64 + 4 * len(self._running):
            self._lapses = [item for item in self._lapses if self._is_current(item)]
            heapq.heapify(self._lapses)

    def _is_current(self, item: tuple[float, str]) -> bool:
        running = self._running.get(item[1])
        return running is not None and running.lapses_at == item[0]

    def _note_call(self, now: float) -> None:
        if self._first_call_at is None:
            self._first_call_at = now


def _compacted(
    heap: list[tuple[float, str]], alive: Mapping[str, object]
) -> list[tuple[float, str]]:
    """Return the heap, without its dead items when they are the larger part."""
    if len(heap) <= 64 + 2 * len(alive):
        return heap
    kept = [item for item in heap if item[1] in alive]
    heapq.heapify(kept)
    return kept


def _clamp_ms(seconds: float) -> int:
    return int(min(max(seconds * 1000, 50), 60_000))
