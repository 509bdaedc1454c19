"""Commits the ends of runs to the log before they are acknowledged to the upstreams."""

from collections.abc import Callable

from kumquatlift.authority._commands import Command, CommandKind, TaskEnd
from kumquatlift.authority._fleet import Upstream
from kumquatlift.authority._state import State
from kumquatlift.authority._work import Job
from kumquatlift.clock import Clock


class EndLog:
    """Proposes ends of runs in batches and tracks which of them are committed.

    Ends of jobs that are not in the log are handled at once, without a command.

    Args:
        state: Replicated state.
        unlogged: Jobs that are not in the log.
        clock: Source of time.
        propose: Appends a command to the log and returns its index, or None.
        on_committed: Is called with each end that is committed or needs no commit.
    """

    def __init__(
        self,
        *,
        state: State,
        unlogged: dict[str, Job],
        clock: Clock,
        propose: Callable[[Command], int | None],
        on_committed: Callable[[TaskEnd], None],
    ) -> None:
        self._state = state
        self._unlogged = unlogged
        self._clock = clock
        self._propose = propose
        self._on_committed = on_committed
        self._pending: list[tuple[Upstream, list[TaskEnd]]] = []
        # By the index of a proposed command: the upstreams whose ends it holds, each with the
        # number of its newest end at that time.
        self._proposed: dict[int, list[tuple[Upstream, int]]] = {}
        # Is called with each upstream whose ends have just been committed.
        self.on_durable: Callable[[Upstream], None] = lambda upstream: None

    def add(self, upstream: Upstream, ends: list[TaskEnd]) -> None:
        """Add ends that an upstream has listed for the first time."""
        logged: list[TaskEnd] = []
        for end in ends:
            job = self._unlogged.get(end.task.job)
            if job is not None:
                if job.end_task(end, self._state.wall_ms()):
                    self._on_committed(end)
                continue
            job = self._state.jobs.get(end.task.job)
            if job is not None and job.has_task(end.task):
                logged.append(end)
        if logged:
            upstream.open_batches += 1
            self._pending.append((upstream, logged))
        elif not upstream.open_batches:
            upstream.durable_end = upstream.listed_end
            upstream.durable_at = self._clock.now()

    def flush(self) -> None:
        """Propose the ends that were added since the last call, in one command."""
        if not self._pending:
            return
        batch, self._pending = self._pending, []
        rows = [
            [*end.task, end.run, end.reason, end.checkpoint] for _, ends in batch for end in ends
        ]
        command = Command(CommandKind.ENDS, {"at_ms": self._state.wall_ms(), "ends": rows})
        index = self._propose(command)
        if index is not None:
            self._proposed[index] = [(upstream, upstream.listed_end) for upstream, _ in batch]

    def on_applied(self, index: int, ends: tuple[TaskEnd, ...]) -> None:
        """Handle a committed batch of ends.

        Args:
            index: Index of its log entry.
            ends: Ends that changed the replicated state.
        """
        now = self._clock.now()
        for end in ends:
            self._on_committed(end)
        for upstream, number in self._proposed.pop(index, ()):
            upstream.open_batches -= 1
            # Ends that were listed later but need no command are durable as well.
            number = number if upstream.open_batches else upstream.listed_end
            upstream.durable_end = max(upstream.durable_end, number)
            upstream.durable_at = now
            self.on_durable(upstream)
