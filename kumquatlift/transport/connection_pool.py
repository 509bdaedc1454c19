"""Pool of HTTP connections; a request is sent once, and it is known whether it left."""

import http.client
import select
import socket
import threading
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from typing import NamedTuple

from kumquatlift.settings import Address

CONNECT_TIMEOUT_S = 1.0
# A connection idle for longer may have been dropped by something between the two ends without a
# reset, and a request lost on it could not be told from one that ran.
MAX_IDLE_S = 2.0
# Descriptors of a process are bounded, and connections in use come on top.
MAX_IDLE = 1500
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_READ_BYTES = 65536


class NotSentError(Exception):
    """No connection could be opened, so no byte of the request left."""


class HttpResponse(NamedTuple):
    """A whole answer.

    Args:
        status: HTTP status.
        body: Whole body.
    """

    status: int
    body: bytes


class PooledConnection(http.client.HTTPConnection):
    """A connection that sends head and body of a request in one system call."""

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self._parts: list[bytes] = []

    def send(self, data: bytes) -> None:  # type: ignore[override]
        """Keep a part of the request until ``flush``."""
        self._parts.append(data)

    def flush(self) -> None:
        """Send the request."""
        data = b"".join(self._parts)
        self._parts.clear()
        self.sock.sendall(data)


class ConnectionPool:
    """Connections to many addresses.

    A connection is used by one request at a time. It goes back to the pool only after a whole
    answer, so that a late answer can never meet another request.

    Args:
        max_idle_s: Connections idle for longer are not used again.
        max_idle: Idle connections that are kept; the ones that were idle longest are closed first.
    """

    def __init__(self, *, max_idle_s: float = MAX_IDLE_S, max_idle: int = MAX_IDLE) -> None:
        self._max_idle_s = max_idle_s
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, PooledConnection]]] = defaultdict(list)
        # Addresses in the order in which their connections became idle; some were taken since.
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
        """Send a request and return its answer.

        Args:
            address: "ip:port".
            method: HTTP method.
            path: Path of the request.
            body: Whole body.
            headers: Headers besides those that the library adds.
            timeout_s: Limit for the whole exchange, after the connection is open.
            connect_timeout_s: Limit for opening a connection.

        Raises:
            NotSentError: No byte of the request left.
            TimeoutError: No whole answer came in time.
            OSError: The connection was lost; the request may have been carried out.
            http.client.HTTPException: The answer was not HTTP.
            ValueError: The answer was malformed or too large.
        """
        try:
            conn = self._acquire(address, connect_timeout_s)
        except (OSError, ValueError) as exc:
            raise NotSentError(f"{address}: {exc}") from exc
        try:
            answer, is_reusable = _exchange(conn, method, path, body, headers, timeout_s)
        except BaseException:
            conn.close()
            raise
        if is_reusable:
            self._release(address, conn)
        else:
            conn.close()
        return answer

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
        """Close the idle connections to an address; another one there was lost or is silent."""
        with self._lock:
            entries = self._idle.pop(address, [])
            self._idle_count -= len(entries)
        for _, conn in entries:
            conn.close()

    def close_idle(self) -> None:
        """Close connections that have been idle too long to be used again."""
        self._close_oldest(time.monotonic() - self._max_idle_s)

    def _close_oldest(self, before: float) -> None:
        """Close connections that are idle since before a time, or are more than are kept."""
        old: list[PooledConnection] = []
        with self._lock:
            while self._idle_order and (
                self._idle_order[0][0] < before or self._idle_count > self._max_idle
            ):
                since, address = self._idle_order.popleft()
                entries = self._idle.get(address, [])
                # The newest connections are taken first, so the oldest of an address is the first.
                if entries and entries[0][0] <= since:
                    old.append(entries.pop(0)[1])
                    self._idle_count -= 1
                if not entries:
                    self._idle.pop(address, None)
        for conn in old:
            conn.close()

    def _acquire(self, address: str, connect_timeout_s: float) -> PooledConnection:
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
    # Without this the library would open the connection again by itself and send a second time.
    conn.auto_open = 0
    conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return conn


def _is_readable(conn: PooledConnection) -> bool:
    """Tell whether an idle connection was closed by the peer or carries stray bytes."""
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
    """Return the answer, and whether the connection may carry another request."""
    deadline = time.monotonic() + timeout_s
    conn.sock.settimeout(timeout_s)
    conn.request(method, path, body, dict(headers))
    conn.flush()
    sock = conn.sock
    res = conn.getresponse()
    parts: list[bytes] = []
    size = 0
    while part := res.read1(_READ_BYTES):
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise ValueError(f"answer over {MAX_RESPONSE_BYTES} bytes")
        parts.append(part)
        if res.length == 0:
            break
        # The limit holds for the whole exchange: a peer that sends a byte at a time must not
        # extend it.
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        sock.settimeout(remaining_s)
    if res.length not in (0, None):
        raise http.client.IncompleteRead(b"", res.length)
    is_reusable = not res.will_close
    # A response that was read by parts must be closed before the connection takes a new request.
    res.close()
    return HttpResponse(res.status, b"".join(parts)), is_reusable and conn.sock is not None
