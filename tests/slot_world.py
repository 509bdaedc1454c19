"""Entry processes that request and grant slots, on a fake network and a manual clock."""

from typing import Any

from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import ManualClock
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping
from kumquatlift.failure import Failure
from kumquatlift.membership.members import Member
from kumquatlift.scheduling.slot_client import SlotClient, slot_owner_of
from kumquatlift.scheduling.slot_messages import SlotDemand, SlotDemands, SlotGrants
from kumquatlift.scheduling.slot_owner import SlotOwner
from kumquatlift.scheduling.slot_source import GrantedSlot
from kumquatlift.transport.channel import Topic
from kumquatlift.upstreams.announcement import Announcement
from tests.fakes import FakeMembers, FakeNetwork, member

DOC = read_mapping(
    {
        "system": {"voters": ["a"]},
        "services": {"s": {"kinds": {"k": {"lease_ms": 60_000, "deadline_ms": 60_000}}}},
    }
)
assert isinstance(DOC, Document)


class Listener:
    """Records granted slots and the number of refused requests."""

    def __init__(self) -> None:
        self.slots: list[GrantedSlot] = []
        self.refused = 0

    def slot_granted(self, slot: GrantedSlot) -> None:
        self.slots.append(slot)

    def slots_refused(self, count: int, failure: Failure) -> None:
        self.refused += count


class FailingListener(Listener):
    """Raises an error on every grant."""

    def slot_granted(self, slot: GrantedSlot) -> None:
        raise RuntimeError("can't start new thread")


class Process:
    """Owner and requester of one entry process on a fake network."""

    def __init__(self, me: Member, others: list[Member], network: FakeNetwork, clock: Any) -> None:
        self.members = FakeMembers(me=me, others=others)
        self.channel = network.channel(me.name)
        board = Blackboard(clock=clock)
        self.owner = SlotOwner(
            token=f"{me.name}-1",
            document=lambda: DOC,
            deliver=self._deliver,
            clock=clock,
            section=board.section("slots"),
        )
        self.client = SlotClient(
            members=self.members,
            channel=self.channel,
            apply_locally=self.owner.apply,
            message_weight=lambda service: 0.0,
            clock=clock,
            section=board.section("requester"),
        )
        self.channel.handle(
            Topic.SLOTS_DEMAND,
            lambda sender, body: self.owner.apply(sender, SlotDemands.from_bytes(body)),
        )

    def _deliver(self, requester: str, msg: SlotGrants) -> None:
        if requester == self.members.me.name:
            self.client.accept_grants(msg)
        else:
            self.channel.send(requester, Topic.SLOTS_GRANT, msg.to_bytes())


def token_of(process: Process, clock: ManualClock) -> str:
    """Return the owner token that a runner echoes if a process has answered it just now."""
    return f"{process.owner._token}.{int(clock.now() * 1000)}"


def announcement(
    echo: str, *, busy: int = 0, leaving: bool = False, slots: int = 4
) -> Announcement:
    """Return an announcement of the only runner."""
    return Announcement("r", "1", "s", "z", "w", "127.0.0.1:9", slots, 64, busy, leaving, echo)


def demand(demand_id: str, count: int) -> SlotDemand:
    """Return a demand with a deadline of one hour."""
    return SlotDemand(demand_id, "k", "", count, 0, 3600.0, 0.1)


def pair(network: FakeNetwork, clock: ManualClock) -> tuple[Process, Process]:
    """Return two processes of one zone, the owner of the service's slots first."""
    members = [member("a", "z"), member("b", "z")]
    processes = [
        Process(me, [other for other in members if other != me], network, clock) for me in members
    ]
    first = slot_owner_of("s", "z", processes[0].members)
    processes.sort(key=lambda process: process.members.me.name != first)
    return processes[0], processes[1]
