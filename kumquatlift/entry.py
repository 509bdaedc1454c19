"""The entry process: creates the controllers and servers, runs them and shuts them down."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from queue import SimpleQueue

from kumquatlift.administration.operators import OperatorApplication
from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import MonotonicClock
from kumquatlift.configuration.data_file import FolderDisk
from kumquatlift.configuration.document import Document, System
from kumquatlift.configuration.document_check import read_toml
from kumquatlift.configuration.register import Register
from kumquatlift.jobs.callers import CallerApi
from kumquatlift.jobs.claim import LedgerLimits
from kumquatlift.jobs.dispatcher import Dispatcher
from kumquatlift.jobs.identity import new_incarnation
from kumquatlift.jobs.router import JobRouter
from kumquatlift.log import get_logger
from kumquatlift.membership.gossip import Gossip
from kumquatlift.membership.members import Member, MemberState
from kumquatlift.metrics import Metrics
from kumquatlift.pause_watch import TICK_S as PAUSE_TICK_S
from kumquatlift.pause_watch import PauseWatch
from kumquatlift.scheduling.slot_client import REBALANCE_INTERVAL_S, STATE_INTERVAL_S, SlotClient
from kumquatlift.scheduling.slot_messages import SlotDemands, SlotGrants
from kumquatlift.scheduling.slot_owner import SlotOwner
from kumquatlift.settings import Address, Settings
from kumquatlift.timer import Timer
from kumquatlift.transport.channel import Topic
from kumquatlift.transport.server import HttpServer
from kumquatlift.transport.tcp_channel import TcpChannel
from kumquatlift.transport.wsgi import application
from kumquatlift.upstreams.announcement_api import AnnouncementApi
from kumquatlift.upstreams.runner_client import RunnerClient

OWNER_TICK_S = 0.1
ROUTER_TICK_S = 0.05
IDLE_CONNECTION_TICK_S = 1.0
RUNNER_THREADS = 16
OPERATOR_THREADS = 4
CHANNEL_WORKERS = 4
# Time in which peers and the load balancer learn that this process is shutting down, before it
# waits for its running jobs.
SHUTDOWN_NOTICE_S = 1.0
# Longest wait for job outcomes to be copied to another process after the last job has ended.
COPY_TIMEOUT_S = 5.0

EMPTY_DOCUMENT = Document(System(voters=()), {}, {})
"""Used until a configuration is in force; it has no services."""


class EntryProcess:
    """One entry process.

    Args:
        settings: The process's own settings.
        first_document: Configuration with which the register is formed, or None.
    """

    def __init__(self, *, settings: Settings, first_document: Document | None) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self._board = Blackboard(clock=self._clock)
        self._timer = Timer(clock=self._clock)
        self._stopping = threading.Event()
        incarnation = new_incarnation()
        me = Member(
            settings.name,
            settings.zone,
            settings.callers,
            settings.runners,
            settings.peers_announced or settings.peers,
            incarnation,
        )
        self._gossip = Gossip(
            me=me,
            listen=Address.parse(settings.peers),
            seeds=settings.seeds,
            clock=self._clock,
        )
        self._members = self._gossip.view
        self._channel = TcpChannel(
            name=settings.name,
            address=Address.parse(settings.peers),
            locate=self._locate,
            workers=CHANNEL_WORKERS,
        )
        self._register = Register(
            members=self._members,
            channel=self._channel,
            disk=FolderDisk(path=Path(settings.data_folder)) if settings.data_folder else None,
            first_document=first_document,
            clock=self._clock,
            section=self._board.section("config"),
        )
        self._client = RunnerClient()
        self._create_slot_controllers(f"{settings.name}-{incarnation}")
        self._pause_watch = PauseWatch(clock=self._clock)
        self._dispatcher = Dispatcher(
            document=self.document,
            slots=self._slots,
            client=self._client,
            timer=self._timer,
            clock=self._clock,
            pauses=self._pause_watch,
            section=self._board.section("dispatcher"),
        )
        self._router = JobRouter(
            channel=self._channel,
            members=self._members,
            clock=self._clock,
            executor=self._dispatcher,
            time_limit_s=self._dispatcher.time_limit_s,
        )
        self._board.section("claims").publish(self._router.summary)
        self._board.section("channel").publish(self._channel.snapshot)
        self._board.section("membership").publish(
            lambda: self._gossip.snapshot(self._channel.evidence)
        )
        self._servers: list[HttpServer] = []

    def document(self) -> Document:
        """Return the configuration in force, or ``EMPTY_DOCUMENT`` if there is none yet."""
        return self._register.document or EMPTY_DOCUMENT

    def run(self) -> None:
        """Serve until ``stop`` is called, then finish all accepted jobs."""
        self._gossip.start()
        self._register.on_change(self._apply_document)
        self._register.start()
        self._serve_operators()
        if self._wait_for_configuration():
            self._serve()
            self._stopping.wait()
        self._drain()

    def stop(self) -> None:
        """Begin a graceful shutdown.

        Any thread may call this, but not a signal handler: it acquires a lock that the interrupted
        thread may hold.
        """
        self._stopping.set()

    def _create_slot_controllers(self, token: str) -> None:
        self._owner = SlotOwner(
            token=token,
            document=self.document,
            deliver=self._deliver,
            clock=self._clock,
            section=self._board.section("slots"),
        )
        self._slots = SlotClient(
            members=self._members,
            channel=self._channel,
            apply_locally=self._owner.apply,
            message_weight=self._message_weight,
            clock=self._clock,
            section=self._board.section("requester"),
        )
        # With a single worker, the messages of a peer are applied in the order of their arrival.
        self._channel.handle(Topic.SLOTS_DEMAND, self._handle_demands, workers=1)

    def _serve_operators(self) -> None:
        operators = OperatorApplication(
            register=self._register,
            members=self._members,
            tokens=self._settings.operator_tokens,
            dump=self._board.snapshot,
            metrics=Metrics(board=self._board).scrape,
        )
        server = HttpServer(
            app=application(operators.handle),
            address=Address.parse(self._settings.operators),
            threads=OPERATOR_THREADS,
            name="operators",
        )
        server.start()
        self._servers.append(server)

    def _wait_for_configuration(self) -> bool:
        while self._register.document is None:
            if self._stopping.wait(0.05):
                return False
        return True

    def _serve(self) -> None:
        announcement_api = AnnouncementApi(
            members=self._members, channel=self._channel, owner=self._owner
        )
        runners = HttpServer(
            app=application(announcement_api.handle),
            address=Address.parse(self._settings.runners),
            threads=RUNNER_THREADS,
            name="runners",
        )
        self._callers_server = HttpServer(
            app=application(CallerApi(jobs=self._router, zone=self._settings.zone).handle),
            address=Address.parse(self._settings.callers),
            threads=self.document().system.max_callers,
            name="callers",
        )
        self._timer.call_every(PAUSE_TICK_S, self._pause_watch.tick)
        self._timer.call_every(OWNER_TICK_S, self._owner.tick)
        self._timer.call_every(STATE_INTERVAL_S, self._slots.send_state)
        self._timer.call_every(REBALANCE_INTERVAL_S, self._slots.rebalance)
        self._timer.call_every(ROUTER_TICK_S, self._router.tick)
        self._timer.call_every(IDLE_CONNECTION_TICK_S, self._client.close_idle)
        self._slots.start()
        for server in (runners, self._callers_server):
            server.start()
            self._servers.append(server)
        get_logger().info("started", zone=self._settings.zone, callers=self._settings.callers)

    def _drain(self) -> None:
        """Shut down gracefully.

        Announces that the process is leaving, hands its services over, finishes running jobs,
        copies their outcomes to other processes and answers every caller.
        """
        get_logger().info("stopping")
        self._gossip.set_state(MemberState.LEAVING)
        self._router.leave()
        time.sleep(SHUTDOWN_NOTICE_S)
        is_drained = self._router.drain(self._longest_deadline_s() + COPY_TIMEOUT_S)
        for server in self._servers:
            is_drained = server.drain(timeout_s=COPY_TIMEOUT_S) and is_drained
        self._register.stop()
        self._gossip.close()
        self._channel.close()
        get_logger().info("stopped", drained=is_drained)

    def _longest_deadline_s(self) -> float:
        deadlines = [
            kind.deadline_ms / 1000
            for service in self.document().services.values()
            for kind in service.kinds.values()
        ]
        return max(deadlines, default=0.0)

    def _apply_document(self, version: int, doc: Document) -> None:
        """Put a document into force in every controller."""
        self._gossip.set_config_version(version)
        self._owner.reconfigure(doc)
        self._dispatcher.reconfigure()
        self._router.set_limits(
            LedgerLimits(
                rotation_s=doc.system.ledger_rotation_s,
                max_claims=doc.system.ledger_max_claims,
                retention_s=doc.system.retention_s,
            )
        )

    def _locate(self, peer: str) -> Address | None:
        member = self._members.get(peer)
        return None if member is None else Address.parse(member.peers)

    def _message_weight(self, service: str) -> float:
        cfg = self.document().services.get(service)
        return 0.0 if cfg is None else cfg.message_weight

    def _deliver(self, requester: str, msg: SlotGrants) -> None:
        if requester == self._settings.name:
            self._slots.accept_grants(msg)
        else:
            self._channel.send(requester, Topic.SLOTS_GRANT, msg.to_bytes())

    def _handle_demands(self, sender: str, body: bytes) -> None:
        self._owner.apply(sender, SlotDemands.from_bytes(body))


def run_entry(settings: Settings) -> int:
    """Run an entry process until SIGTERM or SIGINT.

    Args:
        settings: The process's own settings.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if the process cannot start.
    """
    first = _read_first_document(settings)
    if isinstance(first, str):
        get_logger().error("start_failed", reason=first)
        return 1
    try:
        process = EntryProcess(settings=settings, first_document=first)
    except OSError as exc:
        get_logger().error("start_failed", reason=str(exc))
        return 1
    # The handler interrupts the main thread, which may hold the lock that ``stop`` acquires.
    # ``SimpleQueue.put`` is reentrant, so the handler only puts the signal into this queue.
    signals: SimpleQueue[int] = SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _frame: signals.put(received))
    with ThreadPoolExecutor(max_workers=1, thread_name_prefix="stop") as executor:
        executor.submit(_stop_on_signal, process, signals)
        try:
            process.run()
        finally:
            signals.put(0)
    return 0


def _stop_on_signal(process: EntryProcess, signals: "SimpleQueue[int]") -> None:
    signals.get()
    process.stop()


def _read_first_document(settings: Settings) -> Document | str | None:
    """Return the first document, None if the settings name none, or why it cannot be used."""
    if not settings.first_document:
        return None
    path = Path(settings.first_document)
    try:
        doc = read_toml(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return f"{path}: {exc}"
    if isinstance(doc, list):
        return "; ".join(f"{path}: {problem}" for problem in doc)
    return doc
