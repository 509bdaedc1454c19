"""Reuse and eviction of idle HTTP client connections."""

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from kumquatlift.transport.connection_pool import ConnectionPool

ADDRESSES = 4


class Server(ThreadingHTTPServer):
    """HTTP server that answers every request and counts accepted connections."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), Handler)
        self.accepted = 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"


class Handler(BaseHTTPRequestHandler):
    """Answers with an empty body over persistent connections."""

    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        assert isinstance(self.server, Server)
        self.server.accepted += 1
        super().setup()

    def do_GET(self) -> None:
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_args: object) -> None:
        return


@pytest.fixture
def servers() -> Iterator[list[Server]]:
    found = [Server() for _ in range(ADDRESSES)]
    yield found
    for server in found:
        server.shutdown()
        server.server_close()


def get(pool: ConnectionPool, server: Server) -> None:
    answer = pool.exchange(server.address, "GET", "/", b"", {}, timeout_s=5.0)
    assert answer.status == 200


class TestIdleConnections:
    """Guards against one idle connection for every address ever called.

    With 3,000 upstreams one instance held 4,908 connections, more than its 4,096 file descriptors.
    """

    def test_connection_is_reused(self, servers: list[Server]) -> None:
        pool = ConnectionPool(max_idle=2)
        for _ in range(3):
            get(pool, servers[0])
        assert servers[0].accepted == 1
        assert pool.idle == 1
        pool.close()

    def test_longest_idle_connections_are_closed_above_the_limit(
        self, servers: list[Server]
    ) -> None:
        pool = ConnectionPool(max_idle=2)
        for server in servers:
            get(pool, server)
            assert pool.idle <= 2
        get(pool, servers[-1])
        assert servers[-1].accepted == 1
        get(pool, servers[0])
        assert servers[0].accepted == 2
        pool.close()
        assert pool.idle == 0

    def test_connections_idle_for_too_long_are_closed(self, servers: list[Server]) -> None:
        pool = ConnectionPool(max_idle_s=0.0)
        for server in servers:
            get(pool, server)
        pool.close_idle()
        assert pool.idle == 0

    def test_dropped_connections_are_not_counted_as_idle(self, servers: list[Server]) -> None:
        pool = ConnectionPool(max_idle=2)
        get(pool, servers[0])
        pool.drop(servers[0].address)
        assert pool.idle == 0
        for server in servers[1:]:
            get(pool, server)
        assert pool.idle == 2
        pool.close()
