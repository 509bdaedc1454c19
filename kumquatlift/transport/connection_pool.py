"""Pool of HTTP connections that never resends a request, and reports when it was not sent."""

import http.client
import io
import select
import socket
import threading
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from kumquatlift.settings import Address

CONNECT_TIMEOUT_S = 1.0
# A network device between the two ends may drop an idle connection without a reset. A request lost
# on such a connection could not be told from one that ran.
MAX_IDLE_S = 2.0
# Leaves file descriptors for connections in use, which are not counted here.
MAX_IDLE = 1500
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_READ_BYTES = 65536


class NotSentError(Exception):
    """No connection could be opened, so no byte of the request was sent."""


class HttpResponse(NamedTuple):
    """Complete HTTP response.

    Args:
        status: HTTP status code.
        body: Complete body.
    """

    status: int
    body: bytes


class _Reader(io.BufferedReader):
    """Reader that records on closing whether bytes are left in its buffer."""

    has_surplus = False

    def close(self) -> None:
        """Check for surplus bytes without a system call, and close the stream."""
        if not self.closed:
            raw: Any = self.raw
            raw.readinto = _read_nothing
            self.has_surplus = bool(self.peek(1))
        super().close()


def _read_nothing(_buffer: Any) -> int:
    return 0


class _Response(http.client.HTTPResponse):
    """HTTP response whose ``reader`` tells whether more bytes came than belong to it."""

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        stream: Any = self.fp
        self.reader = _Reader(stream.detach())
        self.fp = self.reader


class PooledConnection(http.client.HTTPConnection):
    """HTTP connection that sends the head and body of a request in one system call."""

    response_class = _Response

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self._parts: list[bytes] = []

    def send(self, data: bytes) -> None:  # type: ignore[override]
        """Buffer a part of the request until ``flush``."""
        self._parts.append(data)

    def flush(self) -> None:
        """Send the buffered request."""
        data = b"".join(self._parts)
        self._parts.clear()
        self.sock.sendall(data)


class ConnectionPool:
    """Thread-safe pool of HTTP connections, by address.

    A connection serves one request at a time. It returns to the pool only after a complete
    response without further bytes, so that a late or surplus response cannot be taken for that of
    another request.

    Args:
        max_idle_s: Connections that were idle for more seconds are not reused.
        max_idle: Maximum number of idle connections; those idle longest are closed first.
    """

    def __init__(self, *, max_idle_s: float = MAX_IDLE_S, max_idle: int = MAX_IDLE) -> None:
        self._max_idle_s = max_idle_s
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, PooledConnection]]] = defaultdict(list)
        # Times and addresses of connections in the order in which they became idle, including
        # connections that have been reused or closed since.
        self._idle_order: deque[tuple[float, str]] = deque()
        self._idle_count = 0

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return self._idle_count

    def exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        *,
        timeout_s: float,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> HttpResponse:
        """Send a request and return the response.

        Args:
            address: "ip:port".
            method: HTTP method.
            path: Path of the request.
            body: Complete body.
            headers: Headers besides those that ``http.client`` adds.
            timeout_s: Limit in seconds for the whole exchange, after the connection is open.
            connect_timeout_s: Limit in seconds for opening a connection.

        Raises:
            NotSentError: No byte of the request was sent.
            TimeoutError: The response was not complete in time.
            OSError: The connection was lost; the request may have been handled.
            http.client.HTTPException: The response was not valid HTTP.
            ValueError: The response was malformed or too large.
        """
        try:
            conn = self._acquire(address, connect_timeout_s)
        except (OSError, ValueError) as exc:
            raise NotSentError(f"{address}: {exc}") from exc
        try:
            response, is_reusable = _exchange(conn, method, path, body, headers, timeout_s)
        except BaseException:
            conn.close()
            raise
        if is_reusable:
            self._release(address, conn)
        else:
            conn.close()
        return response

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            conns = [conn for entries in self._idle.values() for _, conn in entries]
            self._idle.clear()
            self._idle_order.clear()
            self._idle_count = 0
        for conn in conns:
            conn.close()

    def drop(self, address: str) -> None:
        """Close the idle connections to an address, after an exchange with it failed."""
        with self._lock:
            entries = self._idle.pop(address, [])
            self._idle_count -= len(entries)
        for _, conn in entries:
            conn.close()

    def close_idle(self) -> None:
        """Close the connections that have been idle for longer than ``max_idle_s``."""
        self._close_oldest(time.monotonic() - self._max_idle_s)

    def _close_oldest(self, before: float) -> None:
        """Close connections idle since before a time, and the oldest above ``max_idle``."""
        old: list[PooledConnection] = []
        with self._lock:
            while self._idle_order and (
                self._idle_order[0][0] < before or self._idle_count > self._max_idle
            ):
                since, address = self._idle_order.popleft()
                entries = self._idle.get(address, [])
                # Connections of an address are reused newest first, so the first entry is the
                # oldest. If it is newer than ``since``, the connection meant here was reused.
                if entries and entries[0][0] <= since:
                    old.append(entries.pop(0)[1])
                    self._idle_count -= 1
                if not entries:
                    self._idle.pop(address, None)
        for conn in old:
            conn.close()

    def _acquire(self, address: str, connect_timeout_s: float) -> PooledConnection:
        """Return the newest usable idle connection to an address, or open one."""
        limit = time.monotonic() - self._max_idle_s
        while True:
            with self._lock:
                entries = self._idle.get(address)
                entry = entries.pop() if entries else None
                self._idle_count -= entry is not None
            if entry is None:
                return _connect(address, connect_timeout_s)
            since, conn = entry
            if since >= limit and not _is_readable(conn):
                return conn
            conn.close()

    def _release(self, address: str, conn: PooledConnection) -> None:
        now = time.monotonic()
        with self._lock:
            self._idle[address].append((now, conn))
            self._idle_order.append((now, address))
            self._idle_count += 1
        if self._idle_count > self._max_idle:
            self._close_oldest(now - self._max_idle_s)


def _connect(address: str, timeout_s: float) -> PooledConnection:
    host, port = Address.parse(address)
    conn = PooledConnection(host, port, timeout_s)
    conn.connect()
    # Otherwise http.client would reconnect by itself and could send a request twice.
    conn.auto_open = 0
    conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return conn


def _is_readable(conn: PooledConnection) -> bool:
    """Tell whether the peer closed an idle connection or sent unexpected bytes on it."""
    poll = select.poll()
    poll.register(conn.sock, select.POLLIN)
    return bool(poll.poll(0))


def _exchange(
    conn: PooledConnection,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout_s: float,
) -> tuple[HttpResponse, bool]:
    """Return the response, and whether the connection can be reused."""
    deadline = time.monotonic() + timeout_s
    conn.sock.settimeout(timeout_s)
    conn.request(method, path, body, dict(headers))
    conn.flush()
    sock = conn.sock
    res = conn.getresponse()
    if res.status < http.HTTPStatus.OK:
        # http.client skips 100 only. After any other interim response the actual one would be read
        # as that of the next request.
        raise http.client.HTTPException(f"interim response {res.status}")
    parts: list[bytes] = []
    size = 0
    while part := res.read1(_READ_BYTES):
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise ValueError(f"answer over {MAX_RESPONSE_BYTES} bytes")
        parts.append(part)
        if res.length == 0:
            break
        # The limit covers the whole exchange, so that a peer that sends single bytes cannot
        # extend it.
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        sock.settimeout(remaining_s)
    if res.length not in (0, None):
        raise http.client.IncompleteRead(b"", res.length)
    is_reusable = not res.will_close
    # http.client accepts a new request only after the response is closed.
    res.close()
    if isinstance(res, _Response) and res.reader.has_surplus:
        is_reusable = False
    return HttpResponse(res.status, b"".join(parts)), is_reusable and conn.sock is not None
