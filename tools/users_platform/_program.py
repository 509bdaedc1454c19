"""Our programs as processes."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path


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
            cwd=Path(__file__).parents[2],
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
