"""Fuzz test of the configuration register's state machines under random schedules of faults.

One step delivers, loses or duplicates a message, restarts or isolates a process, erases disks,
lets an empty voter recover, or lets an operator propose or resend a change. The invariants of
``History`` are checked after every vote. At the end of each world the faults stop, and the register
must still hold every accepted version.

    python -m tools.fuzz_register --steps 100000 --seed 1
"""

import random
from collections import Counter
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.configuration.proposer import Formation, Proposer, majority
from kumquatlift.configuration.value import Ballot, Change, Proposal, Value
from tools.fuzz import main
from tools.register_history import History
from tools.register_process import PowerLossError, Process

STEPS_PER_WORLD = 1500
# Relative frequency of each action, which is a method of ``World``.
WEIGHTS = {
    "deliver": 250.0,
    "lose": 4.0,
    "repeat": 4.0,
    "propose": 10.0,
    "resend": 5.0,
    "repair": 8.0,
    "crash": 1.0,
    "wipe": 1.0,
    "cut": 0.5,
}
# Disks are lost often, so that several voters try to form a register at the same time.
FREQUENT_DISK_LOSS_WEIGHTS = {
    **WEIGHTS,
    "repair": 30.0,
    "propose": 2.0,
    "resend": 2.0,
    "crash": 3.0,
    "wipe": 5.0,
}
MAX_IN_FLIGHT = 60


class Envelope(NamedTuple):
    """A message in flight; ``machine_key`` is the key of its round or formation at the proposer."""

    sender: str
    receiver: str
    machine_key: int
    body: Any


class World:
    """Voters, a network and operators under one schedule, which is determined by a seed."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.step = 0
        self.is_faulty = True
        self._counter = 0
        self._loses_disks_often = self.rng.random() < 0.25
        self._weights = FREQUENT_DISK_LOSS_WEIGHTS if self._loses_disks_often else WEIGHTS
        names = [f"v{i}" for i in range(self.rng.choice([1, 3, 3, 3, 3, 5, 5, 5]))]
        self.history = History(voters=names)
        self.in_flight: list[Envelope] = []
        self.proposals: list[Proposal] = []
        self.counts: Counter[str] = Counter()
        # The observer is not a voter; it may know a value that every disk has lost.
        self.observer = Process(world=self, name="observer")
        self.voters = {name: Process(world=self, name=name) for name in names}
        self.processes = {**self.voters, "observer": self.observer}

    def new_nonce(self) -> str:
        """Return a text that was never returned before."""
        self._counter += 1
        return f"n{self._counter}"

    def run(self, steps: int) -> None:
        """Run a schedule with faults, then stop the faults and check the register."""
        if self.rng.random() < 0.7:
            self._settle()
        for self.step in range(steps):
            self._act()
            self._check_empty()
        self._settle()
        self._check_healed()
        self._check_progress()

    def _act(self) -> None:
        action = self.rng.choices(list(self._weights), list(self._weights.values()))[0]
        self.counts[action] += 1
        process = self.rng.choice(list(self.processes.values()))
        getattr(self, f"_{action}")(process)

    def _deliver(self, _process: Process) -> None:
        if self.in_flight:
            at = self.rng.randrange(len(self.in_flight)) if self.rng.random() < 0.5 else 0
            self._receive(self.in_flight.pop(at))

    def _lose(self, _process: Process) -> None:
        if self.in_flight:
            self.in_flight.pop(self.rng.randrange(len(self.in_flight)))

    def _repeat(self, _process: Process) -> None:
        if self.in_flight:
            self.in_flight.append(self.rng.choice(self.in_flight))

    def _crash(self, process: Process) -> None:
        process.restart()

    def _wipe(self, process: Process) -> None:
        if process is self.observer:
            return
        empty = sum(other.acceptor.is_empty for other in self.voters.values())
        spare = len(self.voters) - majority(self.voters)
        # If fewer voters than a majority keep their disks, the register is blocked until an
        # operator erases the others. Such losses are rare here, and erase every disk at once.
        if empty < spare or process.acceptor.is_empty:
            lost = [process]
        elif self._loses_disks_often or self.rng.random() < 0.1:
            lost = list(self.voters.values())
        else:
            return
        for each in lost:
            each.disk.wipe()
            each.restart()

    def _cut(self, process: Process) -> None:
        for other in self.processes.values():
            other.is_isolated = other is process and not process.is_isolated

    def _propose(self, process: Process) -> None:
        version = process.in_force.version if process.in_force else 0
        change_id = f"c{len(self.proposals)}"
        base_register = process.in_force.register if process.in_force else ""
        document = f"document of {change_id}"
        proposal = Proposal(change_id, version, document, base_register=base_register)
        self.proposals.append(proposal)
        self.history.bases[change_id] = version
        self._start_round(process, proposal)

    def _resend(self, process: Process) -> None:
        if self.proposals:
            self._start_round(process, self.rng.choice(self.proposals[-6:]))

    def _repair(self, process: Process) -> None:
        """Let an empty voter try to recover or to form a register; other processes run a round."""
        if process is self.observer or not process.acceptor.is_empty:
            self._start_round(process, None)
        elif self.rng.random() < 0.5:
            self._start_formation(process)
        else:
            self._start_recovery(process)

    def _start_formation(self, process: Process) -> None:
        # The register starts with the newest value in force in any process that can be reached.
        for other in self.processes.values():
            if other.in_force is not None and not other.is_isolated and not process.is_isolated:
                process.install(other.in_force)
        machine = Formation(voters=self.voters)
        self._add_machine(process, (machine, None), machine.start())

    def _start_recovery(self, process: Process) -> None:
        others = [name for name in self.voters if name != process.name]
        self._start_round(process, None, voters=others)

    def _start_round(
        self,
        process: Process,
        proposal: Proposal | None,
        *,
        voters: list[str] | None = None,
        register: str = "",
    ) -> None:
        process.number += 1
        register = register or self.history.register
        latest_at_start = self.history.latest if register == self.history.register else None

        def change_function(found: Value | None) -> Value | None:
            known = process.in_force
            first = Value(known.version + 1, *known[1:]) if known else Value(1, "first document")
            base = first if found is None else found.renumber_above(known)
            return proposal.apply(base) if proposal else base

        machine = Proposer(
            register=register,
            ballot=Ballot(process.number, f"{process.name}~{process.incarnation}"),
            voters=list(self.voters) if voters is None else voters,
            quorum=majority(self.voters),
            change_function=change_function,
        )
        self._add_machine(process, (machine, (proposal, voters, latest_at_start)), machine.start())

    def _add_machine(self, process: Process, machine: Any, messages: list[Any]) -> None:
        self._counter += 1
        process.machines[self._counter] = machine
        self._send(process.name, self._counter, messages)

    def _send(self, sender: str, machine_key: int, messages: list[Any]) -> None:
        for voter, body in messages:
            self.in_flight.append(Envelope(sender, voter, machine_key, ("ask", body)))
        if self.is_faulty and len(self.in_flight) > MAX_IN_FLIGHT:
            self.in_flight = self.in_flight[-MAX_IN_FLIGHT:]

    def _receive(self, envelope: Envelope) -> None:
        sender, receiver = self.processes[envelope.sender], self.processes[envelope.receiver]
        if sender is not receiver and (sender.is_isolated or receiver.is_isolated):
            return
        kind, body = envelope.body
        try:
            if kind == "ask":
                reply = receiver.handle(body)
                if reply is not None:
                    back = Envelope(
                        envelope.receiver, envelope.sender, envelope.machine_key, ("reply", reply)
                    )
                    self.in_flight.append(back)
            elif kind == "push":
                receiver.install(body)
            elif envelope.machine_key in receiver.machines:
                self._advance(receiver, envelope.machine_key, envelope.sender, body)
        except PowerLossError:
            receiver.restart()
        except OSError:
            self.counts["failed recovery"] += 1

    def _advance(self, process: Process, machine_key: int, voter: str, reply: Any) -> None:
        machine, context = process.machines[machine_key]
        self._send(process.name, machine_key, machine.receive(voter, reply))
        if isinstance(machine, Formation):
            if machine.register_formed:
                del process.machines[machine_key]
                self._start_round(process, None, register=machine.register_formed)
            return
        process.number = max(process.number, machine.highest_ballot.number)
        if machine.is_over:
            del process.machines[machine_key]
            if machine.chosen is not None:
                self._finish(process, machine, *context)

    def _finish(
        self,
        process: Process,
        machine: Proposer,
        proposal: Proposal | None,
        voters: list[str] | None,
        latest_at_start: Value | None,
    ) -> None:
        value = machine.chosen
        assert value is not None
        register, ballot = value.register, machine.ballot
        self.history.check_chosen(register, ballot)
        if voters is not None:
            empty = process.acceptor.is_empty
            process.acceptor.recover(register, ballot, value)
            self.counts["recovered"] += empty
        if register != self.history.register:
            return
        if latest_at_start is not None:
            assert value.version >= latest_at_start.version, "a round returned an older version"
        process.register = register
        process.install(value)
        for name in self.processes:
            self.in_flight.append(Envelope(process.name, name, 0, ("push", value)))
        if proposal is not None:
            outcome = proposal.outcome(value)
            version = outcome.version if isinstance(outcome, Change) else 0
            if isinstance(outcome, Change) or outcome.code is ResultCode.VERSION_CONFLICT:
                self.history.record_answer(proposal.id, version)

    def _check_empty(self) -> None:
        if all(process.acceptor.is_empty for process in self.voters.values()):
            self.history.empty_step = self.step
            self.counts["all empty"] += 1

    def _settle(self) -> None:
        """Deliver all messages without faults, and let empty voters form a register or recover."""
        self.is_faulty = False
        for process in self.processes.values():
            process.is_isolated = False
        self.in_flight.clear()
        for _ in range(12):
            for process in self.processes.values():
                self._repair(process)
                while self.in_flight:
                    self._receive(self.in_flight.pop(0))
        self.is_faulty = True

    def _check_healed(self) -> None:
        """Check that the voters still hold the last accepted version."""
        last, register = self.history.latest, self.history.register
        acceptors = [process.acceptor for process in self.voters.values()]
        assert not all(acceptor.is_empty for acceptor in acceptors), "no register can be formed"
        states = [acceptor.state for acceptor in acceptors if acceptor.state.register == register]
        # If only a minority holds the register, changes are blocked until an operator intervenes.
        self.counts["blocked worlds"] += len(states) < majority(self.voters) and last is not None
        if last is not None and len(states) >= majority(self.voters):
            newest = max(states, key=lambda state: state.accepted).value
            assert newest is not None and newest.version >= last.version, "lost after healing"
            assert newest.changes[: len(last.changes)] == last.changes, "replaced after healing"

    def _check_progress(self) -> None:
        """Check that every process can make a change from what it has in force."""
        if self.history.latest is None:
            # The formation ended after only a minority had accepted its value.
            self.counts["formations broken off"] += 1
            return
        self.is_faulty = False
        for process in self.processes.values():
            # These rounds replace the polls by which a process learns the identity of the register.
            self._run_rounds(process, None)
            self._propose(process)
            self._run_rounds(process, self.proposals[-1])
            change_id = self.proposals[-1].id
            assert self.history.answers.get(change_id), f"{process.name} cannot make a change"

    def _run_rounds(self, process: Process, proposal: Proposal | None) -> None:
        """Run several rounds of one process, since higher ballots may defeat the first ones."""
        for _ in range(4):
            while self.in_flight:
                self._receive(self.in_flight.pop(0))
            self._start_round(process, proposal)
        while self.in_flight:
            self._receive(self.in_flight.pop(0))


def run(*, seed: int, steps: int) -> Counter[str]:
    """Run worlds until the number of steps is reached.

    Returns:
        Number of events of each kind.

    Raises:
        AssertionError: An invariant failed; the message names the seed of the world.
    """
    counts: Counter[str] = Counter()
    for first in range(0, steps, STEPS_PER_WORLD):
        world_seed = seed * 1_000_000 + first
        world = World(seed=world_seed)
        try:
            world.run(min(STEPS_PER_WORLD, steps - first))
        except AssertionError as exc:
            raise AssertionError(f"world seed {world_seed}, step {world.step}: {exc}") from exc
        counts += world.counts
        counts["chosen rounds"] += world.history.chosen
        counts["worlds"] += 1
    return counts


if __name__ == "__main__":
    main(run, description=__doc__, steps=100_000)
