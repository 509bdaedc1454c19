"""A process with a voter and an unreliable disk, for the fuzz test of the register."""

import random
from typing import Any, Protocol

from kumquatlift.configuration.acceptor import Accept, Accepted, Acceptor, Prepare, VoterState
from kumquatlift.configuration.codec import decode, encode
from kumquatlift.configuration.data_file import DataFile, FakeDisk
from kumquatlift.configuration.value import Value
from tools.register_history import History


class PowerLossError(Exception):
    """The process loses power during a sync."""


class RegisterWorld(Protocol):
    """What a process needs from the world that it runs in."""

    rng: random.Random
    history: History
    step: int
    is_faulty: bool

    def new_nonce(self) -> str:
        """Return a text that was never returned before."""


class Process:
    """A process with a voter, its disk, and the proposers that run in the process."""

    def __init__(self, *, world: RegisterWorld, name: str) -> None:
        self.world = world
        self.name = name
        self.disk = FakeDisk()
        self.disk.before_sync = self._before_sync
        self.is_isolated = False
        self.in_force: Value | None = None
        self.restart()

    def restart(self) -> None:
        """Restart with the durable contents of the disk only."""
        self.disk.crash(keep_names=self.world.rng.random() < 0.5)
        file = DataFile(disk=self.disk, name="voter")
        stored = file.read()
        self.acceptor = Acceptor(
            name=self.name,
            state=None if stored is None else decode(stored, VoterState),
            store=lambda state: file.write(encode(state)),
            new_nonce=self.world.new_nonce,
        )
        # Proposers and formations in progress by key, each with the context of its round.
        self.machines: dict[int, Any] = {}
        self.register = ""
        self.incarnation = self.world.new_nonce()
        self.number = 0
        self.in_force = None

    def handle(self, msg: Any) -> Any:
        """Answer a request as ``Register`` does."""
        try:
            if isinstance(msg, Prepare):
                return self.acceptor.prepare(msg)
            if isinstance(msg, Accept):
                reply = self.acceptor.accept(msg)
                if isinstance(reply, Accepted):
                    self.world.history.record_vote(self.name, msg, self.world.step)
                return reply
            self.acceptor.confirm(msg)
            return self.acceptor.status
        except OSError:
            return None

    def install(self, value: Value) -> None:
        """Put an accepted value in force, unless it is older or belongs to another register."""
        is_known = value.register == self.register or not self.register
        if is_known and (self.in_force is None or value.version > self.in_force.version):
            self.in_force = value

    def _before_sync(self) -> None:
        chance = self.world.rng.random() if self.world.is_faulty else 1.0
        if chance < 0.005:
            raise PowerLossError
        if chance < 0.01:
            raise OSError("sync failed")
