"""Background work of the register in one process: updates, formation and recovery."""

import random
from collections import Counter

from kumquatlift.configuration.acceptor import VoterStatus
from kumquatlift.configuration.in_force import ConfigurationInForce
from kumquatlift.configuration.proposer import majority
from kumquatlift.configuration.register_rounds import RegisterRounds
from kumquatlift.configuration.voter import Voter
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Members


class RegisterMaintenance:
    """Updates the configuration of this process, and forms or recovers the register if needed.

    The methods block on the network.

    Args:
        members: Membership view.
        rounds: Rounds of the register.
        voter: Voter of this process; None without a disk.
        in_force: Configuration in force here.
    """

    def __init__(
        self,
        *,
        members: Members,
        rounds: RegisterRounds,
        voter: Voter | None,
        in_force: ConfigurationInForce,
    ) -> None:
        self._members = members
        self._name = members.me.name
        self._rounds = rounds
        self._voter = voter
        self._in_force = in_force
        # Polls that reached a majority while the voter of this process was empty.
        self._empty_polls = 0
        # Consecutive polls that found a version accepted by a voter but not yet in force here.
        self._stale_polls = 0

    @property
    def is_voter(self) -> bool:
        """Whether the configuration names this process as a voter and it has a disk."""
        return self._voter is not None and self._name in self._rounds.voters

    def tick(self) -> None:
        """Fetch a newer version from a live peer that announces one."""
        version = self._in_force.version
        ahead = [peer.name for peer in self._members.live() if peer.config_version > version]
        if ahead:
            self._rounds.read([random.choice(ahead)])

    def poll(self) -> None:
        """Read the status of the voters; recover, form a register or complete a round if needed."""
        voters = self._rounds.voters
        peers = voters or tuple(member.name for member in self._members.live())
        answers = self._rounds.read(peers)
        voter_statuses = {name: answer.status for name, answer in answers.items() if name in voters}
        statuses = {name: status for name, status in voter_statuses.items() if status is not None}
        if not voters or len(statuses) < majority(voters):
            return
        self._rounds.record_contact()
        self._learn_register(voters, statuses)
        if self._is_superseded(statuses):
            # The round gives the register's value a version above the one in force here, so that
            # this process installs it.
            self._rounds.propose(
                voters=voters, quorum=majority(voters), change_function=self._rounds.base_value
            )
        elif self.is_voter and self._voter is not None:
            if self._voter.is_empty:
                self._recover_or_form(voters, statuses)
            else:
                self._complete_round(voters, statuses)

    def _learn_register(self, voters: tuple[str, ...], statuses: dict[str, VoterStatus]) -> None:
        registers = Counter(status.register for status in statuses.values() if status.register)
        for register, count in registers.items():
            if count >= majority(voters):
                self._in_force.register = register

    def _is_superseded(self, statuses: dict[str, VoterStatus]) -> bool:
        """Whether the value in force belongs to an earlier register that was lost with every disk.

        False when a voter holds a higher version, which replaces the value in the usual way.
        """
        value, register = self._in_force.value, self._in_force.register
        if value is None or not register or value.register == register:
            return False
        newest = max(status.version for status in statuses.values())
        return 0 < newest <= value.version

    def _complete_round(self, voters: tuple[str, ...], statuses: dict[str, VoterStatus]) -> None:
        """Complete a change whose proposer failed before it reported that the value was chosen."""
        newest = max(statuses.values(), key=lambda status: status.accepted)
        self._stale_polls = self._stale_polls + 1 if newest.version > self._in_force.version else 0
        # A live proposer completes its round before the second poll. Each process that finds it
        # incomplete then proposes with a probability of one half, so that proposers collide less.
        if self._stale_polls > 1 and random.random() < 0.5:
            self._rounds.propose(
                voters=voters, quorum=majority(voters), change_function=self._rounds.base_value
            )

    def _recover_or_form(self, voters: tuple[str, ...], statuses: dict[str, VoterStatus]) -> None:
        self._empty_polls += 1
        others = tuple(name for name in voters if name != self._name)
        voters_with_value = [
            name for name in others if name in statuses and statuses[name].register
        ]
        if voters_with_value and len(others) >= majority(voters):
            self._recover(others, majority(voters))
            return
        # The first voter by name forms the register; the others try from their third poll on, so
        # that formations rarely collide.
        may_form = self._name == min(voters) or self._empty_polls > 2
        if not voters_with_value and len(statuses) == len(voters) and may_form:
            self._form(voters)

    def _recover(self, others: tuple[str, ...], quorum: int) -> None:
        assert self._voter is not None
        proposer = self._rounds.propose(
            voters=others, quorum=quorum, change_function=self._rounds.base_value
        )
        if proposer.chosen is not None:
            self._voter.recover(proposer.chosen.register, proposer.ballot, proposer.chosen)
            get_logger().info("voter_recovered", version=proposer.chosen.version)

    def _form(self, voters: tuple[str, ...]) -> None:
        # The register starts with the highest version in force in any process that can be reached.
        self._rounds.read([member.name for member in self._members.live()])
        register = self._rounds.form(voters).register_formed
        if not register:
            return
        self._in_force.register = register
        proposer = self._rounds.propose(
            voters=voters, quorum=majority(voters), change_function=self._rounds.base_value
        )
        if proposer.chosen is not None:
            get_logger().info("register_formed", register=register, version=proposer.chosen.version)
