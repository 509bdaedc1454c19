"""The leader's records of upstreams and of the runs on them."""

from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import Any, NamedTuple

from kumquatlift.authority._commands import TaskKey, UpstreamState
from kumquatlift.authority._company import Company, Mark
from kumquatlift.authority._orders import UpstreamRef
from kumquatlift.authority._work import Step
from kumquatlift.log import get_logger

# An upstream's clock may run slower than the leader's by this share; the platform guarantees it.
MAX_CLOCK_SLOWNESS = 0.02
# A reading of an upstream's clock may differ by this much from what the earlier ones let expect, as
# an answer may be handled late while this process is paused.
MAX_CLOCK_ERROR_MS = 10_000
# Other readings count only if they advance like a clock over this time.
CLOCK_DOUBT_S = 2.0
# Weight of the newest run in the moving average of an upstream's speed, which thus reflects about
# the last five runs.
SPEED_WEIGHT = 0.2
MIN_SPEED = 0.05
# Share of its processor that a cold upstream gives to tasks, apart from its first one.
COLD_SHARE = 0.5
MAX_SPEED = 8.0
# Weight of the newest run in the share of runs that were done, and the share above which an
# upstream is sound. One that fails all its runs is not sound after eleven of them.
OUTCOME_WEIGHT = 0.2
SOUND_SHARE = 0.1
# Share of the charged failures that remains after a run that is done. An upstream that fails two
# runs in five still rests, although it never fails many in a row.
CHARGE_KEPT_SHARE = 0.8
# A new leader waits this long for an upstream to list all its ends; a slow disk delays each part by
# seconds. The recovery of all jobs must not depend on an upstream that lists new ends for ever.
MAX_LISTING_S = 10.0
# A run is overdue after this multiple of its expected time plus a constant. Estimates are wrong by
# 40%, so an earlier poll would mostly find the task still running.
OVERDUE_FACTOR = 1.3
OVERDUE_S = 0.03


# Attributes of an upstream that the placement of tasks depends on.
_PLACEMENT_ATTRIBUTES = frozenset(
    {
        "state",
        "free",
        "speed",
        "failures",
        "is_known",
        "unreachable_since",
        "backoff_until",
        "is_evacuated",
        "cold_until",
    }
)


class RunState(Enum):
    """State of a run as the leader knows it."""

    STARTING = auto()
    """The start order was sent and isn't confirmed."""
    RUNNING = auto()
    STOPPING = auto()


class Resources(NamedTuple):
    """An amount of resources.

    Args:
        cpu_milli: Processor, in thousandths of a core.
        memory_mb: Memory, in MB.
        gpus: Number of accelerators.
    """

    cpu_milli: int
    memory_mb: int
    gpus: int

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; its amounts may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


class Run:
    """A run of a task on an upstream; it occupies resources there until it is removed.

    Args:
        task: The task.
        number: Number of the run.
        size: Resources that it occupies.
        expected_ms: Expected run time at speed 1, in milliseconds; 0 when it is unknown.
        now: Time of the decision to start it.
        kind: Runs of the same kind disturb others alike; empty if it is unknown.
    """

    __slots__ = (
        "attempts",
        "checkpoint",
        "confirmed_at",
        "decided_at",
        "expected_ms",
        "kind",
        "mark",
        "may_have_started",
        "number",
        "percent",
        "percent_at",
        "shares",
        "size",
        "state",
        "task",
    )

    def __init__(
        self,
        *,
        task: TaskKey,
        number: int,
        size: Resources,
        expected_ms: float,
        now: float,
        kind: str = "",
    ) -> None:
        self.task = task
        self.number = number
        self.size = size
        self.expected_ms = expected_ms
        self.decided_at = now
        self.state = RunState.STARTING
        # When the upstream confirmed the run or its stop; 0 before. The answer to a poll sent after
        # this time lists the run, unless it has ended.
        self.confirmed_at = 0.0
        # Number of start orders sent for this run.
        self.attempts = 0
        # Newest reported share of completed work, and the time of its last increase.
        self.percent = 0
        self.percent_at = now
        # Whether a start order without an answer may have been carried out.
        self.may_have_started = False
        self.checkpoint = ""
        self.kind = kind
        # What else was there at its start, and the shares of its time for which others were beside
        # it, once it has ended; None if it doesn't count as evidence on that.
        self.mark: Mark | None = None
        self.shares: Mapping[str, float] | None = None


class Upstream:
    """One incarnation of an upstream, that is, one process, as the leader knows it.

    Args:
        state: Its announcement.
        token: Fencing token of this leader for this incarnation.
        now: Current time.
        lease_s: Longest lease that it accepts, in seconds.
        on_change: Is called with its identity when tasks may be placed differently on it: its free
            resources, its speed, or whether it is usable has changed.
        company: Keeps the kinds of its runs; None if nobody asks for them.
    """

    def __init__(
        self,
        *,
        state: UpstreamState,
        token: int,
        now: float,
        lease_s: float,
        on_change: Callable[[str], None] = lambda upstream_id: None,
        company: Company | None = None,
    ) -> None:
        self.company = company
        self.upstream_id = state.upstream_id
        self.on_change = on_change
        self.state = state
        self.token = token
        self._lease_s = lease_s
        self.runs: dict[TaskKey, Run] = {}
        # Runs of the previous incarnation. A start order sent about the time of the crash may have
        # reached this one, so their tasks can start again only once it has listed its runs.
        self.previous_runs: dict[TaskKey, Run] = {}
        # Free resources. Updated with each change of the runs instead of computed from them, since
        # every placement reads it for all upstreams.
        self.free = self.capacity
        # Estimated speed; a usual upstream has speed 1.
        self.speed = 1.0
        self.speed_samples = 0
        # Time of the newest run from which the speed was learned.
        self.speed_at = now
        # Whether this leader knows all its runs, from answers to polls that list all its ends.
        self.is_known = False
        # Whether the newest list of ends may have been cut, so that other runs may have ended.
        self.has_unlisted_ends = False
        # Whether an operator has emptied its availability zone.
        self.is_evacuated = False
        # Time until which it runs tasks slowly, as it has just started.
        self.cold_until = 0.0
        # Whether a newer incarnation has answered in its place.
        self.is_replaced = False
        # Polls of the current round without an answer; a new round begins when ends are listed.
        self.open_polls = 0
        self.poll_round = 0
        self.poll_failures = 0
        # Earliest time of the next poll, time of the newest one, and time of the newest list.
        self.next_poll_at = now
        self.polled_at = now
        self.listed_at = now
        # Time at which the upstream made the newest list that has arrived.
        self.newest_list_at = now
        # Reading of its clock in the newest answer to a poll. Answers may arrive out of order, and
        # older lists of runs must be ignored.
        self.lists_clock_ms = 0
        # Start of its outage as the leader saw it; None while it answers.
        self.unreachable_since: float | None = None
        # It gets no tasks until this time. The backoff grows with the failures in a row.
        self.backoff_until = 0.0
        # Number of runs that have failed or stalled since the last one that succeeded.
        self.failures = 0.0
        # Failures that are known to be its fault; each run that is done reduces them.
        self.charged_failures = 0.0
        # Number of rests for its failures since the last run that was done.
        self.rests = 0
        # Moving average of the share of runs that were done among those that have ended.
        self.done_share = 1.0
        # Number of start orders that it has refused since the last one that it carried out.
        self.refusals = 0
        # Numbers of the newest end that it listed, the newest that is committed, and the newest
        # that was acknowledged to it.
        self.listed_end = 0
        self.durable_end = 0
        self.acked_end = 0
        # Number of commands with ends of this upstream that are not committed yet.
        self.open_batches = 0
        # Time of the newest commit of its ends, time of the newest lease, and time at which this
        # leader added the upstream.
        self.durable_at = now
        self.leased_at = now
        self.added_at = now
        # Newest reading of its clock and the leader's time then; end of its lease on its clock.
        self._clock_ms = 0
        self._clock_at = 0.0
        self._lease_end_ms = 0
        # A reading that doesn't fit the earlier ones, and the leader's time when it arrived.
        self._doubted_clock: tuple[int, float] | None = None

    def __setattr__(self, name: str, value: Any) -> None:
        """Set an attribute, and report a change that the placement of tasks depends on."""
        object.__setattr__(self, name, value)
        if name in _PLACEMENT_ATTRIBUTES:
            self.on_change(self.upstream_id)

    @property
    def has_clock(self) -> bool:
        """Whether a reading of its clock has arrived."""
        return self._clock_at > 0

    @property
    def capacity(self) -> Resources:
        """Resources of the upstream, used and free."""
        return Resources(self.state.cpu_milli, self.state.memory_mb, self.state.gpus)

    @property
    def is_sound(self) -> bool:
        """Whether it has lately done a good part of the runs that it started."""
        return self.done_share > SOUND_SHARE

    def record_outcome(self, *, is_done: bool) -> None:
        """Record that a run was done or has failed."""
        self.done_share += OUTCOME_WEIGHT * (float(is_done) - self.done_share)
        if is_done:
            self.failures = 0.0
            self.charged_failures *= CHARGE_KEPT_SHARE
            self.rests = 0
        else:
            self.failures += 1

    def is_usable(self, now: float) -> bool:
        """Whether tasks may be started on it."""
        return (
            self.is_known
            and not self.state.is_draining
            and not self.is_evacuated
            and self.unreachable_since is None
            and now >= self.backoff_until
        )

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources; it replaces an earlier run of its task."""
        self.remove(run.task)
        if self.company is not None and run.kind:
            mark = self.company.enter(run.kind, run.expected_ms)
            # The tasks of a job share the error of its declared run time, so one of them counts.
            is_first = all(task.job != run.task.job for task in self.runs)
            run.mark = mark if is_first else None
        self.runs[run.task] = run
        self.free = self.free.minus(run.size)

    def remove(self, task: TaskKey) -> Run | None:
        """Remove the run of a task, if there is one, and free its resources."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.free = self.free.plus(run.size)
            if self.company is not None and run.kind:
                if run.mark is not None:
                    run.shares = self.company.shares(run.kind, run.mark)
                self.company.leave(run.kind, run.expected_ms)
        return run

    def resize(self, run: Run, size: Resources) -> None:
        """Change the resources that a run occupies."""
        self.free = self.free.plus(run.size).minus(size)
        run.size = size

    def update(self, state: UpstreamState) -> None:
        """Replace the announcement, and adjust the free resources to the new capacity."""
        before = self.capacity
        self.state = state
        self.free = self.free.plus(self.capacity).minus(before)

    def clock_ms(self, now: float) -> int:
        """Return a lower bound of the current reading of the upstream's clock, in milliseconds."""
        passed_ms = (now - self._clock_at) * 1000 * (1 - MAX_CLOCK_SLOWNESS)
        return self._clock_ms + int(passed_ms)

    def reading_age_s(self, clock_ms: int, now: float) -> float:
        """Return how long ago a reading of its clock was made at least, in seconds.

        An answer may be on its way for long, or wait here while this process is paused.

        Args:
            clock_ms: The reading; 0 if there is none.
            now: Current time.
        """
        return max(0.0, (self.clock_ms(now) - clock_ms) / 1000) if clock_ms else 0.0

    def record_clock(self, clock_ms: int | None, now: float) -> int | None:
        """Record a reading of its clock that has just arrived, if the answer held one.

        A reading that doesn't fit the earlier ones would make a lease end too early or too late for
        the leader, so it is ignored until later ones agree with it.

        Returns:
            The reading; None without one, or if it was ignored.
        """
        if clock_ms is None:
            return None
        if self.has_clock and not self._is_clock_plausible(clock_ms, now):
            if not self._agrees_with_doubted(clock_ms, now):
                return None
            get_logger().warning("upstream_clock_changed", upstream=self.state.upstream_id)
            self._clock_at = 0.0
            self.lists_clock_ms = 0
        self._doubted_clock = None
        if not self.has_clock:
            # An earlier leader may have renewed the lease just before.
            self._lease_end_ms = clock_ms + int(self._lease_s * 1000)
        if not self.has_clock or clock_ms >= self.clock_ms(now):
            self._clock_ms = clock_ms
            self._clock_at = now
        return clock_ms

    def _is_clock_plausible(self, clock_ms: int, now: float) -> bool:
        highest_ms = self._clock_ms + (now - self._clock_at) * 1000 * (1 + MAX_CLOCK_SLOWNESS)
        lowest_ms = self.clock_ms(now)
        return lowest_ms - MAX_CLOCK_ERROR_MS <= clock_ms <= highest_ms + MAX_CLOCK_ERROR_MS

    def _agrees_with_doubted(self, clock_ms: int, now: float) -> bool:
        """Return whether readings that don't fit the earlier ones have advanced like a clock."""
        if self._doubted_clock is not None:
            doubted_ms, doubted_at = self._doubted_clock
            passed_ms = (now - doubted_at) * 1000
            is_advancing = abs(clock_ms - doubted_ms - passed_ms) <= CLOCK_DOUBT_S * 1000 / 2
            if is_advancing:
                return passed_ms >= CLOCK_DOUBT_S * 1000
        get_logger().warning(
            "upstream_clock_odd", upstream=self.state.upstream_id, clock_ms=clock_ms
        )
        self._doubted_clock = (clock_ms, now)
        return False

    def is_overdue(self, now: float) -> bool:
        """Whether a run should have ended by now, so that the answer to a poll may be lost."""
        return any(
            run.state is RunState.RUNNING
            and now - run.decided_at
            > OVERDUE_S + OVERDUE_FACTOR * run.expected_ms / 1000 / self.speed
            for run in self.runs.values()
        )

    def extend_lease(self, lease_s: float, now: float) -> int:
        """Return the end of a new lease on the upstream's clock, and record that it is sent now.

        Args:
            lease_s: Length of the lease, in seconds.
            now: Current time.

        Returns:
            End of the lease, in milliseconds.
        """
        end_ms = self.clock_ms(now) + int(lease_s * 1000)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)
        self.leased_at = now
        return end_ms

    def is_lease_over(self, now: float) -> bool:
        """Whether all leases that leaders have sent to it have certainly ended."""
        return not self._lease_end_ms or self.clock_ms(now) > self._lease_end_ms

    def may_list_more_ends(self, now: float) -> bool:
        """Whether tasks that it has not listed may have been done there.

        Ends that it lists after its lease is over don't count.
        """
        is_lost = self.is_given_up(now) and self.is_lease_over(now)
        return self.has_unlisted_ends and not is_lost

    def is_given_up(self, now: float) -> bool:
        """Whether its lease must end, as it does not answer or never lists all its ends."""
        is_incomplete = self.has_unlisted_ends and not self.is_known
        is_listing_too_long = is_incomplete and now - self.added_at > MAX_LISTING_S
        return self.unreachable_since is not None or is_listing_too_long

    def offered(self, now: float) -> Resources:
        """Return the free resources that are offered to tasks; they may be negative.

        Load pattern: the upstreams of a zone come back cold, empty and all at once, while the
        others are full. Without this, all that waits would start on them. One that is empty offers
        all that it has, so that no task waits for long because it needs more than the share.
        """
        if now >= self.cold_until or not self.runs:
            return self.free
        kept_milli = int(self.state.cpu_milli * (1 - COLD_SHARE))
        return self.free._replace(cpu_milli=self.free.cpu_milli - kept_milli)

    def was_cold(self, run_ms: float, now: float) -> bool:
        """Return whether it was cold in a part of a run that has just ended.

        Args:
            run_ms: Run time, in milliseconds.
            now: Current time.
        """
        return now - run_ms / 1000 < self.cold_until

    def learn_speed(self, expected_ms: float, run_ms: float, now: float) -> None:
        """Update the speed from the run time of a task that succeeded.

        Args:
            expected_ms: Run time expected at speed 1, in milliseconds.
            run_ms: Measured run time, in milliseconds.
            now: Current time.
        """
        if expected_ms <= 0 or run_ms <= 0:
            return
        sample = min(MAX_SPEED, max(MIN_SPEED, expected_ms / run_ms))
        weight = max(SPEED_WEIGHT, 1 / (self.speed_samples + 2))
        self.speed += weight * (sample - self.speed)
        self.speed_samples += 1
        self.speed_at = now


def size_of(step: Step) -> Resources:
    """Return the resources that a task of a step reserves.

    Tasks that only use idle processor time reserve none.
    """
    return Resources(0 if step.uses_idle_cpu else step.cpu_milli, step.memory_mb, step.gpus)


def ref_of(upstream: Upstream) -> UpstreamRef:
    """Return the reference that orders to an upstream carry."""
    state = upstream.state
    return UpstreamRef(state.upstream_id, state.started_at_ms, state.address, upstream.token)
