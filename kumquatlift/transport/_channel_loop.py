"""Selector loop that does all socket I/O of a channel."""

import selectors
import socket
import threading
import time
from collections.abc import Callable
from functools import partial

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.settings import Address
from kumquatlift.transport._calls import OpenCalls
from kumquatlift.transport._connection import Connection, Frame, Phase, SendQueue
from kumquatlift.transport._envelope import (
    HEARTBEAT,
    MAX_FRAME_BYTES,
    Envelope,
    FrameError,
    FrameKind,
    call_result,
    decode,
    encode,
)
from kumquatlift.transport._link import MAX_PEERS, Link, Links
from kumquatlift.transport._sockets import connect_outcome_of, listen, new_socket, start_connect
from kumquatlift.transport._topic_queues import AnswerCallback, TopicQueues
from kumquatlift.transport.peer_diagnosis import ConnectOutcome

MAX_CONNECTIONS = 512
# Limit for the TCP connection and the peer's hello together.
CONNECT_TIMEOUT_S = 1.0
# Interval of heartbeats while calls are open on a connection and nothing else arrives on it.
BUSY_PING_INTERVAL_S = 0.15
# Interval of heartbeats on a connection without open calls. A heartbeat takes about 200 bytes,
# including headers and acknowledgements.
IDLE_PING_INTERVAL_S = 5.0
# A connection on which a heartbeat stays unanswered for longer than this is replaced by a new one.
PING_TIMEOUT_S = 0.5
# The accepting side closes a connection on which it has received nothing for longer than this.
IDLE_TIMEOUT_S = 3 * IDLE_PING_INTERVAL_S
_BUSY_TICK_S = 0.05
_IDLE_TICK_S = 0.25
_READ = selectors.EVENT_READ
_READ_WRITE = selectors.EVENT_READ | selectors.EVENT_WRITE
_ANSWER_KINDS = (FrameKind.ANSWER, FrameKind.REFUSED, FrameKind.FAILED)
_CLOSE_REASON = "this process closes the channel"


class ChannelLoop:
    """Event loop over the listener and the connections of a channel.

    ``wake`` and ``stop`` may be called from any thread.

    Args:
        name: Name of this process.
        address: Where to listen.
        locate: Returns the address of a peer, or None when it is unknown.
        calls: Open calls of this process.
        links: Send queue, connection and counters of each peer.
        topics: Queues and handlers of incoming requests and notices.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        locate: Callable[[str], Address | None],
        calls: OpenCalls,
        links: Links,
        topics: TopicQueues,
    ) -> None:
        self._name = name
        self._locate = locate
        self._calls = calls
        self._links = links
        self._topics = topics
        self.late_answers = 0
        self._connections: set[Connection] = set()
        self._lock = threading.Lock()
        self._pending_writes: set[Link | Connection] = set()
        self._is_wake_pending = False
        self._is_stopped = False
        self._listener = listen(address)
        host, port = self._listener.getsockname()[:2]
        self.address = Address(host, port)
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, _READ)
        self._selector.register(self._wake_reader, _READ)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def wake(self, target: Link | Connection | None = None) -> None:
        """Wake the loop, to write the queued frames of a link or connection if one is given."""
        with self._lock:
            if target is not None:
                self._pending_writes.add(target)
            if self._is_wake_pending or self._is_stopped:
                return
            self._is_wake_pending = True
            self._wake_writer.send(b"\0")

    def stop(self) -> None:
        """Make ``run`` return after it has closed all sockets."""
        self.wake()
        self._is_stopped = True

    def run(self) -> None:
        """Serve all sockets until ``stop`` is called."""
        last_tick_at = 0.0
        while not self._is_stopped:
            tick_s = _BUSY_TICK_S if self._calls else _IDLE_TICK_S
            events = self._selector.select(tick_s)
            now = time.monotonic()
            for key, mask in events:
                if key.fileobj is self._listener:
                    self._accept(now)
                elif key.data is not None:
                    self._run_guarded(key.data, partial(self._on_event, key.data, mask, now), now)
            self._write_pending(now)
            if now - last_tick_at >= tick_s:
                last_tick_at = now
                self._tick(now)
            self._calls.flush()
        self._close_sockets(time.monotonic())

    def _run_guarded(self, conn: Connection, action: Callable[[], None], now: float) -> None:
        """Run an action on an open connection; close the connection when the action raises."""
        if conn not in self._connections:
            return
        try:
            action()
        except (OSError, FrameError) as exc:
            self._drop(conn, exc, now)
        except Exception as exc:
            # The loop serves all peers, so an exception on one connection must not end it.
            get_logger().error("channel_fault", peer=conn.peer, error=repr(exc))
            self._drop(conn, exc, now)

    def _write_pending(self, now: float) -> None:
        """Write the links and connections that ``wake`` was called for."""
        with self._lock:
            pending, self._pending_writes = self._pending_writes, set()
            if self._is_wake_pending:
                self._is_wake_pending = False
                self._wake_reader.recv(64)
        for target in pending:
            if isinstance(target, Link):
                self._flush_link(target, now)
            else:
                self._run_guarded(target, partial(self._write, target), now)

    def _flush_link(self, link: Link, now: float) -> None:
        """Write the send queue of a link; connect first when there is no connection."""
        conn = link.conn
        if conn is not None:
            if conn.phase is Phase.READY:
                self._run_guarded(conn, partial(self._write, conn), now)
        elif link.send_queue:
            if link.may_connect(now):
                self._connect(link, now)
            else:
                self._fail_queued_calls(link)

    def _connect(self, link: Link, now: float) -> None:
        try:
            address = self._locate(link.peer)
            sock = None if address is None else new_socket(address, self.address.host)
        except Exception as exc:
            # The process is out of file descriptors, or the lookup failed; the loop must continue.
            get_logger().error("connect_fault", peer=link.peer, error=repr(exc))
            address = sock = None
        if address is None or sock is None:
            link.record_connect_failure(ConnectOutcome.NONE, "no address or no socket", now)
            self._fail_queued_calls(link)
            return
        conn = Connection(sock=sock, peer=link.peer, is_outbound=True, now=now)
        conn.send_queue.put(Frame(encode(FrameKind.HELLO, 0, self._name, b"")))
        link.conn = conn
        self._add(conn, _READ_WRITE)
        self._run_guarded(conn, partial(start_connect, sock, address), now)

    def _accept(self, now: float) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if len(self._connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._add(Connection(sock=sock, peer="", is_outbound=False, now=now), _READ)

    def _add(self, conn: Connection, events: int) -> None:
        self._connections.add(conn)
        self._selector.register(conn.sock, events, conn)

    def _on_event(self, conn: Connection, mask: int, now: float) -> None:
        if conn.phase is Phase.CONNECTING:
            error = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, "connection failed")
            conn.phase = Phase.GREETING
        if mask & selectors.EVENT_READ:
            frames = conn.read(now)
            for data in frames:
                self._on_frame(conn, data)
            self._count_received(conn, len(frames), now)
        if mask & selectors.EVENT_WRITE or conn.wants_write:
            self._write(conn)

    def _count_received(self, conn: Connection, frames: int, now: float) -> None:
        link = self._links.find(conn.peer)
        if link is not None:
            link.received += frames
            link.bytes_received += conn.uncounted_bytes_received
            link.last_contact_at = now
            conn.uncounted_bytes_received = 0

    def _write(self, conn: Connection) -> None:
        written = conn.write()
        link = self._links.find(conn.peer)
        if link is not None:
            link.bytes_sent += written
            link.sent += conn.uncounted_frames_sent
            conn.uncounted_frames_sent = 0
        events = _READ_WRITE if conn.wants_write else _READ
        if self._selector.get_key(conn.sock).events != events:
            self._selector.modify(conn.sock, events, conn)

    def _on_frame(self, conn: Connection, data: bytes) -> None:
        if not data:
            if not conn.is_outbound:
                conn.send_queue.put_front([Frame(HEARTBEAT)])
            return
        envelope = decode(data)
        if conn.phase is Phase.GREETING:
            self._on_hello(conn, envelope)
        elif conn.is_outbound and envelope.kind in _ANSWER_KINDS:
            self._on_answer(conn, envelope)
        elif not conn.is_outbound and envelope.kind in (FrameKind.REQUEST, FrameKind.NOTICE):
            self._topics.deliver(conn.peer, envelope, self._answer_callback(conn, envelope.id))
        else:
            raise FrameError(f"unexpected {envelope.kind.name.lower()}")

    def _on_hello(self, conn: Connection, envelope: Envelope) -> None:
        if envelope.kind is not FrameKind.HELLO:
            raise FrameError(f"{envelope.kind.name.lower()} before the hello")
        if conn.is_outbound and envelope.topic != conn.peer:
            raise FrameError(f"the process there is {envelope.topic[:40]!r}")
        link = self._links.get(envelope.topic)
        if link is None:
            raise FrameError(f"{MAX_PEERS} peers are known")
        conn.phase = Phase.READY
        if conn.is_outbound:
            link.record_connect_success(time.monotonic())
            conn.send_queue = link.send_queue
        else:
            conn.peer = envelope.topic
            conn.send_queue.put(Frame(encode(FrameKind.HELLO, 0, self._name, b"")))

    def _on_answer(self, conn: Connection, envelope: Envelope) -> None:
        call = conn.calls.pop(envelope.id, None)
        if call is None or not call.is_open:
            self.late_answers += 1
            return
        self._calls.queue_result(call, call_result(envelope.kind, envelope.body))

    def _answer_callback(self, conn: Connection, call_id: int) -> AnswerCallback:
        """Return a function that answers a request on its connection, from any thread."""

        def answer(kind: FrameKind, reply: bytes) -> None:
            if call_id == 0:
                # Notices have no call number and get no answer.
                return
            frame = Frame(encode(kind, call_id, "", reply))
            if len(frame.data) > MAX_FRAME_BYTES:
                frame = Frame(encode(FrameKind.FAILED, call_id, "", b"the answer is too large"))
            if conn.send_queue.put(frame):
                self.wake(conn)

        return answer

    def _fail_queued_calls(self, link: Link) -> None:
        """Empty the send queue to an unreachable peer; its calls end as ``NOT_DELIVERED``."""
        reason = f"{link.peer} cannot be reached: {link.connect_outcome.value}, {link.error}"
        while batch := link.send_queue.pop_batch(max_bytes=1 << 30, max_frames=1000):
            for frame in batch:
                if frame.call is not None:
                    self._calls.queue_result(frame.call, Failure(ResultCode.NOT_DELIVERED, reason))

    def _drop(self, conn: Connection, error: Exception, now: float) -> None:
        """Close a connection and fail the calls that were written on it.

        Frames that were not written stay in the send queue of the link. They go out on a new
        connection, unless this one was still being opened: then their calls fail.
        """
        self._connections.discard(conn)
        self._selector.unregister(conn.sock)
        conn.sock.close()
        reason = str(error) or type(error).__name__
        for call in conn.calls.values():
            self._calls.fail(call, f"connection to {conn.peer} lost: {reason}")
        link = self._links.find(conn.peer)
        if link is None or link.conn is not conn:
            return
        link.conn = None
        link.error = reason
        if self._is_stopped:
            return
        if conn.phase is Phase.READY:
            self._flush_link(link, now)
        else:
            link.record_connect_failure(connect_outcome_of(conn, error), reason, now)
            self._fail_queued_calls(link)

    def _retire(self, conn: Connection, now: float) -> None:
        """Replace an unresponsive connection.

        It stays open for answers to the calls that were written on it.
        """
        get_logger().warning("connection_silent", peer=conn.peer, calls=len(conn.calls))
        conn.phase = Phase.RETIRED
        conn.send_queue = SendQueue()
        link = self._links.find(conn.peer)
        if link is not None and link.conn is conn:
            link.conn = None
            self._connect(link, now)

    def _tick(self, now: float) -> None:
        for call in self._calls.expired(now):
            link = self._links.find(call.peer)
            if link is not None and call.is_written:
                link.call_timed_out_at = now
            self._calls.fail(call, f"no answer from {call.peer} in time")
        for conn in list(self._connections):
            self._run_guarded(conn, partial(self._check_connection, conn, now), now)

    def _check_connection(self, conn: Connection, now: float) -> None:
        """Send a heartbeat, replace the connection or close it, according to its timeouts.

        Raises:
            TimeoutError: The connection is to be closed.
        """
        conn.calls = {call_id: call for call_id, call in conn.calls.items() if call.is_open}
        if conn.phase in (Phase.CONNECTING, Phase.GREETING):
            if now - conn.opened_at > CONNECT_TIMEOUT_S:
                raise TimeoutError(f"no hello within {CONNECT_TIMEOUT_S} s")
        elif conn.phase is Phase.RETIRED:
            if not conn.calls:
                raise TimeoutError("replaced by a newer connection")
        elif not conn.is_outbound:
            if now - conn.last_contact_at > IDLE_TIMEOUT_S:
                raise TimeoutError(f"nothing received for {IDLE_TIMEOUT_S} s")
        elif conn.unanswered_ping_s(now) > PING_TIMEOUT_S:
            self._retire(conn, now)
        elif now - max(conn.last_contact_at, conn.last_ping_at) >= (
            BUSY_PING_INTERVAL_S if conn.calls else IDLE_PING_INTERVAL_S
        ):
            conn.ping(now)
            self._write(conn)

    def _close_sockets(self, now: float) -> None:
        """Fail all open calls and close all sockets."""
        for conn in list(self._connections):
            self._drop(conn, ConnectionAbortedError(_CLOSE_REASON), now)
        self._calls.close(_CLOSE_REASON)
        self._selector.close()
        with self._lock:
            for sock in (self._listener, self._wake_reader, self._wake_writer):
                sock.close()
