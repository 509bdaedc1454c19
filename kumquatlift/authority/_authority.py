"""The state machine of the replicated log, and the leader on the instance that leads."""

import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol

from kumquatlift.authority._api import Operation, Reply, Request
from kumquatlift.authority._attempts import Attempts
from kumquatlift.authority._commands import Command, CommandKind
from kumquatlift.authority._leader import Leader, Limits
from kumquatlift.authority._orders import UpstreamGateway
from kumquatlift.authority._requests import Requests
from kumquatlift.authority._serving import ConfigReader
from kumquatlift.authority._state import Applied, State
from kumquatlift.authority._work import Job
from kumquatlift.blackboard import Section
from kumquatlift.clock import Clock
from kumquatlift.codes import ResultCode
from kumquatlift.log import get_logger
from kumquatlift.store import Entry, EventLoop, Role

TICK_S = 0.05
# Interval of the check for lost answers to polls. It is short because the shortest jobs have only
# about 100 ms between their expected completion and their objective.
HEDGE_TICK_S = 0.02


class Log(Protocol):
    """Interface of the replicated log that the authority uses."""

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
        """Whether this instance leads and holds a lease, so that no other instance can lead."""

    @property
    def lease_age_s(self) -> float:
        """Seconds since the newest message that a majority answered, which starts the lease."""

    @property
    def since_previous_leader_s(self) -> float:
        """Seconds since the latest time at which an earlier leader's lease can have started."""

    @property
    def is_serving(self) -> bool:
        """Whether it leads with a lease and has applied all entries of earlier terms."""

    def propose(self, data: bytes) -> int | None:
        """Append a command; return its index, or None when this instance does not lead."""


class Authority:
    """State machine of the replicated log; the only component that proposes commands.

    Args:
        read_config: Parses the text of a configuration.
        gateway: Sends orders to upstreams.
        loop: Event loop; all methods but ``handle_request`` run in its thread.
        clock: Source of time.
        limits: Limits that the platform sets.
        section: Section of the blackboard.
        wall_clock: Returns the time of day in Unix seconds.
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
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.state = State(read_config=read_config, wall_clock=wall_clock)
        self.state.on_applied = self._on_applied
        self._gateway = gateway
        self._loop = loop
        self._clock = clock
        self._limits = limits
        self._section = section
        self._log: Log | None = None
        self._leader: Leader | None = None
        self._requests: Requests | None = None

    def attach(self, log: Log) -> None:
        """Set the log and start the timers."""
        self._log = log
        self._loop.after_batch(self.flush)
        self._loop.call_every(TICK_S, self._tick)
        self._loop.call_every(HEDGE_TICK_S, self._hedge)

    # State machine of the log

    def apply(self, index: int, entry: Entry) -> None:
        """Apply a committed command."""
        self.state.apply(index, entry.term, entry.data)

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the whole replicated state."""
        self.state.restore(state)

    def on_role(self, role: Role, term: int) -> None:
        """Drop the leader of the previous role.

        ``flush`` creates a new leader once the log serves, that is, when this instance has applied
        the first entry of its own term.
        """
        if self._leader is not None:
            self._leader.close()
        self._leader = None
        requests, self._requests = self._requests, None
        if requests is not None:
            requests.fail_waiting()

    def _on_applied(self, applied: Applied) -> None:
        leader = self._leader
        if leader is not None and applied.command is not None:
            self._notify_leader(leader, applied, applied.command)
        elif leader is not None:
            # It may have held ends; those that upstreams wait for count as acknowledged.
            leader.on_ends(applied.position, ())
        if self._requests is not None:
            self._requests.on_applied(applied)

    def _notify_leader(self, leader: Leader, applied: Applied, command: Command) -> None:
        fields = command.fields
        match command.kind:
            case CommandKind.JOB if applied.job is not None:
                leader.add_job(applied.job)
            case CommandKind.ENDS:
                leader.on_ends(applied.position, applied.ends)
            case CommandKind.CANCEL:
                leader.on_cancel(fields["job"])
            case CommandKind.UPSTREAM:
                known = self.state.upstreams.get(fields["upstream"][0])
                if known is not None:
                    leader.on_upstream(known)
            case CommandKind.UPSTREAM_LEFT if fields["upstream"] not in self.state.upstreams:
                # Otherwise a newer incarnation has been announced before.
                leader.on_left(fields["upstream"])
            case CommandKind.CONFIG:
                leader.on_config()
            case CommandKind.EVACUATION:
                leader.on_evacuations()

    def _on_closed(self, job: Job) -> None:
        if self._requests is not None:
            self._requests.on_closed(job)

    # Callbacks of the event loop

    def flush(self) -> None:
        """Let the leader act after a batch of events; create it first where that is due."""
        if self._leader is None and self._log is not None and self._log.is_serving:
            self._create_leader()
        if self._leader is not None:
            self._leader.flush()

    def _create_leader(self) -> None:
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
            # Callbacks of an earlier term must send no orders when this instance leads again.
            may_order=lambda: log.has_lease and log.term == term,
            lease_age_s=lambda: log.lease_age_s,
            since_previous_leader_s=log.since_previous_leader_s,
            on_closed=self._on_closed,
            section=self._section,
        )
        self._requests = Requests(
            leader=self._leader,
            term=term,
            state=self.state,
            propose=self._propose,
            attempts=Attempts(clock=self._clock),
            section=self._section,
        )
        self._leader.begin()

    def _tick(self) -> None:
        if self._leader is not None and self._log is not None and self._log.has_lease:
            self._leader.tick()

    def _hedge(self) -> None:
        if self._leader is not None and self._log is not None and self._log.has_lease:
            self._leader.hedge()

    def _propose(self, command: Command) -> int | None:
        return self._log.propose(command.to_bytes()) if self._log is not None else None

    # Requests

    def handle_request(self, request: Request) -> Future[Reply]:
        """Answer a request; any thread may call this.

        Returns:
            A future that never raises.
        """
        fut: Future[Reply] = Future()
        self._loop.post(self._handle_request, request, fut)
        return fut

    def _handle_request(self, request: Request, fut: Future[Reply]) -> None:
        log, requests = self._log, self._requests
        if log is None or requests is None or not log.is_serving:
            fut.set_result(Reply(ResultCode.NOT_LEADER, _members(log)))
            return
        if request.operation is Operation.WHO_LEADS:
            fut.set_result(Reply(ResultCode.ACCEPTED, _members(log)))
            return

        def answer(reply: Reply) -> None:
            # A request whose handling raised may be answered a second time by what it waits for.
            if not fut.done():
                fut.set_result(reply)

        try:
            requests.handle(request, answer)
        except (KeyError, TypeError, ValueError) as exc:
            answer(Reply(ResultCode.MALFORMED, {"reason": repr(exc)}))
        except Exception as exc:
            get_logger().error("request_failed", operation=request.operation, error=repr(exc))
            answer(Reply(ResultCode.TIMED_OUT, {"reason": repr(exc)}))

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
            "departed_upstreams": len(self.state.departed),
            "evacuated_zones": self.state.evacuations.zones,
        }


def _members(log: Log | None) -> dict[str, Any]:
    """Return the instances among which a process may find the leader."""
    if log is None:
        return {}
    return {"members": [*log.voters, *([log.leader] if log.leader else [])]}
