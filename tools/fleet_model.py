"""Model of upstreams, callers and the log on a manual clock, around the real decisions.

It runs the real ``Authority`` without threads, files or sockets, and checks what a caller and an
upstream can see: capacity, tasks that run twice, and answers.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from kumquatlift.authority import (
    Authority,
    EndHow,
    JobSpec,
    Limits,
    LookAnswer,
    LookOrder,
    Operation,
    OrderAnswer,
    OrderResult,
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
DELAY_S = 0.001
START_S = 1000.0


class ModelLog:
    """A log that commits after a fixed time; it stands for all replicas.

    Args:
        world: The model.
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
    def former_quiet_s(self) -> float:
        """Seconds since the earlier leader was lost."""
        return self._world.clock.now() - self.leader_lost_at

    @property
    def has_lease(self) -> bool:
        """Whether the leader may order."""
        return self.is_serving

    def propose(self, data: bytes) -> int | None:
        """Append a command that is committed a little later."""
        if not self.is_serving:
            return None
        self.entries += 1
        self._world.later(COMMIT_S, self._commit, self.entries, Entry(self.term, data))
        return self.entries

    def _commit(self, index: int, entry: Entry) -> None:
        # Entries of a leader that is lost before the commit stay.
        self._world.authority.apply(index, entry)


class FleetModel:
    """Upstreams, a log and the authority between them.

    Args:
        seed: Seed of all random choices.
        unanswered_share: Share of orders that get no answer, and are carried out later.
    """

    def __init__(self, *, seed: int = 1, unanswered_share: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(start=START_S)
        self.loop = EventLoop(clock=self.clock)
        self.unanswered_share = unanswered_share
        self.upstreams: dict[str, ModelUpstream] = {}
        # Ports by upstream; another life has the same address.
        self._ports: dict[str, int] = {}
        self.violations: list[str] = []
        self.starts = 0
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._work: dict[str, tuple[float, int]] = {}
        self._running: dict[TaskKey, set[str]] = {}
        # Upstreams and times of runs that ended well.
        self._open_done: dict[TaskKey, list[tuple[ModelUpstream, float]]] = {}
        self._started_at: dict[TaskKey, list[float]] = {}
        self.config = ServingConfig()
        self.authority = Authority(
            read_config=lambda _source: self.config,
            gateway=self,
            loop=self.loop,
            clock=self.clock,
            limits=Limits(),
            section=Blackboard().section("authority"),
            wall_clock=self.clock.now,
        )
        self.log = ModelLog(world=self)
        self.authority.attach(self.log)
        self.loop.run_pending()

    # Set-up

    def configure(self, *queues: Queue) -> None:
        """Put queues in force."""
        services = tuple({queue.service for queue in queues})
        self.config = ServingConfig(self.config.version + 1, queues, services, "{}")
        fields = {"version": self.config.version, "source": "{}"}
        self.ask(Request(Operation.REPLACE_CONFIG, fields))
        self.run(0.1)

    def add_upstream(
        self,
        name: str,
        *,
        speed: float = 1.0,
        cpu_milli: int = 16_000,
        clock_rate: float = 1.0,
        service: str = "s",
    ) -> ModelUpstream:
        """Add an upstream that announces itself."""
        state = UpstreamState(
            name,
            int(self.clock.now() * 1000),
            f"10.0.0.1:{self._ports.setdefault(name, len(self._ports) + 1)}",
            service,
            "z",
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
        """End an upstream with all that it runs, without a word to the leader."""
        upstream = self.upstreams.pop(name)
        for task in upstream.runs:
            self._running[task].discard(name)

    def announce(self, state: UpstreamState) -> "Future[Reply]":
        """Send what an upstream says of itself."""
        return self.ask(Request(Operation.ANNOUNCE, {"upstream": list(state)}))

    def submit(
        self, job: str, spec: JobSpec, *, work_ms: float, host: str = "h", path: str = "/q/"
    ) -> "Future[Reply]":
        """Submit a job whose tasks take ``work_ms`` at speed 1."""
        self._work[job] = (work_ms, spec.steps[0].cpu_milli)
        fields = {
            "job": job,
            "spec": spec.to_plain(),
            "zone": "z",
            "host": host,
            "path": path + job,
        }
        return self.ask(Request(Operation.SUBMIT, fields))

    def ask(self, request: Request) -> "Future[Reply]":
        """Ask the authority."""
        plain = Request.from_bytes(request.to_bytes())
        return self.authority.ask(plain)

    def state_of(self, job: str) -> str:
        """Return the state that a caller is shown."""
        fut = self.ask(Request(Operation.STATUS, {"job": job}))
        self.loop.run_pending()
        return str(fut.result(timeout=0).fields.get("state", ""))

    def change_leader(self, *, gap_s: float = 1.0) -> None:
        """Lose the leader; another one serves after a while."""
        self.log.is_serving = False
        self.log.leader_lost_at = self.clock.now()
        self.log.term += 1
        self.authority.on_role(Role.FOLLOWER, self.log.term)
        self.later(gap_s, self._begin_serving)

    def _begin_serving(self) -> None:
        self.log.is_serving = True

    # Time

    def later(self, seconds: float, function: Callable[..., None], *args: Any) -> None:
        """Call a function after a while."""
        at = self.clock.now() + seconds
        heapq.heappush(self._due, (at, next(self._order), function, args))

    def run(self, seconds: float) -> None:
        """Let time pass."""
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
        """Carry a start."""
        self._carry_order(
            ref, lambda upstream: upstream.start(ref.token, order), done, order.timeout_s
        )

    def stop(self, ref: UpstreamRef, order: StopOrder, done: Callable[[OrderAnswer], None]) -> None:
        """Carry a stop."""
        self._carry_order(
            ref, lambda upstream: upstream.stop(ref.token, order), done, order.timeout_s
        )

    def _carry_order(
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
                return
            answer = call(upstream)
            if ref.born_ms != upstream.state.born_ms:
                # Another life under the same identity carries it out and says when it was born.
                answer = OrderAnswer(OrderResult.BORN_AGAIN)
            if upstream.is_heard:
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

    def look(self, ref: UpstreamRef, order: LookOrder, done: Callable[[LookAnswer], None]) -> None:
        """Carry a look."""
        is_answered = False

        def answer_once(answer: LookAnswer) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                done(answer)

        def answer_from(upstream: ModelUpstream) -> Callable[[LookAnswer], None]:
            def answer(lists: LookAnswer) -> None:
                if ref.born_ms != upstream.state.born_ms:
                    lists = LookAnswer(OrderResult.BORN_AGAIN)
                if upstream.is_heard and upstream.is_reachable:
                    self.later(DELAY_S, self.loop.post, answer_once, lists)

            return answer

        def arrive() -> None:
            upstream = self._reachable(ref)
            if upstream is not None:
                upstream.look(ref.token, order, answer_from(upstream))

        is_late = self.rng.random() < self.unanswered_share
        self.later(self.rng.uniform(2, 12) if is_late else DELAY_S, arrive)
        timeout_s = 0.2 + order.wait_ms / 1000
        self.later(timeout_s, self.loop.post, answer_once, LookAnswer(OrderResult.UNKNOWN))

    def _reachable(self, ref: UpstreamRef) -> ModelUpstream | None:
        upstream = self.upstreams.get(ref.upstream_id)
        return upstream if upstream is not None and upstream.is_reachable else None

    # Checks

    def check(self, holds: bool, text: str) -> None:
        """Take note of a broken promise."""
        if not holds:
            self.violations.append(f"{self.clock.now() - START_S:.3f} s: {text}")

    def work_of(self, task: TaskKey) -> tuple[float, int]:
        """Return run time at speed 1 and size of a task."""
        return self._work[task.job]

    def on_start(self, task: TaskKey, upstream: ModelUpstream) -> None:
        """Check that a task runs once."""
        self.starts += 1
        running = self._running.setdefault(task, set())
        self.check(not running, f"{task} runs twice")
        running.add(upstream.state.upstream_id)
        self._started_at.setdefault(task, []).append(self.clock.now())

    def on_end(self, task: TaskKey, upstream: ModelUpstream, how: EndHow) -> None:
        """Take note of an end."""
        self._running.get(task, set()).discard(upstream.state.upstream_id)
        if how is EndHow.DONE:
            self._open_done.setdefault(task, []).append((upstream, self.clock.now()))

    def on_end_acked(self, upstream: ModelUpstream, end: TaskEnd) -> None:
        """Check that no run began after an end whose lease did not lapse."""
        for where, at in self._open_done.get(end.task, []):
            if where is not upstream or end.how is not EndHow.DONE:
                continue
            is_repeated = any(started > at for started in self._started_at[end.task])
            is_lapsed = where.lapsed_at > at
            self.check(not is_repeated or is_lapsed, f"{end.task} was started after it was done")
