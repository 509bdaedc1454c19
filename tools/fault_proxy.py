"""A proxy for TCP and UDP that injects network faults, for tests.

Run from the root of the project: ``python -m tools.fault_proxy LISTEN TARGET CONTROL``, each as
"ip:port". "up" is the direction from the clients to the target, "down" the other one. A control
connection accepts one command per line and answers each with a line that starts with "ok" or
"error":

    drop SHARE [up|down]   drop this share of datagrams, 0 to 1
    delay MS [up|down]     delay bytes and datagrams by this many milliseconds
    cut [up|down]          hold back TCP bytes, also of new connections, and drop datagrams
    freeze                 stop forwarding on the open TCP connections for good; new ones work
    reset                  reset the open TCP connections
    pass                   end drop, delay and cut
    stats                  numbers of open connections, bytes and datagrams

All commands but stats accept "from IP" at the end, which limits them to clients with that IP
number.
"""

import argparse
import ipaddress
import random
import socket
import struct
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from kumquatlift.settings import Address

MAX_THREADS = 256
MAX_DATAGRAM_CLIENTS = 100
POLL_INTERVAL_S = 0.05
CHUNK_BYTES = 65536
DIRECTIONS = ("up", "down")
ANY_SOURCE = ""
ClientAddress = tuple[str, int]


class Fault(NamedTuple):
    """Faults of one direction.

    The names of the fields are the commands that set them.

    Args:
        drop: Share of datagrams that are dropped.
        delay: Delay of bytes and datagrams in milliseconds.
        cut: 1 when nothing is forwarded, else 0.
    """

    drop: float = 0.0
    delay: float = 0.0
    cut: float = 0.0


@dataclass
class ForwardedConnection:
    """The two sockets of a forwarded TCP connection."""

    client: socket.socket
    target: socket.socket
    source: str
    is_frozen: bool = False
    is_closed: threading.Event = field(default_factory=threading.Event)

    def close(self, *, reset: bool) -> None:
        """Close both sockets, with a TCP reset or with an orderly shutdown."""
        self.is_closed.set()
        for sock in (self.client, self.target):
            with suppress(OSError):
                if reset:
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                else:
                    sock.shutdown(socket.SHUT_RDWR)
                sock.close()


class FaultProxy:
    """A proxy for one target.

    Args:
        target: Address to forward to, for TCP and UDP.
        listen: Address for clients; port 0 selects a free port, the same for TCP and UDP.
        control: Address for commands; port 0 selects a free port.
        seed: Seed of the random drops.
    """

    def __init__(
        self, *, target: Address, listen: Address, control: Address, seed: int = 0
    ) -> None:
        self._target = target
        self._rng = random.Random(seed)
        self._faults: dict[tuple[str, str], Fault] = {}
        self._conns: list[ForwardedConnection] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._counts = {"bytes": 0, "datagrams": 0, "lost": 0}
        self._client_sockets: dict[ClientAddress, socket.socket] = {}
        # Monotonic time of the last client connection that failed because the target was
        # unreachable.
        self.connect_failed_at = 0.0
        self._listener = socket.create_server(listen)
        self.address = Address(*self._listener.getsockname())
        self._datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagram_socket.bind(self.address)
        self._control_listener = socket.create_server(control)
        self.control = Address(*self._control_listener.getsockname())
        self._executor = ThreadPoolExecutor(max_workers=MAX_THREADS, thread_name_prefix="proxy")
        self._executor.submit(self._accept_conns, self._listener, self._open_conn)
        self._executor.submit(self._accept_conns, self._control_listener, self._serve_control)
        self._executor.submit(self._pump_datagrams_up)

    def command(self, line: str) -> str:
        """Run a command and return its answer, which starts with "ok" or "error"."""
        try:
            return "ok " + self._run_command(line.split())
        except (ValueError, IndexError, KeyError) as exc:
            return f"error {exc!r}"

    def close(self) -> None:
        """Close all connections and sockets and stop all threads."""
        self._stopped.set()
        for sock in (
            self._listener,
            self._datagram_socket,
            self._control_listener,
            *self._client_sockets.values(),
        ):
            sock.close()
        for conn in self._conns_from(ANY_SOURCE):
            conn.close(reset=False)
        self._executor.shutdown()

    def _run_command(self, words: list[str]) -> str:
        source = ANY_SOURCE
        if words[-2:-1] == ["from"]:
            source = str(ipaddress.ip_address(words[-1]))
            words = words[:-2]
        name, args = words[0], words[1:]
        if name in Fault._fields:
            amount = 1.0 if name == "cut" else float(args.pop(0))
            for direction in args or DIRECTIONS:
                key = (source, DIRECTIONS[DIRECTIONS.index(direction)])
                self._faults[key] = self._faults.get(key, Fault())._replace(**{name: amount})
        elif name == "freeze":
            for conn in self._conns_from(source):
                conn.is_frozen = True
        elif name == "reset":
            for conn in self._conns_from(source):
                conn.close(reset=True)
        elif name == "pass":
            kept = [key for key in self._faults if source not in (ANY_SOURCE, key[0])]
            self._faults = {key: self._faults[key] for key in kept}
        elif name == "stats":
            counts = {"connections": len(self._conns), **self._counts}
            return " ".join(f"{key}={value}" for key, value in counts.items())
        else:
            raise ValueError(f"unknown command {name}")
        return name

    def _combined_fault(self, source: str, direction: str) -> Fault:
        """Return the faults of a source, each the larger of its own value and that for all."""
        keys = ((ANY_SOURCE, direction), (source, direction))
        return Fault(*map(max, *(self._faults.get(key, Fault()) for key in keys)))

    def _conns_from(self, source: str) -> list[ForwardedConnection]:
        with self._lock:
            return [conn for conn in self._conns if source in (ANY_SOURCE, conn.source)]

    def _accept_conns(self, server: socket.socket, serve: Callable[[socket.socket], None]) -> None:
        server.settimeout(POLL_INTERVAL_S)
        while not self._stopped.is_set():
            try:
                sock, _ = server.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            self._executor.submit(serve, sock)

    def _serve_control(self, sock: socket.socket) -> None:
        sock.settimeout(POLL_INTERVAL_S)
        buffer = b""
        with sock:
            while not self._stopped.is_set():
                try:
                    data = sock.recv(CHUNK_BYTES)
                except TimeoutError:
                    continue
                if not data:
                    return
                *lines, buffer = (buffer + data).split(b"\n")
                for line in lines:
                    sock.sendall(self.command(line.decode()).encode() + b"\n")

    def _open_conn(self, client: socket.socket) -> None:
        try:
            source = client.getpeername()[0]
            target = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            self.connect_failed_at = time.monotonic()
            client.close()
            return
        conn = ForwardedConnection(client, target, source)
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(POLL_INTERVAL_S)
        with self._lock:
            self._conns.append(conn)
        self._executor.submit(self._pump, conn, client, target, "up")
        self._executor.submit(self._pump, conn, target, client, "down")

    def _pump(
        self, conn: ForwardedConnection, source: socket.socket, sink: socket.socket, direction: str
    ) -> None:
        try:
            while not self._stopped.is_set() and not conn.is_closed.is_set():
                try:
                    data = source.recv(CHUNK_BYTES)
                except TimeoutError:
                    continue
                if not data:
                    break
                self._forward(conn, sink, direction, data)
        except OSError:
            pass
        # A cut or frozen connection also delays the close.
        self._wait_while_blocked(conn, direction)
        conn.close(reset=False)
        with self._lock, suppress(ValueError):
            self._conns.remove(conn)

    def _forward(
        self, conn: ForwardedConnection, sink: socket.socket, direction: str, data: bytes
    ) -> None:
        conn.is_closed.wait(self._combined_fault(conn.source, direction).delay / 1000)
        self._wait_while_blocked(conn, direction)
        view = memoryview(data)
        while view and not conn.is_closed.is_set():
            with suppress(TimeoutError):
                view = view[sink.send(view) :]
        with self._lock:
            self._counts["bytes"] += len(data)

    def _wait_while_blocked(self, conn: ForwardedConnection, direction: str) -> None:
        while conn.is_frozen or self._combined_fault(conn.source, direction).cut:
            if self._stopped.is_set() or conn.is_closed.wait(POLL_INTERVAL_S):
                return

    def _pump_datagrams_up(self) -> None:
        self._datagram_socket.settimeout(POLL_INTERVAL_S)
        while not self._stopped.is_set():
            try:
                data, client = self._datagram_socket.recvfrom(CHUNK_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return
            target_socket = self._target_socket(client)
            if target_socket is not None:
                fault = self._combined_fault(client[0], "up")
                self._forward_datagram(data, target_socket, self._target, fault)

    def _target_socket(self, client: ClientAddress) -> socket.socket | None:
        """Return the socket on which a client's datagrams go to the target; None beyond the limit.

        Each client has its own socket, so that the target's answers reach the right client.
        """
        if client not in self._client_sockets:
            if len(self._client_sockets) >= MAX_DATAGRAM_CLIENTS:
                return None
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((self.address.host, 0))
            sock.settimeout(POLL_INTERVAL_S)
            self._client_sockets[client] = sock
            self._executor.submit(self._pump_datagrams_down, client, sock)
        return self._client_sockets[client]

    def _pump_datagrams_down(self, client: ClientAddress, target_socket: socket.socket) -> None:
        while not self._stopped.is_set():
            try:
                data = target_socket.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return
            self._forward_datagram(
                data, self._datagram_socket, client, self._combined_fault(client[0], "down")
            )

    def _forward_datagram(
        self, data: bytes, sock: socket.socket, to: ClientAddress, fault: Fault
    ) -> None:
        with self._lock:
            self._counts["datagrams"] += 1
            if fault.cut or self._rng.random() < fault.drop:
                self._counts["lost"] += 1
                return
        if fault.delay:
            self._executor.submit(self._send_datagram, data, sock, to, fault.delay / 1000)
        else:
            self._send_datagram(data, sock, to, 0.0)

    def _send_datagram(
        self, data: bytes, sock: socket.socket, to: ClientAddress, delay_s: float
    ) -> None:
        self._stopped.wait(delay_s)
        with suppress(OSError):
            sock.sendto(data, to)


def main() -> None:
    """Run one proxy until interrupted."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    for name in ("listen", "target", "control"):
        parser.add_argument(name, type=Address.parse)
    args = parser.parse_args()
    proxy = FaultProxy(target=args.target, listen=args.listen, control=args.control)
    print(f"{proxy.address} -> {args.target}, commands on {proxy.control}", flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        proxy.close()


if __name__ == "__main__":
    main()
