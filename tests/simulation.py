"""Entry processes on a simulated network; the test delivers, delays and loses its messages."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

from kumquatlift.clock import ManualClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.claim import LedgerLimits
from kumquatlift.jobs.job import JobAnswer, JobRequest, Task, TaskResult
from kumquatlift.jobs.router import JobRouter
from kumquatlift.membership.members import Member
from kumquatlift.transport.channel import Handler
from tests.fakes import FakeMembers, member

Reply = Future[bytes | Failure]


class Message(NamedTuple):
    """A request or an answer in flight."""

    sender: str
    receiver: str
    deliver: Callable[[], None]


class SimulatedNetwork:
    """Holds every message until the test delivers or drops it.

    Attributes:
        calls: Calls with the times at which they time out, in monotonic seconds.
        cuts: Pairs of processes whose messages are not delivered for now.
        frozen: Names of suspended processes, whose incoming messages wait.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.channels: dict[str, SimulatedChannel] = {}
        self.messages: list[Message] = []
        self.calls: list[tuple[float, Reply]] = []
        self.cuts: set[frozenset[str]] = set()
        self.frozen: set[str] = set()

    def deliverable(self) -> list[Message]:
        return [
            m
            for m in self.messages
            if frozenset((m.sender, m.receiver)) not in self.cuts and m.receiver not in self.frozen
        ]

    def deliver(self, message: Message) -> None:
        self.messages.remove(message)
        message.deliver()

    def settle(self) -> None:
        """Deliver messages in order until none is in flight."""
        while ready := self.deliverable():
            self.deliver(ready[0])

    def expire(self) -> None:
        """Time out calls that are due; their messages in flight can still be delivered."""
        now = self.clock.now()
        due = [fut for at, fut in self.calls if at <= now]
        self.calls = [(at, fut) for at, fut in self.calls if at > now]
        for fut in due:
            if not fut.done():
                fut.set_result(Failure(ResultCode.TIMED_OUT, "no answer"))


class SimulatedChannel:
    """A ``Channel`` of one incarnation of a process; once crashed it neither sends nor receives."""

    def __init__(self, network: SimulatedNetwork, name: str) -> None:
        self.network, self.name, self.is_alive = network, name, True
        self.handlers: dict[str, Handler] = {}
        network.channels[name] = self

    def call(self, peer: str, topic: str, body: bytes, *, timeout_s: float) -> Reply:
        fut: Reply = Future()
        target = self.network.channels.get(peer)
        if not self.is_alive:
            return fut
        if target is None or not target.is_alive:
            fut.set_result(Failure(ResultCode.NOT_DELIVERED, f"{peer} is not running"))
            return fut
        self.network.calls.append((self.network.clock.now() + timeout_s, fut))
        self._post(target, topic, body, fut)
        return fut

    def send(self, peer: str, topic: str, body: bytes) -> None:
        target = self.network.channels.get(peer)
        if self.is_alive and target is not None:
            self._post(target, topic, body, Future())

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        self.handlers[topic] = handler

    def handle_inline(self, topic: str, handler: Handler) -> None:
        """Register a handler like ``handle``."""
        self.handle(topic, handler)

    def _post(self, target: "SimulatedChannel", topic: str, body: bytes, fut: Reply) -> None:
        def answer(data: bytes) -> None:
            if self.is_alive and not fut.done():
                fut.set_result(data)

        def request() -> None:
            if target.is_alive:
                data = target.handlers[topic](self.name, body) or b""
                reply = Message(target.name, self.name, lambda: answer(data))
                self.network.messages.append(reply)

        self.network.messages.append(Message(self.name, target.name, request))


class StepExecutor:
    """A ``JobExecutor`` whose jobs the test finishes.

    Args:
        on_start: Called with the job id and the payload's checksum at every start.
    """

    def __init__(self, on_start: Callable[[str, bytes], None]) -> None:
        self.on_start = on_start
        self.refusal: Failure | None = None
        self.running: dict[str, tuple[JobRequest, Future[JobAnswer]]] = {}

    def admit(self, req: JobRequest) -> Failure | None:
        return self.refusal

    def run(self, job_id: str, req: JobRequest, *, deadline_at: float) -> Future[JobAnswer]:
        self.on_start(job_id, req.digest)
        fut: Future[JobAnswer] = Future()
        self.running[job_id] = (req, fut)
        return fut

    def cancel(self, job_id: str) -> None:
        if job_id in self.running:
            _, fut = self.running.pop(job_id)
            fut.set_result(JobAnswer(ResultCode.CANCELLED_AFTER_START, "cancelled"))

    def finish(self, job_id: str) -> None:
        req, fut = self.running.pop(job_id)
        fut.set_result(expected_answer(req))


class Node:
    """One incarnation of an entry process."""

    def __init__(
        self, network: SimulatedNetwork, me: Member, on_start: Callable[[str, bytes], None]
    ) -> None:
        self.me = me
        self.channel = SimulatedChannel(network, me.name)
        self.members = FakeMembers(me=me, others=[])
        self.executor = StepExecutor(on_start)
        self.router = JobRouter(
            channel=self.channel,
            members=self.members,
            clock=network.clock,
            executor=self.executor,
            limits=LedgerLimits(rotation_s=30.0, max_claims=6, retention_s=100.0),
        )


class Cluster:
    """Entry processes ``a``, ``b``, ... of one zone, with their network and clock."""

    def __init__(self, size: int, on_start: Callable[[str, bytes], None]) -> None:
        self.clock = ManualClock(start=100.0)
        self.network = SimulatedNetwork(self.clock)
        self.nodes: dict[str, Node] = {}
        self._incarnations = 0
        self._on_start = on_start
        for name in "abcdef"[:size]:
            self.start(name)
        self.settle()

    def start(self, name: str) -> None:
        self._incarnations += 1
        me = member(name, "z1")._replace(incarnation=f"{self._incarnations:012x}")
        self.nodes[name] = Node(self.network, me, self._on_start)
        self.refresh_views()

    def crash(self, name: str) -> None:
        self.network.frozen.discard(name)
        self.nodes.pop(name).channel.is_alive = False
        self.refresh_views()

    def refresh_views(self) -> None:
        """Set every membership view to the live processes, as gossip eventually would."""
        live = [n.me for n in self.nodes.values() if n.me.name not in self.network.frozen]
        for node in self.nodes.values():
            node.members.others = [m for m in live if m.name != node.me.name]

    def tick(self) -> None:
        for node in list(self.nodes.values()):
            if node.me.name not in self.network.frozen:
                node.router.tick()

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.network.expire()
        self.tick()

    def settle(self) -> None:
        """Deliver messages and let calls time out until no process has anything to send."""
        for _ in range(6):
            self.network.settle()
            self.advance(1.1)
        self.network.settle()


def request(payload: int) -> JobRequest:
    return JobRequest("svc", "kind", "", 0, (Task("t0", payload), Task("t1", payload)))


def expected_answer(req: JobRequest) -> JobAnswer:
    results = tuple(TaskResult(task.id, [task.id, task.body]) for task in req.tasks)
    return JobAnswer(ResultCode.COMPLETE, results=results)
