"""A process that stands in for many upstreams, for measurements of a leader's processor time.

The upstreams follow the platform's published protocol as far as a run without faults needs it. The
payload of a job is the run time of its tasks at speed 1, in milliseconds.
"""

import json
import socket
import time
from collections.abc import Callable
from functools import partial
from multiprocessing.connection import Connection
from typing import Any

import httptools

from kumquatlift.clock import MonotonicClock
from kumquatlift.store import EventLoop

_READ_BYTES = 65536
_BACKLOG = 64


class MeasuredUpstream:
    """An upstream that runs tasks by waiting, and keeps no leases.

    Args:
        loop: Event loop of the process.
        speed: Factor by which run times are divided.
    """

    def __init__(self, *, loop: EventLoop, speed: float) -> None:
        self._loop = loop
        self._speed = speed
        self._running: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0
        # Answers to polls that wait for an end.
        self._waiting: list[Callable[[], None]] = []

    def handle(self, path: bytes, body: bytes, answer: Callable[[dict[str, Any]], None]) -> None:
        """Handle an order, and answer it now or when a run ends."""
        fields = json.loads(body)
        if path == b"/api/run-start":
            self._running[fields["task"]] = fields["run"]
            seconds = float(fields["spec"]) / 1000 / self._speed
            self._loop.call_after(seconds, partial(self._end, fields["task"], fields["run"]))
            answer({"clockMs": int(time.monotonic() * 1000)})
            return
        if path == b"/api/run-stop":
            self._end(fields["task"], fields["run"], "stopped")
            answer({"clockMs": int(time.monotonic() * 1000)})
            return
        acked = fields["ackedThrough"]
        self._ends = [row for row in self._ends if row[0] > acked]
        wait_ms = fields.get("waitMs", 0)
        if self._ends or not wait_ms:
            answer(self._lists())
            return
        respond = partial(self._answer_poll, answer)
        self._waiting.append(respond)
        self._loop.call_after(wait_ms / 1000, partial(self._respond_if_waiting, respond))

    def _answer_poll(self, answer: Callable[[dict[str, Any]], None]) -> None:
        answer(self._lists())

    def _respond_if_waiting(self, respond: Callable[[], None]) -> None:
        if respond in self._waiting:
            self._waiting.remove(respond)
            respond()

    def _lists(self) -> dict[str, Any]:
        running = [[task, run, "", 50] for task, run in self._running.items()]
        return {
            "clockMs": int(time.monotonic() * 1000),
            "running": running,
            "finished": self._ends[:500],
        }

    def _end(self, task: str, run: int, how: str = "done") -> None:
        if self._running.pop(task, None) is None:
            return
        self._last_end += 1
        self._ends.append([self._last_end, task, run, how, ""])
        waiting, self._waiting = self._waiting, []
        for respond in waiting:
            respond()


class _ServerConnection:
    """One accepted connection, which answers one request at a time."""

    def __init__(self, *, loop: EventLoop, sock: socket.socket, upstream: MeasuredUpstream) -> None:
        self._loop = loop
        self._sock = sock
        self._upstream = upstream
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._body = b""
        loop.watch(sock, self._on_ready)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._path = self._body = b""

    def on_url(self, url: bytes) -> None:
        """Keep the path."""
        self._path += url

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Handle the request."""
        self._upstream.handle(self._path, self._body, self._answer)

    def _answer(self, fields: dict[str, Any]) -> None:
        body = json.dumps(fields).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
        try:
            self._sock.send(head.encode() + b"\r\n\r\n" + body)
        except OSError:
            # The leader has closed the connection after a timeout.
            return

    def _on_ready(self, _mask: int) -> None:
        try:
            data = self._sock.recv(_READ_BYTES)
        except OSError:
            data = b""
        if data:
            self._parser.feed_data(data)
            return
        self._loop.unwatch(self._sock)
        self._sock.close()


def run_upstreams(ports: Connection, speeds: list[float]) -> None:
    """Serve one upstream for each speed until the process is terminated.

    Args:
        ports: Receives the list of their ports.
        speeds: Speeds of the upstreams.
    """
    loop = EventLoop(clock=MonotonicClock())
    listeners = [socket.create_server(("127.0.0.1", 0), backlog=_BACKLOG) for _ in speeds]
    for listener, speed in zip(listeners, speeds, strict=True):
        listener.setblocking(False)
        upstream = MeasuredUpstream(loop=loop, speed=speed)
        loop.watch(listener, partial(_accept, loop, listener, upstream))
    ports.send([listener.getsockname()[1] for listener in listeners])
    loop.run()


def _accept(
    loop: EventLoop, listener: socket.socket, upstream: MeasuredUpstream, _mask: int
) -> None:
    sock, _ = listener.accept()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _ServerConnection(loop=loop, sock=sock, upstream=upstream)
