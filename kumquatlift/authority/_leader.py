"""The leader: accepts jobs, tracks upstreams, and starts and recovers tasks."""

import random
from collections.abc import Callable
from typing import NamedTuple

from kumquatlift.authority._admission import (
    UNSHARED,
    AdmissionDecision,
    AdmissionRequest,
    Load,
    decide_admission,
)
from kumquatlift.authority._commands import (
    Command,
    CommandKind,
    TaskEnd,
    TaskKey,
    UpstreamState,
)
from kumquatlift.authority._company import Company
from kumquatlift.authority._ends import EndLog
from kumquatlift.authority._estimates import Estimates
from kumquatlift.authority._fleet import MAX_CLOCK_SLOWNESS, Run, Upstream
from kumquatlift.authority._interference_report import InterferenceReport
from kumquatlift.authority._load import LoadMeter
from kumquatlift.authority._offer_index import OfferIndex
from kumquatlift.authority._orders import UpstreamGateway
from kumquatlift.authority._poller import POLL_WAIT_SHARE, REMOVE_AFTER_S, Poller
from kumquatlift.authority._progress import EXPIRY_FACTOR, Progress
from kumquatlift.authority._recovery import Recovery
from kumquatlift.authority._runs import Runs
from kumquatlift.authority._scheduler import Scheduler
from kumquatlift.authority._serving import Queue
from kumquatlift.authority._shares import FairShares, Flow, Usage
from kumquatlift.authority._state import State
from kumquatlift.authority._work import Job, JobSpec, JobState
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.log import get_logger
from kumquatlift.store import EventLoop

# Number of fencing tokens in one term; each incarnation of an upstream gets one.
INCARNATIONS_PER_TERM = 1 << 16
# Time for which the end of a job that isn't in the log is kept. A caller whose answer was lost
# submits the job again within a few seconds.
UNLOGGED_RETENTION_S = 10.0
# Time for a new connection and the submission itself, on top of ``Limits.resubmit_s``.
RESUBMIT_MARGIN_S = 0.5


class Limits(NamedTuple):
    """Limits that the platform sets for the leader.

    Args:
        lease_s: Longest lease that an upstream accepts, in seconds.
        remote_factor: Run time of a task on another rack than its data, relative to the same rack.
        retention_s: Time for which the state of an ended job is kept, in seconds.
        resubmit_s: Time after which a caller whose connection broke submits its job again, in
            seconds.
        has_fair_shares: Whether the queues and zones of callers of a service get fair shares of it
            while it is full.
        keeps_apart: Whether queues that slow each other down are noticed and kept apart.
    """

    lease_s: float = 1.0
    remote_factor: float = 2.0
    retention_s: float = 150.0
    resubmit_s: float = 1.3
    has_fair_shares: bool = False
    keeps_apart: bool = False


class Leader:
    """Coordinates everything that only the leader does; created anew for each term.

    Args:
        term: Term of this leader.
        state: Replicated state.
        gateway: Sends orders to upstreams.
        loop: Event loop; all methods run in its thread.
        clock: Source of time.
        limits: Limits that the platform sets.
        propose: Appends a command to the log and returns its index, or None.
        may_order: Returns whether this instance still leads with a lease.
        lease_age_s: Returns the seconds since the message that started this leader's lease. Leases
            of upstreams are shorter by this time, so that they end no later than the leader's
            successor assumes.
        since_previous_leader_s: Seconds since the latest time at which an earlier leader's lease
            can have started.
        on_closed: Is called when a job has ended.
        section: Section of the blackboard.
    """

    def __init__(
        self,
        *,
        term: int,
        state: State,
        gateway: UpstreamGateway,
        loop: EventLoop,
        clock: Clock,
        limits: Limits,
        propose: Callable[[Command], int | None],
        may_order: Callable[[], bool],
        lease_age_s: Callable[[], float],
        since_previous_leader_s: float,
        on_closed: Callable[[Job], None],
        section: Section,
    ) -> None:
        self._term = term
        self._state = state
        self._clock = clock
        self._limits = limits
        self._propose = propose
        self._may_order = may_order
        self._section = section
        self.fleet: dict[str, Upstream] = {}
        self._offer_index = OfferIndex(fleet=self.fleet)
        self.progress: dict[str, Progress] = {}
        self.estimates = Estimates()
        self._shares: dict[str, FairShares] = {}
        self._meter = LoadMeter(offer_index=self._offer_index, progress=self.progress, clock=clock)
        self._mates = InterferenceReport(section=section) if limits.keeps_apart else None
        interference = self._mates.interference if self._mates else None
        self._incarnations = 0
        self._arrivals = 0
        self._last_contact_at: dict[str, float] = {}
        # Time until which an upstream runs tasks slowly, as it has just started.
        self._cold_until: dict[str, float] = {}
        self._recovery = Recovery(
            now=clock.now(),
            lease_s=limits.lease_s / (1 - MAX_CLOCK_SLOWNESS),
            since_previous_leader_s=since_previous_leader_s,
        )
        self._forget_proposed_at = clock.now()
        self._ticked_at = clock.now()
        # Jobs that are not in the log. Ended ones are kept for callers that submit them again.
        self.unlogged: dict[str, Job] = {}
        self._on_closed = on_closed
        # Is called when the runs of earlier leaders are known, or over.
        self.on_recovered: Callable[[], None] = lambda: None
        self.runs = Runs(
            state=state,
            find_job=self.find_job,
            on_closed=on_closed,
            fleet=self.fleet,
            progress=self.progress,
            estimates=self.estimates,
            gateway=gateway,
            loop=loop,
            clock=clock,
            lease_s=lambda: limits.lease_s - lease_age_s(),
            may_order=may_order,
            section=section,
            interference=interference,
        )
        self._ends = EndLog(
            state=state,
            unlogged=self.unlogged,
            clock=clock,
            propose=propose,
            on_committed=self.runs.on_end_committed,
        )
        self._poller = Poller(
            find_job=self.find_job,
            fleet=self.fleet,
            progress=self.progress,
            runs=self.runs,
            gateway=gateway,
            clock=clock,
            lease_s=lambda: limits.lease_s - lease_age_s(),
            poll_wait_s=POLL_WAIT_SHARE * limits.lease_s,
            may_order=may_order,
            log_ends=self._ends.add,
            on_ended=self._on_ended,
            section=section,
        )
        self._ends.on_durable = self._poller.poll_if_due
        self._scheduler = Scheduler(
            fleet=self.fleet,
            offer_index=self._offer_index,
            progress=self.progress,
            runs=self.runs,
            meter=self._meter,
            clock=clock,
            remote_factor=limits.remote_factor,
            section=section,
            interference=interference,
        )

    def begin(self) -> None:
        """Load the upstreams and open jobs of the replicated state."""
        now = self._clock.now()
        for upstream in self._state.upstreams.values():
            self._last_contact_at[upstream.upstream_id] = now
            self._add_upstream(upstream)
        for upstream in self._state.departed.values():
            self._add_upstream(upstream._replace(is_draining=True))
        for job in self._state.jobs.values():
            if job.is_open:
                self._add_job(job)
        get_logger().info(
            "leader_begins",
            term=self._term,
            upstreams=len(self.fleet),
            departed=len(self._state.departed),
            open_jobs=len(self.progress),
            config=self._state.routing.cfg.version,
            evacuated=",".join(self._state.evacuations.zones),
        )

    def close(self) -> None:
        """Send no more orders, as the term of this leader is over."""
        self.runs.orders.close()
        if self._mates is not None:
            self._mates.close()

    # Jobs

    def decide_admission(self, queue: Queue, spec: JobSpec, zone: str = "") -> AdmissionDecision:
        """Decide whether a submitted job is accepted.

        Args:
            queue: Its queue.
            spec: The job.
            zone: Availability zone of its caller.
        """
        now = self._clock.now()
        expected = self._expected(queue.key, spec)
        longest_step_ms = max(expected, default=0.0)
        objective_ms = queue.slack_factor * longest_step_ms + queue.target_ms
        work = sum(step.tasks * ms for step, ms in zip(spec.steps, expected, strict=True))
        cpu = max((step.cpu_milli for step in spec.steps), default=0)
        start_by = now + (objective_ms - longest_step_ms) / 1000
        tasks = max((step.tasks for step in spec.steps), default=1)
        load = self._meter.load(queue.service, cpu, start_by, tasks)
        late_share = self.runs.late_share(queue.key)
        load = load._replace(
            late_jobs_age_s=now - (late_share.recorded_at or now),
            recovery_ms=1000 * self._recovery.expected_wait_s(now),
            # The report of an end takes about as long as the start order and its answer.
            order_ms=2 * self.runs.orders.answer_ms,
        )
        request = AdmissionRequest(
            work, longest_step_ms, objective_ms, EXPIRY_FACTOR * objective_ms
        )
        flow = Flow(queue.key, zone)
        usage = self._record_offer(queue.service, flow, work, load)
        decision = decide_admission(request, load, random.random(), late_share.safety_margin, usage)
        if decision.is_accepted and usage is not UNSHARED:
            self._shares[queue.service].record_acceptance(flow, work, now)
        return decision

    def _record_offer(self, service: str, flow: Flow, work_ms: float, load: Load) -> Usage:
        """Record the work of a submitted job, and return what its flow uses."""
        if not self._limits.has_fair_shares:
            return UNSHARED
        now = self._clock.now()
        shares = self._shares.setdefault(service, FairShares())
        shares.record_offer(flow, work_ms, now)
        return shares.usage(flow, 1000 * load.slots * load.speed, now)

    def _expected(self, queue: str, spec: JobSpec) -> tuple[float, ...]:
        return tuple(self.estimates.expected_ms(queue, step.estimate_ms) for step in spec.steps)

    @property
    def is_recovering(self) -> bool:
        """Whether runs of earlier leaders may be unknown."""
        return self._recovery.is_open

    def find_job(self, job_id: str) -> Job | None:
        """Return a job by its identity, whether it is in the log or not."""
        return self.unlogged.get(job_id) or self._state.jobs.get(job_id)

    def add_job(self, job: Job) -> None:
        """Start to schedule a job whose command was committed, or one that needs no commit."""
        if not job.is_logged:
            self.unlogged[job.job_id] = job
        if job.is_open and job.job_id not in self.progress:
            self._add_job(job)

    def _add_job(self, job: Job) -> None:
        queue = self._state.queue_of(job.queue)
        expected = self._expected(job.queue, job.spec)
        age_s = max(0.0, (self._state.wall_ms() - job.accepted_at_ms) / 1000)
        self._arrivals += 1
        progress = Progress(
            job=job,
            queue=queue,
            term=self._term,
            expected_ms=expected,
            now=self._clock.now(),
            age_s=age_s,
            arrival_number=self._arrivals,
        )
        self.progress[job.job_id] = progress
        if not job.is_logged:
            self.runs.orphans.adopt(progress)
            if not job.is_open:
                self.runs.close(progress)
                return
        # A job that is not in the log may have run under an earlier leader.
        if self._recovery.is_open and (job.term != self._term or not job.is_logged):
            self.runs.recovering_jobs.add(job.job_id)
        self.runs.release(progress)

    def on_cancel(self, job_id: str) -> None:
        """Handle the committed cancelling of a job, which may not be in the log, or be unknown."""
        job = self.find_job(job_id)
        if job is None:
            self.runs.orphans.drop(job_id)
            return
        if job.is_open:
            job.close(JobState.CANCELLED, self._state.wall_ms())
        self.on_cancelled(job)

    def on_cancelled(self, job: Job) -> None:
        """Stop the running tasks of a cancelled job."""
        progress = self.progress.get(job.job_id)
        if progress is not None:
            self.runs.close(progress)

    def abandon(self, job: Job) -> None:
        """Forget an open job that is not in the log and that nobody waits for any more.

        Its runs go on until its caller has had time to submit it again.
        """
        del self.unlogged[job.job_id]
        progress = self.progress.get(job.job_id)
        if progress is not None:
            self.runs.abandon(progress, keep_s=self._limits.resubmit_s + RESUBMIT_MARGIN_S)

    def is_untouched(self, job_id: str) -> bool:
        """Whether this leader has decided no start of a job that isn't in the log."""
        progress = self.progress.get(job_id)
        if progress is None or progress.job.is_logged or progress.job.is_started:
            return False
        return not progress.running

    def pending(self, queue: str) -> int:
        """Return the number of open jobs of a queue of which no run has begun."""
        return sum(
            1
            for progress in self.progress.values()
            if progress.job.queue == queue and not self.runs.has_begun(progress)
        )

    def has_begun(self, job_id: str) -> bool:
        """Return whether a run of an open job has begun."""
        progress = self.progress.get(job_id)
        return progress is not None and self.runs.has_begun(progress)

    # Configuration

    def on_config(self) -> None:
        """Look up the queues of all open jobs in the new configuration."""
        for progress in self.progress.values():
            progress.queue = self._state.routing.by_key.get(progress.job.queue, progress.queue)

    # Upstreams

    def record_contact(self, upstream_id: str, cold_s: float = 0.0) -> None:
        """Record that an upstream has announced itself now.

        Args:
            upstream_id: Its identity.
            cold_s: Time for which it will still run tasks slowly, in seconds.
        """
        now = self._clock.now()
        self._last_contact_at[upstream_id] = now
        is_warm = cold_s <= 0 and now >= self._cold_until.get(upstream_id, 0.0)
        if is_warm or not self._state.evacuations.number:
            # Where no zone was ever emptied, upstreams start one by one, and nothing changes.
            return
        self._cold_until[upstream_id] = now + cold_s
        if upstream_id in self.fleet:
            self.fleet[upstream_id].cold_until = now + cold_s

    def on_evacuations(self) -> None:
        """Start no more tasks in the zones that are emptied now; use those that are taken back."""
        for upstream in self.fleet.values():
            self._update_zone(upstream)
        self._meter.forget()
        self.runs.needs_placing = True

    def _update_zone(self, upstream: Upstream) -> None:
        is_evacuated = upstream.state.zone in self._state.evacuations
        if is_evacuated != upstream.is_evacuated:
            upstream.is_evacuated = is_evacuated

    def on_upstream(self, state: UpstreamState) -> None:
        """Handle a committed announcement of a new or changed upstream."""
        known = self.fleet.get(state.upstream_id)
        if known is not None and known.state.started_at_ms == state.started_at_ms:
            known.update(state)
            self._update_zone(known)
        else:
            # One that crashed before it listed its runs leaves those of its predecessors, too.
            previous_runs = {**known.previous_runs, **known.runs} if known is not None else {}
            self._add_upstream(state, previous_runs)
        for other in list(self.fleet.values()):
            has_same_address = other.state.address == state.address
            if has_same_address and other.state.started_at_ms < state.started_at_ms:
                # Probably a newer process listens at its address, which then denies to be this one.
                self._poller.verify(other)

    def _add_upstream(
        self, state: UpstreamState, previous_runs: dict[TaskKey, Run] | None = None
    ) -> None:
        self._incarnations += 1
        token = self._term * INCARNATIONS_PER_TERM + self._incarnations
        now = self._clock.now()
        upstream = Upstream(
            state=state,
            token=token,
            now=now,
            lease_s=self._limits.lease_s,
            on_change=self._offer_index.mark_changed,
            company=Company(clock=self._clock) if self._limits.keeps_apart else None,
        )
        upstream.previous_runs = previous_runs or {}
        upstream.cold_until = self._cold_until.get(state.upstream_id, 0.0)
        self._update_zone(upstream)
        self.fleet[state.upstream_id] = upstream
        get_logger().info(
            "upstream_added",
            upstream=state.upstream_id,
            address=state.address,
            zone=state.zone,
            cpu_milli=state.cpu_milli,
            token=token,
        )
        self._poller.poll_if_due(upstream)

    def on_left(self, upstream_id: str) -> None:
        """Handle the committed departure of an upstream."""
        upstream = self.fleet.get(upstream_id)
        if upstream is None:
            self._propose_end_of_departure(upstream_id)
            return
        may_hold_runs = self._may_hold_runs(upstream, self._clock.now())
        get_logger().info(
            "upstream_left",
            upstream=upstream_id,
            runs=len(upstream.runs),
            is_known=upstream.is_known,
            may_hold_runs=may_hold_runs,
        )
        if may_hold_runs:
            # It may have reported its shutdown before its last tasks ended. It stays, draining,
            # until it has listed their ends or its lease is over.
            upstream.state = upstream.state._replace(is_draining=True)
            return
        self.runs.requeue_all(upstream, "left")
        self._remove(upstream_id)
        self._propose_end_of_departure(upstream_id)

    def _may_hold_runs(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream may hold runs, or ends of runs, that still count."""
        is_lease_over = upstream.has_clock and upstream.is_lease_over(now)
        if self._recovery.is_open and not upstream.is_known and not is_lease_over:
            # An earlier leader may have started runs there that it has not listed yet.
            return True
        if upstream.previous_runs:
            # It may have carried out an order to its previous incarnation.
            return True
        holds_runs = bool(upstream.runs) and not upstream.is_lease_over(now)
        return holds_runs or upstream.may_list_more_ends(now)

    def _on_ended(self, upstream: Upstream) -> None:
        """Remove an upstream at whose address another one has answered; its runs are removed."""
        self._remove(upstream.state.upstream_id)
        if upstream.state.upstream_id in self._state.departed:
            self._propose_end_of_departure(upstream.state.upstream_id)
        else:
            self._propose_removal(upstream.state)

    def _remove(self, upstream_id: str) -> None:
        upstream = self.fleet.pop(upstream_id, None)
        self._cold_until.pop(upstream_id, None)
        self._offer_index.mark_changed(upstream_id)
        if upstream is not None:
            self.runs.requeue_previous_runs(upstream)
        get_logger().info("upstream_removed", upstream=upstream_id)

    def _propose_end_of_departure(self, upstream_id: str) -> None:
        """Let all replicas forget an upstream that has left and certainly holds no runs."""
        departed = self._state.departed.get(upstream_id)
        if departed is not None:
            fields = {"upstream": upstream_id, "born_ms": departed.started_at_ms}
            self._propose(Command(CommandKind.DEPARTURE_OVER, fields))

    def _propose_removal(self, state: UpstreamState) -> None:
        fields = {"upstream": state.upstream_id, "born_ms": state.started_at_ms}
        self._propose(Command(CommandKind.UPSTREAM_LEFT, fields))

    def _remove_unreachable(self, now: float) -> None:
        for upstream in list(self.fleet.values()):
            upstream_id = upstream.state.upstream_id
            has_left = upstream_id not in self._state.upstreams
            is_gone = has_left and not upstream.runs and not self._may_hold_runs(upstream, now)
            unreachable_since = upstream.unreachable_since
            last_contact_at = self._last_contact_at.get(upstream_id, now)
            if is_gone:
                self._remove(upstream_id)
                self._propose_end_of_departure(upstream_id)
            elif (
                unreachable_since and now - max(unreachable_since, last_contact_at) > REMOVE_AFTER_S
            ):
                self._propose_removal(upstream.state)

    # Ends

    def on_ends(self, index: int, ends: tuple[TaskEnd, ...]) -> None:
        """Handle a committed batch of ends of runs."""
        self._ends.on_applied(index, ends)

    # Callbacks of the event loop

    def flush(self) -> None:
        """After a batch of events, propose the ends that arrived and place waiting tasks."""
        self._ends.flush()
        if self._recovery.is_open and self._is_fleet_known() and self._may_order():
            # The wait for the next tick would be longer than that for the lists.
            self._end_recovery()
        if self.runs.needs_placing and self._may_order():
            self._scheduler.run()

    def hedge(self) -> None:
        """Send a second poll to upstreams whose answer may be lost; end recovery in time."""
        self._poller.hedge()
        self._end_recovery_if_over(self._clock.now())

    def tick(self) -> None:
        """Do the periodic work: poll, end recovery, release due occurrences, drop old state."""
        now = self._clock.now()
        self._poller.tick()
        self.runs.orders.fade_answers(now - self._ticked_at)
        self._ticked_at = now
        self._end_recovery_if_over(now)
        for progress in self.runs.recurring():
            self.runs.release(progress)
        if self._mates is not None:
            self._mates.tick(now)
        self._remove_unreachable(now)
        self._refuse_overdue(now)
        self._forget_unlogged(now)
        if now - self._forget_proposed_at > self._limits.retention_s / 4:
            self._forget_proposed_at = now
            before_ms = self._state.wall_ms() - int(self._limits.retention_s * 1000)
            self._propose(Command(CommandKind.FORGET, {"ended_before_ms": before_ms}))
        self.runs.needs_placing = True

    def _refuse_overdue(self, now: float) -> None:
        """Refuse waiting jobs that aren't in the log and can't end before they are useless.

        A job is useless to its caller after ``EXPIRY_FACTOR`` times its objective.
        """
        for progress in list(self.progress.values()):
            job = progress.job
            if job.is_logged or job.is_started or progress.running:
                continue
            if now + progress.critical_path_ms / 1000 > progress.expires_at:
                job.close(JobState.REFUSED, self._state.wall_ms())
                del self.unlogged[job.job_id]
                self.runs.close(progress)

    def _forget_unlogged(self, now: float) -> None:
        self.runs.orphans.forget(now - UNLOGGED_RETENTION_S)
        before_ms = self._state.wall_ms() - int(UNLOGGED_RETENTION_S * 1000)
        old = [
            job.job_id
            for job in self.unlogged.values()
            if not job.is_open and job.ended_at_ms < before_ms
        ]
        for job_id in old:
            del self.unlogged[job_id]

    def _is_fleet_known(self) -> bool:
        return bool(self.fleet) and all(each.is_known for each in self.fleet.values())

    def _end_recovery_if_over(self, now: float) -> None:
        if not self._recovery.is_open:
            return
        is_listing = any(each.may_list_more_ends(now) for each in self.fleet.values())
        if self._recovery.is_over(
            now, is_fleet_known=self._is_fleet_known(), is_fleet_listing=is_listing
        ):
            self._end_recovery()

    def _end_recovery(self) -> None:
        now = self._clock.now()
        unknown = [each for each in self.fleet.values() if not each.is_known]
        self._recovery.is_open = False
        self.runs.recovering_jobs.clear()
        self.runs.recovered_at = now
        get_logger().info(
            "recovery_ended",
            term=self._term,
            open_jobs=len(self.progress),
            known=len(self.fleet) - len(unknown),
            upstreams=len(self.fleet),
            cause="leases_over" if unknown or not self.fleet else "all_listed",
            after_ms=round(1000 * (now - self._recovery.started_at)),
            first_unknown=unknown[0].state.upstream_id if unknown else "",
        )
        for progress in list(self.progress.values()):
            self.runs.release(progress)
        self.on_recovered()
