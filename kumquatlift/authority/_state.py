"""The replicated state: configuration, jobs, upstreams and emptied zones.

Only committed commands change it.
"""

import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from kumquatlift.authority._commands import (
    Command,
    CommandKind,
    EndReason,
    TaskEnd,
    TaskKey,
    UpstreamState,
)
from kumquatlift.authority._evacuation import Evacuations
from kumquatlift.authority._serving import ConfigReader, Queue, RoutingTable, ServingConfig
from kumquatlift.authority._work import MAX_REPEATED_TASKS, Job, JobSpec, JobState
from kumquatlift.log import get_logger

# Queues that later configurations dropped are kept for the jobs that they accepted, up to this many
# beside those of open jobs in the log.
MAX_FORMER_QUEUES = 200
# Limit for the notes of cancelled jobs that are not in the log.
MAX_CANCEL_NOTES = 10_000


class CancelNote(NamedTuple):
    """Note that a job that isn't in the log was cancelled, so that no later leader starts it.

    Args:
        at_ms: Time of the cancelling, Unix milliseconds.
        state: State in which the job ended; empty if the leader didn't know the job.
    """

    at_ms: int
    state: str


class Applied(NamedTuple):
    """A committed command and its effect.

    Args:
        position: Index of its entry in the log.
        command: The command; None if it was skipped because it can't be applied.
        job: Job that it concerns; None when there is none or it is unknown.
        ends: Ends of runs that changed the state.
    """

    position: int
    command: Command | None
    job: Job | None = None
    ends: tuple[TaskEnd, ...] = ()


class State:
    """The state that every replica derives from the log.

    Args:
        read_config: Parses the text of a configuration.
        wall_clock: Returns the time of day in Unix seconds; simulations pass their own clock.
    """

    def __init__(
        self, *, read_config: ConfigReader, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._read_config = read_config
        self._wall_clock = wall_clock
        self.on_applied: Callable[[Applied], None] = lambda applied: None
        self._reset()

    def _reset(self) -> None:
        self.routing = RoutingTable(cfg=ServingConfig())
        # Queues that are in force no more, by key, the latest dropped last.
        self.former_queues: dict[str, Queue] = {}
        self.jobs: dict[str, Job] = {}
        # By job, the oldest first.
        self.cancelled: dict[str, CancelNote] = {}
        self.upstreams: dict[str, UpstreamState] = {}
        # Upstreams that have left, by identity, until a leader has shown that they hold no runs.
        # Its successors would start the tasks of those runs a second time.
        self.departed: dict[str, UpstreamState] = {}
        self.evacuations = Evacuations()

    def wall_ms(self) -> int:
        """Return the time of day in Unix milliseconds."""
        return int(self._wall_clock() * 1000)

    def apply(self, index: int, term: int, data: bytes) -> None:
        """Apply a committed command.

        A command that can't be applied is skipped. As that depends only on the command and on the
        state, all replicas skip the same commands.
        """
        try:
            applied = self._apply(index, term, Command.from_bytes(data))
        except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as exc:
            get_logger().error(
                "command_not_applied", index=index, data=repr(data[:200]), exc_info=exc
            )
            applied = Applied(index, None)
        self.on_applied(applied)

    def _apply(self, index: int, term: int, command: Command) -> Applied:
        fields = command.fields
        applied = Applied(index, command)
        match command.kind:
            case CommandKind.CONFIG:
                if fields["version"] > self.routing.cfg.version:
                    former = self.routing
                    self.routing = RoutingTable(cfg=self._read_config(fields["source"]))
                    self._keep_former_queues(former)
                    get_logger().info("config_in_force", version=fields["version"], index=index)
            case CommandKind.JOB:
                applied = applied._replace(job=self._add_job(term, command))
            case CommandKind.ENDS:
                applied = applied._replace(ends=self._end_tasks(command))
            case CommandKind.CANCEL:
                applied = applied._replace(job=self._cancel(command))
            case CommandKind.UPSTREAM:
                self._add_upstream(UpstreamState(*fields["upstream"]))
            case CommandKind.UPSTREAM_LEFT:
                known = self.upstreams.get(fields["upstream"])
                if known is not None and known.started_at_ms <= fields["born_ms"]:
                    del self.upstreams[known.upstream_id]
                    self.departed[known.upstream_id] = known
            case CommandKind.DEPARTURE_OVER:
                known = self.departed.get(fields["upstream"])
                if known is not None and known.started_at_ms <= fields["born_ms"]:
                    del self.departed[known.upstream_id]
            case CommandKind.FORGET:
                self._forget(fields["ended_before_ms"])
            case CommandKind.EVACUATION:
                if self.evacuations.apply(index, fields):
                    get_logger().info(
                        "evacuation_in_force",
                        zone=fields["zone"],
                        is_empty=fields["is_empty"],
                        index=index,
                    )
        return applied

    def queue_of(self, key: str) -> Queue | None:
        """Return the queue with a key, in force or dropped; None if it is unknown."""
        return self.routing.by_key.get(key) or self.former_queues.get(key)

    def find_former_queue(self, host: str, path: str) -> Queue | None:
        """Return the dropped queue with the longest prefix of a path, or None."""
        queues = tuple(self.former_queues.values())
        return RoutingTable(cfg=ServingConfig(queues=queues)).find(host, path)

    def _keep_former_queues(self, former: RoutingTable) -> None:
        for key, queue in former.by_key.items():
            self.former_queues.pop(key, None)
            self.former_queues[key] = queue
        for key in self.routing.by_key:
            self.former_queues.pop(key, None)
        excess = len(self.former_queues) - MAX_FORMER_QUEUES
        if excess > 0:
            in_use = {job.queue for job in self.jobs.values() if job.is_open}
            unused = [key for key in self.former_queues if key not in in_use]
            for key in unused[:excess]:
                del self.former_queues[key]

    def _add_job(self, term: int, command: Command) -> Job:
        fields = command.fields
        known = self.jobs.get(fields["job"])
        if known is not None:
            return known
        job = job_of(command, term)
        note = self.cancelled.get(job.job_id)
        if note is not None:
            job.close(JobState.CANCELLED, note.at_ms)
        self.jobs[job.job_id] = job
        return job

    def _cancel(self, command: Command) -> Job | None:
        job_id, at_ms = command.fields["job"], command.fields["at_ms"]
        job = self.jobs.get(job_id)
        if job is None:
            # Leaders of earlier versions give no state.
            note = CancelNote(at_ms, command.fields.get("state", ""))
            self.cancelled.setdefault(job_id, note)
            if len(self.cancelled) > MAX_CANCEL_NOTES:
                del self.cancelled[next(iter(self.cancelled))]
        elif job.is_open:
            job.close(JobState.CANCELLED, at_ms)
        return job

    def _end_tasks(self, command: Command) -> tuple[TaskEnd, ...]:
        # All rows are read before the first one takes effect, so that a command is either applied
        # in full or skipped.
        at_ms = command.fields["at_ms"]
        rows = [
            TaskEnd(TaskKey(*row[:4]), row[4], EndReason(row[5]), row[6])
            for row in command.fields["ends"]
        ]
        ends: list[TaskEnd] = []
        for end in rows:
            job = self.jobs.get(end.task.job)
            if job is not None and job.end_task(end, at_ms):
                ends.append(end)
        return tuple(ends)

    def _add_upstream(self, upstream: UpstreamState) -> None:
        known = self.find_upstream(upstream.upstream_id)
        if known is None or upstream.started_at_ms >= known.started_at_ms:
            self.upstreams[upstream.upstream_id] = upstream._replace(labels=tuple(upstream.labels))
            # A newer incarnation shows that this one has ended, with all its runs.
            self.departed.pop(upstream.upstream_id, None)

    def find_upstream(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream that was announced or that has left, or None if it is unknown."""
        return self.upstreams.get(upstream_id) or self.departed.get(upstream_id)

    def _forget(self, ended_before_ms: int) -> None:
        old = [
            job.job_id
            for job in self.jobs.values()
            if not job.is_open and job.ended_at_ms < ended_before_ms
        ]
        for job_id in old:
            del self.jobs[job_id]
        notes = [each for each, note in self.cancelled.items() if note.at_ms < ended_before_ms]
        for job_id in notes:
            del self.cancelled[job_id]

    def snapshot(self) -> bytes:
        """Return the whole state as JSON."""
        plain: dict[str, Any] = {
            "config": self.routing.cfg.source,
            "jobs": [job.to_plain() for job in self.jobs.values()],
            "upstreams": list(self.upstreams.values()),
        }
        if self.former_queues:
            plain["former_queues"] = list(self.former_queues.values())
        if self.departed:
            plain["departed"] = list(self.departed.values())
        if self.cancelled:
            plain["cancelled"] = [[job_id, *note] for job_id, note in self.cancelled.items()]
        if self.evacuations.number:
            plain["evacuations"] = self.evacuations.to_plain()
        return json.dumps(plain, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Replace the whole state; empty bytes stand for the initial state.

        Raises:
            ValueError: The bytes can't be read. The state is as it was before.
        """
        restored = State(read_config=self._read_config, wall_clock=self._wall_clock)
        try:
            if data:
                restored._load(json.loads(data))
        except (ArithmeticError, AttributeError, LookupError, RecursionError, TypeError) as exc:
            raise ValueError(f"unreadable state: {exc!r}") from exc
        self.routing = restored.routing
        self.former_queues = restored.former_queues
        self.jobs = restored.jobs
        self.cancelled = restored.cancelled
        self.upstreams = restored.upstreams
        self.departed = restored.departed
        self.evacuations = restored.evacuations

    def _load(self, plain: dict[str, Any]) -> None:
        """Fill the initial state with what a snapshot holds."""
        if plain["config"]:
            try:
                self.routing = RoutingTable(cfg=self._read_config(plain["config"]))
            except ValueError as exc:
                # Without a configuration, the operator sends it again; an error here would set the
                # jobs aside as well.
                get_logger().error("config_not_restored", error=str(exc)[:300])
        # Earlier versions keep neither dropped queues, notes of cancelled jobs nor departures.
        for job_id, *note in plain.get("cancelled", ()):
            self.cancelled[job_id] = CancelNote(*note)
        for row in plain.get("former_queues", ()):
            queue = Queue(*row)
            self.former_queues[queue.key] = queue
        for row in plain["jobs"]:
            job = Job.from_plain(row)
            self.jobs[job.job_id] = job
        for row in plain["upstreams"]:
            self._add_upstream(UpstreamState(*row))
        for row in plain.get("departed", ()):
            upstream = UpstreamState(*row)
            self.departed[upstream.upstream_id] = upstream._replace(labels=tuple(upstream.labels))
        self.evacuations = Evacuations.from_plain(plain.get("evacuations", [0, []]))


def job_of(command: Command, term: int, *, is_logged: bool = True) -> Job:
    """Return the job that a command describes.

    Args:
        command: A command of the kind ``JOB``.
        term: Term of the leader that accepted the job.
        is_logged: Whether the command is in the log.

    Raises:
        ValueError: It has more tasks than replicas can hold; earlier versions stored such jobs.
    """
    fields = command.fields
    spec = JobSpec.from_plain(fields["spec"])
    if spec.repeated_tasks > MAX_REPEATED_TASKS:
        raise ValueError(f"more than {MAX_REPEATED_TASKS} tasks in all occurrences")
    return Job(
        job_id=fields["job"],
        queue=fields["queue"],
        spec=spec,
        term=term,
        accepted_at_ms=fields["at_ms"],
        max_attempts=fields["max_attempts"],
        zone=fields["zone"],
        is_logged=is_logged,
    )
