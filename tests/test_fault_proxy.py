"""Tests of the fault proxy, and of a channel that connects through it."""

import socket
import time
from collections.abc import Callable, Iterator

import pytest

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.settings import Address
from kumquatlift.transport.tcp_channel import TcpChannel
from tools.fault_proxy import FaultProxy

WAIT_S = 10.0
FREE_PORT = Address("127.0.0.1", 0)
CONTROL_LINES = (
    ("delay 20 up", "ok delay"),
    ("cut sideways", "error"),
    ("cut from nowhere", "error"),
    ("melt", "error"),
    ("", "error"),
)
Call = Callable[[float], bytes | Failure]


class TestFaultProxy:
    """A channel or a socket behind the proxy sees each injected fault like the real one."""

    @pytest.fixture
    def server(self) -> Iterator[TcpChannel]:
        server = TcpChannel(name="b", address=FREE_PORT, locate=lambda peer: None, workers=2)
        server.handle("echo", lambda sender, body: body)
        yield server
        server.close()

    @pytest.fixture
    def proxy(self, server: TcpChannel) -> Iterator[FaultProxy]:
        proxy = FaultProxy(target=server.address, listen=FREE_PORT, control=FREE_PORT)
        yield proxy
        proxy.close()

    @pytest.fixture
    def call(self, proxy: FaultProxy) -> Iterator[Call]:
        client = TcpChannel(
            name="a", address=FREE_PORT, locate=lambda peer: proxy.address, workers=2
        )
        yield lambda timeout_s: client.call("b", "echo", b"x", timeout_s=timeout_s).result(WAIT_S)
        client.close()

    def test_freeze(self, proxy: FaultProxy, call: Call) -> None:
        """Guards against a peer that stays unreachable because one connection went silent."""
        assert call(WAIT_S) == b"x"
        assert proxy.command("freeze") == "ok freeze"
        assert _code(call(2.0)) is ResultCode.TIMED_OUT
        assert call(WAIT_S) == b"x"

    def test_cut(self, proxy: FaultProxy, call: Call) -> None:
        """Guards against calls that still fail after a one-way partition has healed."""
        assert call(WAIT_S) == b"x"
        proxy.command("cut down")
        assert _code(call(0.5)) is ResultCode.TIMED_OUT
        proxy.command("pass")
        assert call(WAIT_S) == b"x"

    def test_reset(self, proxy: FaultProxy, call: Call) -> None:
        """Guards against a channel that does not reconnect after a reset."""
        assert call(WAIT_S) == b"x"
        proxy.command("reset")
        results = [call(WAIT_S) for _ in range(2)]
        assert results[-1] == b"x"

    def test_source(self, proxy: FaultProxy, call: Call) -> None:
        """Guards against a fault of one source that affects others or outlives its pass command."""
        assert call(WAIT_S) == b"x"
        proxy.command("cut from 127.0.0.9")
        proxy.command("freeze from 127.0.0.9")
        assert call(WAIT_S) == b"x"
        assert proxy.command("cut up from 127.0.0.1") == "ok cut"
        assert _code(call(0.5)) is ResultCode.TIMED_OUT
        proxy.command("pass from 127.0.0.9")
        assert _code(call(0.5)) is ResultCode.TIMED_OUT
        proxy.command("pass from 127.0.0.1")
        assert call(WAIT_S) == b"x"

    def test_control(self, proxy: FaultProxy) -> None:
        """Guards against commands that are misread, and invalid ones without an error."""
        with socket.create_connection(proxy.control, timeout=WAIT_S) as sock:
            lines = sock.makefile("rw")
            for command, answer in CONTROL_LINES:
                lines.write(command + "\n")
                lines.flush()
                assert lines.readline().startswith(answer)

    def test_datagrams(self) -> None:
        """Guards against answers to the wrong client, and drops in the wrong direction."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target:
            target.bind(FREE_PORT)
            target.settimeout(WAIT_S)
            proxy = FaultProxy(
                target=Address(*target.getsockname()), listen=FREE_PORT, control=FREE_PORT
            )
            clients = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
            try:
                for n, client in enumerate(clients):
                    client.settimeout(WAIT_S)
                    client.sendto(b"%d" % n, proxy.address)
                    data, source = target.recvfrom(100)
                    target.sendto(data, source)
                assert [client.recv(100) for client in clients] == [b"0", b"1"]
                proxy.command("drop 1 down")
                clients[0].sendto(b"2", proxy.address)
                data, source = target.recvfrom(100)
                target.sendto(data, source)
                _wait_until(lambda: "lost=1" in proxy.command("stats"))
                proxy.command("pass")
                target.sendto(b"3", source)
                assert clients[0].recv(100) == b"3"
            finally:
                proxy.close()
                for client in clients:
                    client.close()


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def _code(result: bytes | Failure) -> ResultCode:
    assert isinstance(result, Failure), result
    return result.code
