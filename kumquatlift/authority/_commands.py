"""Commands of the replicated log, and the names of tasks."""

import json
from enum import StrEnum
from typing import Any, NamedTuple


class TaskKey(NamedTuple):
    """Identity of a task.

    Args:
        job: Identity of the job.
        occurrence: Number of the occurrence, 0 for a job without occurrences.
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
        """Read the text form.

        Raises:
            ValueError: The text has another form.
        """
        job, occurrence, step, number = text.split(".")
        return cls(job, int(occurrence), int(step), int(number))


class EndReason(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease was not renewed in time."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The other members of its gang did not come."""


class TaskEnd(NamedTuple):
    """End of a run, as an upstream lists it."""

    task: TaskKey
    run: int
    reason: EndReason
    checkpoint: str = ""


class UpstreamState(NamedTuple):
    """What an upstream says of itself, and what outlives a leader.

    Args:
        upstream_id: Identity that the upstream chose; may come back with another life.
        started_at_ms: Start of this life, Unix milliseconds of the upstream's instance.
        address: Where it takes orders, "ip:port".
        service: Service that it runs tasks of.
        zone: Availability zone.
        cpu_milli: Capacity, in thousandths of a core.
        memory_mb: Capacity.
        gpus: Capacity.
        labels: Kind and rack.
        is_draining: It leaves and takes no new work.
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
        """Rack, by the convention that it is the last label."""
        return self.labels[-1] if self.labels else ""


class CommandKind(StrEnum):
    """What a command changes."""

    CONFIG = "config"
    JOB = "job"
    ENDS = "ends"
    CANCEL = "cancel"
    UPSTREAM = "upstream"
    UPSTREAM_LEFT = "upstream-left"
    FORGET = "forget"


class Command(NamedTuple):
    """One command: its kind and plain fields."""

    kind: CommandKind
    fields: dict[str, Any]

    def to_bytes(self) -> bytes:
        """Encode for the log."""
        return json.dumps([self.kind, self.fields], separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Command":
        """Decode a command that a leader of this program proposed."""
        kind, fields = json.loads(data)
        return cls(CommandKind(kind), fields)
