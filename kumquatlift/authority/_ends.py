"""Makes the ends that upstreams list durable before they are acknowledged."""

from collections.abc import Callable

from kumquatlift.authority._commands import Command, CommandKind, TaskEnd
from kumquatlift.authority._fleet import Upstream
from kumquatlift.authority._state import State
from kumquatlift.authority._work import Job
from kumquatlift.clock import Clock


class EndLog:
    """Ends on their way into the log, in batches; ends of jobs that are not kept need none.

    Args:
        state: Replicated state.
        unlogged: Jobs that are not in the log.
        clock: Source of time.
        propose: Appends a command to the log and returns its index, or None.
        on_committed: Takes an end that is durable, or needs not be.
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
        self._new: list[tuple[Upstream, list[TaskEnd]]] = []
        # Newest listed end of each upstream, by the index of the command that makes it durable.
        self._open: dict[int, list[tuple[Upstream, int]]] = {}
        self.on_durable: Callable[[Upstream], None] = lambda upstream: None

    def add(self, upstream: Upstream, ends: list[TaskEnd]) -> None:
        """Take ends that an upstream has listed."""
        kept: list[TaskEnd] = []
        for end in ends:
            job = self._unlogged.get(end.task.job)
            if job is not None:
                if job.end_task(end, self._state.wall_ms()):
                    self._on_committed(end)
            elif end.task.job in self._state.jobs:
                kept.append(end)
        if kept:
            upstream.open_batches += 1
            self._new.append((upstream, kept))
        elif not upstream.open_batches:
            upstream.durable_end = upstream.listed_end
            upstream.durable_at = self._clock.now()

    def flush(self) -> None:
        """Propose what was listed since the last call."""
        if not self._new:
            return
        batch, self._new = self._new, []
        rows = [[*end.task, end.run, end.how, end.saved] for _, ends in batch for end in ends]
        command = Command(CommandKind.ENDS, {"at_ms": self._state.wall_ms(), "ends": rows})
        index = self._propose(command)
        if index is not None:
            self._open[index] = [(upstream, upstream.listed_end) for upstream, _ in batch]

    def on_applied(self, index: int, ends: tuple[TaskEnd, ...]) -> None:
        """Take note that a batch is durable."""
        now = self._clock.now()
        for end in ends:
            self._on_committed(end)
        for upstream, number in self._open.pop(index, ()):
            upstream.open_batches -= 1
            # Ends listed since then that are not kept need no command.
            number = number if upstream.open_batches else upstream.listed_end
            upstream.durable_end = max(upstream.durable_end, number)
            upstream.durable_at = now
            self.on_durable(upstream)
