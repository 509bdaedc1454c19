"""The voter of one process: an acceptor with its file and a lock."""

import threading

from kumquatlift.configuration.acceptor import (
    Accept,
    Accepted,
    Acceptor,
    Prepare,
    Promise,
    Refusal,
    VoterState,
)
from kumquatlift.configuration.codec import CodecError, Read, ReadAnswer, decode, encode
from kumquatlift.configuration.data_file import DataFile, Disk
from kumquatlift.configuration.value import Ballot, Value
from kumquatlift.jobs.identity import new_incarnation
from kumquatlift.log import get_logger

FILE_NAME = "voter"


class Voter:
    """The voter of one process. Calls run one at a time, and each may wait for a sync.

    Args:
        name: Name of the process.
        disk: Folder of the voter's file.

    Raises:
        OSError: The disk cannot be read. A voter that continued would treat its state as lost,
            although promises may be stored on the disk.
    """

    def __init__(self, *, name: str, disk: Disk) -> None:
        self._lock = threading.Lock()
        self._file = DataFile(disk=disk, name=FILE_NAME)
        self._acceptor = Acceptor(
            name=name,
            state=self._load(),
            store=lambda state: self._file.write(encode(state)),
            new_nonce=new_incarnation,
        )

    @property
    def is_empty(self) -> bool:
        """Whether the voter has accepted no value, so that it must recover or join a register."""
        return self._acceptor.is_empty

    def vote(self, msg: Prepare | Accept) -> Promise | Accepted | Refusal | None:
        """Return the vote, or None when the disk failed and the vote could not be stored."""
        with self._lock:
            try:
                if isinstance(msg, Prepare):
                    return self._acceptor.prepare(msg)
                return self._acceptor.accept(msg)
            except OSError as exc:
                get_logger().error("voter_disk_failed", error=str(exc))
                return None

    def read(self, msg: Read, in_force: Value | None) -> ReadAnswer:
        """Confirm the evidence and return the status, with the value in force if it is newer."""
        with self._lock:
            try:
                self._acceptor.confirm(msg.evidence)
            except OSError as exc:
                get_logger().error("voter_disk_failed", error=str(exc))
            return ReadAnswer(self._acceptor.status, newer(in_force, msg.newer_than))

    def recover(self, register: str, ballot: Ballot, value: Value) -> None:
        """Vote again after the loss of the disk; see ``Acceptor.recover``."""
        with self._lock:
            try:
                self._acceptor.recover(register, ballot, value)
            except OSError as exc:
                get_logger().error("voter_disk_failed", error=str(exc))

    def _load(self) -> VoterState | None:
        data = self._file.read()
        if data is None:
            return None
        try:
            return decode(data, VoterState)
        except CodecError as exc:
            get_logger().error("voter_state_lost", error=str(exc))
            return None


def newer(value: Value | None, version: int) -> Value | None:
    """Return the value when its version is higher, else None."""
    return value if value is not None and value.version > version else None
