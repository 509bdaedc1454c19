"""Tests the replicated log with random schedules of faults.

Each schedule runs three or five replicas on a manual clock. It crashes replicas, wipes disks,
isolates replicas, drops messages, takes snapshots and adds instances, while commands are proposed.
At every step, at most one replica may hold the lease, and one that serves has the whole state that
was served before. At the end, after all faults have been healed, every replica must hold the same
commands, including all acknowledged ones.

    python -m tools.fuzz_store --steps 200000 --seed 1
"""

from collections import Counter

from tools.fuzz import main
from tools.replica_world import Replica, World

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
        schedule = Schedule(seed=world_seed, has_joiners=with_joiners)
        try:
            schedule.run()
        except AssertionError as exc:
            raise AssertionError(f"seed {world_seed}, joiners {with_joiners}: {exc}") from exc
        counts += schedule.counts
        counts["worlds"] += 1
        counts["acknowledged"] += len(schedule.world.acknowledged)
    return counts


if __name__ == "__main__":
    main(run, description=__doc__, steps=200_000)
