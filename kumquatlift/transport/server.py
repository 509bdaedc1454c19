"""An HTTP server that can drain: it finishes every request before it closes."""

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import waitress
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from kumquatlift.configuration.document import MAX_REQUEST_BYTES
from kumquatlift.settings import Address
from kumquatlift.transport._dispatcher import GrowingDispatcher
from kumquatlift.transport.wsgi import WsgiApp

MAX_CONNECTIONS = 1000
# With more connections than this each is closed after its answer, so that others find one.
MAX_KEEP_ALIVE_CONNECTIONS = 500
BACKLOG = 1024
# A client that sends nothing for this long in the middle of a request loses its connection.
IDLE_TIMEOUT_S = 30
# The server resets the connection of a larger body and gives no code, so the limit of a request is
# checked by the application, and this one only bounds what is buffered.
BUFFERED_REQUEST_BYTES = 4 * MAX_REQUEST_BYTES
_POLL_S = 0.02
# A request may have arrived that the server has not read yet, so it must be idle for this long.
_IDLE_CONFIRMATION_S = 0.1


class _KeepAliveTask(WSGITask):  # type: ignore[misc]
    """Asks the client for another connection when the server does not keep this one.

    An application may not set the header itself, since it belongs to the connection.
    """

    def execute(self) -> None:
        server = self.channel.server
        is_over_limit = len(server.active_channels) > MAX_KEEP_ALIVE_CONNECTIONS
        if server.is_keep_alive_disabled or is_over_limit or not server.allows_keep_alive():
            self.request.headers["CONNECTION"] = "close"
        super().execute()


class _KeepAliveChannel(HTTPChannel):  # type: ignore[misc]
    task_class = _KeepAliveTask


class HttpServer:
    """Waitress on one address, run by one executor thread.

    Args:
        app: WSGI application.
        address: Where to listen; the port is open when the constructor returns.
        threads: Requests served at a time; threads start when that many are needed.
        name: Prefix of thread names.
        lookahead: Requests read ahead on a connection while one is served, which is how a client
            that has left is noticed; 0 looks for none.
        allows_keep_alive: Tells whether connections stay open after an answer; behind a balancer
            that chooses an instance for each connection, a caller gets to another one only then.
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
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix=f"http-{name}")
        self._running: Future[None] | None = None

    def start(self) -> None:
        """Begin to serve requests."""
        self._running = self._executor.submit(self._server.run)

    @property
    def address(self) -> Address:
        """Where this server listens."""
        return Address(self._server.effective_host, int(self._server.effective_port))

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, served or answered."""
        channels = list(self._server.active_channels.values())
        return not any(
            channel.requests or channel.total_outbufs_len or channel.request for channel in channels
        )

    def leave(self) -> None:
        """Close each connection after its next answer; new ones are still taken."""
        self._server.is_keep_alive_disabled = True

    def drain(self, *, timeout_s: float) -> bool:
        """Wait until every request has its answer.

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
        """End the threads once they have served what they serve, and close all connections."""
        self._server.task_dispatcher.shutdown(cancel_pending=False, timeout=1)
        # The loop's own thread closes its sockets; it ends when there is none left.
        self._server.trigger.pull_trigger(self._close_sockets)
        self._executor.shutdown(wait=False)

    def _close_sockets(self) -> None:
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.close()
