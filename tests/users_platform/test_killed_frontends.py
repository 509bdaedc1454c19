"""Callers of a frontend that is killed while it answers them."""

import json
import selectors
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tools.users_platform import Cluster

PORT = 17740
CALLERS = 40
KILLS = 5
WAIT_S = 10.0
RUN_MS = 400
CPU_MILLI = 300


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    started = Cluster(folder=tmp_path, port=PORT, network="127.0.8")
    try:
        started.configure()
        started.wait_ready()
        yield started
    finally:
        started.close()


def submission(number: int) -> bytes:
    """Return the request that submits a job of one task that is answered at its end."""
    step = {"count": 1, "cpu": CPU_MILLI, "requestedMemoryMb": 8, "estimatedMs": RUN_MS}
    spec = json.dumps({"ms": RUN_MS, "cpu": CPU_MILLI})
    body = json.dumps({"spec": spec, "steps": [step], "bestEffort": True}).encode()
    head = (
        f"POST /q/{number:016x} HTTP/1.1\r\nHost: h.example\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def read_to_end(conn: socket.socket) -> bytes:
    """Return all that a connection still delivers."""
    received = b""
    try:
        while data := conn.recv(65536):
            received += data
    except ConnectionError:
        pass
    return received


def wait_for_one(conns: list[socket.socket]) -> bool:
    """Wait until one of the connections delivers something; return whether one did."""
    with selectors.DefaultSelector() as selector:
        for conn in conns:
            selector.register(conn, selectors.EVENT_READ)
        return bool(selector.select(WAIT_S))


def state_in(answer: bytes) -> Any:
    """Return the state in an answer with status 200; None for another answer or none.

    Raises:
        ValueError: The state can't be read.
    """
    head, _, body = answer.partition(b"\r\n\r\n")
    if head.split(b" ")[1:2] != [b"200"]:
        return None
    return json.loads(body)["state"]


class TestKilledFrontend:
    """A frontend is killed as soon as the first of many callers gets an answer."""

    def test_each_success_holds_a_state_that_can_be_read(self, cluster: Cluster) -> None:
        """Guards against a status 200 whose body never comes, with all programs in place."""
        frontend = cluster.frontends[0]
        host, port = frontend.callers.split(":")
        states: list[Any] = []
        for kill in range(KILLS):
            conns = [socket.create_connection((host, int(port)), WAIT_S) for _ in range(CALLERS)]
            for number, conn in enumerate(conns):
                conn.sendall(submission(1000 * (kill + 1) + number))
            assert wait_for_one(conns)
            frontend.kill()
            answers = [read_to_end(conn) for conn in conns]
            for conn in conns:
                conn.close()
            states += [state_in(answer) for answer in answers]
            frontend.start()
            cluster.wait_ready()
        print({state: states.count(state) for state in set(states)})
        assert "completed" in states
        assert set(states) <= {"completed", None}
