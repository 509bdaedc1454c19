"""``TcpChannel`` over loopback sockets, with correct and misbehaving peers."""

import socket
import struct
import threading
from collections.abc import Iterator

import pytest

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.settings import Address
from kumquatlift.transport._calls import Call
from kumquatlift.transport._connection import Connection, Frame
from kumquatlift.transport._envelope import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameKind,
    FrameReader,
    decode,
    encode,
)
from kumquatlift.transport.tcp_channel import TcpChannel

WAIT_S = 10.0


class Net:
    """The channels of one test and the addresses of all processes."""

    def __init__(self) -> None:
        self.addresses: dict[str, Address] = {}
        self.channels: list[TcpChannel] = []

    def channel(self, name: str) -> TcpChannel:
        channel = TcpChannel(
            name=name, address=Address("127.0.0.1", 0), locate=self.addresses.get, workers=2
        )
        self.addresses[name] = channel.address
        self.channels.append(channel)
        return channel


class ScriptedPeer:
    """A process whose side of the protocol is written by the test."""

    def __init__(self, net: Net, name: str) -> None:
        self.name = name
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT_S)
        net.addresses[name] = Address(*self.listener.getsockname())

    def accept(self, *, greet: bool = True) -> "ScriptedConn":
        conn = ScriptedConn(self.listener.accept()[0])
        if greet:
            assert conn.next().kind is FrameKind.HELLO
            conn.sock.sendall(encode(FrameKind.HELLO, 0, self.name, b""))
        return conn


class ScriptedConn:
    """A connection accepted by a ``ScriptedPeer``, read frame by frame."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.sock.settimeout(WAIT_S)
        self.reader = FrameReader()
        self.frames: list[bytes] = []

    def next(self) -> Envelope:
        """Return the next frame that is not a heartbeat; heartbeats are not answered."""
        while True:
            while not self.frames:
                data = self.sock.recv(65536)
                assert data, "the channel closed the connection"
                self.frames = self.reader.feed(data)
            frame = self.frames.pop(0)
            if frame:
                return decode(frame)

    def answer(self, call_id: int, body: bytes) -> None:
        self.sock.sendall(encode(FrameKind.ANSWER, call_id, "", body))


@pytest.fixture
def net() -> Iterator[Net]:
    net = Net()
    yield net
    for channel in net.channels:
        channel.close()


def code(result: bytes | Failure) -> ResultCode:
    assert isinstance(result, Failure), result
    return result.code


class TestTcpChannel:
    """Calls to correct, unresponsive and broken peers."""

    def test_both_directions(self, net: Net) -> None:
        """Guards against sending an answer on the connection that this process opened itself."""
        a, b = net.channel("a"), net.channel("b")
        a.handle("t", lambda sender, body: b"a<" + sender.encode() + body)
        b.handle("t", lambda sender, body: b"b<" + sender.encode() + body)
        futs = [c.call(p, "t", b"1", timeout_s=WAIT_S) for c, p in ((a, "b"), (b, "a"), (a, "a"))]
        assert [fut.result(WAIT_S) for fut in futs] == [b"b<a1", b"a<b1", b"a<a1"]
        assert a.snapshot()["peers"]["b"]["sent"] >= 2

    def test_crossed_answers(self, net: Net) -> None:
        """Guards against matching answers to requests by order instead of number."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        futs = [a.call("p", "t", b"%d" % n, timeout_s=WAIT_S) for n in range(3)]
        conn = peer.accept()
        for req in reversed([conn.next() for _ in futs]):
            conn.answer(req.id, b"re" + req.body)
        assert [fut.result(WAIT_S) for fut in futs] == [b"re0", b"re1", b"re2"]

    def test_late_answer(self, net: Net) -> None:
        """Guards against completing the next call with the answer to one that timed out."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        first = a.call("p", "t", b"1", timeout_s=0.2)
        conn = peer.accept()
        late = conn.next()
        assert code(first.result(WAIT_S)) is ResultCode.TIMED_OUT
        second = a.call("p", "t", b"2", timeout_s=WAIT_S)
        req = conn.next()
        conn.answer(late.id, b"late")
        conn.answer(req.id, b"right")
        assert second.result(WAIT_S) == b"right"
        assert a.snapshot()["late_answers"] == 1

    def test_refused_connection(self, net: Net) -> None:
        """Guards against reporting the outcome of a request that was never sent as unknown."""
        a = net.channel("a")
        net.addresses["gone"] = Address("127.0.0.1", 1)
        for peer in ("gone", "stranger"):
            fut = a.call(peer, "t", b"", timeout_s=WAIT_S)
            assert code(fut.result(WAIT_S)) is ResultCode.NOT_DELIVERED

    def test_failed_lookup(self, net: Net) -> None:
        """Guards against an exception in the lookup of one address that ends the selector loop."""
        a, b = net.channel("a"), net.channel("b")
        b.handle("t", lambda sender, body: body)
        net.addresses["odd"] = "no address"  # type: ignore[assignment]
        odd = a.call("odd", "t", b"", timeout_s=WAIT_S)
        assert code(odd.result(WAIT_S)) is ResultCode.NOT_DELIVERED
        assert a.call("b", "t", b"x", timeout_s=WAIT_S).result(WAIT_S) == b"x"

    def test_no_hello(self, net: Net) -> None:
        """Guards against writing requests to a suspended process.

        The kernel still accepts connections for it, but no hello arrives.
        """
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        fut = a.call("p", "t", b"", timeout_s=WAIT_S)
        conn = peer.accept(greet=False)
        assert code(fut.result(WAIT_S)) is ResultCode.NOT_DELIVERED
        assert a.snapshot()["peers"]["p"]["connect"] == "no-answer"
        assert conn.next().kind is FrameKind.HELLO
        assert conn.sock.recv(100) == b""

    def test_wrong_process(self, net: Net) -> None:
        """Guards against sending requests to another process at the address of a peer."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        peer.name = "q"
        fut = a.call("p", "t", b"", timeout_s=WAIT_S)
        peer.accept()
        assert code(fut.result(WAIT_S)) is ResultCode.NOT_DELIVERED

    def test_reset(self, net: Net) -> None:
        """Guards against resending a written request and against losing an unwritten one."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        written = a.call("p", "t", b"1", timeout_s=WAIT_S)
        conn = peer.accept()
        conn.next()
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.sock.close()
        assert code(written.result(WAIT_S)) is ResultCode.TIMED_OUT
        second = a.call("p", "t", b"2", timeout_s=WAIT_S)
        conn = peer.accept()
        req = conn.next()
        assert req.body == b"2"
        conn.answer(req.id, b"ok")
        assert second.result(WAIT_S) == b"ok"

    def test_silent_connection(self, net: Net) -> None:
        """Guards against waiting on a connection that stopped responding."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        first = a.call("p", "t", b"1", timeout_s=WAIT_S)
        silent = peer.accept()
        req = silent.next()
        second_conn = peer.accept()
        second = a.call("p", "t", b"2", timeout_s=WAIT_S)
        req2 = second_conn.next()
        assert req2.body == b"2"
        second_conn.answer(req2.id, b"new")
        assert second.result(WAIT_S) == b"new"
        assert a.snapshot()["peers"]["p"]["reconnects"] == 1
        silent.answer(req.id, b"old")
        assert first.result(WAIT_S) == b"old"

    def test_failed_write(self) -> None:
        """Guards against losing queued requests when writing to a connection fails."""
        ours, theirs = socket.socketpair()
        theirs.close()
        conn = Connection(sock=ours, peer="p", is_outbound=True, now=0.0)
        call = Call(call_id=1, peer="p", deadline=1.0)
        conn.send_queue.put(Frame(b"frame", call))
        with pytest.raises(BrokenPipeError):
            conn.write()
        ours.close()
        assert conn.wants_write
        assert not call.is_written

    @pytest.mark.parametrize(
        "data",
        [
            struct.pack("<I", MAX_FRAME_BYTES + 1),
            b"GET / HTTP/1.1\r\n\r\n",
            struct.pack("<I", 16) + b"\xff" * 16,
            encode(FrameKind.REQUEST, 1, "t", b"before the hello"),
        ],
        ids=["oversized", "http", "garbage", "no-hello"],
    )
    def test_bad_bytes(self, net: Net, data: bytes) -> None:
        """Guards against invalid bytes that fill memory, reach a handler or end the loop."""
        a, b = net.channel("a"), net.channel("b")
        seen: list[bytes] = []
        b.handle("t", lambda sender, body: seen.append(body))
        with socket.create_connection(b.address, timeout=WAIT_S) as sock:
            sock.sendall(data)
            assert sock.recv(100) == b""
        assert a.call("b", "t", b"good", timeout_s=WAIT_S).result(WAIT_S) == b""
        assert seen == [b"good"]

    def test_slow_topic(self, net: Net) -> None:
        """Guards against a slow handler that delays messages of other topics."""
        a, b = net.channel("a"), net.channel("b")
        release = threading.Event()
        b.handle("slow", lambda sender, body: b"%d" % release.wait(WAIT_S))
        b.handle("fast", lambda sender, body: body)
        slow = [a.call("b", "slow", b"", timeout_s=WAIT_S) for _ in range(20)]
        assert a.call("b", "fast", b"x", timeout_s=WAIT_S).result(WAIT_S) == b"x"
        assert not any(fut.done() for fut in slow)
        release.set()
        assert {fut.result(WAIT_S) for fut in slow} == {b"1"}

    def test_failed_handler(self, net: Net) -> None:
        """Guards against reporting work that may have run as not run, or the reverse."""
        a, b = net.channel("a"), net.channel("b")
        b.handle("broken", lambda sender, body: bytes(1 // 0))
        broken = a.call("b", "broken", b"", timeout_s=WAIT_S)
        unknown = a.call("b", "unknown", b"", timeout_s=WAIT_S)
        assert code(broken.result(WAIT_S)) is ResultCode.TIMED_OUT
        assert code(unknown.result(WAIT_S)) is ResultCode.NOT_DELIVERED

    def test_full_queue(self, net: Net) -> None:
        """Guards against unbounded memory use for a peer that does not read."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        body = bytes(MAX_FRAME_BYTES // 2)
        futs = [a.call("p", "t", body, timeout_s=0.5) for _ in range(12)]
        conn = peer.accept()
        codes = [code(fut.result(WAIT_S)) for fut in futs]
        assert codes.count(ResultCode.NOT_DELIVERED) >= 6
        too_large = a.call("p", "t", bytes(MAX_FRAME_BYTES), timeout_s=WAIT_S)
        assert code(too_large.result(WAIT_S)) is ResultCode.NOT_DELIVERED
        conn.sock.close()

    def test_close(self, net: Net) -> None:
        """Guards against futures that are never completed after ``close``."""
        peer, a = ScriptedPeer(net, "p"), net.channel("a")
        written = a.call("p", "t", b"", timeout_s=WAIT_S)
        peer.accept().next()
        a.close()
        assert code(written.result(WAIT_S)) is ResultCode.TIMED_OUT
        fut = a.call("p", "t", b"", timeout_s=WAIT_S)
        assert code(fut.result(WAIT_S)) is ResultCode.NOT_DELIVERED
