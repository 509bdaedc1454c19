"""Tests the replicated log with random schedules of faults.

Each schedule runs three or five replicas on a manual clock. It crashes replicas, wipes disks,
isolates replicas, drops messages, takes snapshots and adds instances, while commands are proposed.
At every step, at most one replica may hold the lease, and one that serves has the whole state that
was served before. At the end, after all faults have been healed, every replica must hold the same
commands, including all acknowledged ones.

    python -m tools.fuzz_store --steps 200000 --seed 1

Every fourth schedule instead takes the power of all replicas at one instant, right after a command
was acknowledged, and as many of their disks as may be lost: 1 of 3, 2 of 6 or 2 of 8 replicas. This
strikes several times, also while voters are replaced, and while disks that were lost before are
being restored.

Every eighth schedule sends snapshots in many chunks. Meanwhile the leader replaces its journal,
loses its lease, is cut off, killed or replaced, and the follower restarts or has a slow disk. Then
the follower has to lead.
"""

import math
from collections import Counter

from kumquatlift.store import Role
from tools.fuzz import main
from tools.replica_world import STEP_S, SYNC_S, Replica, World

ACTIONS_PER_WORLD = 60
# Upper bound of the number of steps between two faults.
MAX_STEPS_BETWEEN = 40
PROPOSE_CHANCE = 0.3
# Shortest time between two wiped disks; longer than a recovery from a snapshot, so that the log is
# complete again on all disks.
WIPE_PAUSE_S = 5.0
SETTLE_S = 8.0
MAX_JOINERS = 2
WEIGHTS = {"crash": 2, "wipe": 1, "cut": 1, "heal": 1, "compact": 1, "restart": 1, "join": 1}


# A disk counts as lost for this long after its replica is back, or its successor has started, and
# all replicas are up and connected.
CATCH_UP_S = 4.0
# After this long with all replicas up and connected, one serves.
RECOVERY_S = 12.0
# Tolerated lost disks, and the number of replicas; each bootstraps with three.
POWER_LOSS_SIZES = ((1, 3), (2, 6), (2, 8))
POWER_LOSSES_PER_WORLD = 4
MAX_ACK_WAIT_S = 8.0
SLOW_SYNC_S = 0.4
# Snapshots that a schedule has sent, and the longest time before an event of a transfer.
TRANSFERS_PER_WORLD = 3
MAX_TRANSFER_STEPS = 40
TRANSFER_EVENTS = ("replace", "lease", "silence", "kill", "hand over", "restart", "slow disk")


class Schedule:
    """One simulated cluster and a random schedule of faults.

    Args:
        seed: Seed of all random choices.
        has_joiners: Whether instances join that are not among the initial voters.
    """

    def __init__(self, *, seed: int, has_joiners: bool) -> None:
        self.world = World(count=3 if seed % 3 else 5, seed=seed)
        self.counts: Counter[str] = Counter()
        self._rng = self.world.rng
        self._has_joiners = has_joiners
        self._wiped_at = -100.0
        self._number = 0
        self._lease_starts: dict[int, float] = {}
        self._shown: list[bytes] = []
        self._states: dict[int, bytes] = {}

    def run(self) -> None:
        """Inject the faults, heal them and check the result.

        Raises:
            AssertionError: An invariant failed.
        """
        world = self.world
        world.run(3.0)
        world.propose(b"first")
        world.run(0.5)
        for _ in range(ACTIONS_PER_WORLD):
            world.loss = self._rng.choice([0.0, 0.0, 0.1, 0.3])
            self._inject_fault(self._rng.choice(list(world.replicas.values())))
            for _ in range(self._rng.randrange(1, MAX_STEPS_BETWEEN)):
                self._step()
        settle(world)
        assert world.acknowledged[0] == b"first", "the first command was not acknowledged"
        check_agreement(world)

    def _step(self) -> None:
        self.world.step()
        self.counts["steps"] += 1
        check_lease(self.world)
        check_previous_lease(self.world, self._lease_starts)
        self.counts["served"] += check_served(self.world, self._shown)
        check_states(self.world, self._states)
        if self._rng.random() < PROPOSE_CHANCE:
            self.world.propose(b"c%d" % self._number)
            self._number += 1

    def _inject_fault(self, victim: Replica) -> None:
        world = self.world
        (action,) = self._rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
        self.counts[action] += 1
        match action:
            case "crash" if victim.is_up:
                victim.crash()
            case "wipe" if self._may_wipe(victim):
                self._wiped_at = world.clock.now()
                victim.crash(wipe=True)
            case "cut":
                name = victim.name
                world.cut = lambda sender, to: name in (sender, to)
            case "heal":
                world.cut = lambda sender, to: False
            case "compact":
                victim.compact()
            case "restart":
                for replica in world.replicas.values():
                    if not replica.is_up:
                        replica.start()
            case "join" if (
                self._has_joiners and world.target_voters < len(world.names) + MAX_JOINERS
            ):
                world.target_voters += 1
                world.add(f"joiner{world.target_voters}")

    def _may_wipe(self, victim: Replica) -> bool:
        """Return whether all other replicas are up and may vote, so that this disk may be lost."""
        others = [each for each in self.world.replicas.values() if each is not victim]
        is_safe = all(each.is_up and each.raft.can_vote for each in others)
        since_s = self.world.clock.now() - self._wiped_at
        return is_safe and victim.raft.can_vote and since_s > WIPE_PAUSE_S


class PowerLossSchedule:
    """Losses of all power and of as many disks as may be, each right after an acknowledgement.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, *, seed: int) -> None:
        self.world = World(count=3, seed=seed)
        self.counts: Counter[str] = Counter()
        self._rng = self.world.rng
        self._tolerated, self._size = self._rng.choice(POWER_LOSS_SIZES)
        self.world.target_voters = max(3, 2 * self._tolerated + 1)
        # Times from which lost disks count as restored, by replica.
        self._restored_at: dict[str, float] = {}
        self._lease_starts: dict[int, float] = {}
        self._leaders: dict[int, str] = {}
        self._shown: list[bytes] = []
        self._states: dict[int, bytes] = {}
        self._number = 0

    def run(self) -> None:
        """Take the power several times, and check the result after each.

        Raises:
            AssertionError: An invariant failed.
        """
        for number in range(3, self._size):
            self.world.add(f"n{number}")
        self._run(6.0)
        for _ in range(POWER_LOSSES_PER_WORLD):
            self._disturb()
            self._await_acknowledgement()
            self._lose_power()
            if self._rng.random() < 0.3:
                # Once more, before what was lost is restored.
                self._run(self._rng.random())
                self._lose_power(may_lose_disks=False)
            self._recover()
        for _ in range(200):
            self._step()
        check_agreement(self.world)

    def _disturb(self) -> None:
        """Wipe, replace or cut off replicas, and slow down disks, shortly before the power loss."""
        world, rng = self.world, self._rng
        for replica in world.replicas.values():
            replica.sync_s = SYNC_S * rng.choice([1, 1, 3])
        if rng.random() < 0.3:
            rng.choice(list(world.replicas.values())).compact()
        event = rng.choice(["none", "wipe", "replace", "replace", "cut", "slow"])
        self.counts[event] += 1
        if event == "wipe":
            victim = self._pick_disks(1)[0]
            victim.crash(wipe=True)
            self._run(rng.uniform(0.2, 1.5))
            victim.start()
            self._restored_at[victim.name] = world.clock.now() + CATCH_UP_S
        elif event == "replace":
            self._replace(self._pick_disks(1)[0], successor_after_s=rng.uniform(-1.0, 1.0))
        elif event == "cut":
            name = rng.choice(list(world.replicas))
            world.cut = lambda sender, to: name in (sender, to)
        elif event == "slow":
            rng.choice(list(world.replicas.values())).sync_s = SLOW_SYNC_S
        world.loss = rng.choice([0.0, 0.0, 0.1])
        self._run(rng.choice([0.0, rng.uniform(0.0, 1.5), rng.uniform(3.0, 7.0)]))

    def _replace(self, gone: Replica, *, successor_after_s: float) -> None:
        world = self.world
        name = f"{gone.name}+"
        if successor_after_s < 0:
            world.add(name)
            self._run(-successor_after_s)
        del world.replicas[gone.name]
        if successor_after_s >= 0:
            self._restored_at[name] = math.inf
            self._run(successor_after_s)
            world.add(name)
        # The settings name instances that exist.
        world.names = tuple(name if each == gone.name else each for each in world.names)
        started_at = world.clock.now() + min(successor_after_s, 0.0)
        self._restored_at[name] = started_at + CATCH_UP_S
        self._restored_at.pop(gone.name, None)

    def _pick_disks(self, count: int) -> list[Replica]:
        """Return replicas whose disks may be lost now; those that are being restored are first."""
        now = self.world.clock.now()
        replicas = list(self.world.replicas.values())
        lost = [each for each in replicas if self._restored_at.get(each.name, 0.0) > now]
        sound = [each for each in replicas if each not in lost]
        self._rng.shuffle(sound)
        # The leader holds the acknowledged command for certain, so its disk is lost most often.
        sound.sort(key=lambda each: each is not self.world.leader or self._rng.random() < 0.3)
        picked = lost + sound[: max(0, self._tolerated - len(lost))]
        return picked[:count] if count < len(picked) else picked

    def _lose_power(self, *, may_lose_disks: bool = True) -> None:
        world, rng = self.world, self._rng
        wiped = self._pick_disks(self._tolerated) if may_lose_disks else []
        for replica in world.replicas.values():
            replica.lose_power()
        for replica in wiped:
            replica.crash(wipe=True)
        self.counts["power losses"] += 1
        self.counts["lost disks"] += len(wiped)
        world.cut = lambda sender, to: False
        world.loss = 0.0
        world.drop_messages()
        self._run(rng.uniform(0.2, 1.0))
        for replica in rng.sample(list(world.replicas.values()), len(world.replicas)):
            replica.sync_s = SYNC_S
            if not replica.is_up:
                replica.start()
                self._run(rng.choice([0.0, 0.05, 0.3]))
        for replica in wiped:
            self._restored_at[replica.name] = math.inf

    def _recover(self) -> None:
        """Run until one replica serves, and check that all have the acknowledged commands."""
        world = self.world
        deadline = world.clock.now() + RECOVERY_S
        while not any(each.is_up and each.raft.is_serving for each in world.replicas.values()):
            assert world.clock.now() < deadline, "no replica serves after the power is back"
            self._step()
        self._run(CATCH_UP_S)
        self._restored_at.clear()
        leader = world.leader
        assert leader is not None, "there is no leader"
        held = set(leader.machine.commands)
        missing = [data for data in world.acknowledged if data not in held]
        assert missing == [], f"{len(missing)} acknowledged commands are lost"

    def _await_acknowledgement(self) -> None:
        before = len(self.world.acknowledged)
        deadline = self.world.clock.now() + MAX_ACK_WAIT_S
        while len(self.world.acknowledged) == before and self.world.clock.now() < deadline:
            self._step(propose=True)
        self.counts["after an acknowledgement"] += len(self.world.acknowledged) > before

    def _run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self._step(propose=self._rng.random() < PROPOSE_CHANCE)

    def _step(self, *, propose: bool = False) -> None:
        self.world.step()
        self.counts["steps"] += 1
        check_lease(self.world)
        check_previous_lease(self.world, self._lease_starts)
        check_leaders(self.world, self._leaders)
        self.counts["served"] += check_served(self.world, self._shown)
        check_states(self.world, self._states)
        if propose:
            self.world.propose(b"c%d" % self._number)
            self._number += 1


class TransferSchedule:
    """Snapshots that are sent to a replica while the leader and its snapshot change.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, *, seed: int) -> None:
        self.world = World(count=3, seed=seed)
        self.counts: Counter[str] = Counter()
        self._rng = self.world.rng
        self._lease_starts: dict[int, float] = {}
        self._leaders: dict[int, str] = {}
        self._shown: list[bytes] = []
        self._states: dict[int, bytes] = {}
        self._number = 0

    def run(self) -> None:
        """Send snapshots, disturb each transfer, and let the receiver lead.

        Raises:
            AssertionError: An invariant failed.
        """
        self._run(3.0)
        for _ in range(TRANSFERS_PER_WORLD):
            behind = self._begin_transfer()
            for event in self._rng.choices(TRANSFER_EVENTS, k=self._rng.randrange(1, 5)):
                self._run(self._rng.randrange(MAX_TRANSFER_STEPS) * STEP_S)
                self.counts[f"{event} in a transfer"] += self._is_sending(behind)
                self._disturb(event, behind)
            self._heal()
            self._let_lead(behind)
        settle(self.world)
        check_agreement(self.world)

    def _begin_transfer(self) -> Replica:
        """Restart a follower that needs a snapshot, and run until the first chunk is sent."""
        world = self.world
        followers = [each for each in world.replicas.values() if each is not world.leader]
        behind = self._rng.choice(followers)
        behind.crash(wipe=self._rng.random() < 0.5)
        self._run(self._rng.uniform(1.0, 3.0), propose=0.8)
        for replica in world.replicas.values():
            if replica is not behind and self._rng.random() < 0.8:
                replica.compact()
                self._run(self._rng.choice([0.0, 0.3]))
        if world.leader is not None:
            world.leader.compact()
        started_at = world.clock.now()
        behind.start()
        while not self._is_sending(behind) and world.clock.now() < started_at + 2.0:
            self._step(propose=True)
        return behind

    def _is_sending(self, to: Replica) -> bool:
        receiver, at = self.world.newest_chunk
        return receiver == to.name and self.world.clock.now() - at < 3 * STEP_S

    def _disturb(self, event: str, behind: Replica) -> None:
        world, rng = self.world, self._rng
        leader = world.leader
        if leader is None or leader is behind:
            return
        if event == "replace" or rng.random() < 0.5:
            leader.compact()
        match event:
            case "lease":
                other = next(
                    each for each in world.replicas.values() if each not in (leader, behind)
                )
                self._cut(rng.choice([{leader.name, other.name}, {leader.name}]))
            case "silence":
                self._cut({leader.name, behind.name})
            case "kill":
                leader.crash()
                self._run(rng.choice([0.1, 0.5]))
                leader.start()
            case "hand over":
                leader.raft.transfer_leadership()
            case "restart":
                behind.crash()
                behind.start()
            case "slow disk":
                behind.sync_s = SLOW_SYNC_S

    def _cut(self, names: set[str]) -> None:
        """Cut the link between two replicas, or all links of one, for a while."""
        self.world.cut = lambda sender, to: names <= {sender, to}
        for _ in range(int(self._rng.uniform(0.1, 0.8) / STEP_S)):
            self._step(propose=self._rng.random() < PROPOSE_CHANCE)
            if self._rng.random() < 0.02 and self.world.leader is not None:
                self.world.leader.compact()
        self.world.cut = lambda sender, to: False

    def _heal(self) -> None:
        for replica in self.world.replicas.values():
            replica.sync_s = SYNC_S
        self._run(CATCH_UP_S)

    def _let_lead(self, behind: Replica) -> None:
        """Stop each of the others in turn, so that the receiver has to vote, and leads mostly."""
        for other in [each for each in self.world.replicas.values() if each is not behind]:
            other.crash()
            self._run(1.5)
            self.counts["receiver leads"] += self.world.leader is behind
            other.start()
            self._run(1.5)

    def _run(self, seconds: float, *, propose: float = PROPOSE_CHANCE) -> None:
        for _ in range(int(seconds / STEP_S)):
            self._step(propose=self._rng.random() < propose)

    def _step(self, *, propose: bool = False) -> None:
        self.world.step()
        self.counts["steps"] += 1
        check_lease(self.world)
        check_previous_lease(self.world, self._lease_starts)
        check_leaders(self.world, self._leaders)
        self.counts["served"] += check_served(self.world, self._shown)
        check_states(self.world, self._states)
        if propose:
            self.world.propose(b"c%d" % self._number)
            self._number += 1


def settle(world: World) -> None:
    """Heal all faults and run until all replicas should agree."""
    world.loss = 0.0
    world.cut = lambda sender, to: False
    for replica in world.replicas.values():
        if not replica.is_up:
            replica.start()
    world.run(SETTLE_S)


def check_lease(world: World) -> None:
    """Check that at most one replica holds the leader lease."""
    holders = [each.name for each in world.replicas.values() if each.is_up and each.raft.has_lease]
    assert len(holders) <= 1, f"leases of {', '.join(holders)} at {world.clock.now():.2f} s"


def check_previous_lease(world: World, lease_starts: dict[int, float]) -> None:
    """Check that no earlier leader's lease started later than the present leader assumes.

    Args:
        world: The replicas.
        lease_starts: Newest time from which a lease was counted, by term; updated by this call.
    """
    now = world.clock.now()
    for each in world.replicas.values():
        if not each.is_up or not each.raft.has_lease:
            continue
        earlier = [at for term, at in lease_starts.items() if term < each.raft.term]
        previous_at = now - each.raft.since_previous_leader_s
        assert (
            previous_at >= max(earlier, default=0.0) - 1e-6
        ), f"{each.name} waits too short a time"
        lease_starts[each.raft.term] = now - each.raft.lease_age_s


def check_leaders(world: World, leaders: dict[int, str]) -> None:
    """Check that no two replicas are elected in one term.

    Args:
        world: The replicas.
        leaders: Leader of each term; updated by this call.
    """
    for each in world.replicas.values():
        if each.is_up and each.raft.role is Role.LEADER:
            first = leaders.setdefault(each.raft.term, each.name)
            assert first == each.name, f"term {each.raft.term} has two leaders"


def check_served(world: World, shown: list[bytes]) -> int:
    """Check that no replica serves from a state that is older than one that was served before.

    Args:
        world: The replicas.
        shown: Commands of the newest state that was served; updated by this call.

    Returns:
        Number of replicas that serve now.
    """
    serving = [each for each in world.replicas.values() if each.is_up and each.raft.is_serving]
    for each in serving:
        commands = each.machine.commands
        assert commands[: len(shown)] == shown, f"{each.name} serves from an older state"
        shown += commands[len(shown) :]
    return len(serving)


def check_states(world: World, states: dict[int, bytes]) -> None:
    """Check that all replicas that count themselves at one index have the same state there.

    Args:
        world: The replicas.
        states: Digest of the state by index; updated by this call.
    """
    for each in world.replicas.values():
        if each.is_up:
            digest = each.machine.digest
            index = each.raft.last_applied
            assert (
                states.setdefault(index, digest) == digest
            ), f"{each.name} has another state at index {index}"


def check_agreement(world: World) -> None:
    """Check that all replicas hold the same commands, including every acknowledged one."""
    logs = [replica.machine.commands for replica in world.replicas.values()]
    longest = max(logs, key=len)
    assert all(log == longest for log in logs), "the replicas hold different commands"
    missing = [data for data in world.acknowledged if data not in set(longest)]
    assert missing == [], f"{len(missing)} acknowledged commands are lost"
    assert len(set(longest)) == len(longest), "a command is held twice"


def run(*, seed: int, steps: int, has_joiners: bool | None = None) -> Counter[str]:
    """Run schedules until the number of steps is reached.

    Args:
        seed: Seed of the first schedule; each further one takes the next number.
        steps: Total number of steps of 10 ms, without those after the faults are healed.
        has_joiners: Whether instances join; None for every second schedule.

    Returns:
        Number of events of each kind.

    Raises:
        AssertionError: An invariant failed; the message names the seed of the schedule.
    """
    counts: Counter[str] = Counter()
    while counts["steps"] < steps:
        world_seed = seed + counts["worlds"]
        with_joiners = bool(world_seed % 2) if has_joiners is None else has_joiners
        schedule: Schedule | PowerLossSchedule | TransferSchedule
        if world_seed % 8 == 2:
            schedule = TransferSchedule(seed=world_seed)
        elif world_seed % 4 == 0:
            schedule = PowerLossSchedule(seed=world_seed)
        else:
            schedule = Schedule(seed=world_seed, has_joiners=with_joiners)
        try:
            schedule.run()
        except AssertionError as exc:
            kind = type(schedule).__name__
            raise AssertionError(
                f"seed {world_seed}, {kind}, joiners {with_joiners}: {exc}"
            ) from exc
        counts += schedule.counts
        counts["worlds"] += 1
        counts["acknowledged"] += len(schedule.world.acknowledged)
    return counts


if __name__ == "__main__":
    main(run, description=__doc__, steps=200_000)
