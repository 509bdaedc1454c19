"""Runner for tests, demos and load runs: it serves ``POST /run`` and sleeps instead of working."""

import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import waitress
from waitress.channel import ClientDisconnected

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.identity import new_incarnation
from kumquatlift.transport.server import close_sockets
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse
from kumquatlift.upstreams.announcer import Announcer
from kumquatlift.upstreams.runner_mode import Fault, Mode
from kumquatlift.upstreams.start_record import LEAVING_GRACE_S, StartRecord

# Threads beyond one per connection, so that /starts and /mode are served while all slots are busy.
_SPARE_THREADS = 4
_POLL_S = 0.02


class RunnerIdentity(NamedTuple):
    """Constant fields of a runner's announcements."""

    runner: str
    service: str
    zone: str
    worker: str
    slots: int = 8
    connections: int = 64


class RunnerStandIn:
    """One runner: an HTTP server, a record of its starts, and an announcer.

    Args:
        identity: Constant fields of its announcements.
        host: IP address to listen on.
        port: Port to listen on; 0 for a free one.
        entries: Addresses of entry processes for announcements, each "ip:port".
        mode: Initial speed, delays and fault.
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

    @property
    def name(self) -> str:
        """Name of the runner."""
        return self._identity.runner

    def start(self) -> None:
        """Serve and announce in the background."""
        self._executor.submit(self._server.run)
        self._executor.submit(self._announcer.run)

    def leave(self) -> None:
        """Announce that the runner leaves; requests granted before that are still accepted."""
        if self._leaving_since is None:
            self._leaving_since = time.monotonic()
            self.record.record_leaving()
            self._announcer.announce_now()

    @property
    def is_finished(self) -> bool:
        """Whether the runner is leaving, no request runs, and no more will be accepted."""
        return self._is_past_grace() and not self.record.busy and not self._has_unsent_answers()

    def close(self) -> None:
        """Close the server with its connections and stop announcing."""
        self._announcer.stop()
        close_sockets(self._server)
        self._executor.shutdown()
        self._server.task_dispatcher.shutdown(cancel_pending=False, timeout=1)

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
            # On this exception, waitress closes the connection without sending a response.
            raise ClientDisconnected
        start_response(
            f"{res.status} Status",
            [("Content-Type", res.content_type), ("Content-Length", str(len(res.body)))],
        )
        # Waitress closes the connection when the body is shorter than its Content-Length.
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
        """Return the number of open connections on which a run was requested.

        Connections of tests and tools, which only read records or set the mode, don't count.
        """
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
        arrived_at = time.monotonic()
        mode = self.mode
        self.record.count_request(connections)
        run = _read_run_request(req)
        if isinstance(run, Failure):
            return ApiResponse.from_failure(run)
        time.sleep(mode.delay_ms / 1000)
        refusal = self._refusal(mode, connections)
        if refusal is None and not self.record.acquire_slot():
            refusal = Failure(ResultCode.OVERLOADED, "every slot is in use")
        if refusal is not None:
            self.record.count("refused")
            return ApiResponse.from_json(
                503, {"code": int(refusal.code), "ran": "no", "reason": refusal.reason}
            )
        try:
            res = self._run_tasks(run, mode, lease_end_at=arrived_at + run.lease_ms / 1000)
        finally:
            self.record.release_slot()
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

    def _run_tasks(self, run: "_RunRequest", mode: Mode, *, lease_end_at: float) -> ApiResponse:
        results = []
        stall_ms = mode.stall_ms
        for task_id, body in run.tasks:
            if time.monotonic() >= lease_end_at:
                return self._failed(run, "stopped at the end of the lease")
            self.record.record_start(run.job, run.kind, task_id, run.attempt)
            if mode.fault is Fault.FAIL:
                return self._failed(run, "told to fail")
            ends_at = time.monotonic() + (stall_ms + _run_ms(body) / mode.speed) / 1000
            stall_ms = 0
            time.sleep(max(0.0, min(ends_at, lease_end_at) - time.monotonic()))
            if ends_at > lease_end_at:
                return self._failed(run, "stopped at the end of the lease")
            results.append({"id": task_id, "result": {"echo": body}})
        self.record.count("completed", len(results))
        return ApiResponse.from_json(200, {"attempt": run.attempt, "results": results})

    def _failed(self, run: "_RunRequest", reason: str) -> ApiResponse:
        self.record.count("failed")
        fields = {"attempt": run.attempt, "code": int(ResultCode.TASK_FAILED), "ran": "yes"}
        return ApiResponse.from_json(500, {**fields, "reason": reason})


def run_until_finished(stand_ins: Sequence[RunnerStandIn], should_stop: Callable[[], bool]) -> None:
    """Wait until ``should_stop`` returns True, then let the runners leave and finish."""
    while not should_stop():
        time.sleep(_POLL_S)
    for stand_in in stand_ins:
        stand_in.leave()
    while not all(stand_in.is_finished for stand_in in stand_ins):
        time.sleep(_POLL_S)
    for stand_in in stand_ins:
        stand_in.close()


class _RunRequest(NamedTuple):
    """Fields of a ``runner_client.RunRequest`` after decoding."""

    job: str
    kind: str
    attempt: Any
    lease_ms: int
    tasks: list[tuple[str, Any]]


def _read_run_request(req: ApiRequest) -> _RunRequest | Failure:
    obj = req.json_object()
    if isinstance(obj, Failure):
        return obj
    try:
        tasks = [(str(task["id"]), task.get("body")) for task in obj["tasks"]]
        return _RunRequest(
            str(obj["job"]), str(obj["kind"]), obj["attempt"], int(obj["lease_ms"]), tasks
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        return Failure(ResultCode.MALFORMED, f"not a run request: {exc!r}")


def _run_ms(body: Any) -> float:
    """Return the run time of a task at speed 1, in milliseconds; 0 when the body has none."""
    value = body.get("run_ms", 0) if isinstance(body, dict) else 0
    return float(value) if isinstance(value, int | float) else 0.0
