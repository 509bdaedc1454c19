"""HTTP client whose connections are served by an event loop, without a thread for each request."""

import select
import socket
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, NamedTuple, Protocol

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.settings import Address
from kumquatlift.timer import TimerHandle
from kumquatlift.transport._http_response import ResponseError, ResponseReader
from kumquatlift.transport.connection_pool import HttpResponse

_READ_BYTES = 65536
_READY_TO_READ = select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR


class SocketLoop(Protocol):
    """The parts of an event loop that the client uses."""

    def watch(
        self, sock: socket.socket, callback: Callable[[int], None], *, for_writing: bool = False
    ) -> None:
        """Call a function whenever a socket is ready."""

    def unwatch(self, sock: socket.socket) -> None:
        """End the watch of a socket."""

    def call_after(self, seconds: float, function: Callable[[], None]) -> TimerHandle:
        """Run a function after a number of seconds."""

    def post(self, function: Callable[..., None], *args: Any) -> None:
        """Run a function in the loop's thread."""


Done = Callable[[HttpResponse | Failure], None]


class ClientLimits(NamedTuple):
    """Limits of a client.

    Args:
        connect_timeout_s: Limit for opening a connection, in seconds.
        max_idle_s: Connections that were idle for more seconds are not reused.
        max_connections: Maximum number of connections, in use and idle.
    """

    connect_timeout_s: float
    max_idle_s: float
    max_connections: int


class _Exchange:
    """A request, and what becomes of it."""

    __slots__ = ("data", "done", "reader", "timeout_s", "timer")

    def __init__(self, *, data: bytes, timeout_s: float, done: Done) -> None:
        self.data = data
        self.timeout_s = timeout_s
        self.done = done
        self.reader = ResponseReader()
        self.timer: TimerHandle | None = None


class _Connection:
    """A connection, which serves one exchange at a time."""

    __slots__ = ("address", "exchange", "idle_since", "is_open", "sock", "unsent")

    def __init__(self, *, address: str, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.is_open = False
        self.exchange: _Exchange | None = None
        self.unsent = b""
        self.idle_since = 0.0


class EventHttpClient:
    """Sends HTTP requests on kept connections; all methods run in the thread of the loop.

    A request is never sent twice. A connection is reused only after a complete response without
    further bytes, so that a late or surplus response cannot be taken for that of another request.

    Args:
        loop: The event loop.
        limits: Limits of the client.
        may_send: Returns whether a request may still be sent on a connection that has just been
            opened; the process may have been suspended since it was decided on.
    """

    def __init__(
        self,
        *,
        loop: SocketLoop,
        limits: ClientLimits,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._loop = loop
        self._limits = limits
        self._may_send = may_send
        # Idle connections by address, the newest last.
        self._idle: dict[str, list[_Connection]] = defaultdict(list)
        self._idle_count = 0
        self._connections = 0

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return self._idle_count

    @property
    def connections(self) -> int:
        """Number of connections, in use and idle."""
        return self._connections

    def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        *,
        timeout_s: float,
        done: Done,
    ) -> None:
        """Send a request.

        Args:
            address: "ip:port".
            method: HTTP method.
            path: Path of the request.
            body: Complete body.
            headers: Headers besides the host and the length of the body.
            timeout_s: Limit in seconds for the exchange, after the connection is open.
            done: Is called once, later, with the response or a failure. Its code is NOT_DELIVERED
                if no byte of the request was sent, and otherwise ATTEMPT_UNKNOWN.
        """
        try:
            data = _encode(address, method, path, body, headers)
        except ValueError as exc:
            self._loop.post(done, Failure(ResultCode.NOT_DELIVERED, str(exc)))
            return
        exchange = _Exchange(data=data, timeout_s=timeout_s, done=done)
        conn = self._take_idle(address)
        if conn is not None:
            self._begin(conn, exchange)
        else:
            self._connect(address, exchange)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address, after an exchange with it failed."""
        conns = self._idle.pop(address, [])
        self._idle_count -= len(conns)
        for conn in conns:
            self._close(conn)

    def close_idle(self) -> None:
        """Close the connections that have been idle for longer than ``max_idle_s``."""
        limit = time.monotonic() - self._limits.max_idle_s
        for address, conns in list(self._idle.items()):
            # Connections are reused newest first, so the oldest come first.
            while conns and conns[0].idle_since <= limit:
                self._idle_count -= 1
                self._close(conns.pop(0))
            if not conns:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    # Connections

    def _take_idle(self, address: str) -> _Connection | None:
        conns = self._idle.get(address)
        limit = time.monotonic() - self._limits.max_idle_s
        while conns:
            conn = conns.pop()
            self._idle_count -= 1
            if conn.idle_since > limit:
                return conn
            self._close(conn)
        return None

    def _connect(self, address: str, exchange: _Exchange) -> None:
        if self._connections >= self._limits.max_connections:
            self._close_longest_idle()
        if self._connections >= self._limits.max_connections:
            self._loop.post(
                exchange.done, Failure(ResultCode.NOT_DELIVERED, f"{address}: too many connections")
            )
            return
        try:
            sock = socket.socket(socket.AF_INET6 if "[" in address else socket.AF_INET)
        except OSError as exc:
            self._loop.post(exchange.done, Failure(ResultCode.NOT_DELIVERED, f"{address}: {exc}"))
            return
        conn = _Connection(address=address, sock=sock)
        conn.exchange = exchange
        self._connections += 1
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect(Address.parse(address))
        except BlockingIOError:
            pass
        except (OSError, ValueError) as exc:
            self._loop.post(self._fail, conn, exchange, f"{address}: {exc}")
            return
        exchange.timer = self._loop.call_after(
            self._limits.connect_timeout_s, partial(self._on_connect_timeout, conn, exchange)
        )
        self._loop.watch(sock, partial(self._on_event, conn), for_writing=True)

    def _close_longest_idle(self) -> None:
        oldest = min(
            (conns[0] for conns in self._idle.values() if conns),
            key=lambda conn: conn.idle_since,
            default=None,
        )
        if oldest is not None:
            self._remove_idle(oldest)

    def _remove_idle(self, conn: _Connection) -> None:
        self._idle[conn.address].remove(conn)
        self._idle_count -= 1
        self._close(conn)

    def _close(self, conn: _Connection) -> None:
        if conn.sock.fileno() < 0:
            return
        self._loop.unwatch(conn.sock)
        conn.sock.close()
        self._connections -= 1

    # Exchanges

    def _begin(self, conn: _Connection, exchange: _Exchange) -> None:
        conn.exchange = exchange
        conn.unsent = exchange.data
        exchange.timer = self._loop.call_after(
            exchange.timeout_s, partial(self._on_timeout, conn, exchange)
        )
        try:
            self._write(conn)
        except OSError as exc:
            self._loop.post(self._fail, conn, exchange, f"{type(exc).__name__} {exc}")

    def _write(self, conn: _Connection) -> None:
        was_blocked = len(conn.unsent) < len(conn.exchange.data) if conn.exchange else False
        try:
            conn.unsent = conn.unsent[conn.sock.send(conn.unsent) :]
        except BlockingIOError:
            was_blocked = was_blocked or bool(conn.unsent)
        if conn.unsent or was_blocked:
            self._loop.watch(
                conn.sock, partial(self._on_event, conn), for_writing=bool(conn.unsent)
            )

    def _on_event(self, conn: _Connection, mask: int) -> None:
        exchange = conn.exchange
        if exchange is None:
            # The peer has closed the idle connection, or sent bytes that belong to no request.
            self._remove_idle(conn)
            return
        try:
            if not conn.is_open:
                self._on_connected(conn, exchange)
                return
            if conn.unsent and mask & select.EPOLLOUT:
                self._write(conn)
            if mask & _READY_TO_READ:
                self._read(conn, exchange)
        except (OSError, ResponseError) as exc:
            self._fail(conn, exchange, f"{type(exc).__name__} {exc}")

    def _on_connect_timeout(self, conn: _Connection, exchange: _Exchange) -> None:
        """Give up a connect, unless the loop was too busy to see that it has succeeded."""
        try:
            conn.sock.getpeername()
        except OSError:
            self._fail(conn, exchange, "connect timeout")
        else:
            self._on_event(conn, select.EPOLLOUT)

    def _on_timeout(self, conn: _Connection, exchange: _Exchange) -> None:
        """Give up an exchange, unless the loop was too busy to read an answer that has arrived."""
        if conn.exchange is exchange:
            self._on_event(conn, select.EPOLLIN)
        self._fail(conn, exchange, "timeout")

    def _on_connected(self, conn: _Connection, exchange: _Exchange) -> None:
        error = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, f"{conn.address}: connect failed")
        if not self._may_send():
            raise PermissionError("the permission to send ended before the connection was open")
        conn.is_open = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        self._loop.watch(conn.sock, partial(self._on_event, conn))
        self._begin(conn, exchange)

    def _read(self, conn: _Connection, exchange: _Exchange) -> None:
        try:
            data = conn.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        reader = exchange.reader
        if data:
            reader.feed(data)
        else:
            reader.end()
        if reader.is_complete:
            self._finish(conn, exchange)

    def _finish(self, conn: _Connection, exchange: _Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
        conn.exchange = None
        reader = exchange.reader
        if reader.is_reusable and not conn.unsent:
            conn.idle_since = time.monotonic()
            self._idle[conn.address].append(conn)
            self._idle_count += 1
        else:
            self._close(conn)
        exchange.done(HttpResponse(reader.status, reader.body))

    def _fail(self, conn: _Connection, exchange: _Exchange, reason: str) -> None:
        if conn.exchange is not exchange:
            return
        if exchange.timer is not None:
            exchange.timer.cancel()
        conn.exchange = None
        self._close(conn)
        code = ResultCode.ATTEMPT_UNKNOWN if conn.is_open else ResultCode.NOT_DELIVERED
        exchange.done(Failure(code, reason))


def _encode(address: str, method: str, path: str, body: bytes, headers: Mapping[str, str]) -> bytes:
    """Return the bytes of a request.

    Raises:
        ValueError: A part of the head can't be sent in an HTTP request.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise ValueError("a line break in the head of a request")
    return head.encode("latin-1") + b"\r\n\r\n" + body
