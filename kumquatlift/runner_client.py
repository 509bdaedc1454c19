"""Sends requests to runners over pooled connections and classifies how each attempt ended."""

import http.client
import json
import select
import socket
import threading
import time
from collections import defaultdict
from enum import Enum
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.settings import Address

CONNECT_TIMEOUT_S = 1.0
# A connection idle for longer may have been dropped by something between the two ends without a
# reset, and a request lost on it could not be told from one that ran.
MAX_IDLE_S = 2.0
# Time for the request to arrive after it was sent; the runner counts the lease from its arrival.
DELIVERY_MARGIN_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
_READ_BYTES = 65536


class AttemptEnd(Enum):
    """How an attempt ended."""

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RunRequest(NamedTuple):
    """One request to a runner: consecutive tasks of a job that take one slot.

    Args:
        job: Text form of the job's identity.
        attempt: Identity of this attempt, unique for ever.
        kind: Request kind.
        lease_ms: Longest run; the runner stops the request then.
        tasks: Pairs of task id and body.
    """

    job: str
    attempt: str
    kind: str
    lease_ms: int
    tasks: tuple[tuple[str, Any], ...]

    def to_bytes(self) -> bytes:
        """Encode as the JSON body of ``POST /run``."""
        tasks = [{"id": task_id, "body": body} for task_id, body in self.tasks]
        return json.dumps({**self._asdict(), "tasks": tasks}).encode()


class AttemptResult(NamedTuple):
    """What became of an attempt.

    Args:
        end: How it ended.
        failure: Code and reason unless the end is ``OK``.
        results: Result by task id when the end is ``OK``.
        run_s: Seconds from sending the request to the end.
        sent: Whether a message to the runner left this process.
    """

    end: AttemptEnd
    failure: Failure | None
    results: dict[str, Any]
    run_s: float
    sent: bool


class _Connection(http.client.HTTPConnection):
    """A connection that sends head and body of a request in one system call."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, timeout=CONNECT_TIMEOUT_S)
        self._parts: list[bytes] = []

    def send(self, data: bytes) -> None:  # type: ignore[override]
        """Keep a part of the request until ``flush``."""
        self._parts.append(data)

    def flush(self) -> None:
        """Send the request."""
        data = b"".join(self._parts)
        self._parts.clear()
        self.sock.sendall(data)


class RunnerClient:
    """Pool of connections to runners.

    A connection is used by one request at a time. It goes back to the pool only after a whole
    answer, so that a late answer can never meet another request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, _Connection]]] = defaultdict(list)

    def run(self, address: str, req: RunRequest) -> AttemptResult:
        """Send a request and wait for its end.

        Args:
            address: Runner's address, "ip:port".
            req: The request.

        Returns:
            The result; ``NOT_RUN`` only when no byte of the request left or the runner refused.
        """
        started_at = time.monotonic()
        body = req.to_bytes()
        timeout_s = req.lease_ms / 1000 + DELIVERY_MARGIN_S
        try:
            conn = self._take(address)
        except (OSError, ValueError) as exc:
            return _ended(
                AttemptEnd.NOT_RUN, ResultCode.NOT_DELIVERED, f"{address}: {exc}", 0.0, False
            )
        try:
            answer = _exchange(conn, body, timeout_s)
        except TimeoutError:
            conn.close()
            elapsed = time.monotonic() - started_at
            reason = f"{address}: no answer within {timeout_s:.3f} s"
            return _ended(AttemptEnd.UNKNOWN, ResultCode.ATTEMPT_UNKNOWN, reason, elapsed)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            conn.close()
            elapsed = time.monotonic() - started_at
            reason = f"{address}: {type(exc).__name__}: {exc}"
            return _ended(AttemptEnd.UNKNOWN, ResultCode.ATTEMPT_UNKNOWN, reason, elapsed)
        if answer.reusable:
            self._give_back(address, conn)
        else:
            conn.close()
        return _classify(req, answer, time.monotonic() - started_at)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools = list(self._idle.values())
            self._idle.clear()
        for pool in pools:
            for _, conn in pool:
                conn.close()

    def close_idle(self) -> None:
        """Close connections that have been idle too long to be used again."""
        limit = time.monotonic() - MAX_IDLE_S
        old: list[_Connection] = []
        with self._lock:
            for address, pool in list(self._idle.items()):
                old += [conn for since, conn in pool if since < limit]
                self._idle[address] = [item for item in pool if item[0] >= limit]
                if not self._idle[address]:
                    del self._idle[address]
        for conn in old:
            conn.close()

    def _take(self, address: str) -> _Connection:
        limit = time.monotonic() - MAX_IDLE_S
        while True:
            with self._lock:
                pool = self._idle.get(address)
                entry = pool.pop() if pool else None
            if entry is None:
                return _connect(address)
            since, conn = entry
            if since >= limit and not _is_readable(conn):
                return conn
            conn.close()

    def _give_back(self, address: str, conn: _Connection) -> None:
        with self._lock:
            self._idle[address].append((time.monotonic(), conn))


class _Answer(NamedTuple):
    status: int
    body: bytes
    reusable: bool


def _connect(address: str) -> _Connection:
    host, port = Address.parse(address)
    conn = _Connection(host, port)
    conn.connect()
    # Without this the library would open the connection again by itself and send a second time.
    conn.auto_open = 0
    conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return conn


def _is_readable(conn: _Connection) -> bool:
    """Tell whether an idle connection was closed by the runner or carries stray bytes."""
    return bool(select.select([conn.sock], [], [], 0)[0])


def _exchange(conn: _Connection, body: bytes, timeout_s: float) -> _Answer:
    deadline = time.monotonic() + timeout_s
    conn.sock.settimeout(timeout_s)
    conn.request("POST", "/run", body, {"Content-Type": "application/json"})
    conn.flush()
    sock = conn.sock
    res = conn.getresponse()
    parts: list[bytes] = []
    size = 0
    while part := res.read1(_READ_BYTES):
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise ValueError(f"answer over {MAX_ANSWER_BYTES} bytes")
        parts.append(part)
        if res.length == 0:
            break
        # The limit holds for the whole exchange: a runner that sends a byte at a time must not
        # extend it.
        left = deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError
        sock.settimeout(left)
    if res.length not in (0, None):
        raise http.client.IncompleteRead(b"", res.length)
    reusable = not res.will_close
    # A response that was read by parts must be closed before the connection takes a new request.
    res.close()
    return _Answer(res.status, b"".join(parts), reusable and conn.sock is not None)


def _classify(req: RunRequest, answer: _Answer, run_s: float) -> AttemptResult:
    try:
        obj = json.loads(answer.body)
    except ValueError:
        obj = None
    if not isinstance(obj, dict):
        reason = f"status {answer.status} without a JSON object"
        return _ended(AttemptEnd.UNKNOWN, ResultCode.BAD_RUNNER_ANSWER, reason, run_s)
    if answer.status == 200:
        return _read_results(req, obj, run_s)
    reason = str(obj.get("reason", f"status {answer.status}"))[:200]
    if answer.status == 503 and obj.get("ran") == "no":
        retry_after = obj.get("retry_after_ms", 0)
        failure = Failure(
            ResultCode.OVERLOADED, reason, retry_after if type(retry_after) is int else 0
        )
        return AttemptResult(AttemptEnd.NOT_RUN, failure, {}, run_s, True)
    if answer.status == 500:
        return _ended(AttemptEnd.FAILED, ResultCode.TASK_FAILED, reason, run_s)
    return _ended(AttemptEnd.UNKNOWN, ResultCode.ATTEMPT_UNKNOWN, reason, run_s)


def _read_results(req: RunRequest, obj: dict[str, Any], run_s: float) -> AttemptResult:
    """Match results with tasks; an answer to another attempt or with a gap is a failure."""
    rows = obj.get("results")
    if obj.get("attempt") != req.attempt or not isinstance(rows, list):
        reason = "the answer belongs to another attempt"
        return _ended(AttemptEnd.UNKNOWN, ResultCode.BAD_RUNNER_ANSWER, reason, run_s)
    results: dict[str, Any] = {}
    for row in rows:
        if isinstance(row, dict) and isinstance(row.get("id"), str) and "result" in row:
            results[row["id"]] = row["result"]
    if len(rows) != len(req.tasks) or results.keys() != {task_id for task_id, _ in req.tasks}:
        reason = "the answer does not hold one result a task"
        return _ended(AttemptEnd.FAILED, ResultCode.BAD_RUNNER_ANSWER, reason, run_s)
    return AttemptResult(AttemptEnd.OK, None, results, run_s, True)


def _ended(
    end: AttemptEnd, code: ResultCode, reason: str, run_s: float, sent: bool = True
) -> AttemptResult:
    return AttemptResult(end, Failure(code, reason), {}, run_s, sent)
