"""Model of an upstream that follows the platform's rules for leases, fencing and run numbers."""

import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from kumquatlift.authority import (
    EndReason,
    OrderAnswer,
    OrderResult,
    PollAnswer,
    PollOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskEnd,
    TaskKey,
    UpstreamState,
)
from kumquatlift.clock import Clock

MAX_LEASE_MS = 1000
# Most ends that the answer to a poll lists.
MAX_LISTED_ENDS = 500


class ModelWorld(Protocol):
    """Interface of the simulation that a model upstream uses: time, tasks and checks."""

    rng: random.Random

    @property
    def clock(self) -> Clock:
        """Source of time."""

    def work_of(self, task: TaskKey) -> tuple[float, int]:
        """Return the run time of a task at speed 1, in milliseconds, and its processor demand."""

    def slowdown(self, task: TaskKey, others: Iterable[TaskKey]) -> float:
        """Return the factor by which a task takes longer beside others."""

    def is_failing(self, task: TaskKey) -> bool:
        """Return whether a task fails wherever it runs."""

    def check(self, holds: bool, text: str) -> None:
        """Record a violation with this text, unless the condition holds."""

    def on_start(self, task: TaskKey, upstream: "ModelUpstream") -> None:
        """Check that the started task does not run elsewhere."""

    def on_end(self, task: TaskKey, upstream: "ModelUpstream", reason: EndReason) -> None:
        """Record the end of a run."""

    def on_end_acked(self, upstream: "ModelUpstream", end: TaskEnd) -> None:
        """Check that no run started after an acknowledged end whose lease had not lapsed."""


class ModelRun(NamedTuple):
    """A run on a model upstream.

    Args:
        task: The task.
        run: Number of the run.
        started_at: Time of its start, in seconds.
        ends_at: Time at which it ends unless the upstream hangs, in seconds.
        cpu_milli: Processor that it occupies, in thousandths of a core.
        slowdown: Factor by which it takes longer beside the runs that are there.
    """

    task: TaskKey
    run: int
    started_at: float
    ends_at: float
    cpu_milli: int
    slowdown: float = 1.0


class ModelUpstream:
    """An upstream that follows the platform's rules for leases, fencing and run numbers.

    Args:
        world: The simulation.
        state: Its announcement.
        speed: Speed relative to a usual upstream.
        clock_rate: Rate of its clock relative to the clock of the simulation.
    """

    def __init__(
        self, *, world: ModelWorld, state: UpstreamState, speed: float, clock_rate: float = 1.0
    ) -> None:
        self.world = world
        self.state = state
        self.speed = speed
        self._clock_rate = clock_rate
        self._started_at = world.clock.now()
        self._token = 0
        self._lease_end_ms = 0
        # Last time at which it had no lease.
        self.lapsed_at = self._started_at
        self.runs: dict[TaskKey, ModelRun] = {}
        # Highest run number that may not start any more, by task.
        self._barred: dict[TaskKey, int] = {}
        self._ends: list[tuple[int, TaskEnd]] = []
        self._numbers = itertools.count(1)
        self._acked = 0
        # Open polls that wait for an end: the time at which each is answered without one, and its
        # callback.
        self._waiting: list[tuple[float, Callable[[PollAnswer], None]]] = []
        self.max_listed_ends = MAX_LISTED_ENDS
        self.is_reachable = True
        self.can_reply = True
        self.is_hanging = False
        self.fail_share = 0.0
        # Shares of the start orders and of the polls that it refuses, without doing anything.
        self.refused_starts = 0.0
        self.refused_polls = 0.0
        # Share of the orders and polls whose connection breaks before they are carried out.
        self.broken_share = 0.0

    @property
    def clock_ms(self) -> int:
        """Reading of its clock, in milliseconds."""
        return int((self.world.clock.now() - self._started_at) * 1000 * self._clock_rate)

    def start(self, token: int, order: StartOrder) -> OrderAnswer:
        """Carry out a start order."""
        if self._is_drawn(self.refused_starts):
            return OrderAnswer(OrderResult.REFUSED)
        if self._is_drawn(self.broken_share):
            return OrderAnswer(OrderResult.UNKNOWN)
        if token < self._token:
            return OrderAnswer(OrderResult.FENCED, self.clock_ms)
        self._token = token
        current = self.runs.get(order.task)
        if order.lease_end_ms < self.clock_ms:
            return OrderAnswer(OrderResult.LEASE_PASSED, self.clock_ms)
        self._extend_lease(order.lease_end_ms)
        if current is not None and current.run == order.run:
            return OrderAnswer(OrderResult.OK, self.clock_ms)
        if order.run <= self._barred.get(order.task, 0):
            return OrderAnswer(OrderResult.STALE_RUN, self.clock_ms)
        work_ms, cpu_milli = self.world.work_of(order.task)
        now = self.world.clock.now()
        ends_at = now + work_ms / self.speed / 1000
        self.runs[order.task] = ModelRun(order.task, order.run, now, ends_at, cpu_milli)
        self._slow_down()
        used = sum(run.cpu_milli for run in self.runs.values())
        self.world.check(used <= self.state.cpu_milli, f"capacity of {self.state.upstream_id}")
        self.world.on_start(order.task, self)
        return OrderAnswer(OrderResult.OK, self.clock_ms)

    def stop(self, token: int, order: StopOrder) -> OrderAnswer:
        """Carry out a stop order."""
        if self._is_drawn(self.broken_share):
            return OrderAnswer(OrderResult.UNKNOWN)
        if token < self._token:
            return OrderAnswer(OrderResult.FENCED, self.clock_ms)
        self._token = token
        self._barred[order.task] = max(order.run, self._barred.get(order.task, 0))
        current = self.runs.get(order.task)
        if current is not None and current.run <= order.run:
            self._end(current, EndReason.STOPPED)
        return OrderAnswer(OrderResult.OK, self.clock_ms)

    def poll(self, token: int, order: PollOrder, answer: Callable[[PollAnswer], None]) -> None:
        """Carry out a poll; the answer may wait for an end."""
        if self._is_drawn(self.refused_polls):
            answer(PollAnswer(OrderResult.REFUSED))
            return
        if self._is_drawn(self.broken_share):
            answer(PollAnswer(OrderResult.UNKNOWN))
            return
        if token < self._token:
            answer(PollAnswer(OrderResult.FENCED, self.clock_ms))
            return
        self._token = token
        self._extend_lease(order.lease_end_ms)
        for number, end in self._ends:
            if number <= order.acked_end:
                self.world.on_end_acked(self, end)
        self._acked = max(self._acked, order.acked_end)
        self._ends = [row for row in self._ends if row[0] > order.acked_end]
        if self._ends or not order.wait_ms:
            answer(self._poll_answer())
        else:
            self._waiting.append((self.world.clock.now() + order.wait_ms / 1000, answer))

    def step(self) -> None:
        """End runs whose time or lease is over, and answer polls that have waited long enough."""
        now = self.world.clock.now()
        if self._lease_end_ms < self.clock_ms:
            self.lapsed_at = now
        for run in list(self.runs.values()):
            if self._lease_end_ms < self.clock_ms:
                self._end(run, EndReason.LAPSED)
            elif run.ends_at <= now and not self.is_hanging:
                is_unlucky = self.world.rng.random() < self.fail_share
                has_failed = is_unlucky or self.world.is_failing(run.task)
                self._end(run, EndReason.FAILED if has_failed else EndReason.DONE)
        waiting, self._waiting = self._waiting, []
        for until, answer in waiting:
            if self._ends or until <= now:
                answer(self._poll_answer())
            else:
                self._waiting.append((until, answer))

    def _is_drawn(self, share: float) -> bool:
        return share > 0 and self.world.rng.random() < share

    def _extend_lease(self, lease_end_ms: int) -> None:
        allowed = min(lease_end_ms, self.clock_ms + MAX_LEASE_MS)
        self._lease_end_ms = max(self._lease_end_ms, allowed)

    def _end(self, run: ModelRun, reason: EndReason) -> None:
        del self.runs[run.task]
        self._slow_down()
        self._barred[run.task] = max(run.run, self._barred.get(run.task, 0))
        self._ends.append((next(self._numbers), TaskEnd(run.task, run.run, reason)))
        self.world.on_end(run.task, self, reason)

    def _slow_down(self) -> None:
        """Move the ends of all runs after the runs that disturb them have changed."""
        now = self.world.clock.now()
        for run in list(self.runs.values()):
            others = [task for task in self.runs if task != run.task]
            slowdown = self.world.slowdown(run.task, others)
            if slowdown != run.slowdown:
                ends_at = now + (run.ends_at - now) * slowdown / run.slowdown
                self.runs[run.task] = run._replace(ends_at=ends_at, slowdown=slowdown)

    def _poll_answer(self) -> PollAnswer:
        now = self.world.clock.now()
        running = tuple(
            RunningTask(run.task, run.run, "", 0 if self.is_hanging else self._percent(run, now))
            for run in self.runs.values()
        )
        ends = tuple(self._ends[: self.max_listed_ends])
        return PollAnswer(
            OrderResult.OK,
            self.clock_ms,
            running,
            ends,
            may_have_more_ends=len(ends) >= self.max_listed_ends,
        )

    @staticmethod
    def _percent(run: ModelRun, now: float) -> int:
        return min(99, int(100 * (now - run.started_at) / (run.ends_at - run.started_at)))
