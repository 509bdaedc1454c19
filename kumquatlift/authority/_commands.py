"""Commands of the replicated log, and the identities of tasks and upstreams in them."""

import json
from enum import StrEnum
from typing import Any, NamedTuple

# An upstream's start may lie this far ahead of a process's wall clock. A day covers a clock that is
# set to another time zone; a later start would take the place of all real incarnations.
MAX_START_AHEAD_MS = 86_400_000


class TaskKey(NamedTuple):
    """Identity of a task.

    Args:
        job: Identity of the job.
        occurrence: Number of the occurrence of a recurring job; 0 for a job that runs once.
        step: Number of the step.
        number: Number of the task in the step.
    """

    job: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> "TaskKey":
        """Parse the text form that ``str`` returns.

        Raises:
            ValueError: The text has another form.
        """
        job, occurrence, step, number = text.split(".")
        return cls(job, int(occurrence), int(step), int(number))


class EndReason(StrEnum):
    """Why a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease was not renewed in time."""
    BROKEN = "broken"
    """Another member of its gang ended first."""
    ALONE = "alone"
    """The other members of its gang were not started in time."""


class TaskEnd(NamedTuple):
    """End of a run, as an upstream reports it.

    Args:
        task: The task.
        run: Number of the run.
        reason: Why the run ended.
        checkpoint: Progress that a later run can resume from; empty for none.
    """

    task: TaskKey
    run: int
    reason: EndReason
    checkpoint: str = ""


class UpstreamState(NamedTuple):
    """Announcement of an upstream, which is kept in the replicated state.

    Args:
        upstream_id: Identity that the upstream chose; a restarted process may use it again.
        started_at_ms: Start of this incarnation, Unix milliseconds by the clock of its machine.
        address: Address at which it accepts orders, "ip:port".
        service: Service whose tasks it runs.
        zone: Availability zone.
        cpu_milli: Processor capacity, in thousandths of a core.
        memory_mb: Memory capacity, in MB.
        gpus: Number of accelerators.
        labels: Kind and rack.
        is_draining: Whether it is shutting down gracefully and accepts no new tasks.
    """

    upstream_id: str
    started_at_ms: int
    address: str
    service: str
    zone: str
    cpu_milli: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]
    is_draining: bool

    @property
    def rack(self) -> str:
        """Rack, which is the last label by convention; empty without labels."""
        return self.labels[-1] if self.labels else ""


class CommandKind(StrEnum):
    """Kind of a command, which tells what it changes."""

    CONFIG = "config"
    JOB = "job"
    ENDS = "ends"
    CANCEL = "cancel"
    UPSTREAM = "upstream"
    UPSTREAM_LEFT = "upstream-left"
    """An upstream has left or can't be reached; it may hold runs until its departure is over."""
    DEPARTURE_OVER = "departure-over"
    """The leader has shown that an upstream that has left holds no runs any more."""
    FORGET = "forget"
    EVACUATION = "evacuation"
    """An operator empties an availability zone, or takes it back."""


class Command(NamedTuple):
    """A command of the replicated log.

    Args:
        kind: Kind of the command.
        fields: Arguments as plain JSON values; their names depend on the kind.
    """

    kind: CommandKind
    fields: dict[str, Any]

    def to_bytes(self) -> bytes:
        """Encode for the log."""
        return json.dumps([self.kind, self.fields], separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Command":
        """Decode a command from the log; only leaders write it, so its form isn't checked."""
        kind, fields = json.loads(data)
        return cls(CommandKind(kind), fields)
