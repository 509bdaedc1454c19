"""HTTP server that can drain: it completes all requests before it closes."""

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from typing import Any

import waitress
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, Task, WSGITask

from kumquatlift.configuration.document import MAX_REQUEST_BYTES
from kumquatlift.log import get_logger
from kumquatlift.settings import Address
from kumquatlift.transport._dispatcher import GrowingDispatcher
from kumquatlift.transport.wsgi import WsgiApp

MAX_CONNECTIONS = 1000
# With more open connections, each one is closed after its response, so that connections that are
# rarely used cannot exhaust ``MAX_CONNECTIONS``.
MAX_KEEP_ALIVE_CONNECTIONS = 500
BACKLOG = 1024
# A connection on which no request is being served is closed after this long without activity.
IDLE_TIMEOUT_S = 30
# Waitress resets the connection of a larger body without a response. The application therefore
# checks the limit of a request itself, and this limit only bounds the memory for buffering.
BUFFERED_REQUEST_BYTES = 4 * MAX_REQUEST_BYTES
_POLL_S = 0.02
# The server counts as drained after this long without a request, as a request that has arrived may
# not have been read yet.
_IDLE_CONFIRMATION_S = 0.1


class _WholeAnswer(Task):  # type: ignore[misc]
    """Hands the header of an answer and its body to the system in one write.

    Waitress writes them one after the other. A process that is killed or suspended in between
    leaves its caller a status without a body, and other threads may run in between.
    """

    wrote_header: bool

    def write(self, data: bytes) -> None:
        """Write a part of the body; the first one goes out together with the header."""
        is_whole = len(data) == self.content_length
        if self.wrote_header or not (is_whole and data and self.has_body):
            super().write(data)
            return
        head = self.build_response_header()
        self.wrote_header = True
        self.content_bytes_written = len(data)
        self.channel.write_soon(head + data)


class _ErrorTask(_WholeAnswer, ErrorTask):  # type: ignore[misc]
    """Answers requests that can't be read."""


class _KeepAliveTask(_WholeAnswer, WSGITask):  # type: ignore[misc]
    """Answers with ``Connection: close`` when the connection is not to be kept open.

    A WSGI application may not set this header, as it is a hop-by-hop header. Waitress adds it when
    the request has it.
    """

    def execute(self) -> None:
        server = self.channel.server
        is_over_limit = len(server.active_channels) > MAX_KEEP_ALIVE_CONNECTIONS
        if server.is_keep_alive_disabled or is_over_limit or not server.allows_keep_alive():
            self.request.headers["CONNECTION"] = "close"
        super().execute()


class _KeepAliveChannel(HTTPChannel):  # type: ignore[misc]
    task_class = _KeepAliveTask
    error_task_class = _ErrorTask

    def _flush_some(self, do_close: bool = True) -> bool:
        """Write buffered bytes, in one thread at a time.

        Waitress takes no lock in its I/O loop while no request is served. The thread of the last
        request may then still write the interim response to the next one, and both would write the
        same bytes.
        """
        with self.outbuf_lock:
            return bool(super()._flush_some(do_close=do_close))


class HttpServer:
    """Waitress server on one address; its I/O loop runs in one executor thread.

    Args:
        app: WSGI application.
        address: Where to listen; the port is open when the constructor returns.
        threads: Maximum number of requests served concurrently; threads start on demand.
        name: Name of the server in thread names and log lines.
        lookahead: Number of requests read ahead on a connection while one is served. Reading ahead
            is how a client's disconnect is detected; with 0 it is not.
        allows_keep_alive: Tells whether connections may stay open after a response. Closing them
            sends callers to another instance, as a load balancer in front chooses the instance
            for each connection.
    """

    def __init__(
        self,
        *,
        app: WsgiApp,
        address: Address,
        threads: int,
        name: str,
        lookahead: int = 0,
        allows_keep_alive: Callable[[], bool] = lambda: True,
    ) -> None:
        self._server: Any = waitress.create_server(
            app,
            host=address.host,
            port=address.port,
            _dispatcher=GrowingDispatcher(limit=threads, name=name),
            backlog=BACKLOG,
            connection_limit=MAX_CONNECTIONS,
            channel_timeout=IDLE_TIMEOUT_S,
            max_request_body_size=BUFFERED_REQUEST_BYTES,
            ident=None,
            channel_request_lookahead=lookahead,
        )
        self._server.channel_class = _KeepAliveChannel
        self._server.is_keep_alive_disabled = False
        self._server.allows_keep_alive = allows_keep_alive
        self._name = name
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix=f"http-{name}")
        self._running: Future[None] | None = None

    def start(self) -> None:
        """Start serving requests."""
        self._running = self._executor.submit(self._server.run)

    @property
    def address(self) -> Address:
        """Where this server listens."""
        return Address(self._server.effective_host, int(self._server.effective_port))

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served, and no response being written."""
        return not any(map(_is_busy, list(self._server.active_channels.values())))

    def close_idle_connections(self, *, idle_s: float) -> None:
        """Close the connections without a request, so that their callers open new ones.

        A request that is on its way then gets no answer, and has not been read.

        Args:
            idle_s: Time for which a connection must have been idle, in seconds.
        """
        self._server.trigger.pull_trigger(partial(self._close_idle, idle_s))

    def _close_idle(self, idle_s: float) -> None:
        latest = time.time() - idle_s
        channels = list(self._server.active_channels.values())
        idle = [each for each in channels if each.last_activity <= latest and _is_idle(each)]
        for channel in idle:
            channel.handle_close()
        if idle:
            get_logger().info("idle_connections_closed", server=self._name, connections=len(idle))

    def disable_keep_alive(self) -> None:
        """Disable keep-alive; new connections are still accepted until ``close``."""
        self._server.is_keep_alive_disabled = True

    def drain(self, *, timeout_s: float) -> bool:
        """Wait until every request has its response.

        Args:
            timeout_s: Limit for the wait in seconds.

        Returns:
            Whether the server became idle in time.
        """
        now = time.monotonic()
        deadline = now + timeout_s
        idle_since = now
        while now - idle_since < _IDLE_CONFIRMATION_S:
            if now > deadline:
                return False
            time.sleep(_POLL_S)
            now = time.monotonic()
            if not self.is_idle:
                idle_since = now
        return True

    def close(self) -> None:
        """Stop the threads after their current requests, and close all sockets."""
        self._server.task_dispatcher.shutdown(cancel_pending=False, timeout=1)
        close_sockets(self._server)
        self._executor.shutdown(wait=False)


def _is_busy(channel: Any) -> bool:
    """Return whether a request is being read or served on a connection, or its response written."""
    return bool(channel.requests or channel.total_outbufs_len or channel.request)


def _is_idle(channel: Any) -> bool:
    """Return whether a connection has no request, read or not; for the thread of the I/O loop."""
    if _is_busy(channel) or channel.socket is None:
        return False
    try:
        channel.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    # Its caller has sent something or closed it. The loop handles that next, and would find another
    # connection under the same file descriptor if this one were closed now.
    return False


def close_sockets(server: Any) -> None:
    """Close all sockets of a waitress server in the thread of its I/O loop, which ends then.

    If another thread wakes the loop first, the trigger must stay open until it was pulled here.

    Args:
        server: The server that ``waitress.create_server`` returned.
    """
    is_pulled = threading.Event()

    def close() -> None:
        is_pulled.wait()
        for channel in list(server.active_channels.values()):
            channel.handle_close()
        server.close()

    try:
        server.trigger.pull_trigger(close)
    finally:
        is_pulled.set()
