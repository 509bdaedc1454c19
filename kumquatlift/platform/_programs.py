"""The programs that run on the platform's machines."""

import contextlib
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from queue import Empty, SimpleQueue

from kumquatlift import STARTED_AT
from kumquatlift.authority import Authority, LeaderClient, Limits, authority_handler
from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import MonotonicClock
from kumquatlift.log import LineWriter, configure_logs, get_logger
from kumquatlift.metrics import AUTHORITY_COUNTERS, FRONTEND_COUNTERS, Counter, Metrics
from kumquatlift.platform._control import Control
from kumquatlift.platform._frontend import Frontend
from kumquatlift.platform._settings import PlatformSettings, SettingsError, locate
from kumquatlift.platform._upstream_client import UpstreamClient
from kumquatlift.platform._wire import read_config
from kumquatlift.settings import Address
from kumquatlift.store import EventLoop, JournalError, Replica, open_journal
from kumquatlift.timer import Timer
from kumquatlift.transport.channel import Topic
from kumquatlift.transport.server import HttpServer
from kumquatlift.transport.tcp_channel import TcpChannel
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse, application

# A caller whose job is answered at its end holds a thread; in a burst some wait for seconds.
CALLER_THREADS = 128
CONTROL_THREADS = 16
CHANNEL_WORKERS = 4
# A process that stops goes on serving for this share of its grace, so that the platform has sent
# new connections elsewhere (two checks, one a second) and what was read is answered.
SERVE_SHARE = 0.55
DRAIN_SHARE = 0.35
# Requests whose jobs still run then are answered with an unknown outcome, within three of the
# periods in which they look whether somebody waits. This and both shares stay below the grace.
GIVE_UP_S = 0.3
# A leader that stops serves on until a follower has taken over, which takes two round trips.
HAND_OVER_S = 0.5
# The journal is replaced by a snapshot at this share of the disk; two of them fit beside snapshots.
JOURNAL_SHARE = 0.2
EXIT_SETTINGS = 2
# The last lines are written within this time, two periods of the writer, or are given up.
LAST_LINES_S = 0.2


class Stop:
    """Waits for SIGTERM and reports changes of the settings file by SIGHUP.

    The handlers only put into a queue, which takes no lock: they run in the main thread, which may
    hold the lock of an ``Event`` that it begins to wait for.
    """

    def __init__(self) -> None:
        self._signals: SimpleQueue[int] = SimpleQueue()
        self._is_stopped = False
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, lambda received, _frame: self._signals.put(received))

    def wait(self) -> None:
        """Return after SIGTERM."""
        while not self._is_stopped:
            self._take(self._signals.get())

    def gives_up(self, seconds: float) -> bool:
        """Wait for a number of seconds; return whether SIGTERM came meanwhile."""
        deadline = time.monotonic() + seconds
        with contextlib.suppress(Empty):
            while not self._is_stopped:
                self._take(self._signals.get(timeout=max(0.0, deadline - time.monotonic())))
        return self._is_stopped

    def _take(self, number: int) -> None:
        if number == signal.SIGTERM:
            self._is_stopped = True
        else:
            # All settings concern addresses and bounds, which a process keeps for its life.
            get_logger().info("settings_file_changed", applied=False)


def run_frontend(cfg: PlatformSettings) -> None:
    """Serve callers until SIGTERM."""
    stop = Stop()
    board = Blackboard()
    timer = Timer(clock=MonotonicClock())
    channel = _open_channel(cfg)
    client = LeaderClient(channel=channel, timer=timer, contacts=cfg.contacts)
    frontend = Frontend(client=client, zone=cfg.zone, section=board.section("frontend"))
    callers = HttpServer(
        app=application(frontend.handle),
        address=Address.parse(cfg.listen.callers),
        threads=CALLER_THREADS,
        name="callers",
        lookahead=1,
        # A caller that keeps its connection to an instance without a leader never finds another.
        allows_keep_alive=lambda: frontend.is_ready,
    )
    callers.start()
    _serve(frontend.ready, cfg.listen.readiness, 1, "readiness")
    _serve_metrics(cfg, board, FRONTEND_COUNTERS)
    get_logger().info("started", role="frontend", zone=cfg.zone, seeds=",".join(cfg.seeds))
    stop.wait()
    get_logger().info("stopping", role="frontend")
    frontend.leave()
    callers.leave()
    time.sleep(SERVE_SHARE * cfg.bounds.grace_s)
    frontend.close()
    if not callers.drain(timeout_s=DRAIN_SHARE * cfg.bounds.grace_s):
        get_logger().warning("requests_given_up", reason="their jobs still run")
        frontend.give_up()
        callers.drain(timeout_s=GIVE_UP_S)
    # The process may take a while to end; a request that nobody will answer must not be read.
    callers.close()


def run_core(cfg: PlatformSettings) -> None:
    """Keep a replica of the log, and lead when elected, until SIGTERM."""
    stop = Stop()
    journal = open_journal(Path(cfg.data_folder), gives_up=stop.gives_up)
    if journal is None:
        return
    board = Blackboard()
    clock = MonotonicClock()
    loop = EventLoop(clock=clock)
    timer = Timer(clock=clock)
    channel = _open_channel(cfg)
    authority = Authority(
        read_config=read_config,
        gateway=UpstreamClient(loop=loop),
        loop=loop,
        clock=clock,
        limits=Limits(
            lease_s=cfg.bounds.lease_ms / 1000,
            remote_factor=cfg.bounds.remote_factor,
            retention_s=cfg.bounds.state_kept_s * 1.2,
        ),
        section=board.section("authority"),
    )
    replica = Replica(
        name=cfg.peer_name,
        channel=channel,
        loop=loop,
        journal=journal,
        machine=authority,
        initial_voters=cfg.contacts if cfg.is_first_formation else (),
        contacts=cfg.contacts,
        started_at=STARTED_AT,
        sync_ms=board.section("store").histogram("sync_ms", "time of a write to the journal"),
        target_voters=max(len(cfg.contacts), 2 * cfg.bounds.tolerated_machines + 1),
        max_journal_bytes=int(JOURNAL_SHARE * cfg.disk_mb * 1_000_000),
    )
    replica.start()
    authority.attach(replica.raft)
    # What the authority proposes after a batch is sent and written at once.
    loop.after_batch(replica.flush)
    channel.handle_async(Topic.AUTHORITY, authority_handler(authority.handle_request))
    client = LeaderClient(channel=channel, timer=timer, contacts=cfg.contacts)
    control = Control(client=client, control_port=Address.parse(cfg.listen.control).port)
    _serve(control.handle, cfg.listen.control, CONTROL_THREADS, "control")
    _serve_metrics(cfg, board, AUTHORITY_COUNTERS)
    get_logger().info(
        "started",
        role="core",
        zone=cfg.zone,
        term=replica.raft.term,
        last=replica.raft.last_index,
        member=replica.raft.can_vote,
    )
    threading.Thread(target=_stop_core, args=(stop, loop, replica), daemon=True).start()
    loop.run()


def _stop_core(stop: Stop, loop: EventLoop, replica: Replica) -> None:
    stop.wait()
    get_logger().info("stopping", role="core")
    loop.post(replica.raft.transfer_leadership)
    time.sleep(HAND_OVER_S)
    loop.stop()


def _serve_metrics(cfg: PlatformSettings, board: Blackboard, counters: tuple[Counter, ...]) -> None:
    made: list[Metrics] = []

    def handle(_req: ApiRequest) -> ApiResponse:
        # Made by the first scrape, since the SDK takes memory and time at the start.
        if not made:
            made.append(Metrics(board=board, counters=counters))
        return ApiResponse(200, made[0].scrape(), "text/plain; version=0.0.4")

    if cfg.listen.metrics:
        _serve(handle, cfg.listen.metrics, 1, "metrics")


def _open_channel(cfg: PlatformSettings) -> TcpChannel:
    return TcpChannel(
        name=cfg.peer_name,
        address=Address(cfg.host, cfg.internal_port),
        locate=locate,
        workers=CHANNEL_WORKERS,
    )


def _serve(
    handler: Callable[[ApiRequest], ApiResponse],
    address: str,
    threads: int,
    name: str,
) -> HttpServer:
    server = HttpServer(
        app=application(handler),
        address=Address.parse(address),
        threads=threads,
        name=name,
    )
    server.start()
    return server


PROGRAMS: dict[str, Callable[[PlatformSettings], None]] = {
    "core": run_core,
    "frontend": run_frontend,
}


def main() -> None:
    """Run the program that the command line names."""
    if len(sys.argv) != 2 or sys.argv[1] not in PROGRAMS:
        print(f"usage: kumquatlift.platform {{{','.join(PROGRAMS)}}}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        cfg = PlatformSettings.from_environment()
    except SettingsError as exc:
        print(f"settings: {exc}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    writer = LineWriter(stream=sys.stdout)
    configure_logs(process=cfg.name, file=writer)
    code = 0
    try:
        PROGRAMS[sys.argv[1]](cfg)
        get_logger().info("stopped")
    except (JournalError, OSError) as exc:
        get_logger().error("start_failed", error=repr(exc))
        code = 1
    writer.finish(timeout_s=LAST_LINES_S)
    # The servers' loops offer no stop from outside; everything they served has been answered.
    os._exit(code)
