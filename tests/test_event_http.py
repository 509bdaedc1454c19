"""HTTP requests that an event loop sends: answers, failures, and reuse of connections."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from kumquatlift.clock import MonotonicClock
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.store import EventLoop, _event_loop
from kumquatlift.transport._http_response import MAX_RESPONSE_BYTES
from kumquatlift.transport.connection_pool import HttpResponse
from kumquatlift.transport.event_http import ClientLimits, EventHttpClient
from tests.http_servers import (
    ScriptedServer,
    answer_head,
    chunked,
    serve_odd_answers,
    whole,
)

WAIT_S = 5.0
CALLERS = 8
CALLS_PER_CALLER = 60
REQUESTS = 40
StartServer = Callable[..., ScriptedServer]
Answer = HttpResponse | Failure


class Client:
    """A client with its loop, which runs while the test waits for an answer."""

    def __init__(self, *, max_idle_s: float = 3.0, max_connections: int = 100) -> None:
        self.loop = EventLoop(clock=MonotonicClock())
        self.may_send = True
        limits = ClientLimits(0.5, max_idle_s, max_connections)
        self.http = EventHttpClient(loop=self.loop, limits=limits, may_send=lambda: self.may_send)

    def send(
        self, address: str, path: str, done: Callable[[Answer], None], timeout_s: float = WAIT_S
    ) -> None:
        """Send a GET request."""
        self.http.send(address, "GET", path, b"", {}, timeout_s=timeout_s, done=done)

    def get(self, address: str, path: str, *, timeout_s: float = WAIT_S) -> Answer:
        """Send a GET request and return its only answer."""
        answers: list[Answer] = []
        self.send(address, path, answers.append, timeout_s)
        self.run_until(lambda: bool(answers))
        assert len(answers) == 1
        return answers[0]

    def run_until(self, is_done: Callable[[], bool]) -> None:
        """Run the loop until a condition holds."""
        deadline = time.monotonic() + WAIT_S
        while not is_done() and time.monotonic() < deadline:
            self.loop.run_pending()
            time.sleep(0.001)
        assert is_done()


@pytest.fixture
def client() -> Iterator[Client]:
    """Return a client, whose connections end with the test."""
    made = Client()
    yield made
    made.http.close()


def code_of(answer: Answer) -> ResultCode:
    """Return the code of a failed request."""
    assert isinstance(answer, Failure)
    return answer.code


def body_of(answer: Answer) -> bytes:
    """Return the body of a response."""
    assert isinstance(answer, HttpResponse)
    return answer.body


class TestAnswers:
    """An answer never meets the request after its own."""

    def test_concurrent_requests_get_their_own_answers(
        self, start_server: StartServer, client: Client
    ) -> None:
        """Guards against crossed answers after late, surplus, cut, interim and odd answers."""
        server = start_server(serve_odd_answers)
        counts = {"own": 0, "failed": 0, "crossed": 0}

        def call(caller: int, number: int) -> None:
            if number == CALLS_PER_CALLER:
                return
            path = f"/{caller}/{number}"
            expected = path.encode() * (1 + number % 7)

            def on_answer(answer: Answer) -> None:
                if isinstance(answer, Failure):
                    counts["failed"] += 1
                else:
                    is_own = answer.body == expected or (answer.status, number % 11) == (204, 4)
                    counts["own" if is_own else "crossed"] += 1
                call(caller, number + 1)

            timeout_s = 0.01 if number % 11 == 0 else WAIT_S
            client.send(server.address, path, on_answer, timeout_s)

        for caller in range(CALLERS):
            call(caller, 0)
        client.run_until(lambda: sum(counts.values()) == CALLERS * CALLS_PER_CALLER)
        assert counts["crossed"] == 0
        # Answers of the cases 0, 5 and 7 may fail, and no others.
        assert counts["failed"] <= CALLERS * 3 * (CALLS_PER_CALLER // 11 + 1)

    @pytest.mark.parametrize("status", ["102 Processing", "103 Early Hints", "199 Other"])
    def test_an_interim_answer_is_not_taken_for_the_answer(
        self, start_server: StartServer, client: Client, status: str
    ) -> None:
        """Guards against a next request that is answered with the rest of this answer."""

        def serve(sock: socket.socket, path: bytes) -> bool:
            if path == b"/1":
                sock.sendall(f"HTTP/1.1 {status}\r\n\r\n".encode())
            else:
                sock.sendall(whole(b"of 1") if server.accepted == 1 else whole(b"of 2"))
            return True

        server = start_server(serve)
        first = client.get(server.address, "/1", timeout_s=0.3)
        assert code_of(first) is ResultCode.ATTEMPT_UNKNOWN
        assert body_of(client.get(server.address, "/2")) == b"of 2"

    @pytest.mark.parametrize("encode", [whole, chunked])
    @pytest.mark.parametrize("surplus", [b"surplus", whole(b"surplus")])
    def test_a_connection_with_surplus_bytes_is_not_reused(
        self,
        start_server: StartServer,
        client: Client,
        encode: Callable[[bytes], bytes],
        surplus: bytes,
    ) -> None:
        """Guards against bytes after an answer, of which a part was read together with it."""

        def serve(sock: socket.socket, path: bytes) -> bool:
            if path == b"/1":
                sock.sendall(encode(b"of 1") + surplus)
            else:
                sock.sendall(whole(b"of 1" if server.accepted == 1 else b"of 2"))
            return True

        server = start_server(serve)
        assert body_of(client.get(server.address, "/1")) == b"of 1"
        assert client.http.idle == 0
        assert body_of(client.get(server.address, "/2")) == b"of 2"

    def test_bytes_on_an_idle_connection_close_it(
        self, start_server: StartServer, client: Client
    ) -> None:
        """Guards against an answer that was there before its request was written."""
        socks: list[socket.socket] = []

        def serve(sock: socket.socket, path: bytes) -> bool:
            socks.append(sock)
            sock.sendall(whole(path))
            return True

        server = start_server(serve)
        assert body_of(client.get(server.address, "/1")) == b"/1"
        socks[0].sendall(whole(b"surplus"))
        client.run_until(lambda: client.http.idle == 0)
        assert body_of(client.get(server.address, "/2")) == b"/2"
        assert server.accepted == 2

    @pytest.mark.parametrize(
        "data",
        [
            whole(b"0123456789")[:-1],
            chunked(b"0123456789")[:-7],
            chunked(b"0123456789")[:-9],
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"",
        ],
    )
    def test_a_cut_answer_fails(
        self, start_server: StartServer, client: Client, data: bytes
    ) -> None:
        """Guards against an answer that is not whole."""

        def serve(sock: socket.socket, _path: bytes) -> bool:
            sock.sendall(data)
            return False

        answer = client.get(start_server(serve).address, "/1")
        assert code_of(answer) is ResultCode.ATTEMPT_UNKNOWN
        assert client.http.connections == 0

    @pytest.mark.parametrize(
        "data",
        [
            b"\x00\xff\x13 no HTTP\r\n\r\n",
            b"HTTP/1.1 abc OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            answer_head(b"").replace(b": 0", b": %d" % (2 * MAX_RESPONSE_BYTES))
            + bytes(MAX_RESPONSE_BYTES),
        ],
    )
    def test_a_malformed_answer_fails_and_the_next_request_is_served(
        self, start_server: StartServer, client: Client, data: bytes
    ) -> None:
        """Guards against one malformed message that stops the loop of all upstreams."""

        def serve(sock: socket.socket, path: bytes) -> bool:
            sock.sendall(data if path == b"/1" else whole(b"of 2"))
            return True

        server = start_server(serve)
        first = client.get(server.address, "/1")
        assert code_of(first) is ResultCode.ATTEMPT_UNKNOWN
        assert body_of(client.get(server.address, "/2")) == b"of 2"

    def test_an_answer_without_a_length_ends_with_its_connection(
        self, start_server: StartServer, client: Client
    ) -> None:
        def serve(sock: socket.socket, _path: bytes) -> bool:
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"all of it")
            return False

        assert body_of(client.get(start_server(serve).address, "/1")) == b"all of it"
        assert client.http.connections == 0


class TestFailures:
    """A failed request tells whether any byte of it was sent."""

    def test_a_refused_connection_sends_nothing(self, client: Client) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "{}:{}".format(*listener.getsockname())
        assert code_of(client.get(address, "/1")) is ResultCode.NOT_DELIVERED
        assert client.http.connections == 0

    @pytest.mark.parametrize("address", ["10.0.0.1", "127.0.0.1:99999", "no address:1"])
    def test_an_odd_address_sends_nothing(self, client: Client, address: str) -> None:
        assert code_of(client.get(address, "/1")) is ResultCode.NOT_DELIVERED
        assert client.http.connections == 0

    def test_a_line_break_in_the_head_sends_nothing(self, client: Client) -> None:
        answers: list[Answer] = []
        headers = {"Expected-Instance": "u\r\nOther: x"}
        client.http.send(
            "127.0.0.1:1", "POST", "/", b"", headers, timeout_s=1.0, done=answers.append
        )
        assert not answers
        client.run_until(lambda: bool(answers))
        assert code_of(answers[0]) is ResultCode.NOT_DELIVERED

    def test_a_silent_peer_is_given_up_and_its_late_answer_dropped(
        self, start_server: StartServer, client: Client
    ) -> None:
        """Guards against a late answer that is taken for that of the next request."""

        def serve(sock: socket.socket, path: bytes) -> bool:
            if path == b"/1":
                threading.Event().wait(0.1)
            sock.sendall(whole(path))
            return True

        server = start_server(serve)
        first = client.get(server.address, "/1", timeout_s=0.03)
        assert code_of(first) is ResultCode.ATTEMPT_UNKNOWN
        assert body_of(client.get(server.address, "/2")) == b"/2"
        assert server.accepted == 2

    def test_a_large_request_to_a_slow_reader_arrives_whole(self, client: Client) -> None:
        answers: list[Answer] = []
        body = bytes(range(256)) * 12_000
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "{}:{}".format(*listener.getsockname())
            client.http.send(address, "POST", "/", body, {}, timeout_s=WAIT_S, done=answers.append)
            peer = listener.accept()[0]
        received = b""
        peer.setblocking(False)
        deadline = time.monotonic() + WAIT_S
        while not received.endswith(body) and time.monotonic() < deadline:
            client.loop.run_pending()
            with contextlib.suppress(BlockingIOError):
                received += peer.recv(300_000)
        assert received.partition(b"\r\n\r\n")[2] == body
        peer.sendall(whole(b"read"))
        client.run_until(lambda: bool(answers))
        assert body_of(answers[0]) == b"read"
        assert client.http.idle == 1
        peer.close()


class TestPauses:
    """A process that was paused or busy neither sends what it may not nor loses answers."""

    def test_a_request_is_not_sent_when_the_permission_ended_during_the_connect(
        self, start_server: StartServer, client: Client
    ) -> None:
        """Guards against a frozen leader that sends an order of its lost term when it resumes.

        The order waited for its connection, which was open when the process resumed; only the
        decision to send it had been checked against the lease.
        """
        received: list[bytes] = []

        def serve(sock: socket.socket, path: bytes) -> bool:
            received.append(path)
            sock.sendall(whole(path))
            return True

        server, answers = start_server(serve), list[Answer]()
        client.send(server.address, "/1", answers.append)
        client.may_send = False
        client.run_until(lambda: bool(answers))
        assert code_of(answers[0]) is ResultCode.NOT_DELIVERED
        client.may_send = True
        assert body_of(client.get(server.address, "/2")) == b"/2"
        assert received == [b"/2"]

    def test_answers_that_arrived_while_the_loop_was_busy_are_not_given_up(
        self, start_server: StartServer, client: Client, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against orders that are repeated although their answers have arrived.

        A new leader places the tasks of all waiting jobs at once. The answers to hundreds of orders
        arrived while it sent the last ones. A batch reads a limited number of them, and the others
        timed out.
        """
        monkeypatch.setattr(_event_loop, "MAX_BATCH", REQUESTS // 4)
        answers: list[Answer] = []
        server = start_server(lambda sock, path: sock.sendall(whole(path)) is None)
        for timeout_s in (WAIT_S, 0.2):
            answers.clear()
            for number in range(REQUESTS):
                client.send(server.address, f"/{number}", answers.append, timeout_s)
            if timeout_s < WAIT_S:
                time.sleep(3 * timeout_s)
            client.run_until(lambda: len(answers) == REQUESTS)
            assert [each for each in answers if isinstance(each, Failure)] == []


class TestConnections:
    """Connections are reused, and bounded in number and idle time."""

    def test_a_connection_is_reused(self, start_server: StartServer, client: Client) -> None:
        server = start_server(lambda sock, path: sock.sendall(whole(path)) is None)
        for number in range(3):
            assert body_of(client.get(server.address, f"/{number}")) == b"/%d" % number
        assert (server.accepted, client.http.idle, client.http.connections) == (1, 1, 1)

    def test_the_longest_idle_connection_gives_way_at_the_limit(
        self, start_server: StartServer
    ) -> None:
        client = Client(max_connections=2)
        servers = [start_server(lambda sock, path: sock.sendall(whole(path)) is None)] * 1
        servers += [start_server(lambda sock, path: sock.sendall(whole(path)) is None)]
        servers += [start_server(lambda sock, path: sock.sendall(whole(path)) is None)]
        for server in (*servers, servers[1], servers[0]):
            client.get(server.address, "/")
            assert client.http.connections <= 2
        assert [server.accepted for server in servers] == [2, 1, 1]
        client.http.close()
        assert client.http.connections == 0

    def test_a_request_above_the_limit_is_not_sent(self, start_server: StartServer) -> None:
        client, answers = Client(max_connections=1), list[Answer]()
        server = start_server(lambda _sock, _path: True)
        client.send(server.address, "/1", answers.append, 0.2)
        client.send(server.address, "/2", answers.append, 0.2)
        client.run_until(lambda: len(answers) == 2)
        assert [code_of(each) for each in answers] == [
            ResultCode.NOT_DELIVERED,
            ResultCode.ATTEMPT_UNKNOWN,
        ]

    def test_connections_idle_for_too_long_are_closed(self, start_server: StartServer) -> None:
        client = Client(max_idle_s=0.0)
        server = start_server(lambda sock, path: sock.sendall(whole(path)) is None)
        client.get(server.address, "/1")
        client.get(server.address, "/2")
        assert server.accepted == 2
        client.http.close_idle()
        assert (client.http.idle, client.http.connections) == (0, 0)
