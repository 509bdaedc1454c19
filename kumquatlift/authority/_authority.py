"""Answers requests for jobs, configuration and upstreams on the instance that leads."""

import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol

from kumquatlift.authority._admission import MIN_RETRY_MS
from kumquatlift.authority._api import Operation, Reply, Request
from kumquatlift.authority._commands import Command, CommandKind, UpstreamState
from kumquatlift.authority._leader import Leader, Limits
from kumquatlift.authority._orders import UpstreamGateway
from kumquatlift.authority._serving import ConfigReader, Queue
from kumquatlift.authority._state import Applied, State, job_of
from kumquatlift.authority._work import Job, JobSpec, JobState
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.log import get_logger
from kumquatlift.store import Entry, EventLoop, Role

TICK_S = 0.05
# Jobs held at a time; beyond this nothing is accepted, so that memory stays bounded.
MAX_JOBS = 60_000

Waiter = Callable[[Reply], None]
_DONE = Reply(ResultCode.ACCEPTED)


class Log(Protocol):
    """The replicated log, as the authority sees it."""

    @property
    def term(self) -> int:
        """Current term."""

    @property
    def leader(self) -> str:
        """Name of the leader; empty when none is known."""

    @property
    def voters(self) -> tuple[str, ...]:
        """Names of the voters."""

    @property
    def has_lease(self) -> bool:
        """Whether this instance leads, and no other can."""

    @property
    def lease_age_s(self) -> float:
        """Age of the message that the lease counts from, in seconds."""

    @property
    def former_quiet_s(self) -> float:
        """Seconds since the newest time that an earlier leader's lease can count from."""

    @property
    def is_serving(self) -> bool:
        """Whether it leads with a lease and has applied all that was committed before."""

    def propose(self, data: bytes) -> int | None:
        """Append a command; return its index, or None when this instance does not lead."""


class Authority:
    """State machine of the log, and the only writer of commands.

    Args:
        read_config: Reads the text of a configuration.
        gateway: Carries orders to upstreams.
        loop: Event loop; all methods but ``ask`` run in its thread.
        clock: Source of time.
        limits: Bounds of the platform.
        section: Section of the blackboard.
    """

    def __init__(
        self,
        *,
        read_config: ConfigReader,
        gateway: UpstreamGateway,
        loop: EventLoop,
        clock: Clock,
        limits: Limits,
        section: Section,
    ) -> None:
        self.state = State(read_config=read_config)
        self.state.on_applied = self._on_applied
        self._gateway = gateway
        self._loop = loop
        self._clock = clock
        self._limits = limits
        self._section = section
        self._log: Log | None = None
        self._leader: Leader | None = None
        # Callers that wait for the commit of an entry, by its index.
        self._waiters: dict[int, list[Waiter]] = {}
        # Callers that wait for the end of a job.
        self._job_waiters: dict[str, list[Waiter]] = {}
        self._open_submits: dict[str, int] = {}

    def attach(self, log: Log) -> None:
        """Set the log and begin."""
        self._log = log
        self._loop.after_batch(self.flush)
        self._loop.call_every(TICK_S, self._tick)

    # State machine of the log

    def apply(self, index: int, entry: Entry) -> None:
        """Apply a committed command."""
        self.state.apply(index, entry.term, entry.data)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
        self.state.restore(state)

    def on_role(self, role: Role, term: int) -> None:
        """Begin or end to lead; a new leader acts once it has applied its own first entry."""
        self._leader = None
        waiters, self._waiters = self._waiters, {}
        job_waiters, self._job_waiters = self._job_waiters, {}
        self._open_submits.clear()
        unknown = Reply(ResultCode.CLAIM_UNKNOWN, {"reason": "leadership changed"})
        for group in (*waiters.values(), *job_waiters.values()):
            for waiter in group:
                waiter(unknown)

    def _on_applied(self, applied: Applied) -> None:
        leader = self._leader
        if leader is not None:
            self._tell_leader(leader, applied)
        if applied.job is not None:
            self._open_submits.pop(applied.job.job_id, None)
        for waiter in self._waiters.pop(applied.position, ()):
            waiter(_DONE)

    def _tell_leader(self, leader: Leader, applied: Applied) -> None:
        fields = applied.command.fields
        match applied.command.kind:
            case CommandKind.JOB if applied.job is not None:
                leader.add_job(applied.job)
            case CommandKind.ENDS:
                leader.on_ends(applied.position, applied.ends)
            case CommandKind.CANCEL if applied.job is not None:
                leader.on_cancelled(applied.job)
            case CommandKind.UPSTREAM:
                known = self.state.upstreams.get(fields["upstream"][0])
                if known is not None:
                    leader.on_upstream(known)
            case CommandKind.UPSTREAM_LEFT:
                leader.on_left(fields["upstream"])
            case CommandKind.CONFIG:
                leader.on_config()

    def _tell_job_waiters(self, job: Job) -> None:
        reply = Reply(ResultCode.ACCEPTED, {"state": job.state})
        if job.state == JobState.REFUSED:
            reply = Reply(ResultCode.OVERLOADED, {"retry_after_ms": MIN_RETRY_MS})
        for waiter in self._job_waiters.pop(job.job_id, ()):
            waiter(reply)

    # Time

    def flush(self) -> None:
        """Let the leader act on the last batch of events."""
        if self._leader is None and self._log is not None and self._log.is_serving:
            self._begin()
        if self._leader is not None:
            self._leader.flush()

    def _begin(self) -> None:
        log = self._log
        assert log is not None
        term = log.term
        self._leader = Leader(
            term=term,
            state=self.state,
            gateway=self._gateway,
            loop=self._loop,
            clock=self._clock,
            limits=self._limits,
            propose=self._propose,
            # The callbacks of an earlier term must not order when this instance leads again.
            may_order=lambda: log.has_lease and log.term == term,
            lease_age_s=lambda: log.lease_age_s,
            former_quiet_s=log.former_quiet_s,
            on_closed=self._tell_job_waiters,
            section=self._section,
        )
        self._leader.begin()

    def _tick(self) -> None:
        if self._leader is not None and self._log is not None and self._log.has_lease:
            self._leader.tick()

    def _propose(self, command: Command) -> int | None:
        return self._log.propose(command.to_bytes()) if self._log is not None else None

    # Requests

    def ask(self, request: Request) -> Future[Reply]:
        """Answer a request; any thread may call this.

        Returns:
            A future that never raises.
        """
        fut: Future[Reply] = Future()
        self._loop.post(self._ask, request, fut)
        return fut

    def _ask(self, request: Request, fut: Future[Reply]) -> None:
        try:
            self._handle(request, fut.set_result)
        except (KeyError, TypeError, ValueError) as exc:
            if not fut.done():
                fut.set_result(Reply(ResultCode.MALFORMED, {"reason": repr(exc)}))

    def _handle(self, request: Request, answer: Waiter) -> None:
        leader = self._leader
        log = self._log
        if log is None or leader is None or not log.is_serving:
            answer(Reply(ResultCode.NOT_LEADER, _members(log)))
            return
        fields = request.fields
        match request.operation:
            case Operation.SUBMIT:
                self._submit(leader, log.term, fields, answer)
            case Operation.STATUS:
                self._status(leader, fields, answer)
            case Operation.CANCEL:
                self._cancel(leader, fields, answer)
            case Operation.PENDING:
                self._pending(leader, fields, answer)
            case Operation.REPLACE_CONFIG:
                self._replace_config(fields, answer)
            case Operation.READ_CONFIG:
                cfg = self.state.routing.cfg
                answer(Reply(ResultCode.ACCEPTED, {"version": cfg.version, "source": cfg.source}))
            case Operation.ANNOUNCE:
                self._announce(leader, UpstreamState(*fields["upstream"]), answer)
            case Operation.LEAVE:
                self._leave(fields, answer)
            case Operation.WHO_LEADS:
                answer(Reply(ResultCode.ACCEPTED, _members(log)))

    def _commit(self, command: Command, answer: Waiter) -> int | None:
        index = self._propose(command)
        if index is None:
            answer(Reply(ResultCode.NOT_LEADER))
        else:
            self._waiters.setdefault(index, []).append(answer)
        return index

    def _find_queue(self, fields: dict[str, Any], answer: Waiter) -> Queue | None:
        if not self.state.routing.cfg.version:
            answer(Reply(ResultCode.OVERLOADED, {"reason": "there is no configuration yet"}))
            return None
        queue = self.state.routing.find(fields["host"], fields["path"])
        if queue is None:
            answer(Reply(ResultCode.UNKNOWN_SERVICE, {"version": self.state.routing.cfg.version}))
        return queue

    def _submit(
        self, leader: Leader, log_term: int, fields: dict[str, Any], answer: Waiter
    ) -> None:
        job_id = fields["job"]
        known = leader.find_job(job_id)
        if known is not None:
            self._answer_known(known, answer)
            return
        queue = self._find_queue(fields, answer)
        if queue is None:
            return
        open_index = self._open_submits.get(job_id)
        if open_index is not None:
            self._waiters.setdefault(open_index, []).append(answer)
            return
        spec = JobSpec.from_plain(fields["spec"])
        verdict = leader.judge(queue, spec)
        if not verdict.is_taken or len(self.state.jobs) + len(leader.unkept) >= MAX_JOBS:
            get_logger().info(
                "job_refused",
                job=job_id,
                queue=queue.name,
                wait_ms=round(verdict.wait_ms),
                retry_after_ms=verdict.retry_after_ms,
                jobs=len(self.state.jobs),
                config=self.state.routing.cfg.version,
            )
            self._section.count("jobs_refused")
            answer(Reply(ResultCode.OVERLOADED, {"retry_after_ms": verdict.retry_after_ms}))
            return
        command = Command(
            CommandKind.JOB,
            {
                "job": job_id,
                "queue": queue.key,
                "spec": spec.to_plain(),
                "at_ms": self.state.wall_ms(),
                "max_attempts": queue.max_attempts,
                "zone": fields["zone"],
            },
        )
        index = None
        if spec.answers_at_end:
            self._job_waiters.setdefault(job_id, []).append(answer)
            leader.add_job(job_of(command, log_term, is_kept=False))
        else:
            index = self._commit(command, answer)
            if index is not None:
                self._open_submits[job_id] = index
        get_logger().info(
            "job_accepted",
            job=job_id,
            queue=queue.name,
            index=index,
            wait_ms=round(verdict.wait_ms),
            work_ms=round(spec.work_ms),
            config=self.state.routing.cfg.version,
        )
        self._section.count("jobs_accepted")

    def _answer_known(self, job: Job, answer: Waiter) -> None:
        if job.spec.answers_at_end and job.is_open:
            self._job_waiters.setdefault(job.job_id, []).append(answer)
        else:
            answer(Reply(ResultCode.ACCEPTED, {"state": job.state}))

    def _status(self, leader: Leader, fields: dict[str, Any], answer: Waiter) -> None:
        job = leader.find_job(fields["job"])
        if job is None:
            answer(Reply(ResultCode.NOT_FOUND))
            return
        state = "running" if job.is_open and job.is_started else job.state
        answer(Reply(ResultCode.ACCEPTED, {"state": state}))

    def _cancel(self, leader: Leader, fields: dict[str, Any], answer: Waiter) -> None:
        job = leader.find_job(fields["job"])
        if job is None and fields["job"] not in self._open_submits:
            answer(Reply(ResultCode.NOT_FOUND))
            return
        if job is not None and not job.is_open:
            answer(Reply(ResultCode.ACCEPTED, {"state": job.state}))
            return
        if job is not None and not job.is_kept:
            job.close(JobState.CANCELLED, self.state.wall_ms())
            leader.on_cancelled(job)
            answer(Reply(ResultCode.ACCEPTED, {"state": job.state}))
            return
        fields = {"job": fields["job"], "at_ms": self.state.wall_ms()}
        get_logger().info("job_cancelled", job=fields["job"])
        self._section.count("cancels")
        self._commit(Command(CommandKind.CANCEL, fields), answer)

    def _pending(self, leader: Leader, fields: dict[str, Any], answer: Waiter) -> None:
        queue = self._find_queue(fields, answer)
        if queue is not None:
            answer(Reply(ResultCode.ACCEPTED, {"pending": leader.pending(queue.key)}))

    def _replace_config(self, fields: dict[str, Any], answer: Waiter) -> None:
        if fields["version"] <= self.state.routing.cfg.version:
            answer(Reply(ResultCode.APPLIED, {"version": self.state.routing.cfg.version}))
            return
        get_logger().info("config_proposed", version=fields["version"])
        command = Command(
            CommandKind.CONFIG, {"version": fields["version"], "source": fields["source"]}
        )
        self._commit(command, answer)

    def _announce(self, leader: Leader, upstream: UpstreamState, answer: Waiter) -> None:
        upstream = upstream._replace(labels=tuple(upstream.labels))
        known = self.state.upstreams.get(upstream.upstream_id)
        if known is not None and upstream.born_ms < known.born_ms:
            # A late announcement of a former life.
            answer(_DONE)
            return
        leader.hear(upstream.upstream_id)
        if known is not None and upstream.born_ms == known.born_ms and known.is_draining:
            upstream = upstream._replace(is_draining=True)
        if upstream == known:
            answer(_DONE)
            return
        get_logger().info(
            "upstream_announced",
            upstream=upstream.upstream_id,
            born_ms=upstream.born_ms,
            draining=upstream.is_draining,
            address=upstream.address,
        )
        self._commit(Command(CommandKind.UPSTREAM, {"upstream": list(upstream)}), answer)

    def _leave(self, fields: dict[str, Any], answer: Waiter) -> None:
        known = self.state.upstreams.get(fields["upstream"])
        if known is None:
            answer(_DONE)
            return
        left = {"upstream": known.upstream_id, "born_ms": known.born_ms}
        get_logger().info("upstream_leaves", upstream=known.upstream_id)
        self._commit(Command(CommandKind.UPSTREAM_LEFT, left), answer)

    def dump(self) -> dict[str, Any]:
        """Return the state of this instance for the state dump."""
        log = self._log
        return {
            "time": time.time(),
            "is_leader": self._leader is not None,
            "term": log.term if log else 0,
            "config": self.state.routing.cfg.version,
            "jobs": len(self.state.jobs),
            "open_jobs": len(self._leader.progress) if self._leader else 0,
            "upstreams": len(self.state.upstreams),
        }


def _members(log: Log | None) -> dict[str, Any]:
    """Return where else a process may find the leader."""
    if log is None:
        return {}
    return {"members": [*log.voters, *([log.leader] if log.leader else [])]}
