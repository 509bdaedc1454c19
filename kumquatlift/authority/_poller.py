"""Polls upstreams: renews their leases, reads their runs and ends, and detects unreachable ones."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from kumquatlift.authority._commands import EndReason, TaskEnd, TaskKey
from kumquatlift.authority._fleet import Resources, Run, RunState, Upstream, ref_of, size_of
from kumquatlift.authority._orders import OrderResult, PollAnswer, PollOrder, UpstreamGateway
from kumquatlift.authority._progress import Progress
from kumquatlift.authority._runs import Runs
from kumquatlift.authority._work import Job
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.log import get_logger

# Share of the lease for which a poll waits for an end. If its answer is lost, there is time for
# another poll before the lease ends.
POLL_WAIT_SHARE = 0.45
# Delay of the acknowledgement to an idle upstream. If another run starts there within this time,
# the poll for it carries the acknowledgement as well.
ACK_DELAY_S = 0.3
# Interval between polls of an unreachable upstream; it grows from the first to the second value.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0
# If a poll is refused, or its connection breaks before the answer is due, the upstream can probably
# be reached. It is polled again after this time, which grows, and counts as unreachable after the
# given number of failed polls in a row.
QUICK_RETRY_S = 0.01
FAILURES_BEFORE_LOST = 6
# An upstream that does not answer counts as unreachable after this number of polls.
FAILURES_BY_TIMEOUT = 2
# For this time, a new leader goes on polling an upstream that it has not heard, also when connects
# fail. One of hundreds of upstreams loses two polls in a row while a zone loses packets, and its
# backoff would prolong recovery.
FIRST_LISTS_S = 0.3
# A poll without an answer for this time plus its waiting time has not been broken off, but has
# timed out or nearly so.
BROKEN_OFF_S = 0.1
# An unreachable upstream that has not announced itself for this long, three heartbeats, is removed.
# Otherwise every new leader would wait for it during recovery.
REMOVE_AFTER_S = 5.0
# A run is stopped if it makes no progress for STALL_S and has run for longer than STALL_S plus
# STALL_FACTOR times its expected time. Each upstream on which the task was tried before multiplies
# both limits by STALL_RETRY_FACTOR.
STALL_S = 0.5
STALL_RETRY_FACTOR = 4.0
# After two of the longest leases, runs that this incarnation started on orders for the previous one
# have ended.
PREVIOUS_RUNS_S = 2.0
# Time in which callers of a lost leader submit their jobs to the next one; runs of unknown jobs are
# stopped after it.
ORPHAN_GRACE_S = 1.0
# While a run is overdue, or a new leader doesn't know the runs of an upstream, a second poll is
# sent beside the open one after this time without a list. It isn't shorter because run times vary:
# an overdue run is mostly still running, and each poll has a cost.
HEDGE_S = 0.08
# A poll that may be answered at once is sent again after this time without an answer. Answers take
# about 10 ms.
REPEAT_S = 0.04
# Limit for the open polls of one upstream. If half of the answers are lost, all six are lost once
# in 64 cases. Until one is answered, runs that have ended occupy their resources.
MAX_OPEN_POLLS = 6
# Limit while more than the second number of polls are open in all, as each one has a connection and
# a leader has 2,700 of them. So many are open when hundreds of upstreams are silent.
MAX_OPEN_POLLS_OF_MANY = 3
MANY_OPEN_POLLS = 1000
# An upstream numbers its ends from 1, and far fewer than one run ends on it in each millisecond. A
# number above its clock's reading plus this margin would hide and acknowledge all later ends.
MAX_END_AHEAD = 10_000
# Multiple of the expected time in the limit for stalled runs; see STALL_S.
STALL_FACTOR = 2.5
# A poll without an answer for longer than this multiple of the mean time of an order's answer, and
# than the least time of a round trip, has waited at its upstream.
ROUND_TRIP_FACTOR = 3.0
MIN_ROUND_TRIP_S = 0.01


class SentPoll(NamedTuple):
    """A poll that was sent.

    Args:
        at: Time at which it was sent.
        wait_s: Time that it waits for an end, in seconds.
        acked_end: Number of the newest end that it acknowledges.
        round: Round of polls of the upstream; a new one begins with each list of new ends.
    """

    at: float
    wait_s: float
    acked_end: int
    round: int


class Poller:
    """Polls all upstreams under one leader.

    Args:
        find_job: Finds a job by its identity, in the log or not.
        fleet: Upstreams by identity.
        progress: Open jobs by identity.
        runs: Runs of all tasks.
        gateway: Sends orders to upstreams.
        clock: Source of time.
        lease_s: Returns the length of a lease that is sent now, in seconds.
        poll_wait_s: Time that a poll waits for an end, in seconds.
        may_order: Returns whether this instance still leads with a lease.
        log_ends: Commits the new ends of an upstream.
        on_ended: Is called with an upstream that has certainly ended, without runs.
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
        poll_wait_s: float,
        may_order: Callable[[], bool],
        log_ends: Callable[[Upstream, list[TaskEnd]], None],
        on_ended: Callable[[Upstream], None],
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
        self._on_ended = on_ended
        self._section = section
        self._poll_wait_s = poll_wait_s
        runs.orders.on_change = self.poll_if_due

    def poll_if_due(self, upstream: Upstream) -> None:
        """Poll an upstream if no poll is open and its state requires one."""
        now = self._clock.now()
        if upstream.open_polls or now < upstream.next_poll_at or not self._may_order():
            return
        is_commit_open = upstream.listed_end > upstream.durable_end
        # One that is not known has listed nothing so far, or only a part of its ends.
        has_listed = upstream.is_known or upstream.has_unlisted_ends
        if upstream.unreachable_since is not None:
            self._poll(upstream, now, 0.0)
        elif is_commit_open and has_listed:
            # Ends that are not committed can't be acknowledged, so a poll would be answered at once
            # with the same ends.
            self._renew_lease(upstream, now)
        elif not upstream.is_known:
            self._poll(upstream, now, 0.0)
        elif upstream.runs:
            self._poll(upstream, now, self._poll_wait_s)
        elif upstream.acked_end < upstream.durable_end and now - upstream.durable_at > ACK_DELAY_S:
            self._poll(upstream, now, 0.0)

    def verify(self, upstream: Upstream) -> None:
        """Ask whether an upstream is still the one at its address; it gets no tasks until then."""
        upstream.is_known = False
        if self._may_order():
            self._poll(upstream, self._clock.now(), 0.0)

    def _renew_lease(self, upstream: Upstream, now: float) -> None:
        if upstream.runs and now - upstream.leased_at > self._poll_wait_s:
            self._poll(upstream, now, 0.0)

    def tick(self) -> None:
        """Send due polls, and remove the runs of upstreams whose leases are over.

        Also stops runs that make no progress and those of unknown jobs.
        """
        now = self._clock.now()
        for upstream in list(self._fleet.values()):
            self.poll_if_due(upstream)
            is_unreachable = upstream.unreachable_since is not None
            if is_unreachable and upstream.runs and upstream.is_lease_over(now):
                self._runs.requeue_all(upstream, "lease_over")
            have_ended = now - upstream.added_at > PREVIOUS_RUNS_S
            if upstream.previous_runs and have_ended and not upstream.may_list_more_ends(now):
                self._runs.requeue_previous_runs(upstream)
        for upstream in list(self._fleet.values()):
            for run in list(upstream.runs.values()):
                orphan = self._runs.orphans.find(run.task, upstream)
                if orphan is None:
                    self._stop_if_stalled(upstream, run, now)
                elif now > orphan.keep_until:
                    self._runs.orders.stop(upstream, run, "unknown_job")

    def hedge(self) -> None:
        """Repeat failed polls, and send another beside each one whose answer may be lost."""
        now = self._clock.now()
        if not self._may_order():
            return
        open_polls = sum(upstream.open_polls for upstream in self._fleet.values())
        for upstream in self._fleet.values():
            most = MAX_OPEN_POLLS if open_polls < MANY_OPEN_POLLS else MAX_OPEN_POLLS_OF_MANY
            if self._is_hedge_due(upstream, now, most):
                self._poll(upstream, now, 0.0)
                open_polls += 1
            elif upstream.poll_failures and upstream.unreachable_since is None:
                self.poll_if_due(upstream)

    @staticmethod
    def _is_hedge_due(upstream: Upstream, now: float, most: int) -> bool:
        is_answer_late = 0 < upstream.open_polls < most and (
            now - upstream.polled_at > REPEAT_S and now - upstream.listed_at > HEDGE_S
        )
        if not is_answer_late or upstream.unreachable_since is not None:
            return False
        if not upstream.is_known:
            return True
        return upstream.listed_end == upstream.durable_end and upstream.is_overdue(now)

    def _poll(self, upstream: Upstream, now: float, wait_s: float) -> None:
        upstream.open_polls += 1
        upstream.polled_at = now
        # An unreachable upstream may receive polls although its answers are lost. Its lease must
        # end, so that its tasks can start elsewhere, and so that it reports ends after that time as
        # lapsed. The same holds for one that never lists all its ends.
        needs_lease = bool(upstream.runs) and not upstream.is_given_up(now)
        lease_end_ms = 0
        if needs_lease and upstream.has_clock:
            lease_end_ms = upstream.extend_lease(self._lease_s(), now)
        # A newer incarnation carries out the poll as well, and its ends have the same numbers.
        acked_end = 0 if upstream.is_replaced else upstream.durable_end
        order = PollOrder(acked_end, lease_end_ms, int(wait_s * 1000))
        sent = SentPoll(now, wait_s, order.acked_end, upstream.poll_round)
        self._section.count("looks")
        self._gateway.poll(ref_of(upstream), order, partial(self._on_poll, upstream, sent))

    def _on_poll(self, upstream: Upstream, sent: SentPoll, answer: PollAnswer) -> None:
        if sent.round == upstream.poll_round:
            upstream.open_polls -= 1
        if self._fleet.get(upstream.state.upstream_id) is not upstream:
            return
        now = self._clock.now()
        answer = _without_implausible_ends(upstream, answer)
        clock_ms = upstream.record_clock(answer.clock_ms, now) or 0
        if answer.result is OrderResult.UNKNOWN and sent.at < upstream.listed_at:
            # The upstream has answered a later poll, so only this answer was lost.
            self.poll_if_due(upstream)
            return
        if answer.result is not OrderResult.OK:
            self._on_poll_failed(upstream, sent, answer, now)
            return
        if upstream.unreachable_since is not None:
            get_logger().info(
                "upstream_regained",
                upstream=upstream.state.upstream_id,
                silent_ms=round((now - upstream.unreachable_since) * 1000),
            )
        upstream.unreachable_since = None
        upstream.poll_failures = 0
        upstream.acked_end = max(upstream.acked_end, sent.acked_end)
        listed_at = now - upstream.reading_age_s(clock_ms, now)
        ended_after = self._earliest_end(upstream, sent, listed_at)
        upstream.listed_at = now
        upstream.newest_list_at = max(upstream.newest_list_at, listed_at)
        self._record_ends(upstream, answer, (ended_after, listed_at))
        is_newest = clock_ms >= upstream.lists_clock_ms
        if is_newest:
            upstream.lists_clock_ms = clock_ms
            self._record_completeness(upstream, sent, answer)
            self._reconcile_runs(upstream, answer, sent.at, now)
        # A run that this incarnation started on an order for the previous one may have ended.
        settled = {
            end.task for _, end in answer.ends if end.reason in (EndReason.DONE, EndReason.FAILED)
        }
        listed = settled.union((row.task for row in answer.running), answer.tasks_without_run)
        self._runs.keep_previous_runs(upstream, listed)
        if is_newest and not upstream.has_unlisted_ends:
            self._on_complete_list(upstream)
        if answer.unread_ends:
            # They are listed until a later end is acknowledged, so each poll is answered at once.
            upstream.next_poll_at = now + MIN_RETRY_S
        self.poll_if_due(upstream)

    def _record_completeness(self, upstream: Upstream, sent: SentPoll, answer: PollAnswer) -> None:
        """Record whether the upstream may hold ends beyond those in its newest list.

        A list without an end that is yet to be acknowledged counts as complete, since the upstream
        would list the same ends for ever.
        """
        has_new_end = bool(answer.ends) and answer.ends[-1][0] > sent.acked_end
        upstream.has_unlisted_ends = answer.may_have_more_ends and has_new_end
        if upstream.has_unlisted_ends:
            self._section.count("cut_lists")
            get_logger().info(
                "list_of_ends_cut",
                upstream=upstream.state.upstream_id,
                ends=len(answer.ends),
                newest=answer.ends[-1][0],
                acked=sent.acked_end,
                running=len(answer.running),
                is_known=upstream.is_known,
            )

    def _on_complete_list(self, upstream: Upstream) -> None:
        """Handle that all runs and ends of an upstream are known."""
        self._runs.requeue_previous_runs(upstream)
        if not upstream.is_known:
            upstream.is_known = True
            self._runs.needs_placing = True

    def _on_poll_failed(
        self, upstream: Upstream, sent: SentPoll, answer: PollAnswer, now: float
    ) -> None:
        upstream.poll_failures += 1
        if answer.result is OrderResult.BORN_AGAIN:
            upstream.is_replaced = True
        if answer.result is OrderResult.OTHER_LIFE:
            self._runs.requeue_all(upstream, "other_life")
            self._on_ended(upstream)
            return
        if upstream.poll_failures == 1 and answer.result is OrderResult.UNKNOWN:
            # Perhaps only the connection was lost. The next poll opens a new one and shows whether
            # the upstream can be reached.
            self.poll_if_due(upstream)
            return
        is_broken_off = (
            answer.result is OrderResult.UNKNOWN and now - sent.at < sent.wait_s + BROKEN_OFF_S
        )
        is_reachable = is_broken_off or answer.result is OrderResult.REFUSED
        is_reachable = is_reachable and upstream.poll_failures < FAILURES_BEFORE_LOST
        is_unheard = not upstream.lists_clock_ms and now - upstream.added_at < FIRST_LISTS_S
        if (is_reachable or is_unheard) and upstream.unreachable_since is None:
            delay_s = _growing(QUICK_RETRY_S, upstream.poll_failures, MAX_RETRY_S)
            upstream.next_poll_at = now + delay_s
            return
        if upstream.unreachable_since is None:
            upstream.poll_failures = min(upstream.poll_failures, FAILURES_BY_TIMEOUT)
            upstream.unreachable_since = now
            get_logger().warning(
                "upstream_lost",
                upstream=upstream.state.upstream_id,
                result=answer.result.name.lower(),
                reason=answer.reason,
                runs=len(upstream.runs),
            )
        upstream.next_poll_at = now + _growing(MIN_RETRY_S, upstream.poll_failures, MAX_RETRY_S)

    def _earliest_end(self, upstream: Upstream, sent: SentPoll, listed_at: float) -> float:
        """Return the earliest time at which the ends in an answer can have come about.

        A poll that had to wait is answered at the first end. Any other one may list runs that have
        ended at any time since the list before.

        Args:
            upstream: The upstream.
            sent: The poll.
            listed_at: Time at which the upstream answered.
        """
        round_trip_s = ROUND_TRIP_FACTOR * self._runs.orders.answer_ms / 1000
        has_waited = sent.wait_s > 0 and listed_at - sent.at > max(MIN_ROUND_TRIP_S, round_trip_s)
        return listed_at if has_waited else upstream.newest_list_at

    def _record_ends(
        self, upstream: Upstream, answer: PollAnswer, ended_within: tuple[float, float]
    ) -> None:
        ends: list[TaskEnd] = []
        listed_before = upstream.listed_end
        for number, end in answer.ends:
            if number <= upstream.listed_end:
                continue
            upstream.listed_end = number
            if self._names_unknown_task(end.task):
                get_logger().warning(
                    "end_of_unknown_task",
                    task=str(end.task),
                    run=end.run,
                    upstream=upstream.state.upstream_id,
                )
                continue
            ends.append(end)
            self._runs.end(upstream, end, ended_within)
        # Ends that are ignored are acknowledged too, or the upstream would list them for ever.
        if upstream.listed_end > listed_before:
            # Every poll that waited for an end has been answered by now, or its answer is lost.
            upstream.poll_round += 1
            upstream.open_polls = 0
            self._log_ends(upstream, ends)

    def _reconcile_runs(
        self, upstream: Upstream, answer: PollAnswer, sent_at: float, now: float
    ) -> None:
        """Update the leader's records of runs from the list of an upstream."""
        listed = set(answer.tasks_without_run)
        unknown = [row.task for row in answer.running if self._names_unknown_task(row.task)]
        if unknown:
            get_logger().warning(
                "runs_of_unknown_tasks",
                upstream=upstream.state.upstream_id,
                runs=len(unknown),
                first=str(unknown[0]),
            )
        for row in answer.running:
            run = upstream.runs.get(row.task)
            if run is None and self._names_unknown_task(row.task):
                continue
            listed.add(row.task)
            if run is None or run.number != row.run:
                self._adopt_run(upstream, row.task, row.run, now)
                continue
            if row.percent > run.percent:
                run.percent, run.percent_at = row.percent, now
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
                run.confirmed_at = now
        if upstream.has_unlisted_ends:
            # A run that is not listed may have ended.
            return
        for run in list(upstream.runs.values()):
            is_settled = run.state is not RunState.STARTING and 0 < run.confirmed_at < sent_at
            if is_settled and run.task not in listed:
                self._runs.requeue(upstream, run, "not_listed")

    def _names_unknown_task(self, task: TaskKey) -> bool:
        """Return whether a task names a known job that has no such task."""
        job = self._find_job(task.job)
        return job is not None and not job.has_task(task)

    def _adopt_run(self, upstream: Upstream, task: TaskKey, number: int, now: float) -> None:
        """Record a run that this leader did not start there; stop it if its task needs no run."""
        job = self._find_job(task.job)
        step = job.spec.steps[task.step] if job is not None and job.has_task(task) else None
        # The size of a run of an unknown job is unknown, so it counts as the whole upstream.
        size = size_of(step) if step else Resources(*upstream.capacity)
        kind = job.queue if job is not None else ""
        run = Run(task=task, number=number, size=size, expected_ms=0.0, now=now, kind=kind)
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
            # The job may be one that a lost leader did not log; its caller may submit it again.
            self._runs.orphans.add(task, upstream, number, keep_s=ORPHAN_GRACE_S)
            return
        progress = self._progress.get(task.job)
        holder = progress.running.get(task) if progress is not None else None
        is_elsewhere = holder is not None and task not in upstream.previous_runs
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

    def _stop_if_stalled(self, upstream: Upstream, run: Run, now: float) -> None:
        if run.state is not RunState.RUNNING or not run.expected_ms:
            return
        progress = self._progress.get(run.task.job)
        if progress is None or progress.job.spec.steps[run.task.step].runs_until_cancelled:
            return
        # A task may take far longer than expected and report progress rarely, so each earlier run
        # raises the limits.
        factor = STALL_RETRY_FACTOR ** len(progress.avoid.get(run.task, ()))
        limit_s = STALL_S + STALL_FACTOR * run.expected_ms / 1000 / upstream.speed
        idle_s = now - run.percent_at
        if idle_s > STALL_S * factor and now - run.decided_at > limit_s * factor:
            upstream.failures += 1
            self._runs.orders.stop(upstream, run, f"stalled_at_{run.percent}_percent")


def _growing(first_s: float, failures: int, most_s: float) -> float:
    """Return the delay after a number of failures in a row, in seconds."""
    return min(most_s, first_s * 1.5**failures)


def _without_implausible_ends(upstream: Upstream, answer: PollAnswer) -> PollAnswer:
    """Count ends whose number is far above the upstream's clock among those that can't be read."""
    if answer.clock_ms is None:
        return answer
    most = answer.clock_ms + MAX_END_AHEAD
    ends = tuple(row for row in answer.ends if row[0] <= most)
    if len(ends) == len(answer.ends):
        return answer
    get_logger().warning(
        "end_numbers_too_large", upstream=upstream.state.upstream_id, most=answer.ends[-1][0]
    )
    unread = answer.unread_ends + len(answer.ends) - len(ends)
    return answer._replace(ends=ends, unread_ends=unread)
