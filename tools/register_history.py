"""Invariants of the configuration register: accepted values, and the answers to operators."""

from kumquatlift.configuration.acceptor import Accept
from kumquatlift.configuration.proposer import majority
from kumquatlift.configuration.value import Ballot, Value


class History:
    """Records the values that majorities accepted and the answers that operators got.

    Each record raises ``AssertionError`` if an invariant fails.

    Args:
        voters: Names of the voters.
    """

    def __init__(self, *, voters: list[str]) -> None:
        self._voters = voters
        self._votes: dict[tuple[str, Ballot], set[str]] = {}
        self._earlier_registers: set[str] = set()
        # The newest register in which a voter accepted a value, the newest value chosen in it, and
        # the step in which that was chosen.
        self.register = ""
        self.latest: Value | None = None
        self.latest_step = -1
        # Last step in which the disks of all voters were empty.
        self.empty_step = 0
        # Version from which each change was made, and the first answer to it, by change id.
        self.bases: dict[str, int] = {}
        self.answers: dict[str, int] = {}
        # Number of chosen values.
        self.chosen = 0

    def record_vote(self, voter: str, msg: Accept, step: int) -> None:
        """Record that a voter accepted a value, and check the invariants."""
        if msg.register not in (self.register, *self._earlier_registers):
            assert self.latest_step < self.empty_step, "a second register beside one in use"
            self._start_register(msg.register)
        votes = self._votes.setdefault((msg.register, msg.ballot), set())
        votes.add(voter)
        if len(votes) == majority(self._voters):
            assert (
                msg.register not in self._earlier_registers
            ), "a value was chosen in an earlier register"
            self._choose(msg.value, step)

    def check_chosen(self, register: str, ballot: Ballot) -> None:
        """Check that a majority accepted the value that a proposer treats as chosen."""
        votes = self._votes.get((register, ballot), set())
        assert len(votes) >= majority(self._voters), "no majority accepted a chosen value"

    def record_answer(self, change_id: str, version: int) -> None:
        """Record the answer that an operator got: a version, or 0 for a conflict."""
        first = self.answers.setdefault(change_id, version)
        assert first == version, f"{change_id}: first answered {first}, now {version}"

    def _start_register(self, register: str) -> None:
        self._earlier_registers.add(self.register)
        self.register, self.latest = register, None
        self.answers = {}

    def _choose(self, value: Value, step: int) -> None:
        self.chosen += 1
        if self.latest is not None:
            assert value.version >= self.latest.version, "an accepted version was lost"
            known = self.latest.changes
            assert value.changes[: len(known)] == known, "an accepted version was replaced"
        self.latest, self.latest_step = value, step
        versions = [change.version for change in value.changes]
        assert len(set(versions)) == len(versions), "two changes in one version"
        ids = [change.id for change in value.changes]
        assert len(set(ids)) == len(ids), "a change took effect twice"
        for change in value.changes:
            base = self.bases[change.id]
            assert base + 1 == change.version, f"{change.id}: took effect on another version"
            # Version 0 means that no version was known, and a change based on it has no effect.
            assert base > 0, f"{change.id}: took effect without a base"
            answered = self.answers.get(change.id, change.version)
            assert answered == change.version, f"{change.id}: answered {answered}, but took effect"
