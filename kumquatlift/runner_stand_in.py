"""A runner for tests, demos and load runs: it serves ``POST /run`` and spends time by sleeping."""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from enum import Enum
from typing import Any, NamedTuple

import waitress
from waitress.channel import ClientDisconnected

from kumquatlift.announcer import Announcer
from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.identity import new_incarnation
from kumquatlift.wsgi import ApiRequest, ApiResponse

MAX_RECORDED_STARTS = 1_000_000
# Grants made before an owner knew that the runner leaves are used within 1 s and arrive by then.
LEAVING_GRACE_S = 2.0
# Threads beyond one per connection, so that /starts and /mode answer while every slot is busy.
_SPARE_THREADS = 4
_POLL_S = 0.02


class Fault(Enum):
    """How the stand-in treats every request while the fault is set."""

    NONE = "none"
    FAIL = "fail"
    """Start each task and fail it at once."""
    REFUSE = "refuse"
    """Answer 503 before the start."""
    CLOSE = "close"
    """Run the tasks, then close the connection without an answer."""
    TRUNCATE = "truncate"
    """Run the tasks, then close the connection in the middle of the body."""


class Mode(NamedTuple):
    """How fast and how well the stand-in works.

    Args:
        speed: Run times are divided by this factor.
        delay_ms: Time from the arrival of a request to its start; it takes no slot yet.
        stall_ms: Time for which a started request holds its slot before it runs.
        late_ms: Time from the end of the run to the answer; the slot is free by then.
        fault: What goes wrong with every request.
    """

    speed: float = 1.0
    delay_ms: int = 0
    stall_ms: int = 0
    late_ms: int = 0
    fault: Fault = Fault.NONE

    def changed(self, fields: dict[str, Any]) -> "Mode | Failure":
        """Return the mode with some fields replaced, or a ``MALFORMED`` failure."""
        unknown = sorted(set(fields) - set(self._fields))
        if unknown:
            return Failure(ResultCode.MALFORMED, f"unknown field of the mode: {unknown[0]}")
        try:
            mode = self._replace(**fields)
            mode = mode._replace(fault=Fault(mode.fault), speed=float(mode.speed))
            if mode.speed <= 0 or min(mode.delay_ms, mode.stall_ms, mode.late_ms) < 0:
                raise ValueError("the speed must be above 0, and no time below 0")
        except (TypeError, ValueError) as exc:
            return Failure(ResultCode.MALFORMED, str(exc))
        return mode

    def to_json(self) -> dict[str, Any]:
        """Return the mode as ``POST /mode`` takes it."""
        return {**self._asdict(), "fault": self.fault.value}


class RunnerIdentity(NamedTuple):
    """What a runner says of itself in its announcements."""

    runner: str
    service: str
    zone: str
    worker: str
    slots: int = 8
    connections: int = 64


class Start(NamedTuple):
    """One start of a task; ``at_s`` counts from the start of the runner."""

    job: str
    task: str
    attempt: Any
    at_s: float


class StartRecord:
    """Every start and the highest use of slots and connections; safe for several threads.

    Args:
        slots: Requests that may run at a time.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._lock = threading.Lock()
        self._born = time.monotonic()
        self._starts: list[Start] = []
        self._counts = {"requests": 0, "refused": 0, "completed": 0, "failed": 0, "unrecorded": 0}
        self._busy = 0
        self._peak_slots = 0
        self._peak_connections = 0
        self._leaving_s: float | None = None
        self._after_leaving = 0

    @property
    def busy(self) -> int:
        """Slots in use."""
        return self._busy

    def request(self, connections: int) -> None:
        """Count a request and the connections open when it arrived."""
        with self._lock:
            self._counts["requests"] += 1
            self._peak_connections = max(self._peak_connections, connections)
            left = self._leaving_s
            self._after_leaving += left is not None and self._age() - left > LEAVING_GRACE_S

    def leave(self) -> None:
        """Note that the runner is leaving from now on."""
        with self._lock:
            self._leaving_s = self._age()

    def take_slot(self) -> bool:
        """Occupy a slot; False when all are in use."""
        with self._lock:
            if self._busy >= self._slots:
                return False
            self._busy += 1
            self._peak_slots = max(self._peak_slots, self._busy)
            return True

    def free_slot(self) -> None:
        """Give a slot back."""
        with self._lock:
            self._busy -= 1

    def start(self, job: str, task: str, attempt: Any) -> None:
        """Record the start of a task."""
        with self._lock:
            if len(self._starts) >= MAX_RECORDED_STARTS:
                self._counts["unrecorded"] += 1
                return
            self._starts.append(Start(job, task, attempt, round(self._age(), 3)))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to one of the counters."""
        with self._lock:
            self._counts[name] += amount

    def to_json(self) -> dict[str, Any]:
        """Return what ``GET /starts`` answers."""
        with self._lock:
            return {
                **self._counts,
                "busy": self._busy,
                "peak_slots": self._peak_slots,
                "peak_connections": self._peak_connections,
                "leaving_at_s": self._leaving_s,
                "requests_after_leaving": self._after_leaving,
                "starts": [start._asdict() for start in self._starts],
            }

    def _age(self) -> float:
        return time.monotonic() - self._born


class RunnerStandIn:
    """One runner: an HTTP server, its record and its announcements.

    Args:
        identity: What the runner announces.
        host: IP number to listen on.
        port: Port to listen on; 0 for a free one.
        entries: Addresses of entry processes for announcements, each "ip:port".
        mode: How it works at first.
    """

    def __init__(
        self,
        *,
        identity: RunnerIdentity,
        host: str,
        port: int,
        entries: tuple[str, ...],
        mode: Mode | None = None,
    ) -> None:
        self.record = StartRecord(slots=identity.slots)
        self.mode = mode or Mode()
        self._identity = identity
        self._leaving_since: float | None = None
        self._run_connections: set[tuple[str, str]] = set()
        self._server: Any = waitress.create_server(
            self._app,
            host=host,
            port=port,
            threads=identity.connections + _SPARE_THREADS,
            connection_limit=identity.connections + 100,
            asyncore_use_poll=True,
            ident=None,
        )
        self.address = f"{host}:{self._server.effective_port}"
        self._incarnation = new_incarnation()
        self._announcer = Announcer(entries=entries, announcement=self._announcement)
        self._executor = ThreadPoolExecutor(max_workers=2, thread_name_prefix="runner")

    def start(self) -> None:
        """Serve and announce in the background."""
        self._executor.submit(self._server.run)
        self._executor.submit(self._announcer.run)

    def leave(self) -> None:
        """Announce that the runner leaves; work that is granted already is still taken."""
        if self._leaving_since is None:
            self._leaving_since = time.monotonic()
            self.record.leave()
            self._announcer.announce_now()

    @property
    def is_finished(self) -> bool:
        """Whether the runner is leaving, runs nothing and can get nothing more."""
        return self._is_past_grace() and not self.record.busy and not self._has_unsent_answers()

    def wait_until_finished(self, should_stop: Callable[[], bool]) -> None:
        """Block until ``should_stop`` asks the runner to leave and it has finished its work."""
        while not self.is_finished:
            if should_stop():
                self.leave()
            time.sleep(_POLL_S)

    def close(self) -> None:
        """Close the server with its connections and stop announcing."""
        self._announcer.stop()
        # The server's loop is not safe for other threads, so it closes its sockets itself.
        self._server.trigger.pull_trigger(self._close_sockets)
        self._executor.shutdown()
        self._server.task_dispatcher.shutdown(cancel_pending=False, timeout=1)

    def _close_sockets(self) -> None:
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.close()

    def _announcement(self) -> dict[str, Any]:
        return {
            **self._identity._asdict(),
            "incarnation": self._incarnation,
            "address": self.address,
            "busy": self.record.busy,
            "state": "serving" if self._leaving_since is None else "leaving",
        }

    def _is_past_grace(self) -> bool:
        since = self._leaving_since
        return since is not None and time.monotonic() - since > LEAVING_GRACE_S

    def _has_unsent_answers(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(channel.requests or channel.total_outbufs_len for channel in channels)

    def _app(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        req = ApiRequest.from_environ(environ)
        fault = self.mode.fault if req.path == "/run" else Fault.NONE
        peer = (environ["REMOTE_ADDR"], environ["REMOTE_PORT"])
        res = self._answer(req, peer)
        if fault is Fault.CLOSE:
            # Waitress closes the connection and sends nothing when a request ends like this.
            raise ClientDisconnected
        start_response(
            f"{res.status} Status",
            [("Content-Type", res.content_type), ("Content-Length", str(len(res.body)))],
        )
        # Waitress closes a connection on which fewer bytes than announced were written.
        return [res.body[: len(res.body) // 2] if fault is Fault.TRUNCATE else res.body]

    def _answer(self, req: ApiRequest, peer: tuple[str, str]) -> ApiResponse:
        match req.method, req.path:
            case "POST", "/run":
                return self._run(req, self._open_connections(peer))
            case "GET", "/starts":
                own = {"slots": self._identity.slots, **self.mode.to_json()}
                return ApiResponse.from_json(200, {**own, **self.record.to_json()})
            case "POST", "/mode":
                return self._change_mode(req)
        return ApiResponse.from_failure(Failure(ResultCode.NOT_FOUND, f"no such path: {req.path}"))

    def _open_connections(self, peer: tuple[str, str]) -> int:
        """Count open connections that ever carried a run; those of tests and tools do not count."""
        channels = list(self._server.active_channels.values())
        alive = {(str(channel.addr[0]), str(channel.addr[1])) for channel in channels}
        self._run_connections = (self._run_connections | {peer}) & (alive | {peer})
        return len(self._run_connections)

    def _change_mode(self, req: ApiRequest) -> ApiResponse:
        fields = req.json_object()
        mode = fields if isinstance(fields, Failure) else self.mode.changed(fields)
        if isinstance(mode, Failure):
            return ApiResponse.from_failure(mode)
        self.mode = mode
        return ApiResponse.from_json(200, mode.to_json())

    def _run(self, req: ApiRequest, connections: int) -> ApiResponse:
        arrived = time.monotonic()
        mode = self.mode
        self.record.request(connections)
        order = _read_order(req)
        if isinstance(order, Failure):
            return ApiResponse.from_failure(order)
        time.sleep(mode.delay_ms / 1000)
        refusal = self._refusal(mode, connections)
        if refusal is None and not self.record.take_slot():
            refusal = Failure(ResultCode.OVERLOADED, "every slot is in use")
        if refusal is not None:
            self.record.count("refused")
            return ApiResponse.from_json(
                503, {"code": int(refusal.code), "ran": "no", "reason": refusal.reason}
            )
        try:
            res = self._run_tasks(order, mode, lease_end=arrived + order.lease_ms / 1000)
        finally:
            self.record.free_slot()
        time.sleep(mode.late_ms / 1000)
        return res

    def _refusal(self, mode: Mode, connections: int) -> Failure | None:
        if mode.fault is Fault.REFUSE:
            return Failure(ResultCode.OVERLOADED, "told to refuse")
        if self._is_past_grace():
            return Failure(ResultCode.LEAVING, "the runner is leaving")
        if connections > self._identity.connections:
            return Failure(ResultCode.OVERLOADED, "too many connections")
        return None

    def _run_tasks(self, order: "_Order", mode: Mode, *, lease_end: float) -> ApiResponse:
        results = []
        stall_ms = mode.stall_ms
        for task_id, body in order.tasks:
            if time.monotonic() >= lease_end:
                return self._failed(order, "stopped at the end of the lease")
            self.record.start(order.job, task_id, order.attempt)
            if mode.fault is Fault.FAIL:
                return self._failed(order, "told to fail")
            ends = time.monotonic() + (stall_ms + _run_ms(body) / mode.speed) / 1000
            stall_ms = 0
            time.sleep(max(0.0, min(ends, lease_end) - time.monotonic()))
            if ends > lease_end:
                return self._failed(order, "stopped at the end of the lease")
            results.append({"id": task_id, "result": {"echo": body}})
        self.record.count("completed", len(results))
        return ApiResponse.from_json(200, {"attempt": order.attempt, "results": results})

    def _failed(self, order: "_Order", reason: str) -> ApiResponse:
        self.record.count("failed")
        fields = {"attempt": order.attempt, "code": int(ResultCode.TASK_FAILED), "ran": "yes"}
        return ApiResponse.from_json(500, {**fields, "reason": reason})


class _Order(NamedTuple):
    job: str
    attempt: Any
    lease_ms: int
    tasks: list[tuple[str, Any]]


def _read_order(req: ApiRequest) -> _Order | Failure:
    obj = req.json_object()
    if isinstance(obj, Failure):
        return obj
    try:
        tasks = [(str(task["id"]), task.get("body")) for task in obj["tasks"]]
        return _Order(str(obj["job"]), obj["attempt"], int(obj["lease_ms"]), tasks)
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        return Failure(ResultCode.MALFORMED, f"not a run request: {exc!r}")


def _run_ms(body: Any) -> float:
    """Return the true run time of a task on a runner of speed 1, in ms; 0 when not given."""
    value = body.get("run_ms", 0) if isinstance(body, dict) else 0
    return float(value) if isinstance(value, int | float) else 0.0
