"""Stand-ins for the scripts of this review: the platform, its runners, clients and operator.

The project's programs run as processes with the commands of the deploy file. Everything else, that
is, what the users' pages describe around them, is played in this process by threads. Addresses are
loopback addresses of one network that is chosen at the start; files are in a temporary folder.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the site's settings, in the units of their names.
HOLD_MAX_MS = 1000
GANG_TIMEOUT_MS = 3000
HEARTBEAT_S = 1.5
GRACE_S = 6.0
CATCH_UP_S = 4.0
CANCEL_S = 3.0
FINISH_S = 14.0
IDLE_S = 3.0
CONTACT_S = 3.0
MAX_LISTED_ENDS = 500
TICK_S = 0.004
HOST = "h.example"


def trouble() -> bool:
    """Return whether the script plays the disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't be played on this machine."""


class Process:
    """One program of the deploy file on one address."""

    def __init__(self, *, world: "World", role: str, number: int, host: str) -> None:
        self.world, self.role, self.host = world, role, host
        self.name = f"{role}-{number}"
        self.folder = world.folder / self.name
        self.folder.mkdir()
        self.is_first = True
        self.popen: subprocess.Popen[bytes] | None = None

    def address(self, offset: int) -> str:
        """Return an address of this process."""
        return f"{self.host}:{self.world.port + offset}"

    @property
    def callers(self) -> str:
        """Address for clients."""
        return self.address(2)

    @property
    def readiness(self) -> str:
        """Address of the readiness check."""
        return self.address(3)

    @property
    def control(self) -> str:
        """Address for runners and operators."""
        return self.address(1)

    def start(self) -> None:
        """Start the process, with the fields of the settings' template."""
        is_core = self.role == "core"
        folder = str(self.folder / "data") if is_core else ""
        settings = self.folder / "settings.toml"
        settings.write_text(
            f'name = "{self.name}"\nzone = "z1"\nhost = "{self.host}"\n'
            f"internal_port = {self.world.port}\nseeds = {json.dumps(self.world.seeds)}\n"
            f"is_first_formation = {str(self.is_first).lower()}\n"
            f'data_folder = "{folder}"\ndisk_mb = {128 if is_core else 0}\n[listen]\n'
            f'callers = "{"" if is_core else self.callers}"\n'
            f'readiness = "{"" if is_core else self.readiness}"\n'
            f'control = "{self.control if is_core else ""}"\n'
            f'metrics = "{self.address(4)}"\n[bounds]\n'
            f"tolerated_machines = 1\nlease_ms = {HOLD_MAX_MS}\ngrace_s = 6\n"
            "state_kept_s = 120\nremote_factor = 2\nresubmit_ms = 1300\n"
        )
        self.is_first = False
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["KUMQUATLIFT_NODE_FILE"] = str(settings)
        with (self.folder / "log.txt").open("ab") as log:
            self.popen = subprocess.Popen(
                self.world.commands[self.role], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.world.note("platform", f"starts {self.name}")

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()

    def restart(self) -> None:
        """Stop the process as planned work does, with SIGTERM, and start it again."""
        self.world.note("platform", f"stops {self.name} (SIGTERM)")
        if self.popen is not None:
            self.popen.send_signal(signal.SIGTERM)
            with suppress(subprocess.TimeoutExpired):
                self.popen.wait(GRACE_S)
        self.kill()
        self.start()

    def wipe(self) -> None:
        """Kill the process and empty its disk."""
        self.kill()
        shutil.rmtree(self.folder / "data")
        self.world.note("platform", f"{self.name} has lost its disk and is down")

    def kill_and_restart(self, after_s: float) -> None:
        """Kill the process; the platform starts it again after a delay."""
        self.world.note("platform", f"kills {self.name} (SIGKILL)")
        self.kill()
        threading.Timer(after_s, self.start).start()


class Run:
    """A run on a runner."""

    def __init__(self, *, task: str, number: int, work: dict[str, Any]) -> None:
        self.task, self.number, self.work = task, number, work
        self.started_at = time.monotonic()
        self.ends_at = float("inf")
        self.how = "done"

    @property
    def gang(self) -> tuple[str, int]:
        """Identity of the gang's run."""
        return self.task.rpartition(".")[0], self.number


class Runner:
    """A runner that follows the users' pages. All state is guarded by the world's lock."""

    def __init__(
        self,
        *,
        world: "World",
        number: int,
        cpu: int = 16_000,
        labels: tuple[str, ...] = ("a", "r1"),
    ) -> None:
        self.world, self.cpu, self.labels = world, cpu, labels
        self.name = f"i-{number:02d}"
        self.address = f"{world.network}.{30 + number}:{world.port}"
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.token = 0
        self.lease_end_ms = 0
        self.runs: dict[str, Run] = {}
        self.barred: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.last_end = 0
        self.sequence = 0
        self.is_closed = False
        # Whether it fails everything that it starts, though it says that it is healthy.
        self.fails_all = False
        self.heard_of = ""
        host, port = self.address.split(":")
        self.server = ThreadingHTTPServer((host, int(port)), self._handler())
        self.server.daemon_threads = True
        self.server.handle_error = lambda *_args: None  # type: ignore[method-assign]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def clock_ms(self) -> int:
        """Reading of its steady clock."""
        return int((time.monotonic() - self.clock_start) * 1000)

    @property
    def used(self) -> int:
        """Processor of the tasks that run."""
        return sum(run.work["cpu"] for run in self.runs.values())

    def crash(self) -> None:
        """Go down without a word; everything that runs there has ended."""
        with self.world.lock:
            self.is_closed = True
            for run in list(self.runs.values()):
                self.world.note(self.name, f"loses {run.task} run {run.number} in its crash")
                self.world.break_gang(run)
            self.runs.clear()
            self.world.changed.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def _beat(self) -> None:
        seeds = self.world.seeds
        index, named = 0, ""
        while not self.is_closed:
            self.sequence += 1
            body = {
                "service": "s",
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "requestedMemoryMb": 131072, "gpu": 0},
                "labels": list(self.labels),
                "clockMs": self.clock_ms(),
                "born": self.born,
                "sequence": self.sequence,
            }
            target = named or seeds[index % len(seeds)]
            status, answer = http(
                target, "POST", f"/api/instances/{self.name}/heartbeat", body, timeout_s=1.0
            )
            if status == 200:
                named = (answer or {}).get("heartbeatAddress", "")
                self.heard_of = named
                time.sleep(HEARTBEAT_S)
            else:
                named = ""
                index += 1
                time.sleep(0.1)

    # Orders

    def execute(self, path: str, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out an order."""
        with self.world.lock:
            if self.is_closed:
                raise ConnectionAbortedError
            if fields.get("fencingToken", 0) < self.token:
                return 409, {"reason": "fence"}
            self.token = fields.get("fencingToken", 0)
            if path == "/api/run-start":
                return self._start(fields)
            if path == "/api/run-stop":
                return self._stop(fields)
            if path == "/api/hold":
                return self._hold(fields)
            return 404, {}

    def _extend(self, until_ms: int) -> None:
        allowed = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self.lease_end_ms = max(self.lease_end_ms, allowed)

    def _start(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = fields["task"], fields["run"]
        if fields["untilMs"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(fields["untilMs"])
        if task in self.runs and self.runs[task].number == number:
            return 200, {}
        if number <= self.barred.get(task, 0):
            return 409, {"reason": "old"}
        work = json.loads(fields["spec"])[int(task.split(".")[2])]
        run = Run(task=task, number=number, work=work)
        self.runs[task] = run
        self.world.note(self.name, f"starts {task} run {number}; {self.used} of {self.cpu} in use")
        self.world.starts.append((self.world.now(), task, self.name))
        if work.get("gang"):
            self.world.join_gang(run, self)
        elif not work.get("lasts"):
            run.ends_at = run.started_at + work["ms"] / 1000
        if self.fails_all and not work.get("gang"):
            run.ends_at, run.how = run.started_at + 0.02, "failed"
        return 200, {}

    def _stop(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = fields["task"], fields["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            self.end(run, "stopped")
            self.world.break_gang(run)
        return 200, {}

    def _hold(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend(fields.get("untilMs", 0))
        acked = fields.get("ackedThrough", 0)
        for row in self.ends:
            if row[0] <= acked:
                self.world.note(
                    self.name, f"end of {row[1]} run {row[2]} ({row[3]}) is taken note of"
                )
        self.ends = [row for row in self.ends if row[0] > acked]
        wait_s = fields.get("waitMs", 0) / 1000
        if not self.ends and wait_s:
            self.world.changed.wait_for(lambda: bool(self.ends) or self.is_closed, wait_s)
        if self.is_closed:
            raise ConnectionAbortedError
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            length_s = max(0.001, run.work.get("ms", 1) / 1000)
            percent = (
                100
                if run.work.get("lasts")
                else int(min(99, 100 * (now - run.started_at) / length_s))
            )
            running.append([run.task, run.number, "", percent])
        return 200, {"running": running, "finished": self.ends[:MAX_LISTED_ENDS], "born": self.born}

    def end(self, run: Run, how: str) -> None:
        """End a run; the lock is held."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.world.record_end(run, self, how)
        self.world.changed.notify_all()

    def tick(self, now: float) -> None:
        """End what is due; the lock is held."""
        if self.is_closed:
            return
        has_lapsed = self.lease_end_ms < self.clock_ms()
        for run in list(self.runs.values()):
            if has_lapsed:
                self.end(run, "lapsed")
                self.world.break_gang(run)
            elif run.ends_at <= now:
                self.end(run, run.how)
                if run.how == "failed":
                    self.world.break_gang(run)

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        runner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                fields = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if runner.is_closed:
                    raise ConnectionAbortedError
                if self.headers.get("Expected-Instance") != runner.name:
                    status, answer = 421, {}
                else:
                    status, answer = runner.execute(self.path, fields)
                data = json.dumps({"clockMs": runner.clock_ms(), **answer}).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                self.wfile.write(head.encode() + data)

            def log_message(self, *_args: Any) -> None:
                return

        return Handler


class World:
    """The processes, the runners, and the record of what they and the clients have seen."""

    def __init__(self, *, record: Path, frontends: int = 2, cores: int = 3) -> None:
        self.record = record
        record.write_text("")
        self.started_at = time.monotonic()
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self._record_lock = threading.Lock()
        self.runners: list[Runner] = []
        # Members and number of members of each gang's run.
        self.gangs: dict[tuple[str, int], dict[str, tuple[Run, Runner]]] = {}
        # Time, task and runner of each start; time, task, run, way and runner of each end.
        self.starts: list[tuple[float, str, str]] = []
        self.ended: list[tuple[float, str, int, str, str]] = []
        self.is_closed = False
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: deploy["roles"][role]["run"].split() for role in ("core", "frontend")
        }
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build line of deploy/system.toml")
        self.network, self.port = _free_network(cores + frontends)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        hosts = [f"{self.network}.{number + 1}" for number in range(cores + frontends)]
        self.seeds = [f"{host}:{self.port + 1}" for host in hosts[: min(3, cores)]]
        self.cores = [
            Process(world=self, role="core", number=number, host=hosts[number])
            for number in range(cores)
        ]
        self.frontends = [
            Process(world=self, role="frontend", number=number, host=hosts[cores + number])
            for number in range(frontends)
        ]
        threading.Thread(target=self._tick, daemon=True).start()

    # Record

    def now(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self.started_at

    def note(self, who: str, what: str) -> None:
        """Write a line of the record."""
        line = f"{self.now():9.3f} {who}: {what}\n"
        with self._record_lock, self.record.open("a") as file:
            file.write(line)

    def record_end(self, run: Run, runner: Runner, how: str) -> None:
        """Record the end of a run."""
        self.note(runner.name, f"ends {run.task} run {run.number}: {how}")
        self.ended.append((self.now(), run.task, run.number, how, runner.name))

    def ends_of(self, job: str, how: str) -> int:
        """Return how many runs of a job have ended in a way."""
        return sum(1 for _, task, _, each, _ in self.ended if task.startswith(job) and each == how)

    # Gangs

    def join_gang(self, run: Run, runner: Runner) -> None:
        """Add a member; the work begins when all members are present."""
        members = self.gangs.setdefault(run.gang, {})
        members[run.task] = (run, runner)
        if len(members) < run.work["gang"]:
            return
        now = time.monotonic()
        self.note("platform", f"gang {run.gang[0]} run {run.number} is complete and at work")
        failing = next((pair for pair in members.values() if pair[1].fails_all), None)
        for member, _ in members.values():
            member.ends_at = now + run.work["ms"] / 1000
        if failing is not None:
            failing[0].ends_at, failing[0].how = now + 0.05, "failed"

    def break_gang(self, run: Run) -> None:
        """End the other members of a gang after one of them has ended otherwise than ``done``."""
        if not run.work.get("gang"):
            return
        for member, runner in self.gangs.get(run.gang, {}).values():
            if member is not run:
                runner.end(member, "broken")

    def _tick(self) -> None:
        while not self.is_closed:
            time.sleep(TICK_S)
            now = time.monotonic()
            with self.lock:
                for members in self.gangs.values():
                    pairs = list(members.values())
                    first_at = min(member.started_at for member, _ in pairs)
                    is_waiting = len(pairs) < pairs[0][0].work["gang"]
                    if is_waiting and now - first_at > GANG_TIMEOUT_MS / 1000:
                        for member, runner in pairs:
                            runner.end(member, "alone")
                for runner in self.runners:
                    runner.tick(now)

    # Start and end

    def start(self, config: dict[str, Any], runners: int, **options: Any) -> None:
        """Start all programs and runners, and put a configuration in force."""
        for process in (*self.cores, *self.frontends):
            process.start()
        for number in range(runners):
            self.add_runner(number, **options)
        self.replace_config(config)
        for frontend in self.frontends:
            self.wait(lambda f=frontend: http(f.readiness, "GET", "/api/readyz")[0] == 200, 20.0)
        time.sleep(2.0)

    def add_runner(self, number: int, **options: Any) -> Runner:
        """Start a runner."""
        runner = Runner(world=self, number=number, **options)
        with self.lock:
            self.runners.append(runner)
        return runner

    def replace_config(self, config: dict[str, Any]) -> None:
        """Send a configuration to the nodes in turn until one acknowledges it."""
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            for core in self.cores:
                status, _ = http(core.control, "POST", "/api/config/replace", config)
                if status == 200:
                    self.note("operator", f"version {config['version']} is acknowledged")
                    return
            time.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    def wait(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun("the system was not ready in time")
            time.sleep(0.01)

    def leader(self) -> Process:
        """Return the core that the runners' heartbeats are sent to, which gives the orders."""
        named = [runner.heard_of for runner in self.runners if runner.heard_of]
        for core in self.cores:
            if named and core.control == max(set(named), key=named.count):
                return core
        raise CannotRun("no answer to a heartbeat names a core")

    def close(self) -> None:
        """End everything that was started."""
        self.is_closed = True
        for runner in self.runners:
            if not runner.is_closed:
                with self.lock:
                    runner.is_closed = True
                    self.changed.notify_all()
                runner.server.shutdown()
                runner.server.server_close()
        for process in (*self.cores, *self.frontends):
            process.kill()
        if os.environ.get("KEEP"):
            os.system(f"cp -r {self.folder} {os.environ['KEEP']}")
        with suppress(OSError):
            self._temporary.cleanup()

    # Clients

    def submit(
        self, path: str, steps: list[dict[str, Any]], work: list[dict[str, Any]], frontend: int = 0
    ) -> int:
        """Hand a job in, which is to be kept; return the status."""
        body = {"spec": json.dumps(work), "steps": steps}
        at = self.frontends[frontend % len(self.frontends)].callers
        status, answer = http(at, "POST", path, body, headers={"Deadline-Ms": "1500"})
        self.note("client", f"POST {path} -> {status} {json.dumps(answer)[:90]}")
        return status

    def state(self, path: str) -> str:
        """Ask for a job's state; the answer's status if there is no state."""
        status, answer = 0, None
        for frontend in self.frontends:
            status, answer = http(frontend.callers, "GET", path)
            if status in (200, 410):
                break
        state = str(answer["state"]) if status == 200 and isinstance(answer, dict) else str(status)
        self.note("client", f"GET {path} -> {state}")
        return state

    # Checks

    def has_running(self, job: str) -> bool:
        """Return whether a task of a job runs."""
        with self.lock:
            return any(
                task.startswith(job + ".")
                for runner in self.runners
                if not runner.is_closed
                for task in runner.runs
            )

    def room(self, cpu: int, label: str = "") -> int:
        """Return how many tasks of a size the runners that are up have room for."""
        with self.lock:
            return sum(
                (runner.cpu - runner.used) // cpu
                for runner in self.runners
                if not runner.is_closed and (not label or label in runner.labels)
            )

    def share_in_use(self) -> float:
        """Return the share of the capacity that is in use."""
        with self.lock:
            up = [runner for runner in self.runners if not runner.is_closed]
            return sum(runner.used for runner in up) / max(1, sum(runner.cpu for runner in up))

    def is_lost(self, job: str, path: str, *, tasks: int, cpu: int) -> bool:
        """Apply the rule LOST ``finish_s`` after the end of the traffic.

        For 3 s nothing of an unfinished job runs although a task's turn has come, there is capacity
        for its tasks twice over, and under half of the capacity is in use.
        """
        deadline = time.monotonic() + IDLE_S
        if self.state(path) not in ("queued", "running"):
            return False
        while time.monotonic() < deadline:
            room, share = self.room(cpu), self.share_in_use()
            if self.has_running(job) or room < 2 * tasks or share >= 0.5:
                return False
            time.sleep(0.02)
        is_open = self.state(path) in ("queued", "running")
        if is_open:
            self.note(
                "check",
                f"LOST: nothing of {job} ran for {IDLE_S} s; room for {self.room(cpu)} of its tasks, "
                f"{self.share_in_use():.0%} of the capacity in use",
            )
        return is_open


class KeptConnection:
    """A client's connection that is kept open; it costs this process less than ``http``."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self._sock = socket.create_connection((host, int(port)), timeout=3.0)

    def call(self, method: str, path: str, body: bytes = b"") -> int:
        """Send a request and return the status.

        Raises:
            OSError: No complete answer came.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
            f"Deadline-Ms: 1500\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._sock.sendall(head.encode() + body)
        data = b""
        while True:
            part = self._sock.recv(65536)
            if not part:
                raise ConnectionResetError
            data += part
            top, end, rest = data.partition(b"\r\n\r\n")
            if not end:
                continue
            lower = top.lower()
            length = int(lower.partition(b"content-length:")[2].split(b"\r\n")[0])
            if len(rest) >= length:
                if b"connection: close" in lower:
                    self.close()
                return int(top.split(b" ")[1])

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def http(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    host: str = HOST,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, Any]:
    """Send a request on a new connection; status 0 means that no complete answer came."""
    conn = HTTPConnection(address, timeout=timeout_s)
    data = None if body is None else json.dumps(body)
    try:
        conn.request(
            method,
            path,
            data,
            {"Host": host, "Content-Type": "application/json", **(headers or {})},
        )
        res = conn.getresponse()
        text = res.read()
        return res.status, json.loads(text) if text else None
    except (OSError, HTTPException, ValueError):
        return 0, None
    finally:
        conn.close()


def route(name: str, prefix: str, attempts: int = 4) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": "s",
        "maxAttempts": attempts,
        "slackFactor": 1.6,
    }


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "s",
                "healthPath": "/healthz",
                "maxConnections": 64,
                "protocol": "h1",
                "tlsEnabled": False,
                "rejectsOverload": False,
                "standby": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def _free_network(hosts: int) -> tuple[str, int]:
    """Return the first three numbers of loopback addresses, and a port that is free on them."""
    for attempt in range(50):
        number = os.getpid() * 7 + attempt * 131
        network = f"127.{40 + number % 200}.{1 + number // 200 % 250}"
        port = 21000 + number % 9000
        try:
            for host in range(1, hosts + 40):
                for offset in range(5):
                    with socket.socket() as sock:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((f"{network}.{host}", port + offset))
        except OSError:
            continue
        return network, port
    raise CannotRun("no free loopback addresses")


def play(case: Callable[[World], bool], record: Path, **options: Any) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't be played.

    Args:
        case: Plays the case, and returns whether the rule was broken.
        record: File for the record.
        options: Options of the world.
    """
    world: World | None = None
    code = NOT_RUN
    try:
        world = World(record=record, **options)
        code = BROKEN if case(world) else HELD
    except CannotRun as exc:
        print(f"cannot run: {exc}", file=sys.stderr)
    finally:
        if world is not None:
            text = {BROKEN: "the rule was broken", HELD: "the rule held"}.get(code, "not played")
            world.note("check", text)
            world.close()
    sys.stdout.flush()
    os._exit(code)
