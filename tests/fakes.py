"""In-memory fakes of the network and the membership view."""

from collections.abc import Callable
from concurrent.futures import Future

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.membership.members import Member
from kumquatlift.transport.channel import Handler


class FakeNetwork:
    """Network that delivers messages synchronously, in the sender's thread.

    Args:
        lost: Tells whether a message from a sender to a receiver is lost.
    """

    def __init__(
        self, *, lost: Callable[[str, str], bool] = lambda sender, receiver: False
    ) -> None:
        self.lost = lost
        self.channels: dict[str, FakeChannel] = {}
        self.sent = 0

    def channel(self, name: str) -> "FakeChannel":
        """Return a new channel for a process; it replaces an earlier one of that name."""
        self.channels[name] = FakeChannel(network=self, name=name)
        return self.channels[name]


class FakeChannel:
    """``Channel`` on a ``FakeNetwork``."""

    def __init__(self, *, network: FakeNetwork, name: str) -> None:
        self._network = network
        self._name = name
        self._handlers: dict[str, Handler] = {}

    def call(
        self, peer: str, topic: str, body: bytes, *, timeout_s: float
    ) -> Future[bytes | Failure]:
        fut: Future[bytes | Failure] = Future()
        fut.set_result(self._exchange(peer, topic, body))
        return fut

    def send(self, peer: str, topic: str, body: bytes) -> None:
        self._exchange(peer, topic, body)

    def handle(self, topic: str, handler: Handler, *, workers: int | None = None) -> None:
        self._handlers[topic] = handler

    def handle_inline(self, topic: str, handler: Handler) -> None:
        """Register a handler like ``handle``."""
        self.handle(topic, handler)

    def _exchange(self, peer: str, topic: str, body: bytes) -> bytes | Failure:
        self._network.sent += 1
        target = self._network.channels.get(peer)
        if target is None:
            return Failure(ResultCode.NOT_DELIVERED, f"{peer} has no channel")
        if self._network.lost(self._name, peer):
            return Failure(ResultCode.TIMED_OUT, f"request to {peer} lost")
        answer = target._handlers[topic](self._name, body)
        if self._network.lost(peer, self._name):
            return Failure(ResultCode.TIMED_OUT, f"answer of {peer} lost")
        return answer or b""


class FakeMembers:
    """Membership view whose members are set by the test."""

    def __init__(self, *, me: Member, others: list[Member]) -> None:
        self._me = me
        self.others = others

    @property
    def me(self) -> Member:
        return self._me

    def live(self, zone: str | None = None) -> list[Member]:
        members = sorted([self._me, *self.others])
        return [member for member in members if zone in (None, member.zone)]

    def get(self, name: str) -> Member | None:
        return next((member for member in self.live() if member.name == name), None)


def member(name: str, zone: str) -> Member:
    """Return a member with placeholder addresses."""
    return Member(name, zone, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "0" * 12)
