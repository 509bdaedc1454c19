"""Cluster of real programs with stand-in upstreams, for tests and the soak."""

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from kumquatlift.settings import Address
from tools.fault_proxy import FaultProxy
from tools.users_platform._history import History
from tools.users_platform._http import PersistentConnections, try_call
from tools.users_platform._program import Program
from tools.users_platform._upstream import StandInUpstream

CORES = 3
CONFIG: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "pathPrefix": "/q/",
            "kind": "non_idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 0,
            "service": "s",
            "maxAttempts": 3,
            "slackFactor": 1.6,
        }
    ],
    "services": [{"name": "s", "rejectsOverload": False}],
    "limits": {},
}


# Longer than any answer of a frontend takes.
SUBMIT_TIMEOUT_S = 12.0


class JobRequest(NamedTuple):
    """A job as its callers submit it.

    Args:
        number: Identity of the job.
        tasks: Number of tasks in each step.
        run_ms: Run time of a task, in milliseconds.
        is_logged: Whether the job is logged and answered when accepted, not when it has ended.
        steps: Number of steps, each of which depends on the one before.
        fails: Whether every run of its tasks fails.
    """

    number: int
    tasks: int = 2
    run_ms: int = 50
    is_logged: bool = True
    steps: int = 1
    fails: bool = False

    @property
    def path(self) -> str:
        """Path of the job's requests."""
        return f"/q/{self.number:016x}"

    @property
    def task_names(self) -> list[str]:
        """Names of all tasks."""
        return [
            f"{self.number:016x}.0.{step}.{index}"
            for step in range(self.steps)
            for index in range(self.tasks)
        ]


def wait_until(condition: Callable[[], bool], timeout_s: float = 15.0) -> None:
    """Wait for a condition; raise ``AssertionError`` when it does not come true in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("the condition did not come true in time")
        time.sleep(0.05)


class Cluster:
    """Three cores, frontends, and upstreams behind fault proxies.

    Args:
        folder: Folder for settings, logs and data.
        port: First of the ports that the programs use.
        frontends: Number of frontends.
        upstreams: Number of upstreams.
        network: First three numbers of the loopback addresses.
        mutant: Name of a mutant in ``tools.mutants`` for all programs; empty for none.
        has_proxies: Whether there are also proxies between the cores, and in front of the
            frontends. Upstreams always have proxies.
    """

    def __init__(
        self,
        *,
        folder: Path,
        port: int,
        frontends: int = 1,
        upstreams: int = 4,
        network: str = "127.0.7",
        mutant: str = "",
        has_proxies: bool = False,
    ) -> None:
        self._has_proxies = has_proxies
        self._port = port
        self._network = network
        self._mutant = mutant
        self.seeds = [f"{network}.{number + 1}:{port + 1}" for number in range(CORES)]
        self.history = History()
        self.cores: list[Program] = []
        self.frontends: list[Program] = []
        # In front of the upstreams.
        self.proxies: list[FaultProxy] = []
        # In front of the cores, for connections of other instances.
        self.peer_proxies: list[FaultProxy] = []
        # In front of the frontends, for connections of callers.
        self.caller_proxies: list[FaultProxy] = []
        self.upstreams: list[StandInUpstream] = []
        try:
            self._start(folder, frontends, upstreams)
        except BaseException:
            # A failed start must not leave processes behind.
            self.close()
            raise

    def _start(self, folder: Path, frontends: int, upstreams: int) -> None:
        for number in range(CORES):
            core = self._program("core", f"{self._network}.{number + 1}", folder)
            self.cores.append(core)
            if self._has_proxies:
                self.peer_proxies.append(_proxy(core.peers, core.proxy_for_peers))
        for number in range(frontends):
            frontend = self._program("frontend", f"{self._network}.{10 + number}", folder)
            self.frontends.append(frontend)
            if self._has_proxies:
                self.caller_proxies.append(_proxy(frontend.callers, frontend.proxy_for_callers))
        for number in range(upstreams):
            host = self._upstream_host(number)
            self.proxies.append(_proxy(f"{host}:{self._port}", f"{host}:{self._port + 1}"))
            self.upstreams.append(self.new_upstream(number, f"i-{number}"))

    def _upstream_host(self, number: int) -> str:
        return f"{self._network}.{20 + number}"

    def _program(self, role: str, host: str, folder: Path) -> Program:
        return Program(
            role=role,
            host=host,
            seeds=self.seeds,
            port=self._port,
            folder=folder / host,
            mutant=self._mutant,
            has_proxies=self._has_proxies,
        )

    def new_upstream(self, number: int, upstream_id: str) -> StandInUpstream:
        """Start an upstream at the address that belongs to a number."""
        host = self._upstream_host(number)
        return StandInUpstream(
            upstream_id=upstream_id,
            address=f"{host}:{self._port}",
            announced=f"{host}:{self._port + 1}",
            controls=self.seeds,
            history=self.history,
        )

    def configure(self, version: int = 3) -> None:
        """Put a version of the configuration in force, and wait until a core confirms it."""
        body = {**CONFIG, "version": version}
        wait_until(lambda: self.call_any_core("POST", "/api/config/replace", body) == 200)

    def wait_ready(self) -> None:
        """Wait until the first frontend is ready and accepts a job."""
        wait_until(lambda: try_call(self.frontends[0].readiness, "GET", "/api/readyz")[0] == 200)
        wait_until(lambda: self.submit(1) == 200)

    def call_any_core(self, method: str, path: str, body: object = None) -> int:
        """Call the cores in turn until one answers with 200; return 200, or 0 if none does."""
        for core in self.cores:
            if try_call(core.control, method, path, body)[0] == 200:
                return 200
        return 0

    def submit(self, number: int, *, frontend: int = 0, **options: Any) -> int:
        """Submit a job and return the status; see ``submit_job``."""
        return self.submit_job(JobRequest(number, **options), frontend=frontend)[0]

    def submit_job(
        self,
        job: JobRequest,
        *,
        frontend: int = 0,
        conns: PersistentConnections | None = None,
        timeout_s: float = SUBMIT_TIMEOUT_S,
    ) -> tuple[int, Any]:
        """Submit a job, and return the status and the JSON body; see ``try_call``.

        Args:
            job: The job.
            frontend: Number of the frontend.
            conns: Connections to reuse; None for a new connection.
            timeout_s: Time after which the caller closes its connection, in seconds.
        """
        spec = {"ms": job.run_ms, "cpu": 6800, "tasks": job.tasks, "fails": job.fails}
        step = {
            "count": job.tasks,
            "cpu": 6800,
            "requestedMemoryMb": 64,
            "estimatedMs": job.run_ms,
        }
        rows = [
            {**step, "dependsOn": [number - 1] if number else []} for number in range(job.steps)
        ]
        body = {"spec": json.dumps(spec), "steps": rows, "bestEffort": not job.is_logged}
        conns = conns or PersistentConnections()
        address = self.frontends[frontend].public
        return conns.try_call(address, "POST", job.path, body, timeout_s=timeout_s)

    def query(
        self, job: JobRequest, frontend: int, conns: PersistentConnections
    ) -> tuple[int, Any]:
        """Query a job, and return the status and the JSON body; see ``try_call``."""
        return conns.try_call(self.frontends[frontend].public, "GET", job.path)

    def cancel(self, number: int, frontend: int = 0) -> tuple[int, Any]:
        """Cancel a job, and return the status and the JSON body; see ``try_call``."""
        return try_call(self.frontends[frontend].public, "DELETE", f"/q/{number:016x}")

    def state(self, number: int) -> str:
        """Return the state of a job; empty if no frontend knows it."""
        for frontend in self.frontends:
            _, body = try_call(frontend.callers, "GET", f"/q/{number:016x}")
            if isinstance(body, dict) and "state" in body:
                return str(body["state"])
        return ""

    def close(self) -> None:
        """Stop all upstreams, programs and proxies."""
        for upstream in self.upstreams:
            upstream.close()
        for program in (*self.cores, *self.frontends):
            program.kill()
        for proxy in (*self.proxies, *self.peer_proxies, *self.caller_proxies):
            proxy.close()


def _proxy(target: str, listen: str) -> FaultProxy:
    address = Address.parse(listen)
    return FaultProxy(
        target=Address.parse(target), listen=address, control=Address(address.host, 0)
    )
