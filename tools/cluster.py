"""Runs a cluster of entry processes and simulated runners on free loopback ports."""

import hashlib
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w

from kumquatlift.client import call
from kumquatlift.failure import Failure
from tools.fault_network import FaultNetwork

ROOT = Path(__file__).resolve().parent.parent
TOKEN = "local-operator-token"
# Below the range from which operating systems choose the ports of outgoing connections.
_PORTS = range(20_000, 32_000)
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02


class ConditionError(Exception):
    """A condition was not met within its time limit, or can no longer be met."""


def wait_for(
    condition: Callable[[], bool], what: str, *, timeout_s: float = _START_TIMEOUT_S
) -> None:
    """Poll a condition until it is true.

    Args:
        condition: Returns whether to stop waiting.
        what: Description of the condition for the error.
        timeout_s: Time limit in seconds.

    Raises:
        ConditionError: The condition was false for ``timeout_s`` seconds.
    """
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise ConditionError(f"not within {timeout_s:g} s: {what}")
        time.sleep(_POLL_INTERVAL_S)


class EntryAddresses(NamedTuple):
    """Name, zone and addresses of one entry process; the fields are keys of its settings."""

    name: str
    zone: str
    callers: str
    runners: str
    operators: str
    peers: str
    peers_announced: str = ""


class Cluster:
    """Entry processes and runners of one deployment; a context manager that ends them all.

    Args:
        folder: Folder for settings, data and logs.
        document: Configuration document.
        zones: Availability zone of each entry process; they are named zone-1, zone-2 and so on.
        voters: Names of the entry processes with a disk.
        is_proxied: Whether each entry process gets its own IP number and a proxy in front of its
            peers port, so that ``network`` can inject faults.
        command: Command line of the executable.
    """

    def __init__(
        self,
        *,
        folder: Path,
        document: Path,
        zones: Sequence[str],
        voters: Sequence[str] = (),
        is_proxied: bool = False,
        command: Sequence[str] = (sys.executable, "-m", "kumquatlift"),
    ) -> None:
        self._folder = folder
        self._command = tuple(command)
        self._processes: dict[str, subprocess.Popen[str]] = {}
        self._pending_entries: list[EntryAddresses] = []
        self._pending_runners: list[tuple[str, int]] = []
        self.runners: dict[str, str] = {}
        # The third number of the addresses depends on the process id, so that clusters of processes
        # that run at the same time don't collide.
        subnet = f"127.0.{1 + os.getpid() % 250}"
        ports = iter(_free_ports(4 * len(zones), f"{subnet}.1"))
        self.entries: dict[str, EntryAddresses] = {}
        for number, zone in enumerate(zones):
            name = f"{zone}-{1 + list(zones[:number]).count(zone)}"
            host = f"{subnet}.{2 + number}" if is_proxied else "127.0.0.1"
            self.entries[name] = EntryAddresses(
                name, zone, *(f"{host}:{next(ports)}" for _ in range(4))
            )
        peers = {name: entry.peers for name, entry in self.entries.items()} if is_proxied else {}
        self.network = FaultNetwork(peers=peers, host=f"{subnet}.1")
        for name in peers:
            announced = self.network.address(name)
            self.entries[name] = self.entries[name]._replace(peers_announced=announced)
        for entry in self.entries.values():
            self._write_settings(entry, document, has_disk=entry.name in voters)

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def callers(self) -> list[str]:
        """Addresses of all entry processes for callers."""
        return [entry.callers for entry in self.entries.values()]

    def start_entries(self, *names: str) -> None:
        """Start the named entry processes, or all of them when no name is given."""
        for entry in [self.entries[name] for name in names or self.entries]:
            self._start(entry.name, "entry", str(self._folder / f"{entry.name}.toml"))
            self._pending_entries.append(entry)

    def start_runners(
        self,
        name: str,
        *,
        service: str,
        zone: str,
        copies: int = 1,
        speeds: Sequence[float] = (1,),
        entry_names: Sequence[str] = (),
    ) -> None:
        """Start a process that simulates one or more runners.

        Args:
            name: Name of the process and of its only runner; several runners are called name-1,
                name-2 and so on.
            service: Service of the runners.
            zone: Availability zone of the runners.
            copies: Number of runners.
            speeds: Factors that divide the run times; the runners use them in turn.
            entry_names: Entry processes to which the runners announce themselves; empty for all.
        """
        addresses = [self.entries[entry].runners for entry in entry_names or self.entries]
        # Each process announces itself to another entry process first, as behind a load balancer.
        first = len(self._processes) % len(addresses)
        arguments = [name, "--service", service, "--zone", zone, "--copies", str(copies)]
        arguments += [
            "--worker",
            f"worker-{name}",
            "--entries",
            *addresses[first:],
            *addresses[:first],
        ]
        arguments += ["--speeds", *(str(speed) for speed in speeds)]
        self._start(name, "runner", *arguments)
        self._pending_runners.append((name, copies))

    def wait_until_started(self) -> None:
        """Wait until every process started so far is serving.

        Raises:
            ConditionError: A process exited, or was not serving in time.
        """
        while self._pending_runners:
            name, copies = self._pending_runners.pop()
            output = self._processes[name].stdout
            assert output is not None
            for _ in range(copies):
                words = output.readline().split()
                if not words:
                    raise ConditionError(f"{name} exited during its start: {self.log(name)}")
                self.runners[words[0]] = words[-1]
        while self._pending_entries:
            entry = self._pending_entries.pop()
            wait_for(partial(self._is_serving, entry), f"{entry.name} is serving")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait until it has exited."""
        self._processes[name].kill()
        self._processes[name].wait()
        self._close_output(name)

    def lose_disk(self, name: str) -> None:
        """Kill an entry process and delete its data folder."""
        self.kill(name)
        shutil.rmtree(self._data_folder(name))

    def ask_operators(self, name: str, method: str, path: str, payload: Any = None) -> Any:
        """Send a request to the operators' port of an entry process.

        Returns:
            The JSON of the answer, or a failure.
        """
        address = self.entries[name].operators
        return call(address, method, path, payload=payload, token=TOKEN, timeout_s=15)

    def is_running(self, name: str) -> bool:
        """Whether a process was started and has not exited."""
        return name in self._processes and self._processes[name].poll() is None

    def pid(self, name: str) -> int:
        """Process id of a process."""
        return self._processes[name].pid

    def exit_code(self, name: str) -> int | None:
        """Exit code of a process; None while it runs."""
        return self._processes[name].poll()

    def log(self, name: str) -> str:
        """The last 4000 characters of the log of a process."""
        path = self._folder / f"{name}.log"
        return path.read_text(encoding="utf-8")[-4000:] if path.exists() else ""

    def close(self, *, force: bool = False) -> None:
        """End every process, with SIGTERM first unless ``force`` is set."""
        self._stop_processes(force)
        self.network.close()

    def _stop_processes(self, force: bool) -> None:
        if force:
            for process in self._processes.values():
                process.kill()
        running = [process for process in self._processes.values() if process.poll() is None]
        for process in running:
            # A process suspended by SIGSTOP handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.terminate()
        until = time.monotonic() + _STOP_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for name in self._processes:
            self._close_output(name)

    def _close_output(self, name: str) -> None:
        output = self._processes[name].stdout
        if output is not None:
            output.close()

    def _start(self, name: str, *arguments: str) -> subprocess.Popen[str]:
        if name in self._processes and self.is_running(name):
            raise ValueError(
                f"{name} is already running; a second process would replace it and outlive close"
            )
        with (self._folder / f"{name}.log").open("a", encoding="utf-8") as log:
            self._processes[name] = subprocess.Popen(
                [*self._command, *arguments],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        return self._processes[name]

    def _is_serving(self, entry: EntryAddresses) -> bool:
        if not self.is_running(entry.name):
            raise ConditionError(f"{entry.name} exited during its start: {self.log(entry.name)}")
        answer = call(entry.callers, "POST", "/v1/tickets", payload={}, timeout_s=1)
        return not isinstance(answer, Failure) and "ledger" in answer

    def _data_folder(self, name: str) -> Path:
        return self._folder / f"{name}.data"

    def _write_settings(self, entry: EntryAddresses, document: Path, *, has_disk: bool) -> None:
        peers = [other.peers_announced or other.peers for other in self.entries.values()]
        fields = {
            **entry._asdict(),
            "seeds": peers,
            "first_document": str(document),
            "data_folder": str(self._data_folder(entry.name)) if has_disk else "",
            "operator_tokens": [
                {"name": "operator", "sha256": hashlib.sha256(TOKEN.encode()).hexdigest()}
            ],
        }
        path = self._folder / f"{entry.name}.toml"
        path.write_text(tomli_w.dumps(fields), encoding="utf-8")


def _free_ports(count: int, host: str) -> list[int]:
    """Return ports that are free for TCP and UDP on both 127.0.0.1 and another IP number."""
    found: list[int] = []
    candidates = iter(random.sample(_PORTS, len(_PORTS)))
    while len(found) < count:
        port = next(candidates)
        if _is_free("127.0.0.1", port) and _is_free(host, port):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
