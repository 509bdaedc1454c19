"""Answers on the channel between processes belong to their requests, whatever fails."""

import itertools
import random
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor, wait

import pytest

from kumquatlift.authority import Operation, Reply, Request, authority_handler
from kumquatlift.authority._requests import Requests
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.settings import Address
from kumquatlift.transport import _link as link_module
from kumquatlift.transport._calls import OpenCalls
from kumquatlift.transport._connection import Frame, SendQueue
from kumquatlift.transport._envelope import FrameKind, encode
from kumquatlift.transport._link import Links
from kumquatlift.transport.tcp_channel import TcpChannel
from tests.authority_world import job, make
from tests.test_tcp_channel import WAIT_S, Net, ScriptedPeer, code
from tools.fault_proxy import FaultProxy

FREE_PORT = Address("127.0.0.1", 0)
FAULT_S = 1.0
CALLERS = 4
# Requests that each caller has open at a time.
WINDOW = 60
TIMEOUT_S = 0.6
# Faults through the proxy, each followed by a time in seconds.
RESETS = (("reset", 0.06),)
ONE_WAY = (("cut down", 0.12), ("pass", 0.05), ("cut up", 0.12), ("pass", 0.05))
# Longer than PING_TIMEOUT_S plus BUSY_PING_INTERVAL_S, so that connections are retired; the answers
# come late on the old ones.
SILENCE = (("cut down", 0.75), ("pass", 0.2))
FREEZES = (("freeze", 0.1), ("reset", 0.15))


@pytest.fixture(name="net")
def fixture_net() -> Iterator[Net]:
    net = Net()
    yield net
    for channel in net.channels:
        channel.close()


class Counts:
    """Results of calls, counted by kind."""

    def __init__(self) -> None:
        self.own = 0
        self.failed = 0
        self.crossed: list[tuple[bytes, bytes]] = []

    @property
    def total(self) -> int:
        return self.own + self.failed + len(self.crossed)

    def add(self, request: bytes, result: bytes | Failure) -> None:
        if isinstance(result, Failure):
            self.failed += 1
        elif result == b"re" + request:
            self.own += 1
        else:
            self.crossed.append((request, result))


class EchoServer:
    """An answering process that can be restarted at its address, and the proxy in front of it."""

    def __init__(self) -> None:
        self._rng = random.Random(7)
        self._timers = ThreadPoolExecutor(24)
        self.channel = self._start(FREE_PORT)
        self.address = self.channel.address
        self.proxy = FaultProxy(target=self.address, listen=FREE_PORT, control=FREE_PORT)

    def _start(self, address: Address) -> TcpChannel:
        channel = TcpChannel(name="b", address=address, locate=lambda _peer: None, workers=2)
        channel.handle("now", lambda _sender, body: b"re" + body)
        channel.handle_async("later", self._answer_later)
        return channel

    def _answer_later(self, _sender: str, body: bytes) -> "Future[bytes]":
        delay_s = self._rng.choice((0.0, 0.001, 0.005, 0.03))

        def answer() -> bytes:
            time.sleep(delay_s)
            return b"re" + body

        return self._timers.submit(answer)

    def restart(self) -> None:
        """Replace the process; answers of the old one that are still due come to nothing."""
        self.channel.close()
        deadline = time.monotonic() + WAIT_S
        while True:
            try:
                self.channel = self._start(self.address)
                return
            except OSError:
                assert time.monotonic() < deadline
                time.sleep(0.01)

    def close(self) -> None:
        self.proxy.close()
        self.channel.close()
        self._timers.shutdown()


class Load:
    """Calling threads, whose process can be restarted: its call numbers begin at 1 again."""

    def __init__(self, server: EchoServer) -> None:
        self._server = server
        self._stopped = threading.Event()
        self._numbers = itertools.count()
        # Own answers of all callers, approximately, to tell when the test has seen enough.
        self.own = 0
        self.channel = self._start()

    def _start(self) -> TcpChannel:
        proxy_address = self._server.proxy.address
        return TcpChannel(
            name="a", address=FREE_PORT, locate=lambda _peer: proxy_address, workers=2
        )

    def restart(self) -> None:
        """Replace the calling process by another one of the same name."""
        old, self.channel = self.channel, self._start()
        old.close()

    def call(self, number: int) -> Counts:
        """Send windows of calls until the load is stopped, and count the results."""
        counts = Counts()
        rng = random.Random(number)
        while not self._stopped.is_set():
            window = []
            for _ in range(WINDOW):
                body = b"%d.%d." % (number, next(self._numbers)) + bytes(
                    rng.choice((0, 0, 900, 9000))
                )
                topic = rng.choice(("now", "now", "later"))
                timeout_s = rng.choice((0.01, TIMEOUT_S, TIMEOUT_S, TIMEOUT_S))
                window.append((body, self.channel.call("b", topic, body, timeout_s=timeout_s)))
            for body, fut in window:
                counts.add(body, fut.result(WAIT_S))
                self.own = max(self.own, counts.own)
        return counts

    def stop(self) -> None:
        self._stopped.set()

    def close(self) -> None:
        self.channel.close()


@pytest.fixture(name="server")
def fixture_server() -> Iterator[EchoServer]:
    server = EchoServer()
    yield server
    server.close()


class TestAnswers:
    """Concurrent calls whose answers repeat a unique body, while the network or a process fails."""

    @pytest.mark.parametrize(
        ("faults", "at_least"),
        [(RESETS, 200), (ONE_WAY, 100), (SILENCE, 100), (FREEZES, 100)],
        ids=["resets", "one-way", "silence", "freezes"],
    )
    def test_network_faults(
        self, server: EchoServer, faults: tuple[tuple[str, float], ...], at_least: int
    ) -> None:
        """Guards against an answer that reaches another call, on the old or the new connection."""
        load = Load(server)
        with ThreadPoolExecutor(CALLERS) as executor:
            futs = [executor.submit(load.call, number) for number in range(CALLERS)]
            deadline = time.monotonic() + FAULT_S
            for command, duration_s in itertools.cycle(faults):
                now = time.monotonic()
                if now > deadline and (load.own >= at_least or now > deadline + WAIT_S):
                    break
                assert server.proxy.command(command).startswith("ok")
                time.sleep(duration_s)
            server.proxy.command("pass")
            load.stop()
            results = [fut.result(WAIT_S) for fut in futs]
        late = load.channel.snapshot()["late_answers"]
        load.close()
        check(results, at_least)
        print("late", late)

    @pytest.mark.parametrize("side", ["answering", "calling"])
    def test_restarts(self, server: EchoServer, side: str) -> None:
        """Guards against answers to the earlier process of the same name and call number."""
        load = Load(server)
        with ThreadPoolExecutor(CALLERS) as executor:
            futs = [executor.submit(load.call, number) for number in range(CALLERS)]
            deadline = time.monotonic() + WAIT_S
            for restarts in itertools.count():
                if restarts >= 8 and (load.own >= 100 or time.monotonic() > deadline):
                    break
                time.sleep(0.12)
                (server if side == "answering" else load).restart()
            load.stop()
            results = [fut.result(WAIT_S) for fut in futs]
        load.close()
        check(results, 100)

    def test_unknown_and_repeated_call_numbers(self, net: Net) -> None:
        """Guards against an answer that is taken without an open call on its connection."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        counts = Counts()
        conn = None
        for number in range(500):
            bodies = [b"%d.%d" % (number, each) for each in range(3)]
            futs = [a.call("p", "t", body, timeout_s=WAIT_S) for body in bodies]
            conn = conn or peer.accept()
            reqs = [conn.next() for _ in futs]
            answers = [
                encode(FrameKind.ANSWER, call_id, "", body)
                for req in reversed(reqs)
                for call_id, body in (
                    (req.id + 1000, b"unknown"),
                    (req.id, b"re" + req.body),
                    (req.id, b"repeated"),
                )
            ]
            conn.sock.sendall(b"".join(answers))
            for body, fut in zip(bodies, futs, strict=True):
                counts.add(body, fut.result(WAIT_S))
        assert (counts.own, counts.failed, counts.crossed) == (1500, 0, [])
        assert wait_for_late_answers(a, 3000) == 3000

    def test_an_answer_on_another_connection_is_not_taken(self, net: Net) -> None:
        """Guards against answers matched by number alone after a reconnect."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        first = a.call("p", "t", b"1", timeout_s=WAIT_S)
        silent = peer.accept()
        req = silent.next()
        newer = peer.accept()
        newer.answer(req.id, b"of another process")
        newer.answer(req.id + 1, b"before the call")
        assert wait_for_late_answers(a, 2) == 2
        second = a.call("p", "t", b"2", timeout_s=WAIT_S)
        newer.answer(newer.next().id, b"re2")
        silent.answer(req.id, b"re1")
        assert [first.result(WAIT_S), second.result(WAIT_S)] == [b"re1", b"re2"]

    @pytest.mark.parametrize("cut_at", [2, 4, 9, -1])
    def test_a_cut_answer_ends_with_its_connection(self, net: Net, cut_at: int) -> None:
        """Guards against the rest of an answer that is read from the next connection."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        first = a.call("p", "t", b"1", timeout_s=WAIT_S)
        conn = peer.accept()
        answer = encode(FrameKind.ANSWER, conn.next().id, "", b"re1" * 100)
        conn.sock.sendall(answer[:cut_at])
        time.sleep(0.02)
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.sock.close()
        assert code(first.result(WAIT_S)) is ResultCode.TIMED_OUT
        second = a.call("p", "t", b"2", timeout_s=WAIT_S)
        conn = peer.accept()
        conn.answer(conn.next().id, b"re2")
        assert second.result(WAIT_S) == b"re2"

    def test_a_partly_written_request_is_not_continued(self, net: Net) -> None:
        """Guards against half a request at the beginning or in the middle of a connection."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        large = bytes(1 << 20)
        lost = [a.call("p", "t", large, timeout_s=WAIT_S) for _ in range(8)]
        conn = peer.accept()
        conn.sock.recv(1000)
        time.sleep(0.05)
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.sock.close()
        conn = peer.accept()
        last = a.call("p", "t", b"last", timeout_s=WAIT_S)
        while (req := conn.next()).body != b"last":
            assert req.body == large
            conn.answer(req.id, b"re")
        conn.answer(req.id, b"re last")
        assert last.result(WAIT_S) == b"re last"
        results = [fut.result(WAIT_S) for fut in lost]
        assert isinstance(results[0], Failure)
        assert results[0].code is ResultCode.TIMED_OUT
        assert all(result == b"re" for result in results if not isinstance(result, Failure))


def check(results: list[Counts], at_least: int) -> None:
    """Check that no answer was crossed, and that enough of them were answered to tell."""
    own = sum(each.own for each in results)
    total = sum(each.total for each in results)
    print("own", own, "of", total)
    assert [each.crossed for each in results] == [[]] * len(results)
    assert own >= at_least


def wait_for_late_answers(channel: TcpChannel, number: int) -> int:
    """Wait until a channel has discarded a number of answers; return how many it has."""
    deadline = time.monotonic() + WAIT_S
    while channel.snapshot()["late_answers"] < number and time.monotonic() < deadline:
        time.sleep(0.005)
    return int(channel.snapshot()["late_answers"])


class TestFailedAsyncHandler:
    """A handler that fails after it returned its future."""

    def test_the_caller_is_told(self, net: Net) -> None:
        """Guards against callers that wait until their timeout for a handler that has failed."""
        a, b = net.channel("a"), net.channel("b")
        pending: Future[bytes] = Future()
        b.handle_async("t", lambda _sender, _body: pending)
        fut = a.call("b", "t", b"", timeout_s=WAIT_S)
        pending.set_exception(ValueError("odd field"))
        result = fut.result(1.0)
        assert code(result) is ResultCode.TIMED_OUT
        assert "odd field" in str(result)

    def test_the_caller_is_told_of_a_cancelled_future(self, net: Net) -> None:
        """Guards against the same for a future that is cancelled."""
        a, b = net.channel("a"), net.channel("b")
        pending: Future[bytes] = Future()
        b.handle_async("t", lambda _sender, _body: pending)
        fut = a.call("b", "t", b"", timeout_s=WAIT_S)
        pending.cancel()
        assert code(fut.result(1.0)) is ResultCode.TIMED_OUT

    def test_the_caller_of_the_authority_is_told(self, net: Net) -> None:
        """Guards against a request to the leader that waits for a reply that can't be encoded."""
        a, b = net.channel("a"), net.channel("b")
        reply: Future[Reply] = Future()
        b.handle_async("t", authority_handler(lambda _request: reply))
        body = Request(Operation.WHO_LEADS, {}).to_bytes()
        fut = a.call("b", "t", body, timeout_s=WAIT_S)
        reply.set_result(Reply(ResultCode.ACCEPTED, {"state": {1, 2}}))
        result = fut.result(1.0)
        assert isinstance(result, bytes)
        assert Reply.from_bytes(result).code is ResultCode.TIMED_OUT


class TestInlineHandler:
    """A topic whose handler runs in the thread of the channel."""

    def test_messages_are_handled_in_order_and_answered(self, net: Net) -> None:
        a, b = net.channel("a"), net.channel("b")
        received: list[bytes] = []

        def handle(_sender: str, body: bytes) -> "Future[bytes]":
            received.append(body)
            done: Future[bytes] = Future()
            done.set_result(b"re" + body)
            return done

        b.handle_inline("t", handle)
        bodies = [b"%d" % number for number in range(50)]
        futs = [a.call("b", "t", body, timeout_s=WAIT_S) for body in bodies]
        assert [fut.result(WAIT_S) for fut in futs] == [b"re" + body for body in bodies]
        assert received == bodies

    def test_an_error_fails_one_call_and_the_channel_goes_on(self, net: Net) -> None:
        """Guards against one odd message that ends the thread of a channel."""
        a, b = net.channel("a"), net.channel("b")

        def handle(_sender: str, body: bytes) -> bytes:
            return b"%d" % (1 // int(body))

        b.handle_inline("t", handle)
        b.handle("other", lambda _sender, body: body)
        failed = a.call("b", "t", b"0", timeout_s=WAIT_S).result(WAIT_S)
        assert code(failed) is ResultCode.TIMED_OUT
        assert a.call("b", "t", b"1", timeout_s=WAIT_S).result(WAIT_S) == b"1"
        assert a.call("b", "other", b"x", timeout_s=WAIT_S).result(WAIT_S) == b"x"


class TestFaultOfTheLeader:
    """A request whose handling raises, on the leader."""

    @pytest.mark.parametrize(
        ("error", "expected"),
        [
            (OverflowError("1e999"), ResultCode.TIMED_OUT),
            (ValueError("odd field"), ResultCode.MALFORMED),
        ],
    )
    def test_the_request_and_the_others_are_answered(
        self, monkeypatch: pytest.MonkeyPatch, error: Exception, expected: ResultCode
    ) -> None:
        """Guards against requests without an answer, and against two answers to one request."""
        world = make()
        handle = Requests.handle

        def handle_and_raise(
            self: Requests, request: Request, answer: Callable[[Reply], None]
        ) -> None:
            handle(self, request, answer)
            if request.operation is Operation.SUBMIT and len(futs) == 1:
                raise error

        monkeypatch.setattr(Requests, "handle", handle_and_raise)
        futs = []
        for _ in range(3):
            futs.append(world.submit("a" * 16, job(), work_ms=50))
            world.loop.run_pending()
        world.run(0.5)
        codes = [fut.result(timeout=0).code for fut in futs]
        assert codes == [expected, ResultCode.ACCEPTED, ResultCode.ACCEPTED]


class TestRefusedCall:
    """A call that cannot be sent."""

    def test_a_call_that_expires_meanwhile_has_one_result(
        self, net: Net, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an exception in the caller's thread: a result that is set twice."""
        a = net.channel("a")

        def expire(_links: Links, _peer: str, _frame: Frame) -> tuple[None, bool]:
            """Take as long as the call lasts, and find no room for the peer."""
            deadline = time.monotonic() + WAIT_S
            while a.snapshot()["open_calls"] and time.monotonic() < deadline:
                time.sleep(0.01)
            return None, False

        monkeypatch.setattr(Links, "put", expire)
        fut = a.call("p", "t", b"", timeout_s=0.0)
        assert code(fut.result(WAIT_S)) is ResultCode.NOT_DELIVERED

    def test_a_call_on_a_closed_channel_has_a_result(self) -> None:
        """Guards against a refused call that stays without a result."""
        calls = OpenCalls()
        calls.close("end of the test")
        call = calls.open("p", 1.0)
        assert not call.is_open
        assert code(call.fut.result(0.0)) is ResultCode.NOT_DELIVERED


class TestEvictedLink:
    """A full table of peers evicts one that another thread has just looked up."""

    def test_a_call_at_the_time_of_the_eviction_is_sent(
        self, net: Net, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a request in the queue of a link that is not in the table any more."""
        monkeypatch.setattr(link_module, "MAX_PEERS", 1)
        a, b = net.channel("a"), net.channel("b")
        b.handle("t", lambda _sender, body: b"re" + body)
        net.addresses["gone"] = Address("127.0.0.1", 1)
        others = ThreadPoolExecutor(1)

        put = SendQueue.put

        def put_late(queue: SendQueue, frame: Frame) -> bool:
            """Give another thread the time to look up another peer before the frame is queued."""
            if frame.call is not None and frame.call.peer == "b":
                other = others.submit(a.call, "gone", "t", b"", timeout_s=0.1)
                wait([other], timeout=0.2)
            return put(queue, frame)

        monkeypatch.setattr(SendQueue, "put", put_late)
        fut = a.call("b", "t", b"x", timeout_s=3.0)
        assert fut.result(WAIT_S) == b"rex"
        others.shutdown()
