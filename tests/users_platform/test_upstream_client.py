"""Orders and polls to upstreams whose answers can't be read."""

import errno
import socket
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, TypeVar

import pytest

from kumquatlift.authority import (
    OrderAnswer,
    OrderResult,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
    TaskKey,
    UpstreamRef,
)
from kumquatlift.clock import MonotonicClock
from kumquatlift.platform import _upstream_client
from kumquatlift.platform._upstream_client import UpstreamClient
from kumquatlift.store import EventLoop
from kumquatlift.transport import event_http

WAIT_S = 4.0
FLEET = 342
TASK = TaskKey("a" * 16, 0, 0, 0)
_Answer = TypeVar("_Answer")


class StandIn(BaseHTTPRequestHandler):
    """Answers each order with the body of its server."""

    protocol_version = "HTTP/1.1"
    body = b""

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *_args: Any) -> None:
        """Write nothing to the error stream."""


@pytest.fixture
def serve() -> Iterator[Callable[[bytes], UpstreamRef]]:
    """Return a function that starts an upstream with this answer and returns its reference."""
    servers: list[ThreadingHTTPServer] = []

    def start(body: bytes) -> UpstreamRef:
        handler = type("Answer", (StandIn,), {"body": body})
        server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        servers.append(server)
        return UpstreamRef("u", 5, f"127.0.0.1:{server.server_address[1]}", 1)

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


def wait_for(loop: EventLoop, answers: "list[_Answer]") -> "_Answer":
    """Run the event loop until an answer has arrived."""
    deadline = time.monotonic() + WAIT_S
    while not answers and time.monotonic() < deadline:
        loop.run_pending()
        time.sleep(0.005)
    assert len(answers) == 1
    return answers[0]


def poll(ref: UpstreamRef) -> PollAnswer:
    loop = EventLoop(clock=MonotonicClock())
    answers: list[PollAnswer] = []
    UpstreamClient(loop=loop).poll(ref, PollOrder(0, 0, 2000), answers.append)
    return wait_for(loop, answers)


class TestCallbacks:
    """Guards against an upstream that is not polled any more after answers that can't be read.

    The error ended the worker's function before it posted the answer. The poll stayed open, and
    with three of them open, no other was sent, so the lease of the upstream ended.
    """

    @pytest.mark.parametrize(
        "row",
        [
            b'{"finished":[[1e999,"a.0.0.0",1,"done",""]]}',
            b'{"running":[{}]}',
            b'{"finished":[' + b"[" * 970 + b"]" * 970 + b"]}",
        ],
    )
    def test_poll_is_answered(self, row: bytes, serve: Callable[[bytes], UpstreamRef]) -> None:
        assert poll(serve(row)).result in (OrderResult.OK, OrderResult.UNKNOWN)

    def test_error_while_a_poll_is_read_is_an_unknown_outcome(
        self, serve: Callable[[bytes], UpstreamRef], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_upstream_client, "read_poll_answer", raise_error)
        answer = poll(serve(b"{}"))
        assert answer.result is OrderResult.UNKNOWN
        assert "OverflowError" in answer.reason

    def test_error_while_an_answer_is_read_is_an_unknown_outcome(
        self, serve: Callable[[bytes], UpstreamRef], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_upstream_client, "read_order_answer", raise_error)
        ref, loop = serve(b"{}"), EventLoop(clock=MonotonicClock())
        client = UpstreamClient(loop=loop)
        started: list[OrderAnswer] = []
        stopped: list[OrderAnswer] = []
        client.start(ref, StartOrder(TASK, 1, "x", 900, timeout_s=5), started.append)
        client.stop(ref, StopOrder(TASK, 1, timeout_s=5), stopped.append)
        assert wait_for(loop, started).result is OrderResult.UNKNOWN
        assert wait_for(loop, stopped).result is OrderResult.UNKNOWN

    def test_poll_without_a_socket_is_answered_and_the_next_one_sent(
        self, serve: Callable[[bytes], UpstreamRef], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an upstream that is not polled again after the system refused a socket."""
        ref, loop = serve(b"{}"), EventLoop(clock=MonotonicClock())
        client = UpstreamClient(loop=loop)
        answers: list[PollAnswer] = []
        with monkeypatch.context() as patched:
            patched.setattr(event_http.socket, "socket", raise_no_descriptors)
            client.poll(ref, PollOrder(0, 0, 2000), answers.append)
        assert wait_for(loop, answers).result is OrderResult.NOT_SENT
        answers.clear()
        client.poll(ref, PollOrder(0, 0, 2000), answers.append)
        assert wait_for(loop, answers).result is OrderResult.OK

    def test_polls_of_all_upstreams_of_a_large_fleet_are_open_together(self) -> None:
        """Guards against upstreams whose polls wait for a thread.

        With 220 threads for polls, the polls of a fleet of 342 upstreams took turns, so ends were
        reported up to half a lease late, and leases were renewed as late.
        """
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(FLEET)]
        loop = EventLoop(clock=MonotonicClock())
        client = UpstreamClient(loop=loop)
        for number, listener in enumerate(listeners):
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            client.poll(UpstreamRef(f"u{number}", 5, address, 1), PollOrder(0, 0, 2000), print)
        conns: list[socket.socket] = []
        deadline = time.monotonic() + WAIT_S
        for listener in listeners:
            loop.run_pending()
            listener.settimeout(max(0.001, deadline - time.monotonic()))
            conns.append(listener.accept()[0])
        loop.run_pending()
        loop.run_pending()
        for conn in conns:
            conn.settimeout(max(0.001, deadline - time.monotonic()))
            assert conn.recv(4096).startswith(b"POST /api/hold ")
        for sock in (*listeners, *conns):
            sock.close()


def raise_no_descriptors(*_args: Any) -> Any:
    raise OSError(errno.EMFILE, "too many open files")


def raise_error(*_args: Any) -> Any:
    raise OverflowError("cannot convert float infinity to integer")
