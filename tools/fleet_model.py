"""Simulation of upstreams, callers and the log on a manual clock, around the real ``Authority``.

The authority runs without threads, files or sockets. The simulation checks what upstreams and
callers can observe: that the capacity of an upstream is never exceeded, that no task runs twice at
a time, and that no task starts again after it was reported done.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future
from typing import Any

from kumquatlift.authority import (
    Authority,
    EndReason,
    JobSpec,
    Limits,
    Operation,
    OrderAnswer,
    OrderResult,
    PollAnswer,
    PollOrder,
    Queue,
    Reply,
    Request,
    ServingConfig,
    StartOrder,
    StopOrder,
    TaskEnd,
    TaskKey,
    UpstreamRef,
    UpstreamState,
)
from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import ManualClock
from kumquatlift.store import Entry, EventLoop, Role
from tools.model_upstream import ModelUpstream

TICK_S = 0.001
COMMIT_S = 0.015
# Delay of each order and of each answer.
DELAY_S = 0.001
# Reading of the manual clock at the start of the simulation.
START_S = 1000.0


class ModelLog:
    """A log that commits each entry after a fixed time, in place of a group of replicas.

    Args:
        world: The simulation.
    """

    def __init__(self, *, world: "FleetModel") -> None:
        self._world = world
        self.term = 1
        self.is_serving = True
        self.entries = 0
        self.leader_lost_at = world.clock.now()

    leader = "model"
    voters = ("model",)
    lease_age_s = 0.0

    @property
    def since_previous_leader_s(self) -> float:
        """Seconds since the previous leader was lost."""
        return self._world.clock.now() - self.leader_lost_at

    @property
    def has_lease(self) -> bool:
        """Whether the leader may send orders."""
        return self.is_serving

    def propose(self, data: bytes) -> int | None:
        """Append a command, which is committed after ``COMMIT_S``."""
        if not self.is_serving:
            return None
        self.entries += 1
        self._world.later(COMMIT_S, self._commit, self.entries, Entry(self.term, data))
        return self.entries

    def _commit(self, index: int, entry: Entry) -> None:
        # Entries are committed even if their leader is lost before.
        self._world.authority.apply(index, entry)


class FleetModel:
    """A simulated fleet of upstreams, the log and the authority.

    Args:
        seed: Seed of all random choices.
        unanswered_share: Share of orders that are not answered in time and are carried out seconds
            later.
        limits: Limits that the platform sets.
        slowdowns: Factors by which tasks take longer beside others, by the paths of their queues,
            first that of the slower one.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        unanswered_share: float = 0.0,
        limits: Limits = Limits(),  # noqa: B008 - immutable
        slowdowns: Mapping[tuple[str, str], float] | None = None,
    ) -> None:
        self._slowdowns = dict(slowdowns or {})
        # Path of the queue of each job.
        self._paths: dict[str, str] = {}
        # Runs that started and those of them that started beside a task that disturbs either, by
        # path.
        self.starts_by_path: Counter[str] = Counter()
        self.disturbed_by_path: Counter[str] = Counter()
        self.rng = random.Random(seed)
        self.clock = ManualClock(start=START_S)
        self.loop = EventLoop(clock=self.clock)
        self.unanswered_share = unanswered_share
        self.upstreams: dict[str, ModelUpstream] = {}
        # Ports by upstream; all incarnations of an upstream have the same address.
        self._ports: dict[str, int] = {}
        self.violations: list[str] = []
        self.starts = 0
        # Calls that are due later: time, number that keeps their order, function and arguments.
        self._due: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._sequence = itertools.count()
        # Run time of a task at speed 1, in milliseconds, and its processor demand, by job.
        self._work: dict[str, tuple[float, int]] = {}
        # Tasks that fail wherever they run.
        self.failing_tasks: set[TaskKey] = set()
        # Upstreams on which runs are in progress, by task.
        self._running: dict[TaskKey, set[str]] = {}
        # Number of failed runs, by task.
        self.failures: Counter[TaskKey] = Counter()
        # Upstreams and end times of successful runs, by task.
        self._done_runs: dict[TaskKey, list[tuple[ModelUpstream, float]]] = {}
        # Start times of all runs, by task.
        self._started_at: dict[TaskKey, list[float]] = {}
        self.config = ServingConfig()
        self.authority = Authority(
            read_config=lambda _source: self.config,
            gateway=self,
            loop=self.loop,
            clock=self.clock,
            limits=limits,
            section=Blackboard().section("authority"),
            wall_clock=self.clock.now,
        )
        self.log = ModelLog(world=self)
        self.authority.attach(self.log)
        self.loop.run_pending()

    # Setup

    def configure(self, *queues: Queue) -> None:
        """Replace the configuration by one with these queues."""
        services = tuple({queue.service for queue in queues})
        self.config = ServingConfig(self.config.version + 1, queues, services, "{}")
        fields = {"version": self.config.version, "source": "{}"}
        self.send_request(Request(Operation.REPLACE_CONFIG, fields))
        self.run(0.1)

    def add_upstream(
        self,
        name: str,
        *,
        speed: float = 1.0,
        cpu_milli: int = 16_000,
        clock_rate: float = 1.0,
        service: str = "s",
        address: str = "",
        zone: str = "z",
    ) -> ModelUpstream:
        """Add an upstream and announce it to the authority; it gets an address if none is given."""
        state = UpstreamState(
            name,
            int(self.clock.now() * 1000),
            address or f"10.0.0.1:{self._ports.setdefault(name, len(self._ports) + 1)}",
            service,
            zone,
            cpu_milli,
            32_768,
            0,
            ("a", "r1"),
            False,
        )
        upstream = ModelUpstream(world=self, state=state, speed=speed, clock_rate=clock_rate)
        self.upstreams[name] = upstream
        self.announce(state)
        return upstream

    def kill_upstream(self, name: str) -> None:
        """End an upstream and all its runs without notice to the leader."""
        upstream = self.upstreams.pop(name)
        for task in upstream.runs:
            self._running[task].discard(name)

    def announce(self, state: UpstreamState) -> "Future[Reply]":
        """Send the announcement of an upstream."""
        return self.send_request(Request(Operation.ANNOUNCE, {"upstream": list(state)}))

    def submit(
        self,
        job: str,
        spec: JobSpec,
        *,
        work_ms: float,
        host: str = "h",
        path: str = "/q/",
        attempt: str = "",
        zone: str = "z",
    ) -> "Future[Reply]":
        """Submit a job whose tasks run for ``work_ms`` at speed 1.

        Args:
            job: Identity of the job.
            spec: The job.
            work_ms: Run time of a task at speed 1, in milliseconds.
            host: Host that the caller names.
            path: Path of the queue.
            attempt: Identity of the submission, by which it can be withdrawn; empty for none.
            zone: Availability zone of the caller.
        """
        self._work[job] = (work_ms, spec.steps[0].cpu_milli)
        self._paths[job] = path
        fields = {
            "job": job,
            "attempt": attempt,
            "spec": spec.to_plain(),
            "zone": zone,
            "host": host,
            "path": path + job,
        }
        return self.send_request(Request(Operation.SUBMIT, fields))

    def send_request(self, request: Request) -> "Future[Reply]":
        """Send a request to the authority."""
        plain = Request.from_bytes(request.to_bytes())
        return self.authority.handle_request(plain)

    def state_of(self, job: str) -> str:
        """Return the state of a job as its caller sees it; empty if the job is unknown."""
        fut = self.send_request(Request(Operation.STATUS, {"job": job}))
        self.loop.run_pending()
        return str(fut.result(timeout=0).fields.get("state", ""))

    def change_leader(self, *, gap_s: float = 1.0) -> None:
        """Stop the leader; another one serves after ``gap_s``."""
        self.log.is_serving = False
        self.log.leader_lost_at = self.clock.now()
        self.log.term += 1
        self.authority.on_role(Role.FOLLOWER, self.log.term)
        self.later(gap_s, self._begin_serving)

    def _begin_serving(self) -> None:
        self.log.is_serving = True

    # Time

    def later(self, seconds: float, function: Callable[..., object], *args: Any) -> None:
        """Call a function after a delay."""
        at = self.clock.now() + seconds
        heapq.heappush(self._due, (at, next(self._sequence), function, args))

    def run(self, seconds: float) -> None:
        """Run the simulation for a time."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(TICK_S)
            while self._due and self._due[0][0] <= self.clock.now():
                _, _, function, args = heapq.heappop(self._due)
                function(*args)
            for upstream in self.upstreams.values():
                upstream.step()
            self.loop.run_pending()

    # Gateway

    def start(
        self, ref: UpstreamRef, order: StartOrder, done: Callable[[OrderAnswer], None]
    ) -> None:
        """Deliver a start order."""
        self._deliver_order(
            ref, lambda upstream: upstream.start(ref.token, order), done, order.timeout_s
        )

    def stop(self, ref: UpstreamRef, order: StopOrder, done: Callable[[OrderAnswer], None]) -> None:
        """Deliver a stop order."""
        self._deliver_order(
            ref, lambda upstream: upstream.stop(ref.token, order), done, order.timeout_s
        )

    def _deliver_order(
        self,
        ref: UpstreamRef,
        call: Callable[[ModelUpstream], OrderAnswer],
        done: Callable[[OrderAnswer], None],
        timeout_s: float,
    ) -> None:
        unknown = OrderAnswer(OrderResult.UNKNOWN, reason="no answer")

        def arrive() -> None:
            upstream = self._reachable(ref)
            if upstream is None:
                if self._is_address_taken(ref):
                    other_life = OrderAnswer(OrderResult.OTHER_LIFE)
                    self.later(DELAY_S, self.loop.post, answer_once, other_life)
                return
            answer = call(upstream)
            if ref.started_at_ms != upstream.state.started_at_ms:
                # Another incarnation carries it out and answers with its own start time.
                answer = OrderAnswer(OrderResult.BORN_AGAIN)
            if upstream.can_reply:
                self.later(DELAY_S, self.loop.post, answer_once, answer)

        is_answered = False

        def answer_once(answer: OrderAnswer) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                done(answer)

        is_late = self.rng.random() < self.unanswered_share
        self.later(self.rng.uniform(2, 12) if is_late else DELAY_S, arrive)
        self.later(timeout_s, self.loop.post, answer_once, unknown)

    def poll(self, ref: UpstreamRef, order: PollOrder, done: Callable[[PollAnswer], None]) -> None:
        """Deliver a poll."""
        is_answered = False

        def answer_once(answer: PollAnswer) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                done(answer)

        def answer_from(upstream: ModelUpstream) -> Callable[[PollAnswer], None]:
            def answer(lists: PollAnswer) -> None:
                if ref.started_at_ms != upstream.state.started_at_ms:
                    lists = PollAnswer(OrderResult.BORN_AGAIN)
                if upstream.can_reply and upstream.is_reachable:
                    self.later(DELAY_S, self.loop.post, answer_once, lists)

            return answer

        def arrive() -> None:
            upstream = self._reachable(ref)
            if upstream is not None:
                upstream.poll(ref.token, order, answer_from(upstream))
            elif self._is_address_taken(ref):
                other_life = PollAnswer(OrderResult.OTHER_LIFE)
                self.later(DELAY_S, self.loop.post, answer_once, other_life)

        is_late = self.rng.random() < self.unanswered_share
        self.later(self.rng.uniform(2, 12) if is_late else DELAY_S, arrive)
        timeout_s = 0.2 + order.wait_ms / 1000
        self.later(timeout_s, self.loop.post, answer_once, PollAnswer(OrderResult.UNKNOWN))

    def _reachable(self, ref: UpstreamRef) -> ModelUpstream | None:
        upstream = self.upstreams.get(ref.upstream_id)
        return upstream if upstream is not None and upstream.is_reachable else None

    def _is_address_taken(self, ref: UpstreamRef) -> bool:
        """Return whether another upstream than the named one listens at its address."""
        return ref.upstream_id not in self.upstreams and any(
            each.state.address == ref.address and each.is_reachable and each.can_reply
            for each in self.upstreams.values()
        )

    # Checks

    def check(self, holds: bool, text: str) -> None:
        """Record a violation if a condition does not hold."""
        if not holds:
            self.violations.append(f"{self.clock.now() - START_S:.3f} s: {text}")

    def work_of(self, task: TaskKey) -> tuple[float, int]:
        """Return the run time at speed 1, in milliseconds, and the processor demand of a task."""
        return self._work[task.job]

    def slowdown(self, task: TaskKey, others: Iterable[TaskKey]) -> float:
        """Return the factor by which a task takes longer beside others.

        Several others of one queue disturb it as much as one.
        """
        if not self._slowdowns:
            return 1.0
        path = self._paths[task.job]
        kinds = {self._paths[other.job] for other in others}
        return math.prod(self._slowdowns.get((path, other), 1.0) for other in kinds)

    def _count_disturbed(self, task: TaskKey, upstream: ModelUpstream) -> None:
        path = self._paths.get(task.job, "")
        self.starts_by_path[path] += 1
        others = {self._paths.get(other.job, "") for other in upstream.runs if other != task}
        pairs = {(path, other) for other in others} | {(other, path) for other in others}
        self.disturbed_by_path[path] += any(pair in self._slowdowns for pair in pairs)

    def is_failing(self, task: TaskKey) -> bool:
        """Return whether a task fails wherever it runs."""
        return task in self.failing_tasks

    def on_start(self, task: TaskKey, upstream: ModelUpstream) -> None:
        """Check that a task does not run twice at a time."""
        self.starts += 1
        self._count_disturbed(task, upstream)
        running = self._running.setdefault(task, set())
        self.check(not running, f"{task} runs twice")
        running.add(upstream.state.upstream_id)
        self._started_at.setdefault(task, []).append(self.clock.now())

    def on_end(self, task: TaskKey, upstream: ModelUpstream, reason: EndReason) -> None:
        """Record the end of a run."""
        self._running.get(task, set()).discard(upstream.state.upstream_id)
        if reason is EndReason.DONE:
            self._done_runs.setdefault(task, []).append((upstream, self.clock.now()))
        elif reason is EndReason.FAILED:
            self.failures[task] += 1

    def is_done(self, task: TaskKey) -> bool:
        """Return whether a run of a task has ended with success."""
        return task in self._done_runs

    def on_end_acked(self, upstream: ModelUpstream, end: TaskEnd) -> None:
        """Check that a task did not start again after it was done.

        It may start again if the lease of the upstream lapsed after the run was done.
        """
        for where, at in self._done_runs.get(end.task, []):
            if where is not upstream or end.reason is not EndReason.DONE:
                continue
            is_repeated = any(started > at for started in self._started_at[end.task])
            is_lapsed = where.lapsed_at > at
            self.check(not is_repeated or is_lapsed, f"{end.task} was started after it was done")
