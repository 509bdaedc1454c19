"""Runs one of the platform's programs on storage and a time of day that misbehave.

``python -m tools.faulty_program FAULTS ROLE``: the file FAULTS says what is wrong at present and is
read again and again. Bytes that were written and not synced stay in memory, so that they are lost
with the process, as at a loss of power. The programs themselves are not changed.
"""

import errno
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

# A slow disk takes this long for a sync; 30 times the usual 9 ms.
SLOW_SYNC_S = 0.27
REREAD_S = 0.05


class Faults:
    """What is wrong at present.

    Args:
        path: JSON file with ``disk`` ("slow", "full", "refuses" or "torn"), ``clock_offset_s``,
            ``mutant`` and ``peer_port``, the port of the proxies before other instances; a missing
            one or a missing field stands for no fault.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._fields: dict[str, Any] = {}
        self._read_at = 0.0

    def get(self, name: str, default: Any) -> Any:
        """Return a field."""
        now = time.monotonic()
        if now - self._read_at > REREAD_S:
            self._read_at = now
            try:
                self._fields = json.loads(self._path.read_text())
            except FileNotFoundError:
                self._fields = {}
        return self._fields.get(name, default)


class UnsyncedFiles:
    """Stands for the module ``os`` of the journal and keeps what is not synced in memory.

    Args:
        faults: What is wrong at present.
    """

    def __init__(self, *, faults: Faults) -> None:
        self._faults = faults
        self._unsynced: dict[int, list[tuple[int, bytes]]] = {}
        self._ends: dict[int, int] = {}

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def open(self, path: Path, flags: int) -> int:
        """Open a file."""
        fd = os.open(path, flags)
        self._unsynced[fd], self._ends[fd] = [], 0
        return fd

    def close(self, fd: int) -> None:
        """Close a file; what it has not synced is lost."""
        self._unsynced.pop(fd, None)
        os.close(fd)

    def pwrite(self, fd: int, data: bytes, at: int) -> int:
        """Take bytes for a place of a file."""
        if self._faults.get("disk", "") == "full":
            raise OSError(errno.ENOSPC, "the disk is full")
        self._unsynced[fd].append((at, bytes(data)))
        return len(data)

    def write(self, fd: int, data: bytes) -> int:
        """Take bytes for the end of a file."""
        written = self.pwrite(fd, data, self._ends[fd])
        self._ends[fd] += written
        return written

    def fdatasync(self, fd: int) -> None:
        """Write what is not synced, or what is left of it after a fault."""
        disk = self._faults.get("disk", "")
        if disk == "slow":
            time.sleep(SLOW_SYNC_S)
        pending, self._unsynced[fd] = self._unsynced[fd], []
        if disk == "refuses":
            # After an error the system drops the pages, so that a later sync proves nothing.
            raise OSError(errno.EIO, "the disk refuses to sync")
        if disk == "torn":
            self._lose_power(fd, pending)
        for at, data in pending:
            os.pwrite(fd, data, at)

    def fsync(self, fd: int) -> None:
        """Sync a file or a folder."""
        if fd in self._unsynced:
            self.fdatasync(fd)
        else:
            os.fsync(fd)

    @staticmethod
    def _lose_power(fd: int, pending: list[tuple[int, bytes]]) -> None:
        remaining = random.randrange(sum(len(data) for _, data in pending) + 1)
        for at, data in pending:
            os.pwrite(fd, data[:remaining], at)
            remaining -= min(remaining, len(data))
        os.kill(os.getpid(), signal.SIGKILL)


def main() -> None:
    """Install the faults, then run the program that the command line names."""
    faults = Faults(path=Path(sys.argv[1]))
    steady_time_of_day = time.time
    # Before any import of the product, since defaults of parameters keep the function.
    time.time = lambda: steady_time_of_day() + faults.get("clock_offset_s", 0.0)
    from kumquatlift.platform import _programs
    from kumquatlift.settings import Address
    from kumquatlift.store import _journal
    from tools.mutants import MUTANTS

    vars(_journal)["os"] = UnsyncedFiles(faults=faults)
    peer_port = faults.get("peer_port", 0)
    if peer_port:
        vars(_programs)["locate"] = lambda peer: Address(Address.parse(peer).host, peer_port)
    mutant = faults.get("mutant", "")
    if mutant:
        MUTANTS[mutant]()
    sys.argv = ["kumquatlift.platform", sys.argv[2]]
    _programs.main()


if __name__ == "__main__":
    main()
