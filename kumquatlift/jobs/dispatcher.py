"""Runs jobs: splits them into requests, sends these to runners and collects the answer."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, NamedTuple, Protocol

from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import Document, Kind
from kumquatlift.failure import Failure
from kumquatlift.jobs.job import JobAnswer, JobRequest
from kumquatlift.jobs.retry_budget import RetryBudget
from kumquatlift.jobs.run import Attempt, JobRun, TaskBatch
from kumquatlift.log import get_logger
from kumquatlift.pause_watch import PauseWatch
from kumquatlift.scheduling.demand import UNMEASURED_S, AttemptOutcome
from kumquatlift.scheduling.slot_messages import SlotDemand
from kumquatlift.scheduling.slot_source import GrantedSlot, SlotSource
from kumquatlift.timer import Timer, TimerHandle
from kumquatlift.upstreams.runner_client import AttemptEnd, AttemptResult, RunnerClient
from kumquatlift.worker_pool import WorkerPool

# Attempts in flight per process; each occupies a thread until its runner answers.
MAX_ATTEMPTS_IN_FLIGHT = 256
# An attempt for which no thread could be started waits at most this long, much less than the time
# within which a granted slot must be used.
POOL_WAKE_INTERVAL_S = 0.1
# Jobs that run or wait per process; beyond it new jobs are refused.
MAX_JOBS = 20_000
# Deadline of a job whose kind is not configured here; it is refused before the deadline matters.
UNKNOWN_KIND_DEADLINE_MS = 30_000


class JobExecutor(Protocol):
    """Runs claimed jobs."""

    def admit(self, req: JobRequest) -> Failure | None:
        """Check a job against configuration, quotas and queues before it is claimed.

        Returns:
            None when the job may be claimed, else a failure with a code that says "not run".
        """

    def run(self, job_id: str, req: JobRequest, *, deadline_at: float) -> Future[JobAnswer]:
        """Run a claimed job.

        Args:
            job_id: Text form of the job's identity.
            req: The job.
            deadline_at: Monotonic seconds of this process at which the job fails.

        Returns:
            A future of the one answer; it never raises.
        """

    def cancel(self, job_id: str) -> None:
        """Cancel a job; its future gets a cancelled answer."""


class Dispatcher:
    """The ``JobExecutor`` of an entry process.

    Args:
        document: Returns the configuration in force.
        slots: Requests and returns slots on runners.
        client: Sends requests to runners.
        timer: Calls functions at deadlines and retry times.
        clock: Monotonic clock.
        pauses: Tells whether this process was suspended during a measured run time.
        section: Section of the blackboard for the dispatcher.
    """

    def __init__(
        self,
        *,
        document: Callable[[], Document],
        slots: SlotSource,
        client: RunnerClient,
        timer: Timer,
        clock: Clock,
        pauses: PauseWatch,
        section: Section,
    ) -> None:
        self._document = document
        self._slots = slots
        self._client = client
        self._timer = timer
        self._clock = clock
        self._pauses = pauses
        self._section = section
        self._lock = threading.Lock()
        self._jobs: dict[str, _RunningJob] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._attempts = WorkerPool(threads=MAX_ATTEMPTS_IN_FLIGHT, name="attempt")
        timer.call_every(POOL_WAKE_INTERVAL_S, self._attempts.wake)
        section.publish(lambda: {"jobs": len(self._jobs)})

    def admit(self, req: JobRequest) -> Failure | None:
        """Check a job against the configuration; see ``JobExecutor.admit``."""
        kind = find_kind(self._document(), req)
        if isinstance(kind, Failure):
            return kind
        if len(req.tasks) > kind.max_tasks:
            return Failure(
                ResultCode.NEVER_FITS,
                f"{len(req.tasks)} tasks given, {req.kind} allows {kind.max_tasks}",
            )
        if len(self._jobs) >= MAX_JOBS:
            return Failure(ResultCode.OVERLOADED, f"{MAX_JOBS} jobs are running", 1000)
        return None

    def run(self, job_id: str, req: JobRequest, *, deadline_at: float) -> Future[JobAnswer]:
        """Run a claimed job; see ``JobExecutor.run``."""
        fut: Future[JobAnswer] = Future()
        kind = find_kind(self._document(), req)
        if isinstance(kind, Failure):
            fut.set_result(JobAnswer.from_failure(kind))
            return fut
        run = JobRun(
            job_id=job_id,
            req=req,
            kind=kind,
            deadline_at=deadline_at,
            take_retry=lambda: self._take_retry(req.service),
        )
        job = _RunningJob(dispatcher=self, run=run, fut=fut)
        with self._lock:
            if job_id in self._jobs:
                raise ValueError(f"job {job_id} is running already")
            self._jobs[job_id] = job
        self._section.count("jobs_started")
        job.begin()
        return fut

    def time_limit_s(self, req: JobRequest) -> float:
        """Return the seconds that a job may take: its own deadline, at most that of its kind."""
        kind = find_kind(self._document(), req)
        longest_ms = UNKNOWN_KIND_DEADLINE_MS if isinstance(kind, Failure) else kind.deadline_ms
        return min(req.deadline_ms or longest_ms, longest_ms) / 1000

    def cancel(self, job_id: str) -> None:
        """Cancel a job; unknown and finished jobs are ignored."""
        with self._lock:
            job = self._jobs.get(job_id)
        if job is not None:
            job.cancel()

    @property
    def is_idle(self) -> bool:
        """Whether no job and no attempt is in flight."""
        return not self._jobs

    def close(self) -> None:
        """Stop the threads after their current attempts; attempts still queued are dropped."""
        self._attempts.close()

    def remove_job(self, job_id: str, answer: JobAnswer) -> None:
        """Remove a job that has its answer and no attempt in flight."""
        with self._lock:
            self._jobs.pop(job_id, None)
        self._section.count("jobs_finished")
        get_logger().info(
            "job_finished",
            job=job_id,
            code=int(answer.code),
            result=answer.code.label,
            reason=answer.reason or None,
        )

    def succeeded(self, service: str) -> None:
        """Credit a completed request to the service's retry budget."""
        with self._lock:
            self._retry_budget(service).succeeded()

    def reconfigure(self) -> None:
        """Reset the retry budgets, so that they use the shares of the configuration in force."""
        with self._lock:
            self._retry_budgets.clear()

    def _take_retry(self, service: str) -> bool:
        with self._lock:
            return self._retry_budget(service).take()

    def _retry_budget(self, service: str) -> RetryBudget:
        if service not in self._retry_budgets:
            cfg = self._document().services.get(service)
            self._retry_budgets[service] = RetryBudget(share=cfg.retry_budget if cfg else 0.0)
        return self._retry_budgets[service]

    def submit_attempt(self, function: Callable[..., None], *args: Any) -> None:
        """Run a function in an attempt thread."""
        self._attempts.submit(function, *args)

    @property
    def dependencies(self) -> "_Dependencies":
        """Components that a running job uses."""
        return _Dependencies(
            self._slots, self._client, self._timer, self._clock, self._pauses, self._section
        )


class _Dependencies(NamedTuple):
    """Components that a running job uses."""

    slots: SlotSource
    client: RunnerClient
    timer: Timer
    clock: Clock
    pauses: PauseWatch
    section: Section


class _RunningJob:
    """Connects one job's state machine with slots, runners and timers."""

    def __init__(self, *, dispatcher: Dispatcher, run: JobRun, fut: Future[JobAnswer]) -> None:
        self._dispatcher = dispatcher
        self._slots, self._client, self._timer, self._clock, self._pauses, self._section = (
            dispatcher.dependencies
        )
        self._run = run
        self._fut = fut
        self._lock = threading.Lock()
        self._demand_numbers = itertools.count(1)
        self._open_demands: list[str] = []
        self._deadline: TimerHandle | None = None
        self._is_settled = False
        self._is_removed = False

    def begin(self) -> None:
        """Request a slot for every batch."""
        self._deadline = self._timer.call_at(self._run.deadline_at, self._expire)
        self._request_slots(self._run.batch_count)

    def cancel(self) -> None:
        """Cancel the job."""
        with self._lock:
            self._run.cancel()
        self._settle()

    def slot_granted(self, slot: GrantedSlot) -> None:
        """Run an attempt in the slot, in an attempt thread."""
        self._dispatcher.submit_attempt(self._run_attempt, slot)

    def slots_refused(self, count: int, failure: Failure) -> None:
        """Fail the job, or request the slots again later if a part of it may have run."""
        with self._lock:
            must_retry = self._run.may_have_run and self._run.answer is None
            if not must_retry:
                self._run.fail(failure)
        if must_retry:
            delay_s = max(failure.retry_after_ms, 100) / 1000
            self._timer.call_after(delay_s, lambda: self._request_slots(count))
        self._settle()

    def _request_slots(self, count: int) -> None:
        demand_id = f"{self._run.job_id}/{next(self._demand_numbers)}"
        with self._lock:
            if self._run.answer is not None:
                return
            self._open_demands.append(demand_id)
        kind = self._run.kind
        demand = SlotDemand(
            id=demand_id,
            kind=self._run.req.kind,
            team=self._run.req.team,
            count=count,
            urgency=kind.urgency.rank,
            deadline_s=self._run.deadline_at - self._clock.now(),
            expected_s=kind.expected_ms * kind.tasks_per_request / 1000,
        )
        self._slots.request(self._run.req.service, demand, self)

    def _run_attempt(self, slot: GrantedSlot) -> None:
        now = self._clock.now()
        is_late = now > slot.use_by
        with self._lock:
            attempt = None if is_late else self._run.start(now)
        if attempt is None:
            self._slots.finish(slot, AttemptOutcome.UNUSED, 0.0)
            if is_late:
                # The owner reclaims slots that are not used in time, so the batch needs another.
                self._request_slots(1)
            return
        self._section.count("attempts_started")
        result = self._client.run(slot.address, attempt.req)
        outcome = _outcome(result)
        run_s = result.run_s
        if outcome is AttemptOutcome.REFUSED and result.failure is not None:
            # For a refused attempt the scheduler expects the runner's retry delay as its run time.
            run_s = result.failure.retry_after_ms / 1000
        elif self._pauses.has_paused_since(now):
            run_s = UNMEASURED_S
        self._slots.finish(slot, outcome, run_s)
        self._on_attempt_end(attempt, slot, result)

    def _on_attempt_end(self, attempt: Attempt, slot: GrantedSlot, result: AttemptResult) -> None:
        now = self._clock.now()
        with self._lock:
            retry = self._run.end(attempt, result, now)
        if result.end is AttemptEnd.OK:
            self._dispatcher.succeeded(self._run.req.service)
        else:
            self._section.count(f"attempts_{result.end.value}")
            get_logger().warning(
                "attempt_failed",
                attempt=attempt.req.attempt,
                runner=slot.runner,
                end=result.end.value,
                reason=str(result.failure),
                retry=retry is not None,
            )
        if retry is not None:
            self._section.count("retries")
            self._timer.call_at(retry.not_before, lambda: self._retry(retry.batch))
        self._settle()

    def _retry(self, batch: TaskBatch) -> None:
        with self._lock:
            is_open = self._run.requeue(batch)
        if is_open:
            self._request_slots(1)

    def _expire(self) -> None:
        with self._lock:
            self._run.expire()
        self._settle()

    def _settle(self) -> None:
        """Publish the answer once, and remove the job when none of its attempts is in flight."""
        with self._lock:
            answer = self._run.answer
            if answer is None:
                return
            is_first = not self._is_settled
            self._is_settled = True
            is_last = self._run.is_idle and not self._is_removed
            self._is_removed = self._is_removed or is_last
            demands, self._open_demands = self._open_demands, []
        if is_first:
            if self._deadline is not None:
                self._deadline.cancel()
            for demand_id in demands:
                self._slots.cancel(demand_id)
            self._fut.set_result(answer)
        if is_last:
            self._dispatcher.remove_job(self._run.job_id, answer)


def find_kind(doc: Document, req: JobRequest) -> Kind | Failure:
    """Return the configuration of a job's request kind, or why there is none."""
    service = doc.services.get(req.service)
    if service is None:
        return Failure(ResultCode.UNKNOWN_SERVICE, f"service {req.service!r} is not configured")
    kind = service.kinds.get(req.kind)
    if kind is None:
        return Failure(
            ResultCode.UNKNOWN_KIND, f"kind {req.kind!r} is not configured for {req.service}"
        )
    if req.team and req.team not in doc.teams:
        return Failure(ResultCode.UNKNOWN_TEAM, f"team {req.team!r} is not configured")
    return kind


def _outcome(result: AttemptResult) -> AttemptOutcome:
    if result.end is AttemptEnd.OK:
        return AttemptOutcome.OK
    if result.end is AttemptEnd.FAILED:
        return AttemptOutcome.FAILED
    if result.end is AttemptEnd.UNKNOWN:
        return AttemptOutcome.UNKNOWN
    return AttemptOutcome.REFUSED if result.sent else AttemptOutcome.UNREACHABLE
