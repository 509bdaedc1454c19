"""The two programs that run on the platform's machines: the core and the frontend.

A core keeps a replica of the log and leads when elected; a frontend serves callers.
"""

import contextlib
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
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
from kumquatlift.platform._open_requests import OpenRequests
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

# A caller whose job is answered when it ends occupies a thread until then, for seconds in a burst.
CALLER_THREADS = 128
CONTROL_THREADS = 16
# Interval at which a frontend that can't reach a leader looks for idle connections, and the time
# after which one counts as idle. A new connection carries its first request long before.
RELEASE_INTERVAL_S = 0.25
RELEASE_IDLE_S = 0.5
CHANNEL_WORKERS = 4
# Shutdown of a frontend. The two shares of the grace period and ``ABANDON_S`` must add up to less
# than the grace period.
# Share for which it continues to serve: by then the platform has found it not ready, in two checks
# one second apart, and sends new connections elsewhere.
SERVE_SHARE = 0.55
# Share for which it waits until requests in progress are answered.
DRAIN_SHARE = 0.35
# Time to answer the other requests with an unknown outcome. They check three times in this period
# whether they have been abandoned.
ABANDON_S = 0.3
# Time for which a stopping leader continues to serve. A follower needs two round trips to take over
# the leadership.
HAND_OVER_S = 0.5
# Longer than a request of an operator or an upstream may wait for the leader. Those that are open
# after the hand-over still get their answers.
OPEN_REQUESTS_S = 1.0
# The journal is replaced by a snapshot when it fills this share of the disk. The disk has to hold
# two journals and the snapshots at the same time.
JOURNAL_SHARE = 0.2
EXIT_INVALID_SETTINGS = 2
# Twice the writer's interval. Log lines that are not written by then are lost.
LOG_FLUSH_TIMEOUT_S = 0.2


class StopSignal:
    """Waits for SIGTERM, and logs SIGHUP, which reports a change of the settings file.

    The signal handlers only put the signal into a ``SimpleQueue``, which is reentrant. Setting an
    ``Event`` instead could deadlock: handlers run in the main thread, which may hold the lock of
    the ``Event`` because it is just beginning to wait for it.
    """

    def __init__(self) -> None:
        self._signals: SimpleQueue[int] = SimpleQueue()
        self._is_stopped = False
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, lambda received, _frame: self._signals.put(received))

    def wait(self) -> None:
        """Wait until SIGTERM is received."""
        while not self._is_stopped:
            self._handle(self._signals.get())

    def wait_for_stop(self, seconds: float) -> bool:
        """Wait for SIGTERM for at most a number of seconds; return whether it was received."""
        deadline = time.monotonic() + seconds
        with contextlib.suppress(Empty):
            while not self._is_stopped:
                self._handle(self._signals.get(timeout=max(0.0, deadline - time.monotonic())))
        return self._is_stopped

    def _handle(self, number: int) -> None:
        if number == signal.SIGTERM:
            self._is_stopped = True
        else:
            # All settings are addresses and limits, which take effect only at the next start.
            get_logger().info("settings_file_changed", applied=False)


def run_frontend(cfg: PlatformSettings, board: Blackboard) -> None:
    """Serve callers until SIGTERM."""
    stop = StopSignal()
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
        # Callers must reconnect, and so reach another instance, when this one knows no leader.
        allows_keep_alive=lambda: frontend.is_ready,
    )
    callers.start()
    timer.call_every(RELEASE_INTERVAL_S, partial(_release_callers, client, callers))
    _serve(frontend.ready, cfg.listen.readiness, 1, "readiness")
    _serve_metrics(cfg, board, FRONTEND_COUNTERS)
    get_logger().info("started", role="frontend", zone=cfg.zone, seeds=",".join(cfg.seeds))
    stop.wait()
    get_logger().info("stopping", role="frontend")
    frontend.leave()
    callers.disable_keep_alive()
    time.sleep(SERVE_SHARE * cfg.bounds.grace_s)
    frontend.close()
    if not callers.drain(timeout_s=DRAIN_SHARE * cfg.bounds.grace_s):
        get_logger().warning("requests_given_up", reason="their jobs still run")
        frontend.abandon_requests()
        callers.drain(timeout_s=ABANDON_S)
    # The process may take a while to exit; it must not accept requests that it won't answer.
    callers.close()


def _release_callers(client: LeaderClient, callers: HttpServer) -> None:
    """Close the idle connections of callers while no leader can be reached.

    Each would cost its caller a refusal, since the platform chooses another instance only for new
    connections.
    """
    if client.is_cut_off:
        callers.close_idle_connections(idle_s=RELEASE_IDLE_S)


def run_core(cfg: PlatformSettings, board: Blackboard) -> None:
    """Keep a replica of the log and lead when elected, until SIGTERM."""
    stop = StopSignal()
    journal = open_journal(Path(cfg.data_folder), wait_for_stop=stop.wait_for_stop)
    if journal is None:
        return
    clock = MonotonicClock()
    loop = EventLoop(clock=clock)
    timer = Timer(clock=clock)
    channel = _open_channel(cfg)
    gateway = UpstreamClient(loop=loop)
    authority = Authority(
        read_config=read_config,
        gateway=gateway,
        loop=loop,
        clock=clock,
        limits=Limits(
            lease_s=cfg.bounds.lease_ms / 1000,
            remote_factor=cfg.bounds.remote_factor,
            # A margin above the time for which callers may query an ended job.
            retention_s=cfg.bounds.state_kept_s * 1.2,
            resubmit_s=cfg.bounds.resubmit_ms / 1000,
            has_fair_shares=cfg.admission.fair_shares,
            keeps_apart=cfg.placement.keeps_apart,
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
    gateway.may_send = lambda: replica.raft.has_lease
    replica.start()
    authority.attach(replica.raft)
    # Flushes the replica again after the authority, which proposes entries at the end of a batch;
    # they would otherwise wait for the next batch.
    loop.after_batch(replica.flush)
    channel.handle_inline(Topic.AUTHORITY, authority_handler(authority.handle_request))
    client = LeaderClient(channel=channel, timer=timer, contacts=cfg.contacts)
    control = Control(
        client=client,
        control_port=Address.parse(cfg.listen.control).port,
        zones=cfg.zones,
    )
    requests = OpenRequests(handler=control.handle)
    _serve(requests.handle, cfg.listen.control, CONTROL_THREADS, "control", lookahead=1)
    _serve_metrics(cfg, board, AUTHORITY_COUNTERS)
    get_logger().info(
        "started",
        role="core",
        zone=cfg.zone,
        term=replica.raft.term,
        last=replica.raft.last_index,
        member=replica.raft.can_vote,
    )
    threading.Thread(target=_stop_core, args=(stop, loop, replica, requests), daemon=True).start()
    loop.run()


def _stop_core(stop: StopSignal, loop: EventLoop, replica: Replica, requests: OpenRequests) -> None:
    stop.wait()
    get_logger().info("stopping", role="core")
    loop.post(replica.raft.transfer_leadership)
    time.sleep(HAND_OVER_S)
    requests.wait_for_present(timeout_s=OPEN_REQUESTS_S)
    loop.stop()


def _serve_metrics(cfg: PlatformSettings, board: Blackboard, counters: tuple[Counter, ...]) -> None:
    cached: list[Metrics] = []

    def handle(_req: ApiRequest) -> ApiResponse:
        # Created by the first scrape, because loading the SDK costs memory and start-up time.
        if not cached:
            cached.append(Metrics(board=board, counters=counters))
        return ApiResponse(200, cached[0].scrape(), "text/plain; version=0.0.4")

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
    lookahead: int = 0,
) -> HttpServer:
    server = HttpServer(
        app=application(handler),
        address=Address.parse(address),
        threads=threads,
        name=name,
        lookahead=lookahead,
    )
    server.start()
    return server


PROGRAMS: dict[str, Callable[[PlatformSettings, Blackboard], None]] = {
    "core": run_core,
    "frontend": run_frontend,
}


def main() -> None:
    """Run the program named on the command line."""
    if len(sys.argv) != 2 or sys.argv[1] not in PROGRAMS:
        print(f"usage: kumquatlift.platform {{{','.join(PROGRAMS)}}}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    try:
        cfg = PlatformSettings.from_environment()
    except SettingsError as exc:
        print(f"settings: {exc}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    board = Blackboard()
    writer = LineWriter(stream=sys.stdout, section=board.section("log"))
    configure_logs(process=cfg.name, file=writer)
    code = 0
    try:
        PROGRAMS[sys.argv[1]](cfg, board)
        get_logger().info("stopped")
    except (JournalError, OSError) as exc:
        get_logger().error("start_failed", error=repr(exc))
        code = 1
    writer.finish(timeout_s=LOG_FLUSH_TIMEOUT_S)
    # The servers' threads can't be stopped from outside. Their requests have all been answered.
    os._exit(code)
