"""Keeps leases of upstreams, lists their runs and ends, and notices silent ones."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from kumquatlift.authority._commands import EndHow, TaskEnd, TaskKey
from kumquatlift.authority._fleet import Room, Run, RunState, Upstream, ref_of, size_of
from kumquatlift.authority._orders import LookAnswer, LookOrder, OrderResult, UpstreamGateway
from kumquatlift.authority._progress import Progress
from kumquatlift.authority._runs import Runs
from kumquatlift.authority._work import Job
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.log import get_logger

# Share of the lease for which a look waits for an end; a lost answer leaves time for another look.
LOOK_SHARE = 0.45
# An idle upstream gets its acknowledgement this late, so that a start soon after saves a look.
ACK_DELAY_S = 0.3
# Silent upstreams are looked at this often, and after some time less often.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0
# A silent upstream that has not announced itself for this long, three heartbeats, is forgotten: a
# new leader waits for every upstream that is not.
FORGET_S = 5.0
# A run without progress for this long, which is over its expected time by the factor, is stopped.
STALL_S = 0.5
STALL_PATIENCE = 4.0
# Two of the longest leases: what orders for a former life began on the present one has ended.
FORMER_S = 2.0
# Callers of a lost leader ask the next one within about this time.
ORPHAN_S = 1.0
# An open look gets another one beside it, while a run is overdue or a new leader does not know what
# runs there, once this time has passed since the upstream listed its runs. Run times vary, so an
# overdue run mostly works on, and each look costs.
HEDGE_S = 0.08
# A look that is to be answered at once and is not gets another one after this time; answers come
# within about 10 ms.
REPEAT_S = 0.04
# Looks at one upstream at a time. With 6% of the answers lost, as in the troubles of the grown
# sites, all three are lost once in 4,600 times.
MAX_OPEN_LOOKS = 3
STALL_FACTOR = 2.5


class SentLook(NamedTuple):
    """A look that was sent.

    Args:
        at: Time.
        acked_end: Newest end that it acknowledges.
        round: Round of looks at the upstream; a new one begins with each list of new ends.
    """

    at: float
    acked_end: int
    round: int


class Watch:
    """Looks at all upstreams under one leader.

    Args:
        find_job: Finds a job by its identity, in the log or not.
        fleet: Upstreams by identity.
        progress: Open jobs by identity.
        runs: Runs of all tasks.
        gateway: Carries orders.
        clock: Source of time.
        lease_s: Returns the length of a lease that is sent now, in seconds.
        look_wait_s: How long a look waits for an end, in seconds.
        may_order: Whether this instance still leads with a lease.
        log_ends: Takes an upstream and its new ends, and commits them.
        section: Section of the blackboard.
    """

    def __init__(
        self,
        *,
        find_job: Callable[[str], Job | None],
        fleet: dict[str, Upstream],
        progress: dict[str, Progress],
        runs: Runs,
        gateway: UpstreamGateway,
        clock: Clock,
        lease_s: Callable[[], float],
        look_wait_s: float,
        may_order: Callable[[], bool],
        log_ends: Callable[[Upstream, list[TaskEnd]], None],
        section: Section,
    ) -> None:
        self._find_job = find_job
        self._fleet = fleet
        self._progress = progress
        self._runs = runs
        self._gateway = gateway
        self._clock = clock
        self._lease_s = lease_s
        self._may_order = may_order
        self._log_ends = log_ends
        self._section = section
        self._look_wait_s = look_wait_s
        runs.orders.on_change = self.pump

    def pump(self, upstream: Upstream) -> None:
        """Look at an upstream if there is a reason to."""
        now = self._clock.now()
        if upstream.open_looks or now < upstream.next_look_at or not self._may_order():
            return
        if upstream.silent_since is not None or not upstream.is_known:
            self._look(upstream, now, 0.0)
        elif upstream.listed_end > upstream.durable_end:
            # Ends wait for their commit; until then an answer would repeat them at once.
            self._renew_lease(upstream, now)
        elif upstream.runs:
            self._look(upstream, now, self._look_wait_s)
        elif upstream.acked_end < upstream.durable_end and now - upstream.durable_at > ACK_DELAY_S:
            self._look(upstream, now, 0.0)

    def _renew_lease(self, upstream: Upstream, now: float) -> None:
        if upstream.runs and now - upstream.leased_at > self._look_wait_s:
            self._look(upstream, now, 0.0)

    def tick(self) -> None:
        """Look where it is time, and give up leases that have ended."""
        now = self._clock.now()
        for upstream in list(self._fleet.values()):
            self.pump(upstream)
            is_silent = upstream.silent_since is not None
            if is_silent and upstream.runs and upstream.is_lease_over(now):
                self._runs.free_all(upstream, "lease_over")
            if upstream.former and now - upstream.added_at > FORMER_S:
                self._runs.free_former(upstream, set())
        for upstream in list(self._fleet.values()):
            for run in list(upstream.runs.values()):
                if run.task in self._runs.orphans:
                    self._stop_if_unclaimed(upstream, run, now)
                else:
                    self._stop_if_stalled(upstream, run, now)

    def hedge(self) -> None:
        """Look beside open looks whose answer may be lost."""
        now = self._clock.now()
        if not self._may_order():
            return
        for upstream in self._fleet.values():
            if self._is_hedge_due(upstream, now):
                self._look(upstream, now, 0.0)

    @staticmethod
    def _is_hedge_due(upstream: Upstream, now: float) -> bool:
        is_hanging = 0 < upstream.open_looks < MAX_OPEN_LOOKS and (
            now - upstream.looked_at > REPEAT_S and now - upstream.listed_at > HEDGE_S
        )
        if not is_hanging or upstream.silent_since is not None:
            return False
        if not upstream.is_known:
            return True
        return upstream.listed_end == upstream.durable_end and upstream.is_overdue(now)

    def _look(self, upstream: Upstream, now: float, wait_s: float) -> None:
        upstream.open_looks += 1
        upstream.looked_at = now
        # A silent upstream may hear without being heard; its lease must end so that its tasks are
        # free, and so that ends which it lists later count as lapsed.
        needs_lease = bool(upstream.runs) and upstream.silent_since is None
        lease_end_ms = 0
        if needs_lease and upstream.has_clock:
            lease_end_ms = upstream.extend_lease(self._lease_s(), now)
        order = LookOrder(upstream.durable_end, lease_end_ms, int(wait_s * 1000))
        sent = SentLook(now, order.acked_end, upstream.look_round)
        self._section.count("looks")
        self._gateway.look(ref_of(upstream), order, partial(self._on_look, upstream, sent))

    def _on_look(self, upstream: Upstream, sent: SentLook, answer: LookAnswer) -> None:
        if sent.round == upstream.look_round:
            upstream.open_looks -= 1
        if self._fleet.get(upstream.state.upstream_id) is not upstream:
            return
        now = self._clock.now()
        upstream.hear_clock(answer.clock_ms, now)
        if answer.result is OrderResult.UNKNOWN and sent.at < upstream.listed_at:
            # The upstream has answered since, so that only this answer was lost.
            self.pump(upstream)
            return
        if answer.result is not OrderResult.OK:
            self._on_look_failed(upstream, answer, now)
            return
        if upstream.silent_since is not None:
            get_logger().info(
                "upstream_regained",
                upstream=upstream.state.upstream_id,
                silent_ms=round((now - upstream.silent_since) * 1000),
            )
        upstream.silent_since = None
        upstream.look_failures = 0
        upstream.acked_end = max(upstream.acked_end, sent.acked_end)
        upstream.listed_at = now
        self._take_ends(upstream, answer)
        clock_ms = answer.clock_ms or 0
        if clock_ms >= upstream.lists_clock_ms:
            upstream.lists_clock_ms = clock_ms
            self._compare(upstream, answer, sent.at, now)
        # An order for the former life that began on this one may have ended here already.
        settled = {end.task for _, end in answer.ends if end.how in (EndHow.DONE, EndHow.FAILED)}
        self._runs.free_former(upstream, settled.union(row.task for row in answer.running))
        if not upstream.is_known:
            upstream.is_known = True
            self._runs.needs_placing = True
        self.pump(upstream)

    def _on_look_failed(self, upstream: Upstream, answer: LookAnswer, now: float) -> None:
        upstream.look_failures += 1
        if answer.result is OrderResult.OTHER_LIFE:
            self._runs.free_all(upstream, "other_life")
        if upstream.look_failures == 1 and answer.result is OrderResult.UNKNOWN:
            # A connection may have been lost; a new one tells whether the upstream was.
            self.pump(upstream)
            return
        if upstream.silent_since is None:
            upstream.silent_since = now
            get_logger().warning(
                "upstream_lost",
                upstream=upstream.state.upstream_id,
                result=answer.result.name.lower(),
                reason=answer.reason,
                runs=len(upstream.runs),
            )
        delay_s = min(MAX_RETRY_S, MIN_RETRY_S * 1.5**upstream.look_failures)
        upstream.next_look_at = now + delay_s

    def _take_ends(self, upstream: Upstream, answer: LookAnswer) -> None:
        ends: list[TaskEnd] = []
        for number, end in answer.ends:
            if number <= upstream.listed_end:
                continue
            upstream.listed_end = number
            ends.append(end)
            self._runs.end(upstream, end)
        if ends:
            # Every look that waited for an end is answered by now, or its answer is lost.
            upstream.look_round += 1
            upstream.open_looks = 0
            self._log_ends(upstream, ends)

    def _compare(self, upstream: Upstream, answer: LookAnswer, sent_at: float, now: float) -> None:
        """Bring the table of runs in line with what the upstream lists."""
        listed: set[TaskKey] = set()
        for row in answer.running:
            listed.add(row.task)
            run = upstream.runs.get(row.task)
            if run is None or run.number != row.run:
                self._take_over(upstream, row.task, row.run, now)
                continue
            if row.percent > run.percent:
                run.percent, run.percent_at = row.percent, now
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
                run.confirmed_at = now
        for run in list(upstream.runs.values()):
            is_settled = run.state is not RunState.STARTING and 0 < run.confirmed_at < sent_at
            if is_settled and run.task not in listed:
                self._runs.requeue(upstream, run, "not_listed")

    def _take_over(self, upstream: Upstream, task: TaskKey, number: int, now: float) -> None:
        """Count a run that this leader did not start here, and keep it if its task needs it."""
        job = self._find_job(task.job)
        step = job.spec.steps[task.step] if job is not None else None
        # Nothing is known of the size of a run of an unknown job, so each fills the upstream.
        size = size_of(step) if step else Room(*upstream.capacity)
        run = Run(task=task, number=number, size=size, expected_ms=0.0, now=now)
        run.confirmed_at = now
        if task in upstream.runs:
            get_logger().warning(
                "other_run_listed",
                task=str(task),
                run=number,
                expected=upstream.runs[task].number,
                upstream=upstream.state.upstream_id,
            )
            return
        run.state = RunState.RUNNING
        upstream.add(run)
        if job is None:
            # Its caller may ask again, since a leader that was lost did not log it.
            self._runs.orphans.add(task, upstream)
            return
        progress = self._progress.get(task.job)
        holder = progress.running.get(task) if progress is not None else None
        is_elsewhere = holder is not None and task not in upstream.former
        if progress is None or task in progress.job.done or is_elsewhere:
            self._runs.orders.stop(upstream, run, "not_needed")
            return
        get_logger().info(
            "run_taken_over", task=str(task), run=number, upstream=upstream.state.upstream_id
        )
        progress.record_run(task, number)
        progress.running[task] = upstream.state.upstream_id
        progress.job.is_started = True
        run.expected_ms = progress.expected_ms[task.step]
        if task in progress.waiting:
            progress.remove_waiting(task)

    def _stop_if_unclaimed(self, upstream: Upstream, run: Run, now: float) -> None:
        if now - run.decided_at > ORPHAN_S:
            self._runs.orders.stop(upstream, run, "unknown_job")

    def _stop_if_stalled(self, upstream: Upstream, run: Run, now: float) -> None:
        if run.state is not RunState.RUNNING or not run.expected_ms:
            return
        progress = self._progress.get(run.task.job)
        if progress is None or progress.job.spec.steps[run.task.step].runs_until_cancelled:
            return
        # A run may be far longer than expected and show progress rarely, so each stop of a task
        # makes the next one later.
        patience = STALL_PATIENCE ** len(progress.avoid.get(run.task, ()))
        limit_s = STALL_S + STALL_FACTOR * run.expected_ms / 1000 / upstream.speed
        quiet_s = now - run.percent_at
        if quiet_s > STALL_S * patience and now - run.decided_at > limit_s * patience:
            upstream.failures += 1
            self._runs.orders.stop(upstream, run, f"stalled_at_{run.percent}_percent")
