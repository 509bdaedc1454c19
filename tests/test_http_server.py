"""The HTTP server and the threads that serve its requests."""

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
    """A handler whose requests wait until the gate opens."""

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
    """Guards against processes that hold the threads of their worst burst from the start.

    A sweep with 270 frontends of 128 threads each took all threads of the machine.
    """

    def test_threads_start_with_the_requests_that_need_them(self) -> None:
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

    def test_requests_one_after_the_other_need_no_more_threads(self) -> None:
        before = server_threads()
        blocking = BlockingHandler()
        blocking.released.set()
        with serving(blocking) as port:
            assert [get(port) for _ in range(20)] == [200] * 20
            # The thread of a request may still close it when the next one has arrived.
            assert server_threads() - before <= 2


class TestConnections:
    """Guards against callers who stay with an instance that can serve none of them.

    In a day with a zone cut off, half of the zone's requests went on to its frontends, which had no
    leader, although new connections went to the other zones.
    """

    def test_connection_is_given_up_while_the_server_keeps_none(self) -> None:
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

    def test_connections_are_given_up_while_there_are_too_many(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a server whose connections are all held by callers that come rarely.

        In a sweep with 1,000 upstreams these held all connections of every instance, and the
        operator got none to read the configuration.
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
    """Guards against requests that are lost with a thread that could not be started."""

    def test_request_waits_for_a_thread_when_the_system_refuses_another(
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

    def test_no_thread_starts_after_the_shutdown(self) -> None:
        dispatcher = GrowingDispatcher(limit=4, name="test")
        dispatcher.shutdown()
        late = BlockingTask()
        dispatcher.add_task(late)
        assert not dispatcher.threads
        assert not late.started.is_set()


class TestClose:
    """What a caller meets at a server that has closed."""

    def test_no_connection_is_taken_that_nobody_serves(self) -> None:
        """Guards against requests that a process reads after its last answer and never answers.

        Found by the soak, seed 729: a frontend had said that it stopped and held its socket for
        0.7 s more, in which three requests arrived.
        """
        server = HttpServer(
            app=application(lambda _req: ApiResponse.from_json(200, {})),
            address=Address("127.0.0.1", 0),
            threads=THREADS,
            name="closed",
        )
        server.start()
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
                # The listener closed during the handshake; no request was read. Only a refusal
                # ends the wait.
                pass
            time.sleep(0.01)
        else:
            raise AssertionError("the server still takes connections")
        # The kept connection has ended too.
        assert kept.sock.recv(1) == b""
        kept.close()


class BlockingTask:
    """A request that ends when it is told to."""

    def __init__(self) -> None:
        self.started = threading.Event()
        self.released = threading.Event()
        self.done: Future[bool] = Future()

    def service(self) -> None:
        self.started.set()
        self.done.set_result(self.released.wait(WAIT_S))

    def cancel(self) -> None:
        self.done.set_result(False)
