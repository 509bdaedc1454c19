"""Tests how the client classifies attempts, with a raw socket in place of the runner."""

import json
import socket
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from kumquatlift.codes import ResultCode
from kumquatlift.upstreams.runner_client import AttemptEnd, RunnerClient, RunRequest


def answer(attempt: str, rows: dict[str, int], status: str = "200 OK", cut: int = 0) -> bytes:
    """Return an HTTP response without its last ``cut`` bytes."""
    results = [{"id": task_id, "result": value} for task_id, value in rows.items()]
    body = json.dumps({"attempt": attempt, "results": results}).encode()
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    return (head + body)[: len(head) + len(body) - cut]


def refusal() -> bytes:
    """Return the response of a runner that refuses a request before starting it."""
    body = b'{"code": 3001, "ran": "no", "reason": "full", "retry_after_ms": 30}'
    head = f"HTTP/1.1 503 Service Unavailable\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def request(attempt: str = "a1", lease_ms: int = 2000) -> RunRequest:
    """Return a request with the tasks x and y."""
    return RunRequest("job", attempt, "count", lease_ms, (("x", 1), ("y", 2)))


class Runner:
    """A listening socket that follows one script for each connection."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.executor = ThreadPoolExecutor(max_workers=1)
        self.connections = 0
        self.release = threading.Event()

    def script(self, *steps: Callable[[socket.socket], None]) -> None:
        """Accept one connection, run one step for each request on it, then close it."""
        self.executor.submit(self._serve, steps)

    def _serve(self, steps: tuple[Callable[[socket.socket], None], ...]) -> None:
        conn, _ = self.socket.accept()
        self.connections += 1
        with conn:
            for step in steps:
                read_request(conn)
                step(conn)


def read_request(conn: socket.socket) -> None:
    """Read one request with its body."""
    with conn.makefile("rb") as reader:
        size = 0
        while line := reader.readline().strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                size = int(value)
        reader.read(size)


def send(data: bytes) -> Callable[[socket.socket], None]:
    """Return a step that sends a response."""
    return lambda conn: conn.sendall(data)


@pytest.fixture
def runner() -> Iterator[Runner]:
    stand_in = Runner()
    yield stand_in
    stand_in.release.set()
    stand_in.socket.close()
    stand_in.executor.shutdown()


class TestRunnerClient:
    """Guards against a wrong ``NOT_RUN``, and against responses matched to another request."""

    def test_connection_is_reused_after_a_complete_response(self, runner: Runner) -> None:
        rows = {"x": 10, "y": 20}
        runner.script(send(answer("a1", rows)), send(answer("a2", rows)))
        client = RunnerClient()
        for attempt in ("a1", "a2"):
            result = client.run(runner.address, request(attempt))
            assert (result.end, result.results) == (AttemptEnd.OK, rows)
        assert runner.connections == 1

    def test_refused_connection_is_not_run(self, runner: Runner) -> None:
        runner.socket.close()
        result = RunnerClient().run(runner.address, request())
        assert (result.end, result.sent) == (AttemptEnd.NOT_RUN, False)

    def test_refusal_of_the_runner_is_not_run_and_has_a_retry_time(self, runner: Runner) -> None:
        runner.script(send(refusal()))
        result = RunnerClient().run(runner.address, request())
        assert (result.end, result.sent) == (AttemptEnd.NOT_RUN, True)
        assert result.failure is not None
        assert result.failure.retry_after_ms == 30

    @pytest.mark.parametrize(
        "step",
        [
            lambda conn: None,
            send(answer("a1", {"x": 1, "y": 2}, cut=5)),
            send(answer("a0", {"x": 1, "y": 2})),
            send(b"nonsense\r\n\r\n"),
            send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"),
            send(b"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + b"[" * 20000),
            send(answer("a1", {"x": 1, "y": 2}, status="504 Gateway Timeout")),
        ],
        ids=[
            "closed",
            "truncated",
            "other-attempt",
            "not-http",
            "not-an-object",
            "deeply-nested",
            "gateway-timeout",
        ],
    )
    def test_outcome_is_unknown_after_any_other_response(
        self, runner: Runner, step: Callable[[socket.socket], None]
    ) -> None:
        runner.script(step)
        result = RunnerClient().run(runner.address, request())
        assert result.end is AttemptEnd.UNKNOWN

    def test_response_that_lacks_a_result_is_a_failure(self, runner: Runner) -> None:
        runner.script(send(answer("a1", {"x": 1})))
        result = RunnerClient().run(runner.address, request())
        assert result.end is AttemptEnd.FAILED
        assert result.failure is not None
        assert result.failure.code is ResultCode.BAD_RUNNER_ANSWER

    def test_late_response_is_not_matched_to_the_next_request(self, runner: Runner) -> None:
        def late(conn: socket.socket) -> None:
            runner.release.wait(10)
            conn.sendall(answer("a1", {"x": 1, "y": 2}))

        runner.script(late)
        runner.script(send(answer("a2", {"x": 3, "y": 4})))
        client = RunnerClient()
        first = client.run(runner.address, request("a1", lease_ms=10))
        runner.release.set()
        second = client.run(runner.address, request("a2"))
        assert first.end is AttemptEnd.UNKNOWN
        assert (second.end, second.results) == (AttemptEnd.OK, {"x": 3, "y": 4})
