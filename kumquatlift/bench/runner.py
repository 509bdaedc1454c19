"""A simulated runner."""

import random
from collections import deque

from kumquatlift.bench.cases import CONNECTIONS, FAIL_AFTER_S, RETRY_AFTER_S, SLOTS, CaseRunner
from kumquatlift.bench.events import EventQueue
from kumquatlift.bench.jobs import Task
from kumquatlift.scheduling.scheduler import AttemptOutcome


class BenchRunner:
    """A simulated runner with slots, faults, and a queue limited by its number of connections.

    Args:
        events: Event queue of the experiment.
        spec: Speed, zone and faults.
    """

    def __init__(self, *, events: EventQueue, spec: CaseRunner) -> None:
        self.spec = spec
        self._events = events
        self._running: set[int] = set()
        self._queue: deque[Task] = deque()
        self._random = random.Random(spec.name)

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return len(self._running)

    def receive(self, task: Task) -> None:
        """Start, queue or refuse a task."""
        if self.spec.refuses(self._events.now):
            task.answer(AttemptOutcome.REFUSED, RETRY_AFTER_S)
        elif len(self._running) < SLOTS:
            self._start(task)
        elif len(self._queue) < CONNECTIONS - SLOTS:
            self._queue.append(task)
        else:
            task.answer(AttemptOutcome.REFUSED, 0.0)

    def cancel(self, task: Task) -> None:
        """Remove a queued or running task without an answer."""
        if task in self._queue:
            self._queue.remove(task)
        elif id(task) in self._running:
            self._running.discard(id(task))
            self._start_next()

    def _start(self, task: Task) -> None:
        self._running.add(id(task))
        now = self._events.now
        is_poison = task.job.arrival.kind == "poison"
        if is_poison or self.spec.fails(now) or self._random.random() < self.spec.fail_share:
            self._events.at(now + FAIL_AFTER_S, self._finish, task, AttemptOutcome.FAILED, now)
        else:
            ends_at = self.spec.completion_time(now, task.size_s)
            self._events.at(ends_at, self._finish, task, AttemptOutcome.OK, now)

    def _finish(self, task: Task, outcome: AttemptOutcome, started_at: float) -> None:
        if id(task) not in self._running:
            return
        self._running.discard(id(task))
        task.answer(outcome, self._events.now - started_at)
        self._start_next()

    def _start_next(self) -> None:
        if self._queue:
            self._start(self._queue.popleft())
