"""The HTTP server: threads, keep-alive and shutdown."""

import http.client
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

import pytest

from kumquatlift.settings import Address
from kumquatlift.transport import server as server_module
from kumquatlift.transport._dispatcher import GrowingDispatcher
from kumquatlift.transport.server import HttpServer
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse, application

THREADS = 8
WAIT_S = 10.0


class BlockingHandler:
    """A handler that blocks every request until ``released`` is set."""

    def __init__(self) -> None:
        self.released = threading.Event()
        self.waiting = threading.Semaphore(0)

    def __call__(self, _req: ApiRequest) -> ApiResponse:
        self.waiting.release()
        assert self.released.wait(WAIT_S)
        return ApiResponse.from_json(200, {})


@contextmanager
def serving(handler: Any) -> Iterator[int]:
    server = HttpServer(
        app=application(handler),
        address=Address("127.0.0.1", 0),
        threads=THREADS,
        name="gate",
    )
    server.start()
    try:
        yield server.address.port
    finally:
        server.close()


def get(port: int) -> int:
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    try:
        conn.request("GET", "/")
        return conn.getresponse().status
    finally:
        conn.close()


def server_threads() -> int:
    return sum(1 for each in threading.enumerate() if each.name.startswith("waitress-"))


class TestThreads:
    """Guards against a server that starts all its threads at once.

    270 frontends with 128 threads each exhausted the threads of a machine.
    """

    def test_threads_start_on_demand(self) -> None:
        before = server_threads()
        blocking = BlockingHandler()
        with serving(blocking) as port, ThreadPoolExecutor(THREADS) as callers:
            assert server_threads() - before == 1
            answers = [callers.submit(get, port) for _ in range(THREADS)]
            for _ in range(THREADS):
                assert blocking.waiting.acquire(timeout=WAIT_S)
            assert server_threads() - before == THREADS
            blocking.released.set()
            assert [each.result(WAIT_S) for each in answers] == [200] * THREADS

    def test_sequential_requests_start_no_further_threads(self) -> None:
        before = server_threads()
        blocking = BlockingHandler()
        blocking.released.set()
        with serving(blocking) as port:
            assert [get(port) for _ in range(20)] == [200] * 20
            # The thread of a request may still be finishing it when the next one arrives.
            assert server_threads() - before <= 2


class TestKeepAlive:
    """Guards against callers whose connections stay at an instance that cannot serve them.

    When a zone was cut off, half of its requests still went over open connections to its
    frontends, which had no leader, although new connections went to the other zones.
    """

    def test_connections_close_while_keep_alive_is_not_allowed(self) -> None:
        keeps = True
        server = HttpServer(
            app=application(lambda _req: ApiResponse.from_json(200, {})),
            address=Address("127.0.0.1", 0),
            threads=2,
            name="test",
            allows_keep_alive=lambda: keeps,
        )
        server.start()
        conn = http.client.HTTPConnection("127.0.0.1", server.address.port, timeout=WAIT_S)

        def connection_after_request() -> str | None:
            conn.request("GET", "/")
            answer = conn.getresponse()
            answer.read()
            return answer.headers.get("Connection")

        assert connection_after_request() is None
        keeps = False
        assert connection_after_request() == "close"
        keeps = True
        assert connection_after_request() is None
        conn.close()
        server.close()

    def test_connections_above_the_limit_close_after_their_response(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against rarely used connections that take up the connection limit.

        1,000 upstreams held all connections of every instance, and an operator could not connect
        to read the configuration.
        """
        monkeypatch.setattr(server_module, "MAX_KEEP_ALIVE_CONNECTIONS", 2)
        server = HttpServer(
            app=application(lambda _req: ApiResponse.from_json(200, {})),
            address=Address("127.0.0.1", 0),
            threads=2,
            name="test",
        )
        server.start()
        conns = [
            http.client.HTTPConnection("127.0.0.1", server.address.port, timeout=WAIT_S)
            for _ in range(3)
        ]
        found = []
        for conn in conns:
            conn.request("GET", "/")
            answer = conn.getresponse()
            answer.read()
            found.append(answer.headers.get("Connection"))
        assert found == [None, None, "close"]
        for conn in conns:
            conn.close()
        server.close()


class TestGrowingDispatcher:
    """Guards against losing a request when the system refuses to start a thread."""

    def test_request_waits_for_a_running_thread_when_none_can_be_started(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        dispatcher = GrowingDispatcher(limit=4, name="test")

        def refuse(*_args: object) -> None:
            raise RuntimeError("can't start new thread")

        monkeypatch.setattr(dispatcher, "start_new_thread", refuse)
        first, second = BlockingTask(), BlockingTask()
        dispatcher.add_task(first)
        assert first.started.wait(WAIT_S)
        dispatcher.add_task(second)
        assert not second.started.is_set()
        first.released.set()
        assert second.started.wait(WAIT_S)
        second.released.set()
        assert second.done.result(WAIT_S)
        dispatcher.shutdown()

    def test_no_thread_starts_after_shutdown(self) -> None:
        dispatcher = GrowingDispatcher(limit=4, name="test")
        dispatcher.shutdown()
        late = BlockingTask()
        dispatcher.add_task(late)
        assert not dispatcher.threads
        assert not late.started.is_set()


def start_server() -> HttpServer:
    """Return a started server that answers each request with an empty object."""
    server = HttpServer(
        app=application(lambda _req: ApiResponse.from_json(200, {})),
        address=Address("127.0.0.1", 0),
        threads=THREADS,
        name="closed",
    )
    server.start()
    return server


class TestClose:
    """Connections to a server after ``close``."""

    def test_closed_server_accepts_no_connections(self) -> None:
        """Guards against requests that arrive after the last response and are never answered.

        A frontend that had logged its stop kept its listening socket open for another 0.7 s, in
        which three requests arrived (soak test, seed 729).
        """
        server = start_server()
        port = server.address.port
        kept = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
        kept.request("GET", "/")
        assert kept.getresponse().read()
        server.close()
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            try:
                socket.create_connection(("127.0.0.1", port), timeout=WAIT_S).close()
            except ConnectionRefusedError:
                break
            except ConnectionResetError:
                # The listener closed during the TCP handshake, so no request was read. Only a
                # refused connection shows that the listener is closed.
                pass
            time.sleep(0.01)
        else:
            raise AssertionError("the server still accepts connections")
        # The open connection was closed, too.
        assert kept.sock.recv(1) == b""
        kept.close()

    def test_a_wake_up_by_another_thread_does_not_close_the_trigger_early(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a write to a file descriptor that is closed, or used by another file.

        A thread that had written an answer woke the loop after ``close`` had queued the closing
        of the sockets and before it had written to the trigger.
        """
        server = start_server()
        trigger: Any = server._server.trigger
        pull = trigger._physical_pull

        def pull_late() -> None:
            pull()
            time.sleep(0.2)
            pull()

        monkeypatch.setattr(trigger, "_physical_pull", pull_late)
        server.close()


class BlockingTask:
    """A request that runs until ``released`` is set."""

    def __init__(self) -> None:
        self.started = threading.Event()
        self.released = threading.Event()
        self.done: Future[bool] = Future()

    def service(self) -> None:
        self.started.set()
        self.done.set_result(self.released.wait(WAIT_S))

    def cancel(self) -> None:
        self.done.set_result(False)
