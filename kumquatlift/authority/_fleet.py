"""The leader's table of upstreams and of what runs on them."""

from enum import Enum, auto
from typing import NamedTuple

from kumquatlift.authority._commands import TaskKey, UpstreamState
from kumquatlift.authority._orders import UpstreamRef
from kumquatlift.authority._work import Step

# Clocks of upstreams may be this much slower than ours, by the platform's bounds.
MAX_CLOCK_SLOWNESS = 0.02
# Weight of the newest run in an upstream's learned speed; about the last five runs count.
SPEED_WEIGHT = 0.2
MIN_SPEED = 0.05
MAX_SPEED = 8.0
# A run is overdue after this multiple of its expected time, and this time on top. Estimates are off
# by 40%, so earlier looks would mostly find nothing.
OVERDUE_FACTOR = 1.3
OVERDUE_S = 0.03


class RunState(Enum):
    """What is known of a run."""

    STARTING = auto()
    """The order was sent; nothing is known of its effect."""
    RUNNING = auto()
    STOPPING = auto()


class Room(NamedTuple):
    """Room on an upstream.

    Args:
        cpu_milli: Processor, in thousandths of a core.
        memory_mb: Memory.
        gpus: Accelerators.
    """

    cpu_milli: int
    memory_mb: int
    gpus: int

    def plus(self, other: "Room") -> "Room":
        """Return the sum of both."""
        return Room(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def without(self, other: "Room") -> "Room":
        """Return what is left without the other; it may be negative."""
        return Room(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


class Run:
    """One start of a task on an upstream; it holds its room until it is removed.

    Args:
        task: The task.
        number: Number of the run.
        size: Room that it takes.
        expected_ms: Run time expected at speed 1; 0 when nothing is known.
        now: Time of the decision to start it.
    """

    __slots__ = (
        "attempts",
        "confirmed_at",
        "decided_at",
        "expected_ms",
        "number",
        "percent",
        "percent_at",
        "saved",
        "size",
        "state",
        "task",
        "was_doubtful",
    )

    def __init__(
        self,
        *,
        task: TaskKey,
        number: int,
        size: Room,
        expected_ms: float,
        now: float,
    ) -> None:
        self.task = task
        self.number = number
        self.size = size
        self.expected_ms = expected_ms
        self.decided_at = now
        self.state = RunState.STARTING
        # When the upstream confirmed the start; a list of runs asked for later must hold it.
        self.confirmed_at = 0.0
        self.attempts = 0
        self.percent = 0
        self.percent_at = now
        self.was_doubtful = False
        self.saved = ""


class Upstream:
    """One life of an upstream, as the leader knows it.

    Args:
        state: What it says of itself.
        token: Fencing token of this leader for this life.
        now: Time.
        lease_s: Longest lease that it accepts, in seconds.
    """

    def __init__(self, *, state: UpstreamState, token: int, now: float, lease_s: float) -> None:
        self.state = state
        self.token = token
        self._lease_s = lease_s
        self.runs: dict[TaskKey, Run] = {}
        # Runs of the former life; an order sent about the time of the crash may have reached this
        # one, so their tasks are free only once this life has listed its runs.
        self.former: dict[TaskKey, Run] = {}
        # Kept beside the runs, since every placement reads it for all upstreams.
        self.room = self.capacity
        self.speed = 1.0
        self.speed_samples = 0
        # Whether all its runs are known, by a list that it gave this leader.
        self.is_known = False
        # Looks of the present round that have no answer; a new round begins when ends are listed.
        self.open_looks = 0
        self.look_round = 0
        self.look_failures = 0
        self.next_look_at = now
        self.looked_at = now
        self.listed_at = now
        # Reading of its clock in the newest lists; answers may overtake each other.
        self.lists_clock_ms = 0
        self.silent_since: float | None = None
        self.rest_until = 0.0
        self.failures = 0.0
        # Newest end that was listed, and newest whose command is committed.
        self.listed_end = 0
        self.durable_end = 0
        self.acked_end = 0
        # Commands with its ends that are not committed yet.
        self.open_batches = 0
        self.durable_at = now
        self.leased_at = now
        self.added_at = now
        self._clock_ms = 0
        self._clock_at = 0.0
        self._lease_end_ms = 0

    @property
    def has_clock(self) -> bool:
        """Whether a reading of its clock is known."""
        return self._clock_at > 0

    @property
    def capacity(self) -> Room:
        """All of its room."""
        return Room(self.state.cpu_milli, self.state.memory_mb, self.state.gpus)

    def is_usable(self, now: float) -> bool:
        """Whether tasks may be started on it."""
        return (
            self.is_known
            and not self.state.is_draining
            and self.silent_since is None
            and now >= self.rest_until
        )

    def add(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.task] = run
        self.room = self.room.without(run.size)

    def remove(self, task: TaskKey) -> Run | None:
        """Free the room of a run, if there is one of the task."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.room = self.room.plus(run.size)
        return run

    def resize(self, run: Run, size: Room) -> None:
        """Correct the room that a run takes."""
        self.room = self.room.plus(run.size).without(size)
        run.size = size

    def update(self, state: UpstreamState) -> None:
        """Take note of what it says of itself now."""
        before = self.capacity
        self.state = state
        self.room = self.room.plus(self.capacity).without(before)

    def clock_ms(self, now: float) -> int:
        """Return a reading that the upstream's clock has certainly reached."""
        passed_ms = (now - self._clock_at) * 1000 * (1 - MAX_CLOCK_SLOWNESS)
        return self._clock_ms + int(passed_ms)

    def hear_clock(self, clock_ms: int | None, now: float) -> None:
        """Take note of a reading of its clock that arrived now, if there was one."""
        if clock_ms is None:
            return
        if not self.has_clock:
            # An earlier leader may have given a lease just before.
            self._lease_end_ms = clock_ms + int(self._lease_s * 1000)
        if not self.has_clock or clock_ms >= self.clock_ms(now):
            self._clock_ms = clock_ms
            self._clock_at = now

    def is_overdue(self, now: float) -> bool:
        """Whether a run should have ended long ago, so that the answer to a look may be lost."""
        return any(
            run.state is RunState.RUNNING
            and now - run.decided_at
            > OVERDUE_S + OVERDUE_FACTOR * run.expected_ms / 1000 / self.speed
            for run in self.runs.values()
        )

    def extend_lease(self, lease_s: float, now: float) -> int:
        """Return the end of a lease on the upstream's clock, and remember that it was sent."""
        end_ms = self.clock_ms(now) + int(lease_s * 1000)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)
        self.leased_at = now
        return end_ms

    def is_lease_over(self, now: float) -> bool:
        """Whether every lease that this leader sent has certainly ended."""
        return not self._lease_end_ms or self.clock_ms(now) > self._lease_end_ms

    def learn_speed(self, expected_ms: float, run_ms: float) -> None:
        """Take note of the run time of a task that ended well."""
        if expected_ms <= 0 or run_ms <= 0:
            return
        sample = min(MAX_SPEED, max(MIN_SPEED, expected_ms / run_ms))
        weight = max(SPEED_WEIGHT, 1 / (self.speed_samples + 2))
        self.speed += weight * (sample - self.speed)
        self.speed_samples += 1


def size_of(step: Step) -> Room:
    """Return the room that a task of a step takes; fillers use what others leave."""
    return Room(0 if step.is_best_effort else step.cpu_milli, step.memory_mb, step.gpus)


def ref_of(upstream: Upstream) -> UpstreamRef:
    """Return the address of a life of an upstream, with this leader's token."""
    state = upstream.state
    return UpstreamRef(state.upstream_id, state.born_ms, state.address, upstream.token)
