"""Stand-ins for the review's scripts: servers, clients and the platform, on loopback addresses.

The servers follow PROTOCOL.md: leases on their own clock, fencing tokens, run numbers, numbered
ends (500 at a time) that are forgotten up to ``ackedThrough``, and 421 for another incarnation.
"""

import asyncio
import contextlib
import heapq
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the deployment, as DEPLOY.md shows them for a small one.
BOUNDS = {
    "holdMaxMs": 1000,
    "graceS": 6,
    "status_s": 120,
    "remotePenalty": 2,
    "resendMs": 1300,
    "gangTimeoutMs": 3000,
}
# Time in which the members of a gang learn that one of them has ended: a few network delays.
GANG_NOTICE_S = 0.001
# Delay of an order that is carried out late; 2 to 12 s are allowed.
LATE_S = 2.0
HEARTBEAT_S = 1.5
MAX_LISTED_ENDS = 500
STARTED_AT = time.monotonic()


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self("setup", f"trouble={int(TROUBLE)}")

    def __call__(self, kind, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - STARTED_AT:8.3f} {kind:<9} {text}\n")
            self._file.flush()


# Servers


class Server:
    """A server (runner) of a service; all methods run in the event loop of ``Servers``."""

    def __init__(self, owner, server_id, address, *, cpu, mem_mb, labels, service, zone):
        self.owner = owner
        self.id = server_id
        self.address = address
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.labels = labels
        self.service = service
        self.zone = zone
        self.is_up = False
        # Cut off from all machines: nothing that arrives is handled, and nothing is sent.
        self.is_cut = False
        self.listener = None
        self.writers = set()

    async def start(self):
        """Start a new incarnation, which knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.token = 0
        self.lease_end = 0.0
        self.lapsed_until = time.monotonic()
        self.runs = {}
        self.barred = {}
        self.ends = []
        self.next_end = 1
        self.due = []
        self.sequence = 0
        self.beat_to = None
        self.changed = asyncio.Event()
        self.is_up = True
        host, port = self.address.split(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port), backlog=1000)
        self.tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._tick()),
        ]
        self.owner.record("server", f"{self.id} starts, labels {','.join(self.labels)}")

    async def crash(self):
        """End without a word; everything that runs ends as well."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        now = time.monotonic()
        for name, (run, *_) in self.runs.items():
            self.owner.ended(now, self.id, name, run, "crashed")
        self.runs = {}
        self.owner.record("server", f"{self.id} crashes")

    def clock_ms(self):
        """Return the reading of its clock, in milliseconds."""
        return int((time.monotonic() - self.clock_start) * 1000)

    def used(self):
        """Return the processor that its runs occupy."""
        return sum(self.owner.size_of(name) for name in self.runs)

    # Runs

    def _note_lapse(self, now):
        if self.lease_end < now:
            self.lapsed_until = now

    def _extend(self, until_ms, now):
        self._note_lapse(now)
        until = self.clock_start + until_ms / 1000
        self.lease_end = max(self.lease_end, min(until, now + BOUNDS["holdMaxMs"] / 1000))

    def _end(self, name, run, how, now):
        del self.runs[name]
        self.barred[name] = max(run, self.barred.get(name, 0))
        self.ends.append((self.next_end, name, run, how, now))
        self.next_end += 1
        self.owner.ended(now, self.id, name, run, how)
        self.owner.leave_gang(name, run, how, now)
        self.changed.set()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.003)
            now = time.monotonic()
            if self.lease_end < now:
                self.lapsed_until = now
                for name, (run, *_) in list(self.runs.items()):
                    self._end(name, run, "lapsed", now)
            while self.due and self.due[0][0] <= now:
                _, name, run, how = heapq.heappop(self.due)
                if name in self.runs and self.runs[name][0] == run:
                    self._end(name, run, how, now)

    def _start(self, fields, now):
        name, run = fields["task"], fields["run"]
        if fields["untilMs"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(fields["untilMs"], now)
        if name in self.runs and self.runs[name][0] == run:
            return 200, {}
        if run <= self.barred.get(name, 0) or (name in self.runs and run < self.runs[name][0]):
            return 409, {"reason": "old"}
        work_ms, how = self.owner.work(name, run, fields["spec"], self)
        self.runs[name] = (run, now, max(0.001, work_ms / 1000))
        self.owner.started(now, self.id, name, run, fields["spec"])
        members = self.owner.gang_size(name, fields["spec"])
        if members:
            self.owner.join_gang(self, name, run, work_ms, how, members, now)
        else:
            heapq.heappush(self.due, (now + work_ms / 1000, name, run, how))
        return 200, {}

    def _stop(self, fields, now):
        name, run = fields["task"], fields["run"]
        self.barred[name] = max(run, self.barred.get(name, 0))
        if name in self.runs and self.runs[name][0] <= run:
            self._end(name, self.runs[name][0], "stopped", now)
        return 200, {}

    async def _hold(self, fields, now):
        self._note_lapse(now)
        acked = fields.get("ackedThrough", 0)
        for number, name, run, how, at in self.ends:
            if number <= acked and self.lapsed_until < at:
                self.owner.noted(now, self.id, name, run, how, at)
        self.ends = [row for row in self.ends if row[0] > acked]
        if "untilMs" in fields:
            self._extend(fields["untilMs"], now)
        wait_s = fields.get("waitMs", 0) / 1000
        if wait_s and not self.ends:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        if self.owner.logs_holds:
            self.owner.record(
                "hold",
                f"{self.id} ackedThrough {acked}: {len(self.runs)} running, "
                f"{len(self.ends)} ends, {min(len(self.ends), MAX_LISTED_ENDS)} listed",
            )
        now = time.monotonic()
        running = [
            [name, run, "", min(99, int(100 * (now - since) / length))]
            for name, (run, since, length) in self.runs.items()
        ]
        finished = [[*row[:4], ""] for row in self.ends[:MAX_LISTED_ENDS]]
        return 200, {"running": running, "finished": finished}

    # HTTP

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines[1:]:
                    key, _, value = line.partition(":")
                    headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self._answer(lines[0].split()[1], headers, body)
                data = json.dumps(
                    {"clockMs": self.clock_ms(), "born": self.born, **answer}
                ).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        fields = json.loads(body)
        if self.owner.is_late(self, path, fields):
            # It is carried out later, by the process that then runs under this id.
            asyncio.get_running_loop().call_later(LATE_S, self.owner.carry_out, self, path, fields)
            await asyncio.sleep(60)
        while self.is_cut:
            await asyncio.sleep(0.005)
        return await self.execute(path, fields)

    async def execute(self, path, fields):
        """Carry out an order and return status and answer."""
        now = time.monotonic()
        if fields.get("fencingToken", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = fields.get("fencingToken", 0)
        if path == "/api/run-start":
            return self._start(fields, now)
        if path == "/api/run-stop":
            return self._stop(fields, now)
        if path == "/api/hold":
            return await self._hold(fields, now)
        return 404, {}

    async def _beat(self):
        index = random.randrange(len(self.owner.controls))
        while True:
            while self.is_cut:
                await asyncio.sleep(0.05)
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.owner.announced(self),
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "requestedMemoryMb": self.mem_mb, "gpu": 0},
                "labels": list(self.labels),
                "clockMs": self.clock_ms(),
                "born": self.born,
                "sequence": self.sequence,
            }
            target = self.beat_to or self.owner.controls[index % len(self.owner.controls)]
            path = f"/api/instances/{self.id}/heartbeat"
            try:
                status, answer = await asyncio.wait_for(request(target, path, body), 1.0)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                status, answer = 0, {}
            if status == 200:
                self.beat_to = answer.get("heartbeatAddress") or target
                self.owner.leader_control = answer.get("heartbeatAddress", "")
                await asyncio.sleep(HEARTBEAT_S)
            else:
                self.beat_to = None
                index += 1
                await asyncio.sleep(0.1)


async def request(address, path, body):
    """Send one POST on a new connection and return status and JSON body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = json.dumps(body).encode()
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        )
        answer = await reader.read(-1)
        head, _, rest = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(rest or b"{}")
    finally:
        writer.close()


class Servers:
    """All servers, in the event loop of one thread, and what they have seen."""

    def __init__(self, record, controls, work, size_of):
        self.record = record
        self.controls = controls
        self.work = work
        self.size_of = size_of
        self.leader_control = ""
        self.logs_holds = False
        self.logs_runs = True
        self.events = []
        self.gangs = {}
        self.names_started = set()
        self.by_id = {}
        self.proxies = {}
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    # Gangs: the members of one run work from the moment when all are present, and end together.

    def gang_size(self, name, spec):
        """Return the number of members of a task's gang; 0 for a task that is in none."""
        return 0

    def join_gang(self, server, name, run, work_ms, how, members, now):
        """Add a member to the run of its gang; the work begins when all are present."""
        key = (name.rpartition(".")[0], run)
        gang = self.gangs.setdefault(key, {})
        gang[name] = (server, work_ms, how)
        if len(gang) < members:
            at = now + BOUNDS["gangTimeoutMs"] / 1000
            heapq.heappush(server.due, (at, name, run, "alone"))
            return
        for member, (place, _, _) in gang.items():
            place.due = [row for row in place.due if row[1:3] != (member, run)]
            heapq.heapify(place.due)
        # A member that fails does so on its own; the others learn of it in ``leave_gang``.
        failing = [row for row in gang.items() if row[1][2] == "failed"]
        length = max(each for _, each, _ in gang.values())
        for member, (place, ms, end) in failing or gang.items():
            at = now + (ms if failing else length) / 1000
            heapq.heappush(place.due, (at, member, run, end))

    def leave_gang(self, name, run, how, now):
        """End the other members of a gang when one has ended otherwise than done."""
        gang = self.gangs.get((name.rpartition(".")[0], run), {})
        if gang.pop(name, None) is None or how == "done":
            return
        for member, (server, _, _) in list(gang.items()):
            at = now + GANG_NOTICE_S
            heapq.heappush(server.due, (at, member, run, "broken"))

    def run(self, coroutine):
        """Run a coroutine in the loop of the servers and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(20)

    def add(self, server_id, address, *, cpu=16000, mem_mb=32768, labels=("a", "r1"), **more):
        """Start a server."""
        options = {"service": "work", "zone": "z1", **more}
        server = Server(self, server_id, address, cpu=cpu, mem_mb=mem_mb, labels=labels, **options)
        self.by_id[server_id] = server
        self.run(server.start())
        return server

    def is_late(self, _server, _path, _fields):
        """Return whether an order gets no answer and is carried out later."""
        return False

    def carry_out(self, server, path, fields):
        """Carry out a late order."""
        self.record("late", f"{fields['task']} run {fields['run']} reaches {server.id} now")
        asyncio.run_coroutine_threadsafe(server.execute(path, fields), self.loop)

    def announced(self, server):
        """Return the address that a server announces."""
        return self.proxies.get(server.id, server.address)

    def was_started(self, name):
        """Return whether a task has been started before."""
        return name in self.names_started

    def started(self, at, server, name, run, spec):
        """Record the start of a run."""
        self.names_started.add(name)
        self.events.append((at, "start", server, name, run))
        if self.logs_runs:
            self.record("start", f"{name} run {run} on {server}")

    def ended(self, at, server, name, run, how):
        """Record the end of a run."""
        self.events.append((at, how, server, name, run))
        if self.logs_runs:
            self.record("end", f"{name} run {run} on {server}: {how}")

    def noted(self, at, server, name, run, how, ended_at):
        """Record that an end was taken note of."""
        self.events.append((at, f"noted {how}", server, name, run, ended_at))

    def snapshot(self):
        """Return all events so far, in the order of their times."""
        return sorted(self.events, key=lambda event: event[0])

    def starts_of(self, prefix):
        """Return the starts of the tasks whose names begin with a prefix."""
        return [
            event
            for event in self.snapshot()
            if event[1] == "start" and event[3].startswith(prefix)
        ]

    def is_running(self, prefix):
        """Return whether a task runs whose name begins with a prefix."""
        return any(name.startswith(prefix) for each in self.by_id.values() for name in each.runs)

    def used_share(self):
        """Return the share of the capacity of the live servers that is in use."""
        live = [each for each in self.by_id.values() if each.is_up]
        return sum(each.used() for each in live) / max(1, sum(each.cpu for each in live))


def runs_at_the_same_time(events):
    """Return the tasks that ran twice at a time, on servers that were up."""
    running, found = {}, []
    for event in events:
        _at, kind, server, name, run = event[:5]
        if kind == "start":
            if running.get(name):
                found.append((name, sorted(running[name]), (server, run)))
            running.setdefault(name, set()).add((server, run))
        elif not kind.startswith("noted"):
            running.get(name, set()).discard((server, run))
    return found


def starts_after_a_noted_end(events):
    """Return the starts of tasks after an end ``done`` that was taken note of then or later."""
    done = {}
    for event in events:
        if event[1] == "noted done":
            done[event[3]] = min(event[5], done.get(event[3], event[5]))
    return [
        (event[3], event[4], event[2], event[0] - done[event[3]])
        for event in events
        if event[1] == "start" and event[3] in done and event[0] > done[event[3]]
    ]


# The project's programs


def render(template, values):
    """Fill in a template as DEPLOY.md has it, as far as deploy/settings.toml needs it."""

    def look_up(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def section(match):
        value = look_up(match[1])
        return match[2] if value not in (None, False, "", [], {}) else ""

    def text(match):
        name, _, form = match[1].partition("|")
        value = values if name == "." else look_up(name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.|]+)\}\}", text, template)


class Program:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, system, name, role, ip, zone):
        self.system = system
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.folder = system.folder / name
        self.folder.mkdir()

    @property
    def control(self):
        """Address for servers and the operator."""
        return f"{self.ip}:{self.system.port}"

    @property
    def callers(self):
        """Address for clients."""
        return f"{self.ip}:{self.system.port + 1}"

    @property
    def readiness(self):
        """Address for readiness checks."""
        return f"{self.ip}:{self.system.port + 2}"

    def start(self, *, is_first=False):
        """Start it."""
        system, is_core = self.system, self.role == "core"
        values = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "internalPortRange": [system.port + 3, system.port + 18],
            "seedNodes": system.controls,
            "bootstrap": is_first,
            "dataDir": str(self.folder / "data") if is_core else None,
            "limits": {"diskMb": 128 if is_core else 0},
            "bindAddresses": {
                "frontend": None if is_core else self.callers,
                "readiness": None if is_core else self.readiness,
                "controlPlane": self.control if is_core else None,
            },
            "faultTolerance": {"machines": 1},
            "bounds": BOUNDS,
        }
        settings = self.folder / "settings"
        template = (ROOT / system.deploy["roles"][self.role]["template"]).read_text()
        settings.write_text(render(template, values))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["KUMQUATLIFT_NODE_FILE"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(
            system.deploy["roles"][self.role]["run"].split(),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        system.record("process", f"{self.name} starts")

    def signal(self, number):
        """Send a signal to the process."""
        self.system.record("process", f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def log(self):
        """Return what the process has written."""
        return (self.folder / "log").read_text(errors="replace")


class System:
    """Three cores and two frontends of the project, with their platform and operator."""

    def __init__(self, folder, *, frontends=2, work, size_of):
        import tomllib

        self.record = Record(folder)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temp.name)
        self.network, self.port = self._find_network()
        self.zones = ["z1", "z2", "z3"]
        self.cores, self.frontends = [], []
        ips = [f"{self.network}.{number + 1}" for number in range(3)]
        self.controls = [f"{ip}:{self.port}" for ip in ips]
        for number, ip in enumerate(ips):
            self.cores.append(Program(self, f"core-{number}", "core", ip, self.zones[number]))
        for number in range(frontends):
            ip = f"{self.network}.{number + 11}"
            name = f"frontend-{number}"
            self.frontends.append(Program(self, name, "frontend", ip, self.zones[number % 3]))
        self.servers = Servers(self.record, self.controls, work, size_of)
        self.version = 0

    @staticmethod
    def _find_network():
        """Return a loopback network and a port that nobody uses on it."""
        for _ in range(50):
            network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            port = random.randrange(20000, 30000)
            try:
                for host in (1, 2, 3, 11, 12, 101):
                    for offset in range(4):
                        with socket.socket() as probe:
                            probe.bind((f"{network}.{host}", port + offset))
                return network, port
            except OSError:
                continue
        raise CannotRunError("no free loopback network")

    def server_address(self, number):
        """Return the address of a server."""
        return f"{self.network}.{100 + number}:{self.port}"

    def start(self):
        """Start it."""
        for program in (*self.cores, *self.frontends):
            program.start(is_first=True)

    def close(self):
        """End all processes that were started."""
        for program in (*self.cores, *self.frontends):
            program.kill()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            subprocess.run(["cp", "-r", str(self.folder), keep], check=False)
        self._temp.cleanup()

    # The operator

    def configure(self, routes, services=("work",), timeout_s=20):
        """Put a configuration in force; send it again until a core acknowledges it."""
        self.version += 1
        body = {
            "version": self.version,
            "routes": routes,
            "services": [service(name) for name in services],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        deadline = time.monotonic() + timeout_s
        index = 0
        while time.monotonic() < deadline:
            target = self.controls[index % 3]
            status, _ = http_call(target, "POST", "/api/config/replace", body, timeout_s=1)
            if status == 200:
                names = ",".join(row["name"] for row in routes)[:40]
                self.record(
                    "operator", f"version {self.version} ({names}) acknowledged by {target}"
                )
                return
            index += 1
            time.sleep(0.1)
        raise CannotRunError("no configuration was acknowledged")

    def wait_ready(self, timeout_s=20):
        """Wait until all frontends report that they are ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            ready = [
                http_call(each.readiness, "GET", "/api/readyz", timeout_s=1)[0] == 200
                for each in self.frontends
            ]
            if all(ready):
                return
            time.sleep(0.1)
        raise CannotRunError("the frontends are not ready")

    def leader(self, timeout_s=10):
        """Return the core that the servers are told to send heartbeats to."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for core in self.cores:
                if core.control == self.servers.leader_control:
                    return core
            time.sleep(0.05)
        raise CannotRunError("no leader is known")

    # Clients

    def call(self, method, host, path, body=None, *, frontend=0, timeout_s=12, note=""):
        """Send a client's request and return status and body."""
        target = self.frontends[frontend].callers
        status, answer = http_call(target, method, path, body, host=host, timeout_s=timeout_s)
        self.record("client", f"{method} {path}{note} at frontend-{frontend}: {status} {answer}")
        return status, answer

    def state(self, host, path, *, timeout_s=12):
        """Ask for the state of a job at each frontend in turn until one knows it."""
        for number in range(len(self.frontends)):
            status, answer = self.call("GET", host, path, frontend=number, timeout_s=timeout_s)
            if status == 200:
                return answer.get("state")
            if status == 410:
                return "410"
        return None


def route(name, host, prefix, service_name="work", **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": service_name,
        "maxAttempts": 4,
        "slackFactor": 1.6,
        **more,
    }


def service(name):
    """Return a service of the configuration."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tlsEnabled": False,
        "rejectsOverload": False,
        "standby": False,
    }


def http_call(address, method, path, body=None, *, host="", timeout_s=12):
    """Send one request on a new connection; the status is 0 without an answer."""
    name, port = address.split(":")
    conn = http.client.HTTPConnection(name, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        if host:
            headers["Host"] = host
        conn.request(method, path, data, headers)
        response = conn.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text or b"{}")
        except ValueError:
            return response.status, {}
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        conn.close()


def job_id():
    """Return a new identity of a job."""
    return f"{random.getrandbits(64):016x}"


def play(case, system):
    """Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    code = 2
    try:
        broken = case(system)
        for line in broken:
            system.record("BROKEN", line)
            print(line)
        code = 1 if broken else 0
    except CannotRunError as exc:
        system.record("setup", f"could not run: {exc}")
        print(f"could not run: {exc}")
    except Exception as exc:
        system.record("setup", f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
    finally:
        system.close()
        system.record("result", str(code))
    sys.stdout.flush()
    os._exit(code)
