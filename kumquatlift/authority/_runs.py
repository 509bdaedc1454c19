"""Starts runs of tasks, and decides what follows when a run ends: release, retry or close."""

import math
from collections.abc import Callable, Iterator

from kumquatlift.authority._admission import LateShare
from kumquatlift.authority._commands import EndReason, TaskEnd, TaskKey
from kumquatlift.authority._estimates import Estimates
from kumquatlift.authority._fleet import Run, RunState, Upstream, size_of
from kumquatlift.authority._interference import Interference, Observation
from kumquatlift.authority._orders import UpstreamGateway
from kumquatlift.authority._orphans import Orphans
from kumquatlift.authority._progress import Progress
from kumquatlift.authority._run_orders import RunOrders
from kumquatlift.authority._state import State
from kumquatlift.authority._work import Job, JobState
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.log import get_logger
from kumquatlift.store import EventLoop

# An upstream that is charged with this many failed runs gets no tasks for a while.
FAILURES_BEFORE_BACKOFF = 2
# More occurrences of a job are not released while this many of its tasks wait. It is the most tasks
# that a job without occurrences may have.
MAX_WAITING = 10_000
# The first backoff; each further one before a run is done doubles it up to the limit.
BACKOFF_S = 1.5
MAX_BACKOFF_S = 12.0
# An end that is known only to lie within more than this time was listed late, because answers to
# polls were lost.
LOST_ANSWER_S = 0.1
# An answer that was made longer ago than this was on its way for long, or this process was paused.
LATE_ANSWER_S = 0.05


class Runs:
    """Manages the runs of all tasks under one leader.

    Args:
        state: Replicated state.
        find_job: Finds a job by its identity, in the log or not.
        on_closed: Is called when a job has ended.
        fleet: Upstreams by identity.
        progress: Open jobs by identity.
        estimates: Learned run times.
        gateway: Sends orders to upstreams.
        loop: Event loop; all methods run in its thread.
        clock: Source of time.
        lease_s: Returns the length of a lease that is sent now, in seconds.
        may_order: Returns whether this instance still leads with a lease.
        section: Section of the blackboard.
        interference: Learns which queues slow each other down; None if that is off.
    """

    def __init__(
        self,
        *,
        state: State,
        find_job: Callable[[str], Job | None],
        on_closed: Callable[[Job], None],
        fleet: dict[str, Upstream],
        progress: dict[str, Progress],
        estimates: Estimates,
        gateway: UpstreamGateway,
        loop: EventLoop,
        clock: Clock,
        lease_s: Callable[[], float],
        may_order: Callable[[], bool],
        section: Section,
        interference: Interference | None = None,
    ) -> None:
        self._state = state
        self._find_job = find_job
        self._on_closed = on_closed
        self._fleet = fleet
        self._progress = progress
        self._estimates = estimates
        self._clock = clock
        self._section = section
        self._interference = interference
        self.orders = RunOrders(
            find_job=find_job,
            fleet=fleet,
            gateway=gateway,
            loop=loop,
            clock=clock,
            lease_s=lease_s,
            may_order=may_order,
            on_not_run=self.requeue,
            on_all_lost=self.requeue_all,
            section=section,
        )
        self._job_ms = section.histogram("job_ms", "time from acceptance to the end of a job")
        self._wait_ms = section.histogram("wait_ms", "time from acceptance to the first start")
        # Late jobs of one queue are no evidence against the estimates of another one.
        self._late_shares: dict[str, LateShare] = {}
        # Jobs accepted before the end of recovery don't count in the share of late jobs: the wait
        # may have made them late, not wrong estimates.
        self.recovered_at = math.inf
        self.needs_placing = False
        self.orphans = Orphans(state=state, clock=clock)
        # Jobs of earlier leaders whose tasks may run on upstreams that have not listed their runs.
        self.recovering_jobs: set[str] = set()

    def late_share(self, queue: str) -> LateShare:
        """Return the share of late jobs of a queue."""
        return self._late_shares.setdefault(queue, LateShare())

    # Starts

    def start(self, progress: Progress, task: TaskKey, upstream: Upstream, run: int) -> None:
        """Start a waiting task on an upstream with enough free resources."""
        now = self._clock.now()
        step = progress.job.spec.steps[task.step]
        progress.remove_waiting(task)
        progress.running[task] = upstream.state.upstream_id
        if progress.first_start_at is None:
            self._wait_ms.record((now - progress.accepted_at) * 1000)
        progress.record_start(task, now)
        progress.job.is_started = True
        entry = Run(
            task=task,
            number=run,
            size=size_of(step),
            expected_ms=progress.expected_ms[task.step],
            now=now,
            kind=progress.job.queue,
        )
        upstream.add(entry)
        self._section.count("starts")
        self.orders.start(upstream, entry)

    def has_begun(self, progress: Progress) -> bool:
        """Return whether an upstream has confirmed a run of a job, or listed one or its end.

        A start that was ordered may be refused, or be on its way for long.
        """
        if progress.has_begun or progress.job.ended_run:
            return True
        for task, upstream_id in progress.running.items():
            upstream = self._fleet.get(upstream_id)
            run = upstream.runs.get(task) if upstream else None
            if run is not None and run.state is RunState.RUNNING:
                progress.has_begun = True
        return progress.has_begun

    # Ends

    def end(self, upstream: Upstream, end: TaskEnd, ended_within: tuple[float, float]) -> None:
        """Remove a run whose end was listed, and update the estimates from it.

        If the task succeeded or failed, it stays marked as running until the end is committed.
        After any other end, which doesn't count as an attempt, the task is queued again at once.

        Args:
            upstream: The upstream that listed it.
            end: The end of the run.
            ended_within: Earliest and latest time at which the run can have ended.
        """
        run = upstream.runs.get(end.task)
        progress = self._progress.get(end.task.job)
        is_orphan = self.orphans.remove(end.task, upstream, end.run)
        if is_orphan or self._find_job(end.task.job) is None:
            self.orphans.record_end(end)
        if progress is not None:
            progress.has_begun = True
        if run is None:
            if progress is not None:
                self._wait_for_commit(upstream, end, progress)
            return
        if run.number > end.run:
            return
        upstream.remove(end.task)
        self.needs_placing = True
        if progress is None or progress.running.get(end.task) != upstream.state.upstream_id:
            return
        if self._has_lost_answers(run, ended_within):
            progress.has_met_fault = True
        self._learn(upstream, run, end, progress, ended_within)
        if end.reason in (EndReason.DONE, EndReason.FAILED):
            return
        del progress.running[end.task]
        self._requeue_task(progress, end.task, upstream.state.upstream_id, end.reason.value)

    def _wait_for_commit(self, upstream: Upstream, end: TaskEnd, progress: Progress) -> None:
        """Keep a task from starting until the end of a run of an earlier leader is committed."""
        task = end.task
        is_done_or_running = task in progress.job.done or task in progress.running
        # The end of a run is ignored when it is committed after the end of a later run.
        is_stale = end.run < progress.runs.get(task, 0)
        if is_done_or_running or is_stale or end.run <= progress.job.ended_run.get(task, 0):
            return
        progress.record_run(task, end.run)
        if end.reason in (EndReason.DONE, EndReason.FAILED):
            progress.running[task] = upstream.state.upstream_id
            if task in progress.waiting:
                progress.remove_waiting(task)

    def _learn(
        self,
        upstream: Upstream,
        run: Run,
        end: TaskEnd,
        progress: Progress,
        ended_within: tuple[float, float],
    ) -> None:
        now = self._clock.now()
        if end.reason is EndReason.DONE:
            upstream.record_outcome(is_done=True)
            for charged in progress.failed_runs.on_done(end.task):
                self._rest_if_failing(charged, now)
            # The start of a run of an earlier leader is not known.
            if run.attempts and run.confirmed_at and not progress.job.checkpoint.get(end.task):
                # The time until the leader hears of an end counts while nothing is lost, since
                # admission has to expect it of the next runs.
                heard_ms = (now - run.decided_at) * 1000
                if upstream.was_cold(heard_ms, now):
                    return
                run_ms: float | None = heard_ms
                if self._has_lost_answers(run, ended_within):
                    run_ms = _run_ms(upstream, run, *ended_within)
                else:
                    self._observe_company(upstream, run, now)
                if run_ms is not None:
                    upstream.learn_speed(run.expected_ms, run_ms, now)
                    self._estimates.observe(progress.job.queue, run_ms * upstream.speed)
            return
        if end.reason is not EndReason.FAILED:
            return
        is_charged = progress.failed_runs.add(end.task, upstream)
        get_logger().info(
            "run_failed",
            task=str(end.task),
            run=end.run,
            upstream=upstream.state.upstream_id,
            failures_before=progress.job.failures.get(end.task, 0),
            max_attempts=progress.job.max_attempts,
            is_charged=is_charged,
        )
        if is_charged:
            self._rest_if_failing(upstream, now)

    def _observe_company(self, upstream: Upstream, run: Run, now: float) -> None:
        """Learn from a run whose run time is known whether its neighbours slow it down."""
        run_s = now - run.decided_at
        if (
            self._interference is None
            or run.mark is None
            or run.shares is None
            or run_s <= 0
            or run.expected_ms <= 0
        ):
            return
        log_ratio = math.log(1000 * run_s / run.expected_ms)
        self._interference.observe(
            Observation(run.kind, upstream.token, log_ratio, run.mark.present, run.shares), now
        )

    def _has_lost_answers(self, run: Run, ended_within: tuple[float, float]) -> bool:
        """Whether the start or the end of a run was heard late because of lost or late answers."""
        earliest, latest = ended_within
        is_late = self._clock.now() - latest > LATE_ANSWER_S
        return (
            run.attempts > 1 or is_late or latest - max(earliest, run.confirmed_at) > LOST_ANSWER_S
        )

    @staticmethod
    def _rest_if_failing(upstream: Upstream, now: float) -> None:
        """Start no tasks on an upstream for a while if several failed runs are charged to it."""
        is_resting = now < upstream.backoff_until
        if is_resting or upstream.charged_failures < FAILURES_BEFORE_BACKOFF:
            return
        rest_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**upstream.rests)
        upstream.rests += 1
        # After the rest, the next failure that is charged brings another one.
        upstream.charged_failures = FAILURES_BEFORE_BACKOFF - 1
        upstream.backoff_until = now + rest_s
        get_logger().warning(
            "upstream_rests",
            upstream=upstream.state.upstream_id,
            rests=upstream.rests,
            rest_s=rest_s,
        )

    def on_end_committed(self, end: TaskEnd) -> None:
        """Handle the committed end of a run: release dependent steps, or queue the task again."""
        progress = self._progress.get(end.task.job)
        if progress is None:
            return
        job = progress.job
        upstream_id = progress.running.get(end.task)
        if not job.is_open:
            self.close(progress)
            return
        if upstream_id is not None and end.run >= progress.runs.get(end.task, 0):
            del progress.running[end.task]
            step = job.spec.steps[end.task.step]
            if end.task not in job.done and (
                end.reason is EndReason.FAILED or step.runs_until_cancelled
            ):
                self._requeue_task(progress, end.task, upstream_id, end.reason.value)
        if end.task in job.done and end.task in progress.waiting:
            progress.remove_waiting(end.task)
        self.release(progress)

    def release(self, progress: Progress) -> None:
        """Queue the tasks of all steps that are due and whose predecessors are done.

        A job whose occurrences have more tasks than ``MAX_WAITING`` gets the others later.
        """
        job = progress.job
        if job.job_id in self.recovering_jobs:
            return
        for occurrence in range(progress.released_before, self._due_occurrences(job)):
            is_complete = True
            for number in range(len(job.spec.steps)):
                if (occurrence, number) in progress.released:
                    continue
                if len(progress.waiting) >= MAX_WAITING:
                    return
                if job.is_step_ready(occurrence, number):
                    self._release_step(progress, occurrence, number)
                else:
                    is_complete = False
            if is_complete and occurrence == progress.released_before:
                progress.released_before += 1

    def _release_step(self, progress: Progress, occurrence: int, number: int) -> None:
        job = progress.job
        progress.released.add((occurrence, number))
        progress.released_at[occurrence, number] = self._clock.now()
        self.needs_placing = True
        for task in job.tasks_of(occurrence, number):
            if task not in job.done and task not in progress.running:
                progress.add_waiting(task)

    def _due_occurrences(self, job: Job) -> int:
        """Return the number of occurrences that are due by now."""
        spec = job.spec
        if not spec.occurrences:
            return 1
        since_start_ms = self._state.wall_ms() - spec.start_at_ms
        if since_start_ms < 0:
            return 0
        if not spec.interval_ms:
            return spec.occurrences
        return min(spec.occurrences, since_start_ms // spec.interval_ms + 1)

    def close(self, progress: Progress) -> None:
        """Close a job that has ended: stop its runs, notify its callers and record its times."""
        job = progress.job
        self._progress.pop(job.job_id, None)
        self._on_closed(job)
        now = self._clock.now()
        self._job_ms.record((now - progress.accepted_at) * 1000)
        for task, upstream_id in progress.running.items():
            upstream = self._fleet.get(upstream_id)
            run = upstream.runs.get(task) if upstream else None
            if upstream is not None and run is not None:
                self.orders.stop(upstream, run, f"job_{job.state}")
        get_logger().info(
            "job_ended",
            job=job.job_id,
            state=job.state,
            queue=job.queue,
            tasks=sum(step.tasks for step in job.spec.steps),
            runs=len(progress.runs),
            failures=sum(job.failures.values()),
            in_time=now <= progress.objective_at,
            late_ms=round((now - progress.objective_at) * 1000),
            objective_ms=round(progress.objective_ms),
        )
        self._section.count(f"jobs_{job.state}")
        is_measured = progress.accepted_at >= self.recovered_at
        if is_measured and job.state in (JobState.COMPLETED, JobState.REFUSED):
            is_late = job.state == JobState.REFUSED or progress.is_late_under_load(now)
            self.late_share(job.queue).record_end(is_late, now)
        if job.state == JobState.COMPLETED and now <= progress.objective_at:
            self._section.count("jobs_in_time")

    def abandon(self, progress: Progress, *, keep_s: float) -> None:
        """Forget an open job that nobody waits for; its runs become orphans.

        Args:
            progress: The job.
            keep_s: Time for which its runs go on, in seconds.
        """
        self._progress.pop(progress.job.job_id, None)
        self.orphans.add_abandoned(progress, self._fleet, keep_s=keep_s)
        for task, upstream_id in progress.running.items():
            upstream = self._fleet.get(upstream_id)
            run = upstream.runs.get(task) if upstream else None
            if upstream is not None and run is not None and run.state is RunState.STARTING:
                # Start orders without an answer are repeated for known jobs only.
                self.orders.stop(upstream, run, "abandoned")
        get_logger().info(
            "job_abandoned",
            job=progress.job.job_id,
            running=len(progress.running),
            waiting=len(progress.waiting),
            done=len(progress.job.done),
        )

    def requeue(self, upstream: Upstream, run: Run, reason: str) -> None:
        """Remove a run that certainly is not running, and queue its task again."""
        upstream.remove(run.task)
        self.orphans.remove(run.task, upstream, run.number)
        progress = self._progress.get(run.task.job)
        self.needs_placing = True
        if progress is not None and run.state is RunState.RUNNING:
            progress.has_begun = True
        if progress is None or progress.running.get(run.task) != upstream.state.upstream_id:
            return
        del progress.running[run.task]
        self._requeue_task(progress, run.task, upstream.state.upstream_id, reason)

    @staticmethod
    def keep_previous_runs(upstream: Upstream, listed: set[TaskKey]) -> None:
        """Count runs of the previous incarnation as runs of this one, which has started them.

        Args:
            upstream: The present incarnation.
            listed: Tasks that run on it, or whose end on it waits for its commit.
        """
        for task in listed & upstream.previous_runs.keys():
            del upstream.previous_runs[task]

    def requeue_previous_runs(self, upstream: Upstream) -> None:
        """Queue the tasks of the previous incarnation again that this one has not started."""
        previous_runs, upstream.previous_runs = upstream.previous_runs, {}
        for task, run in previous_runs.items():
            self.orphans.remove(task, upstream, run.number)
            progress = self._progress.get(task.job)
            if progress is None:
                continue
            if progress.running.get(task) == upstream.state.upstream_id:
                del progress.running[task]
                self._requeue_task(
                    progress, task, upstream.state.upstream_id, f"former_{run.number}"
                )

    def requeue_all(self, upstream: Upstream, reason: str) -> None:
        """Remove all runs of an upstream, which certainly have ended, and queue the tasks again."""
        upstream.is_known = False
        if upstream.runs:
            get_logger().warning(
                "upstream_runs_lost",
                upstream=upstream.state.upstream_id,
                runs=len(upstream.runs),
                reason=reason,
            )
        for run in list(upstream.runs.values()):
            self.requeue(upstream, run, reason)

    def _requeue_task(
        self, progress: Progress, task: TaskKey, upstream_id: str, reason: str
    ) -> None:
        if not progress.job.is_open or task in progress.job.done or task in progress.waiting:
            return
        progress.has_met_fault = True
        get_logger().info("task_waits_again", task=str(task), upstream=upstream_id, reason=reason)
        progress.avoid[task] = progress.avoid.get(task, frozenset()) | {upstream_id}
        if task.job in self.recovering_jobs:
            # An upstream that has not listed its runs may run it; the end of recovery queues it.
            return
        progress.add_waiting(task, is_first=True)
        self.needs_placing = True

    def recurring(self) -> Iterator[Progress]:
        """Yield the open jobs with occurrences, each of which is released when it is due."""
        return (each for each in self._progress.values() if each.job.spec.occurrences)


def _run_ms(upstream: Upstream, run: Run, ended_after: float, ended_before: float) -> float | None:
    """Return the run time of a run, in milliseconds; None if it is as expected, as far as is known.

    When answers are late or lost, the start and the end are known only to lie between two times. Of
    the run times that are possible, this is the one nearest to the expected one, so that only what
    is certain changes the estimates.

    Args:
        upstream: Where it ran.
        run: The run.
        ended_after: Earliest time at which it can have ended.
        ended_before: Latest time at which it can have ended.
    """
    longest_s = ended_before - run.decided_at
    started_before = run.decided_at if run.attempts == 1 else run.confirmed_at
    shortest_s = max(ended_after, min(run.confirmed_at, ended_before)) - started_before
    expected_s = run.expected_ms / upstream.speed / 1000
    if shortest_s < expected_s < longest_s:
        return None
    return 1000 * min(longest_s, max(shortest_s, expected_s))
