"""Stand-ins for the platform: upstreams over HTTP, and the programs as real processes.

Upstreams follow the platform's published protocol and note what they see, so that a test can check
from outside that no task runs twice and that no capacity is exceeded.
"""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, NamedTuple

MAX_LEASE_MS = 1000
HEARTBEAT_S = 0.5
POLL_S = 0.005


class Seen(NamedTuple):
    """One event that an upstream saw.

    Args:
        at: Time, monotonic seconds.
        what: "start", or how a run ended.
        task: Name of the task.
        upstream: Identity of the upstream.
    """

    at: float
    what: str
    task: str
    upstream: str


class Journal:
    """What all upstreams of a test saw, with the promises that it checks at once."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.events: list[Seen] = []
        self.violations: list[str] = []
        # Tasks that started after an end that was acknowledged; jobs that are stored have none.
        self.repeated: list[str] = []
        self._running: dict[str, str] = {}
        self._done: dict[str, float] = {}

    def start(self, task: str, upstream: str) -> None:
        """Take note of a start."""
        with self._lock:
            other = self._running.get(task)
            if other is not None:
                self.violations.append(f"{task} starts on {upstream} while it runs on {other}")
            if task in self._done:
                self.repeated.append(task)
            self._running[task] = upstream
            self.events.append(Seen(time.monotonic(), "start", task, upstream))

    def acknowledge(self, task: str, ended_at: float) -> None:
        """Take note that an end ``done`` was acknowledged while its lease had not lapsed."""
        with self._lock:
            self._done.setdefault(task, ended_at)
            late = [seen for seen in self.events if seen.task == task and seen.what == "start"]
            if any(seen.at > ended_at for seen in late):
                self.repeated.append(task)

    def started(self, job: str) -> bool:
        """Whether a task of a job was ever started."""
        return any(seen.what == "start" and seen.task.startswith(job) for seen in self.events)

    def end(self, task: str, upstream: str, how: str) -> None:
        """Take note of an end."""
        with self._lock:
            self._running.pop(task, None)
            self.events.append(Seen(time.monotonic(), how, task, upstream))

    def fail(self, text: str) -> None:
        """Take note of a broken promise."""
        with self._lock:
            self.violations.append(text)


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
        self._barred: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._ended_at: dict[int, float] = {}
        self._number = 0
        self._sequence = 0
        self._is_closed = False
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
                "state": "ready",
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
                        self._end(task, run, "done")

    def _end(self, task: str, run: int, how: str) -> None:
        del self._runs[task]
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
        work = json.loads(fields["spec"])
        used = sum(json.loads(spec)["cpu"] for spec in self._specs.values())
        if used + work["cpu"] > self._cpu_milli:
            self._journal.fail(f"{task} exceeds the capacity of {self.upstream_id}")
        self._journal.start(task, self.upstream_id)
        self._specs[task] = fields["spec"]
        self._runs[task] = (run, time.monotonic() + work["ms"] / 1000 / self._speed)
        return 200, {}

    @property
    def _specs(self) -> dict[str, str]:
        known: dict[str, str] = self.__dict__.setdefault("_known_specs", {})
        for task in [task for task in known if task not in self._runs]:
            del known[task]
        return known

    def _look(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend(fields.get("untilMs", 0))
        acked = fields.get("ackedThrough", 0)
        for number, task, _, how, _ in self._ends:
            if number <= acked and how == "done" and self._ended_at[number] > self._lapsed_at:
                self._journal.acknowledge(task, self._ended_at[number])
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


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    host: str = "h.example",
    timeout_s: float = 2.0,
) -> tuple[int, Any]:
    """Send one request on a connection of its own and return status and JSON body."""
    conn = HTTPConnection(address, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, {"Host": host, "Content-Type": "application/json"})
        res = conn.getresponse()
        text = res.read()
        return res.status, json.loads(text) if text else None
    finally:
        conn.close()


class Program:
    """One of the real programs as a process.

    Args:
        role: "core" or "frontend".
        host: Loopback address of its own.
        seeds: Control addresses of the instances with a disk.
        folder: Where its settings, log and data lie.
        port: First of the ports that it uses.
        is_first_formation: Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        *,
        role: str,
        host: str,
        seeds: list[str],
        folder: Path,
        port: int,
        is_first_formation: bool = True,
    ) -> None:
        self.role = role
        self.host = host
        self._folder = folder
        self._port = port
        self._seeds = seeds
        self._is_first_formation = is_first_formation
        self._log_start = 0
        self._process: subprocess.Popen[bytes] | None = None
        folder.mkdir(parents=True, exist_ok=True)
        self.start()

    @property
    def control(self) -> str:
        """Control address of a core."""
        return f"{self.host}:{self._port + 1}"

    @property
    def callers(self) -> str:
        """Address for callers of a frontend."""
        return f"{self.host}:{self._port + 2}"

    @property
    def metrics(self) -> str:
        """Address of the metrics."""
        return f"{self.host}:{self._port + 4}"

    @property
    def readiness(self) -> str:
        """Address for the readiness check of a frontend."""
        return f"{self.host}:{self._port + 3}"

    def start(self) -> None:
        """Start the process; only its first start may form the system."""
        settings = self._folder / "settings.toml"
        is_core = self.role == "core"
        settings.write_text(
            f'name = "{self.role}-{self.host}"\nzone = "z1"\nhost = "{self.host}"\n'
            f"internal_port = {self._port}\nseeds = {json.dumps(self._seeds)}\n"
            f"is_first_formation = {str(self._is_first_formation).lower()}\n"
            f'data_folder = "{self._folder / "data" if is_core else ""}"\n'
            "disk_mb = 128\n[listen]\n"
            f'callers = "{"" if is_core else self.callers}"\n'
            f'readiness = "{"" if is_core else self.readiness}"\n'
            f'control = "{self.control if is_core else ""}"\n'
            f'metrics = "{self.metrics}"\n[bounds]\n'
            "tolerated_machines = 1\nlease_ms = 1000\ngrace_s = 6\nstate_kept_s = 120\n"
            "remote_factor = 2\n"
        )
        self._is_first_formation = False
        self._log_start = len(self.log) if (self._folder / "log.txt").exists() else 0
        env = {**os.environ, "KUMQUATLIFT_NODE_FILE": str(settings)}
        log = (self._folder / "log.txt").open("ab")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "kumquatlift.platform", self.role],
            env=env,
            stdout=log,
            stderr=log,
            cwd=Path(__file__).parent.parent,
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self, timeout_s: float = 10.0) -> int | None:
        """Wait for the end of the process and return its exit code."""
        return None if self._process is None else self._process.wait(timeout_s)

    @property
    def is_started(self) -> bool:
        """Whether the present process has said that it has started."""
        return "event='started'" in self.log[self._log_start :]

    @property
    def log(self) -> str:
        """Everything that it has logged."""
        return (self._folder / "log.txt").read_text(errors="replace")
