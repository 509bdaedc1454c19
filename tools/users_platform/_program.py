"""The product's programs as processes."""

import json
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path


class Program:
    """A process that runs one of the programs and can be restarted.

    Args:
        role: "core" or "frontend".
        host: Loopback address, used by no other program.
        seeds: Control addresses of the instances with a disk.
        folder: Folder for its settings, log, data and faults.
        port: First of the ports that it uses.
        is_first_formation: Whether the whole system starts for the first time.
        mutant: Name of a mutant in ``tools.mutants``; empty for none.
        has_proxies: Whether peers and callers are connected through proxies; see ``Cluster``.
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
        mutant: str = "",
        has_proxies: bool = False,
    ) -> None:
        self.role = role
        self.host = host
        self._folder = folder
        self._port = port
        self._seeds = seeds
        self._is_first_formation = is_first_formation
        self._mutant = mutant
        self._has_proxies = has_proxies
        self._log_start = 0
        self._process: subprocess.Popen[bytes] | None = None
        # Monotonic times of the last SIGKILL, of the last exit for any reason, and of the last
        # start.
        self.killed_at = 0.0
        self.ended_at = 0.0
        self.started_at = 0.0
        # Monotonic time when a proxy last reset the connections of its callers.
        self.reset_at = 0.0
        folder.mkdir(parents=True, exist_ok=True)
        self.set_faults()
        self.start()

    @property
    def control(self) -> str:
        """Control address of a core."""
        return f"{self.host}:{self._port + 1}"

    @property
    def callers(self) -> str:
        """Address where a frontend listens for callers."""
        return f"{self.host}:{self._port + 2}"

    @property
    def public(self) -> str:
        """Address to which callers of a frontend connect, that of the proxy if there is one."""
        return self.proxy_for_callers if self._has_proxies else self.callers

    @property
    def peers(self) -> str:
        """Address where it listens for the other instances."""
        return f"{self.host}:{self._port}"

    @property
    def proxy_for_peers(self) -> str:
        """Address of the proxy through which the other instances reach it."""
        return f"{self.host}:{self._port + 5}"

    @property
    def proxy_for_callers(self) -> str:
        """Address of the proxy through which callers reach it."""
        return f"{self.host}:{self._port + 6}"

    @property
    def metrics(self) -> str:
        """Address of the metrics."""
        return f"{self.host}:{self._port + 4}"

    @property
    def readiness(self) -> str:
        """Address for the readiness check of a frontend."""
        return f"{self.host}:{self._port + 3}"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def memory_mb(self) -> float:
        """Resident memory of the process in MiB; 0 when it isn't running."""
        if self._process is None or not self.is_running:
            return 0.0
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        resident = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(resident[1]) / 1024 if resident else 0.0

    @property
    def open_files(self) -> int:
        """Number of open file descriptors of the process; 0 when it isn't running."""
        if self._process is None or not self.is_running:
            return 0
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def set_faults(self, *, disk: str = "", clock_offset_s: float = 0.0) -> None:
        """Set the faults of the disk and the time of day; see ``tools.faulty_program``."""
        fields = {
            "disk": disk,
            "clock_offset_s": clock_offset_s,
            "mutant": self._mutant,
            "peer_port": self._port + 5 if self._has_proxies else 0,
        }
        new = self._folder / "faults.new"
        new.write_text(json.dumps(fields))
        new.replace(self._folder / "faults.json")

    def start(self) -> None:
        """Start the process. Only the first start may be the first formation of the system."""
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
        self.started_at = time.monotonic()
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tools.faulty_program", self._folder / "faults.json", self.role],
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
        """Kill the process and wait until it has exited."""
        self.killed_at = time.monotonic()
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self, timeout_s: float = 10.0) -> int | None:
        """Wait until the process has exited, and return its exit code."""
        code = None if self._process is None else self._process.wait(timeout_s)
        self.ended_at = time.monotonic()
        return code

    @property
    def is_started(self) -> bool:
        """Whether the process has logged ``started`` since its last start."""
        return "event='started'" in self.log[self._log_start :]

    @property
    def log(self) -> str:
        """The log of all starts."""
        return (self._folder / "log.txt").read_text(errors="replace")
