"""Discrete-event simulation of scheduling policies with simulated runners."""

import itertools
from collections import deque

from kumquatlift.bench.baselines import SlotPolicy
from kumquatlift.bench.cases import CANCEL_AT_S, CONNECTIONS, DEADLINE_S, SLOTS, ZONES, Case
from kumquatlift.bench.events import EventQueue
from kumquatlift.bench.jobs import Job, JobResult, RunResult, Task
from kumquatlift.bench.runner import BenchRunner
from kumquatlift.bench.zone_loads import ZoneLoads
from kumquatlift.jobs.retry_budget import RetryBudget
from kumquatlift.scheduling.scheduler import AttemptOutcome, Demand, Grant, RunnerOffer

ANNOUNCE_INTERVAL_S = 0.5
LOAD_INTERVAL_S = 0.02
"""Interval at which zones send each other their load."""
MAX_ATTEMPTS = 3
TIME_LIMIT_S = 120.0


class Experiment:
    """One run of a case with one policy for each zone.

    Args:
        case: The case.
        seed: Seed of runners and arrivals.
        policies: The policy of each zone.
        is_zonal: Whether a policy grants slots on the runners of its zone only; otherwise each
            policy uses all runners.
    """

    def __init__(
        self, *, case: Case, seed: int, policies: dict[str, SlotPolicy], is_zonal: bool
    ) -> None:
        self.case = case
        self.events = EventQueue()
        self.policies = policies
        self._is_zonal = is_zonal
        self._runners = {
            spec.name: BenchRunner(events=self.events, spec=spec) for spec in case.runners(seed)
        }
        arrivals = case.arrivals(seed)
        self._jobs = [Job(number=i, arrival=arrival) for i, arrival in enumerate(arrivals)]
        self._unfinished_count = len(self._jobs)
        # The job of each demand, and those of its tasks that are not sent yet, each as its size in
        # seconds and its attempt number.
        self._demand_tasks: dict[str, tuple[Job, deque[tuple[float, int]]]] = {}
        self._ids = itertools.count()
        self._budgets = {zone: RetryBudget(share=case.service.retry_budget) for zone in ZONES}
        self._wakeup_at = dict.fromkeys(ZONES, float("inf"))
        self._zone_loads = ZoneLoads(case=case, events=self.events, policies=policies)
        self._jobs_waiting: dict[int, Job] = {}
        self._messages = 0
        self._completed = 0

    def run(self) -> RunResult:
        """Run until no event remains.

        Periodic events end when every job is finished, or at ``TIME_LIMIT_S`` of simulated time.
        """
        self._announce()
        if self._is_zonal:
            self._publish_loads()
            self.events.at(LOAD_INTERVAL_S / 2, self._rebalance)
        for job in self._jobs:
            self.events.at(job.arrival.at, self._arrive, job)
        self.events.at(CANCEL_AT_S, self._cancel_selected)
        self.events.run()
        jobs = [JobResult(job.number, job.ended_at, job.was_cancelled) for job in self._jobs]
        return RunResult(jobs, self._messages, self._completed)

    def _announce(self) -> None:
        for runner in self._runners.values():
            spec = runner.spec
            offer = RunnerOffer(
                spec.name, "1", spec.name, spec.name, SLOTS, CONNECTIONS, runner.busy
            )
            for zone in ZONES:
                if zone == spec.zone or not self._is_zonal:
                    self.policies[zone].offer(offer, self.events.now)
        for zone in ZONES:
            self._poll(zone)
        if self._unfinished_count and self.events.now < TIME_LIMIT_S:
            self.events.at(self.events.now + ANNOUNCE_INTERVAL_S, self._announce)

    def _publish_loads(self) -> None:
        self._zone_loads.publish()
        if self._unfinished_count and self.events.now < TIME_LIMIT_S:
            self.events.at(self.events.now + LOAD_INTERVAL_S, self._publish_loads)

    def _rebalance(self) -> None:
        """Withdraw requests that are queued in one zone while another zone has free slots."""
        for job in [job for job in self._jobs_waiting.values() if not job.is_finished]:
            zone = job.arrival.zone
            waiting: dict[str, int] = {}
            for demand_id, other in job.demands.items():
                waiting[other] = waiting.get(other, 0) + len(self._demand_tasks[demand_id][1])
            waiting = {other: count for other, count in waiting.items() if count}
            if not waiting:
                del self._jobs_waiting[job.number]
                continue
            moves = self._zone_loads.moves(zone, waiting)
            for demand_id, other in job.demands.items():
                count = min(moves.get(other, 0), len(self._demand_tasks[demand_id][1]))
                if count:
                    moves[other] -= count
                    at = self.events.now + self._delay_s(zone, other)
                    self.events.at(at, self._withdraw, other, demand_id, count)
        if self._unfinished_count and self.events.now < TIME_LIMIT_S:
            self.events.at(self.events.now + LOAD_INTERVAL_S, self._rebalance)

    def _withdraw(self, zone: str, demand_id: str, count: int) -> None:
        job, part = self._demand_tasks[demand_id]
        removed = self.policies[zone].cancel(demand_id, self.events.now, count)
        if removed:
            tasks = [part.pop() for _ in range(removed)]
            at = self.events.now + self._delay_s(job.arrival.zone, zone)
            self.events.at(at, self._request_slots, job, tasks)

    def _arrive(self, job: Job) -> None:
        self._request_slots(job, [(size_s, 1) for size_s in job.arrival.sizes_s])

    def _request_slots(self, job: Job, tasks: list[tuple[float, int]]) -> None:
        """Request slots for tasks, each given as its size in seconds and its attempt number."""
        if job.is_finished:
            return
        zone = job.arrival.zone
        split = {zone: len(tasks)}
        if self._is_zonal:
            split = self._zone_loads.split(zone, len(tasks))
            self._jobs_waiting[job.number] = job
        queue = deque(tasks)
        for other, count in split.items():
            part = deque(queue.popleft() for _ in range(count))
            demand_id = f"d{next(self._ids)}"
            self._demand_tasks[demand_id] = (job, part)
            job.demands[demand_id] = other
            self.events.at(
                self.events.now + self._delay_s(zone, other), self._enqueue, other, demand_id, count
            )

    def _delay_s(self, zone: str, other: str) -> float:
        return self._zone_loads.delay_s(zone, other) if self._is_zonal else 0.0

    def _enqueue(self, zone: str, demand_id: str, count: int) -> None:
        job, _ = self._demand_tasks[demand_id]
        if job.is_finished:
            return
        arrival = job.arrival
        kind = self.case.service.kinds[arrival.kind]
        demand = Demand(
            demand_id,
            arrival.zone,
            "s",
            arrival.kind,
            "",
            count,
            kind.urgency.rank,
            arrival.at + DEADLINE_S,
            kind.expected_ms / 1000,
            self.events.now - arrival.at,
        )
        if self.policies[zone].enqueue(demand, self.events.now) is not None:
            self._fail(job)
        self._poll(zone)

    def _poll(self, zone: str) -> None:
        policy = self.policies[zone]
        now = self.events.now
        for grant in policy.poll(now):
            delay_s = self._delay_s(zone, grant.requester)
            self.events.at(now + delay_s, self._use_grant, zone, grant)
        # Schedules a wake-up that precedes the scheduled one, or replaces one that is due already.
        wake_at = policy.next_wakeup(now)
        if now < wake_at < self._wakeup_at[zone] or self._wakeup_at[zone] <= now < wake_at < 1e9:
            self._wakeup_at[zone] = wake_at
            self.events.at(wake_at, self._on_wakeup, zone)

    def _on_wakeup(self, zone: str) -> None:
        if self.events.now >= self._wakeup_at[zone]:
            self._wakeup_at[zone] = float("inf")
            self._poll(zone)

    def _use_grant(self, zone: str, grant: Grant) -> None:
        job, part = self._demand_tasks[grant.demand_id]
        now = self.events.now
        if job.is_finished:
            self._report_outcome(zone, grant, AttemptOutcome.UNUSED, 0.0)
            return
        size_s, attempt = part.popleft()
        self.policies[zone].started(grant.id, now)
        self._messages += 1
        runner = self._runners[grant.runner]
        delay_s = self._zone_loads.delay_s(job.arrival.zone, runner.spec.zone)

        def answer(outcome: AttemptOutcome, run_s: float) -> None:
            at = self.events.now + delay_s
            self.events.at(at, self._on_answer, zone, grant, task, outcome, run_s)

        task = Task(job, size_s, attempt, zone, grant, answer)
        job.in_flight[grant.id] = task
        self.events.at(now + delay_s, self._receive, runner, grant, task)

    def _receive(self, runner: BenchRunner, grant: Grant, task: Task) -> None:
        if grant.id in task.job.in_flight:
            runner.receive(task)

    def _on_answer(
        self, zone: str, grant: Grant, task: Task, outcome: AttemptOutcome, run_s: float
    ) -> None:
        job = task.job
        if job.in_flight.pop(grant.id, None) is None:
            return
        self._report_outcome(zone, grant, outcome, run_s)
        budget = self._budgets[job.arrival.zone]
        if outcome is AttemptOutcome.OK:
            budget.succeeded()
            self._completed += 1
            job.remaining -= 1
            if not job.remaining:
                self._close(job, self.events.now)
            return
        kind = self.case.service.kinds[job.arrival.kind]
        may_retry = outcome is AttemptOutcome.REFUSED or kind.repeatable
        if may_retry and task.attempt < MAX_ATTEMPTS and budget.take():
            self._request_slots(job, [(task.size_s, task.attempt + 1)])
        else:
            self._fail(job)

    def _report_outcome(
        self, zone: str, grant: Grant, outcome: AttemptOutcome, run_s: float
    ) -> None:
        at = self.events.now + self._delay_s(zone, grant.requester)
        self.events.at(at, self._on_outcome, zone, grant.id, outcome, run_s)

    def _on_outcome(self, zone: str, grant_id: str, outcome: AttemptOutcome, run_s: float) -> None:
        self.policies[zone].finish(grant_id, outcome, run_s, self.events.now)
        self._poll(zone)

    def _cancel_selected(self) -> None:
        for job in self._jobs:
            if (
                job.arrival.is_cancelled
                and job.arrival.at <= self.events.now
                and not job.is_finished
            ):
                job.was_cancelled = True
                self._fail(job)

    def _fail(self, job: Job) -> None:
        if job.is_finished:
            return
        self._close(job, None)
        for demand_id, zone in job.demands.items():
            delay_s = self._delay_s(job.arrival.zone, zone)
            self.events.at(self.events.now + delay_s, self._cancel, zone, demand_id)
        for grant_id, task in list(job.in_flight.items()):
            # Simulates that the requester closes the connection, which stops the task.
            self._runners[task.grant.runner].cancel(task)
            del job.in_flight[grant_id]
            self._report_outcome(task.policy_zone, task.grant, AttemptOutcome.UNUSED, 0.0)

    def _cancel(self, zone: str, demand_id: str) -> None:
        self.policies[zone].cancel(demand_id, self.events.now)
        self._poll(zone)

    def _close(self, job: Job, ended_at: float | None) -> None:
        job.is_finished = True
        job.ended_at = ended_at
        self._unfinished_count -= 1
