"""An entry process: assembles the controllers and servers and ends them in order."""

import signal
import threading
import time
from pathlib import Path
from typing import Any

from kumquatlift.announcements import Announcements
from kumquatlift.blackboard import Blackboard
from kumquatlift.callers import Callers
from kumquatlift.channel import Channel, Topic
from kumquatlift.clock import MonotonicClock
from kumquatlift.dispatcher import Dispatcher
from kumquatlift.document import Document
from kumquatlift.identity import LedgerId, new_incarnation
from kumquatlift.local_jobs import LocalJobs
from kumquatlift.log import get_logger
from kumquatlift.membership import Member, Members
from kumquatlift.runner_client import RunnerClient
from kumquatlift.server import HttpServer
from kumquatlift.settings import Address, Settings
from kumquatlift.slot_client import STATE_INTERVAL_S, SlotClient
from kumquatlift.slot_messages import SlotDemands, SlotGrants
from kumquatlift.slot_owner import SlotOwner
from kumquatlift.timer import Timer
from kumquatlift.wsgi import application

OWNER_TICK_S = 0.1
RUNNER_THREADS = 8
# Time for peers and balancer to see that this process is leaving, before it stops listening.
LEAVE_NOTICE_S = 1.0


class EntryProcess:
    """One entry process.

    Args:
        settings: The process's own settings.
        document: The configuration.
        members: Membership view.
        channel: Messages to other entry processes.
        incarnation: Random identity of this run.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        document: Document,
        members: Members,
        channel: Channel,
        incarnation: str,
    ) -> None:
        self._document = document
        self._clock = MonotonicClock()
        self._channel = channel
        self._members = members
        self.board = Blackboard(clock=self._clock)
        self._timer = Timer(clock=self._clock)
        self._client = RunnerClient()
        self._owner = SlotOwner(
            token=f"{settings.name}-{incarnation}",
            document=lambda: self._document,
            deliver=self._deliver,
            clock=self._clock,
            section=self.board.section("slots"),
        )
        self._slots = SlotClient(
            members=members,
            channel=channel,
            apply_locally=self._owner.apply,
            message_weight=self._message_weight,
            clock=self._clock,
            section=self.board.section("requester"),
        )
        channel.handle(Topic.SLOTS_DEMAND, self._handle_demands)
        self._dispatcher = Dispatcher(
            document=lambda: self._document,
            slots=self._slots,
            client=self._client,
            timer=self._timer,
            clock=self._clock,
            section=self.board.section("dispatcher"),
        )
        ledger = LedgerId(settings.name, incarnation, 1, "")
        self._jobs = LocalJobs(ledger=ledger, executor=self._dispatcher, clock=self._clock)
        callers = Callers(jobs=self._jobs, zone=settings.zone)
        announcements = Announcements(members=members, channel=channel, owner=self._owner)
        self._callers_server = HttpServer(
            app=application(callers.handle),
            address=Address.parse(settings.callers),
            threads=document.system.max_callers,
            name="callers",
        )
        self._runners_server = HttpServer(
            app=application(announcements.handle),
            address=Address.parse(settings.runners),
            threads=RUNNER_THREADS,
            name="runners",
        )

    def start(self) -> None:
        """Begin to serve."""
        self._timer.call_every(OWNER_TICK_S, self._owner.tick)
        self._timer.call_every(STATE_INTERVAL_S, self._slots.send_state)
        self._slots.start()
        self._timer.call_every(1.0, self._client.close_idle)
        self._runners_server.start()
        self._callers_server.start()

    def stop(self) -> None:
        """Finish every request and job, then end."""
        get_logger().info("stopping")
        time.sleep(LEAVE_NOTICE_S)
        longest_s = max(
            kind.deadline_ms / 1000
            for service in self._document.services.values()
            for kind in service.kinds.values()
        )
        is_drained = self._callers_server.drain(timeout_s=longest_s)
        get_logger().info("stopped", drained=is_drained)

    def _message_weight(self, service: str) -> float:
        cfg = self._document.services.get(service)
        return 0.0 if cfg is None else cfg.message_weight

    def _deliver(self, requester: str, msg: SlotGrants) -> None:
        if requester == self._members.me.name:
            self._slots.take_grants(msg)
        else:
            self._channel.send(requester, Topic.SLOTS_GRANT, msg.to_bytes())

    def _handle_demands(self, sender: str, body: bytes) -> None:
        self._owner.apply(sender, SlotDemands.from_bytes(body))


class _AloneMembers:
    def __init__(self, *, me: Member) -> None:
        self._me = me

    @property
    def me(self) -> Member:
        return self._me

    def live(self, zone: str | None = None) -> list[Member]:
        return [self._me] if zone in (None, self._me.zone) else []

    def get(self, name: str) -> Member | None:
        return self._me if name == self._me.name else None


class _AloneChannel:
    def call(self, peer: str, topic: str, body: bytes, *, timeout_s: float) -> Any:
        raise NotImplementedError

    def send(self, peer: str, topic: str, body: bytes) -> None:
        raise NotImplementedError

    def handle(self, topic: str, handler: Any) -> None:
        pass


def run_entry(settings: Settings) -> int:
    """Run an entry process until SIGTERM or SIGINT.

    Args:
        settings: The process's own settings.

    Returns:
        Exit code.
    """
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    text = Path(settings.first_document).read_text(encoding="utf-8")
    doc = Document.from_toml(text)
    if isinstance(doc, list):
        for problem in doc:
            get_logger().error("document_invalid", problem=str(problem))
        return 1
    incarnation = new_incarnation()
    me = Member(
        settings.name,
        settings.zone,
        settings.callers,
        settings.runners,
        settings.peers,
        incarnation,
    )
    process = EntryProcess(
        settings=settings,
        document=doc,
        members=_AloneMembers(me=me),
        channel=_AloneChannel(),
        incarnation=incarnation,
    )
    process.start()
    get_logger().info("started", zone=settings.zone, callers=settings.callers)
    stop.wait()
    process.stop()
    return 0
