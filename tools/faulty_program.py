"""Runs a program of the platform with faults of the disk, the time of day and the network.

Usage: ``python -m tools.faulty_program FAULTS ROLE``. The JSON file FAULTS lists the current faults
and is read repeatedly while the program runs. Bytes that are written but not synced stay in memory,
so that they are lost when the process is killed, as in a power failure. The programs themselves are
not changed.
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

# Time that a slow disk takes for a sync, 30 times the usual 9 ms.
SLOW_SYNC_S = 0.27
REREAD_S = 0.05


class Faults:
    """Current faults.

    Args:
        path: JSON file with the fields ``disk`` ("slow", "full", "refuses" or "torn"),
            ``clock_offset_s``, ``mutant``, and ``peer_port``, the port of the proxies in front of
            the other instances. A missing file or field means no fault.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._fields: dict[str, Any] = {}
        self._read_at = 0.0

    def get(self, name: str, default: Any) -> Any:
        """Return a field, read from the file again if it is older than ``REREAD_S``."""
        now = time.monotonic()
        if now - self._read_at > REREAD_S:
            self._read_at = now
            try:
                self._fields = json.loads(self._path.read_text())
            except FileNotFoundError:
                self._fields = {}
        return self._fields.get(name, default)


class UnsyncedFiles:
    """Replaces the module ``os`` in the journal, and keeps unsynced bytes in memory.

    Args:
        faults: Current faults.
    """

    def __init__(self, *, faults: Faults) -> None:
        self._faults = faults
        # Offset and bytes of each write, by file descriptor.
        self._unsynced: dict[int, list[tuple[int, bytes]]] = {}
        self._append_offsets: dict[int, int] = {}

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def open(self, path: Path, flags: int) -> int:
        """Open a file."""
        fd = os.open(path, flags)
        self._unsynced[fd], self._append_offsets[fd] = [], 0
        return fd

    def close(self, fd: int) -> None:
        """Close a file; its unsynced bytes are lost."""
        self._unsynced.pop(fd, None)
        os.close(fd)

    def pwrite(self, fd: int, data: bytes, at: int) -> int:
        """Buffer bytes to be written at an offset of a file."""
        if self._faults.get("disk", "") == "full":
            raise OSError(errno.ENOSPC, "the disk is full")
        self._unsynced[fd].append((at, bytes(data)))
        return len(data)

    def write(self, fd: int, data: bytes) -> int:
        """Buffer bytes to be written after the previous ones."""
        written = self.pwrite(fd, data, self._append_offsets[fd])
        self._append_offsets[fd] += written
        return written

    def fdatasync(self, fd: int) -> None:
        """Write the unsynced bytes, subject to the current fault of the disk."""
        disk = self._faults.get("disk", "")
        if disk == "slow":
            time.sleep(SLOW_SYNC_S)
        pending, self._unsynced[fd] = self._unsynced[fd], []
        if disk == "refuses":
            # As in Linux, the dirty pages are dropped after an error, so a later sync can succeed
            # without having written them.
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
        """Write a random part of the bytes, then kill the process."""
        remaining = random.randrange(sum(len(data) for _, data in pending) + 1)
        for at, data in pending:
            os.pwrite(fd, data[:remaining], at)
            remaining -= min(remaining, len(data))
        os.kill(os.getpid(), signal.SIGKILL)


def main() -> None:
    """Install the faults, then run the program named on the command line."""
    faults = Faults(path=Path(sys.argv[1]))
    real_time = time.time
    # Must precede every import of the product, whose default arguments capture ``time.time``.
    time.time = lambda: real_time() + faults.get("clock_offset_s", 0.0)
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
