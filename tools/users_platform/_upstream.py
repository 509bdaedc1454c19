"""Upstream that follows the platform's published protocol and notes what it sees."""

import json
import threading
import time
from http.client import HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from tools.users_platform._http import call
from tools.users_platform._journal import Journal

MAX_LEASE_MS = 1000
HEARTBEAT_S = 0.5
POLL_S = 0.005
# Time after the acknowledgement in which tasks may still be started on a draining upstream.
DRAIN_S = 2.0


class StandInUpstream:
    """An upstream on one loopback address.

    Args:
        upstream_id: Identity.
        address: "ip:port" to listen on.
        controls: Control addresses to announce itself to.
        journal: Where it notes what it sees.
        cpu_milli: Capacity.
        speed: Speed, 1 for the usual one.
        announced: Address that it announces, when a proxy stands before it.
    """

    def __init__(
        self,
        *,
        upstream_id: str,
        address: str,
        controls: list[str],
        journal: Journal,
        cpu_milli: int = 16_000,
        speed: float = 1.0,
        announced: str = "",
    ) -> None:
        self.upstream_id = upstream_id
        self.address = announced or address
        self._controls = controls
        self._journal = journal
        self._cpu_milli = cpu_milli
        self._speed = speed
        self._born_ms = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._changed = threading.Condition()
        self._token = 0
        self._until_ms = 0
        self._lapsed_at = time.monotonic()
        self._runs: dict[str, tuple[int, float]] = {}
        # What a running task asks for: room, run time and how it ends.
        self._work_of: dict[str, dict[str, Any]] = {}
        self._barred: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._ended_at: dict[int, float] = {}
        self._number = 0
        self._sequence = 0
        self._is_closed = False
        self._state = "ready"
        # When an instance acknowledged that this upstream drains.
        self._drains_since: float | None = None
        host, port = address.split(":")
        self._server = ThreadingHTTPServer((host, int(port)), self._handler())
        self._server.daemon_threads = True
        # Connections that a fault or a crash has ended are expected.
        self._server.handle_error = lambda *_args: None  # type: ignore[method-assign]
        for target in (self._server.serve_forever, self._beat, self._work):
            threading.Thread(target=target, daemon=True).start()

    def close(self) -> None:
        """End without a word, also on connections that are open."""
        with self._changed:
            self._is_closed = True
        self._server.shutdown()
        self._server.server_close()
        with self._changed:
            for task in list(self._runs):
                self._journal.end(task, self.upstream_id, "crashed")
            self._runs.clear()

    def drain(self) -> None:
        """Report that it leaves soon; tasks that run go on."""
        self._state = "draining"

    @property
    def is_drain_acknowledged(self) -> bool:
        """Whether an instance knows that it drains."""
        return self._drains_since is not None

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000)

    def _beat(self) -> None:
        target = 0
        while not self._is_closed:
            self._sequence += 1
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
                "born": self._born_ms,
                "sequence": self._sequence,
            }
            path = f"/api/instances/{self.upstream_id}/heartbeat"
            control = self._controls[target % len(self._controls)]
            try:
                status = call(control, "POST", path, body)[0]
            except (OSError, HTTPException):
                status = 0
            if status != 200:
                target += 1
            elif body["state"] == "draining" and self._drains_since is None:
                self._drains_since = time.monotonic()
            time.sleep(HEARTBEAT_S if status == 200 else POLL_S * 10)

    def _work(self) -> None:
        while not self._is_closed:
            time.sleep(POLL_S)
            now = time.monotonic()
            with self._changed:
                if self._until_ms < self._clock_ms():
                    self._lapsed_at = now
                for task, (run, ends_at) in list(self._runs.items()):
                    if self._until_ms < self._clock_ms():
                        self._end(task, run, "lapsed")
                    elif ends_at <= now:
                        is_failed = self._work_of[task].get("fails", False)
                        self._end(task, run, "failed" if is_failed else "done")

    def _end(self, task: str, run: int, how: str) -> None:
        del self._runs[task]
        del self._work_of[task]
        self._barred[task] = max(run, self._barred.get(task, 0))
        self._number += 1
        self._ends.append([self._number, task, run, how, ""])
        self._ended_at[self._number] = time.monotonic()
        self._journal.end(task, self.upstream_id, how)
        self._changed.notify_all()

    def _carry_out(self, path: str, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        with self._changed:
            if self._is_closed:
                raise ConnectionAbortedError("the upstream has crashed")
            if fields.get("fencingToken", 0) < self._token:
                return 409, {"reason": "fence"}
            self._token = fields["fencingToken"]
            if path == "/api/run-start":
                return self._start(fields)
            if path == "/api/run-stop":
                task, run = fields["task"], fields["run"]
                self._barred[task] = max(run, self._barred.get(task, 0))
                if task in self._runs and self._runs[task][0] <= run:
                    self._end(task, self._runs[task][0], "stopped")
                return 200, {}
            return self._look(fields)

    def _start(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = fields["task"], fields["run"]
        if fields["untilMs"] < self._clock_ms():
            return 409, {"reason": "late"}
        self._extend(fields["untilMs"])
        if task in self._runs and self._runs[task][0] == run:
            return 200, {}
        if run <= self._barred.get(task, 0):
            return 409, {"reason": "old"}
        drained_s = time.monotonic() - (self._drains_since or time.monotonic())
        if drained_s > DRAIN_S:
            self._journal.fail(f"{task} starts on {self.upstream_id}, which drains")
        work = json.loads(fields["spec"])
        used = sum(each["cpu"] for each in self._work_of.values())
        if used + work["cpu"] > self._cpu_milli:
            self._journal.fail(f"{task} exceeds the capacity of {self.upstream_id}")
        self._journal.start(task, self.upstream_id, step_tasks=work.get("tasks", 0))
        self._work_of[task] = work
        self._runs[task] = (run, time.monotonic() + work["ms"] / 1000 / self._speed)
        return 200, {}

    def _look(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend(fields.get("untilMs", 0))
        acked = fields.get("ackedThrough", 0)
        for number, task, _, how, _ in self._ends:
            if number > acked or self._ended_at[number] <= self._lapsed_at:
                continue
            if how == "done":
                self._journal.acknowledge(task, self._ended_at[number])
            elif how == "failed":
                self._journal.acknowledge_failure(task, self._ended_at[number])
        self._ends = [row for row in self._ends if row[0] > acked]
        if not self._ends and fields.get("waitMs"):
            self._changed.wait(fields["waitMs"] / 1000)
        running = [[task, run, "", 50] for task, (run, _) in self._runs.items()]
        return 200, {"running": running, "finished": self._ends[:500], "born": self._born_ms}

    def _extend(self, until_ms: int) -> None:
        allowed = min(until_ms, self._clock_ms() + MAX_LEASE_MS)
        self._until_ms = max(self._until_ms, allowed)

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        upstream = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                fields = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if upstream._is_closed:
                    # A process that has crashed answers nothing, not even a mistaken order.
                    raise ConnectionAbortedError("the upstream has crashed")
                if self.headers.get("Expected-Instance") != upstream.upstream_id:
                    status, answer = 421, dict[str, Any]()
                else:
                    status, answer = upstream._carry_out(self.path, fields)
                data = json.dumps({"clockMs": upstream._clock_ms(), **answer}).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_args: Any) -> None:
                return

        return Handler
