"""Stand-in for an upstream that follows the platform's published protocol."""

import json
import threading
import time
from http.client import HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from tools.users_platform._history import History
from tools.users_platform._http import call

MAX_LEASE_MS = 1000
HEARTBEAT_S = 0.5
TICK_S = 0.005
# Time after the acknowledgement of a drain in which tasks may still be started on the upstream.
DRAIN_GRACE_S = 2.0


class StandInUpstream:
    """An upstream that listens on one loopback address and runs tasks by waiting.

    Args:
        upstream_id: Identity.
        address: Address to listen on, "ip:port".
        controls: Control addresses to which it sends heartbeats.
        history: Records its runs and the violations that it detects.
        cpu_milli: Capacity in thousandths of a processor.
        speed: Factor by which run times are divided.
        announced: Address of the proxy in front of it, for its heartbeats; empty for none.
    """

    def __init__(
        self,
        *,
        upstream_id: str,
        address: str,
        controls: list[str],
        history: History,
        cpu_milli: int = 16_000,
        speed: float = 1.0,
        announced: str = "",
    ) -> None:
        self.upstream_id = upstream_id
        self.address = announced or address
        self._controls = controls
        self._history = history
        self._cpu_milli = cpu_milli
        self._speed = speed
        self._started_at_ms = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self._condition = threading.Condition()
        self._token = 0
        self._lease_end_ms = 0
        self._lease_expired_at = time.monotonic()
        # Number of the run, and monotonic time of its end, by running task.
        self._runs: dict[str, tuple[int, float]] = {}
        # Resources, run time and outcome by running task, from the job's payload.
        self._specs: dict[str, dict[str, Any]] = {}
        # Highest run by task that has ended or was stopped; it must not be started any more.
        self._barred_runs: dict[str, int] = {}
        # Rows of number, task, run, reason and checkpoint, as listed in the answer to a poll.
        self._unacknowledged_ends: list[list[Any]] = []
        # Monotonic time of each end, by its number.
        self._ended_at: dict[int, float] = {}
        self._last_end = 0
        self._heartbeats_sent = 0
        self._is_closed = False
        self._state = "ready"
        # Monotonic time when an instance first acknowledged that this upstream drains.
        self._drain_acknowledged_at: float | None = None
        host, port = address.split(":")
        self._server = ThreadingHTTPServer((host, int(port)), self._handler())
        self._server.daemon_threads = True
        # Errors of connections that a fault or a crash has closed are expected.
        self._server.handle_error = lambda *_args: None  # type: ignore[method-assign]
        for function in (self._server.serve_forever, self._send_heartbeats, self._run_tasks):
            threading.Thread(target=function, daemon=True).start()

    def close(self) -> None:
        """Crash: stop without answering the requests on open connections."""
        with self._condition:
            self._is_closed = True
        self._server.shutdown()
        self._server.server_close()
        with self._condition:
            for task in list(self._runs):
                self._history.record_end(task, self.upstream_id, "crashed")
            self._runs.clear()

    def drain(self) -> None:
        """Report itself as draining; running tasks continue."""
        self._state = "draining"

    @property
    def is_drain_acknowledged(self) -> bool:
        """Whether an instance has acknowledged that this upstream drains."""
        return self._drain_acknowledged_at is not None

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_start) * 1000)

    def _send_heartbeats(self) -> None:
        control_index = 0
        while not self._is_closed:
            self._heartbeats_sent += 1
            body = {
                "service": "s",
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": self._state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self._cpu_milli, "requestedMemoryMb": 32768, "gpu": 0},
                "labels": ["a", "r1"],
                "clockMs": self._clock_ms(),
                "born": self._started_at_ms,
                "sequence": self._heartbeats_sent,
            }
            path = f"/api/instances/{self.upstream_id}/heartbeat"
            control = self._controls[control_index % len(self._controls)]
            try:
                status = call(control, "POST", path, body)[0]
            except (OSError, HTTPException):
                status = 0
            if status != 200:
                control_index += 1
            elif body["state"] == "draining" and self._drain_acknowledged_at is None:
                self._drain_acknowledged_at = time.monotonic()
            time.sleep(HEARTBEAT_S if status == 200 else TICK_S * 10)

    def _run_tasks(self) -> None:
        while not self._is_closed:
            time.sleep(TICK_S)
            now = time.monotonic()
            with self._condition:
                if self._lease_end_ms < self._clock_ms():
                    self._lease_expired_at = now
                for task, (run, ends_at) in list(self._runs.items()):
                    if self._lease_end_ms < self._clock_ms():
                        self._end(task, run, "lapsed")
                    elif ends_at <= now:
                        is_failed = self._specs[task].get("fails", False)
                        self._end(task, run, "failed" if is_failed else "done")

    def _end(self, task: str, run: int, reason: str) -> None:
        del self._runs[task]
        del self._specs[task]
        self._barred_runs[task] = max(run, self._barred_runs.get(task, 0))
        self._last_end += 1
        self._unacknowledged_ends.append([self._last_end, task, run, reason, ""])
        self._ended_at[self._last_end] = time.monotonic()
        self._history.record_end(task, self.upstream_id, reason)
        self._condition.notify_all()

    def _execute(self, path: str, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        with self._condition:
            if self._is_closed:
                raise ConnectionAbortedError("the upstream has crashed")
            if fields.get("fencingToken", 0) < self._token:
                return 409, {"reason": "fence"}
            self._token = fields["fencingToken"]
            if path == "/api/run-start":
                return self._start(fields)
            if path == "/api/run-stop":
                task, run = fields["task"], fields["run"]
                self._barred_runs[task] = max(run, self._barred_runs.get(task, 0))
                if task in self._runs and self._runs[task][0] <= run:
                    self._end(task, self._runs[task][0], "stopped")
                return 200, {}
            return self._poll(fields)

    def _start(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = fields["task"], fields["run"]
        if fields["untilMs"] < self._clock_ms():
            return 409, {"reason": "late"}
        self._extend_lease(fields["untilMs"])
        if task in self._runs and self._runs[task][0] == run:
            return 200, {}
        if run <= self._barred_runs.get(task, 0):
            return 409, {"reason": "old"}
        drained_s = time.monotonic() - (self._drain_acknowledged_at or time.monotonic())
        if drained_s > DRAIN_GRACE_S:
            self._history.record_violation(f"{task} starts on {self.upstream_id}, which drains")
        spec = json.loads(fields["spec"])
        used = sum(each["cpu"] for each in self._specs.values())
        if used + spec["cpu"] > self._cpu_milli:
            self._history.record_violation(f"{task} exceeds the capacity of {self.upstream_id}")
        self._history.record_start(task, self.upstream_id, step_tasks=spec.get("tasks", 0))
        self._specs[task] = spec
        self._runs[task] = (run, time.monotonic() + spec["ms"] / 1000 / self._speed)
        return 200, {}

    def _poll(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend_lease(fields.get("untilMs", 0))
        acked = fields.get("ackedThrough", 0)
        for number, task, _, reason, _ in self._unacknowledged_ends:
            if number > acked or self._ended_at[number] <= self._lease_expired_at:
                continue
            if reason == "done":
                self._history.record_acknowledged_end(task, self._ended_at[number])
            elif reason == "failed":
                self._history.record_acknowledged_failure(task, self._ended_at[number])
        self._unacknowledged_ends = [row for row in self._unacknowledged_ends if row[0] > acked]
        if not self._unacknowledged_ends and fields.get("waitMs"):
            self._condition.wait(fields["waitMs"] / 1000)
        running = [[task, run, "", 50] for task, (run, _) in self._runs.items()]
        return 200, {
            "running": running,
            "finished": self._unacknowledged_ends[:500],
            "born": self._started_at_ms,
        }

    def _extend_lease(self, lease_end_ms: int) -> None:
        allowed = min(lease_end_ms, self._clock_ms() + MAX_LEASE_MS)
        self._lease_end_ms = max(self._lease_end_ms, allowed)

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        upstream = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                fields = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if upstream._is_closed:
                    # A crashed process answers nothing, not even orders for another upstream.
                    raise ConnectionAbortedError("the upstream has crashed")
                if self.headers.get("Expected-Instance") != upstream.upstream_id:
                    status, answer = 421, dict[str, Any]()
                else:
                    status, answer = upstream._execute(self.path, fields)
                data = json.dumps({"clockMs": upstream._clock_ms(), **answer}).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_args: Any) -> None:
                return

        return Handler
