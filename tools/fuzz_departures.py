"""Fuzzes the leader with upstreams that leave, beside the faults of ``tools.fuzz_leases``.

Upstreams report that they leave while they run tasks, go on for a while, and end; another one takes
their place, at times at their address or under their identity. Leaders are often lost just before
or after the departure is committed, and the next one continues from a snapshot of the state.

    python -m tools.fuzz_departures --steps 200000 --seed 1
"""

import random
from collections import Counter

from kumquatlift.authority import Operation, Request
from tools.fleet_model import COMMIT_S
from tools.fuzz import main
from tools.fuzz_leases import Schedule, run
from tools.model_upstream import ModelUpstream

LEAVE_CHANCE = 0.2
# Longest time for which an upstream goes on after it has reported that it leaves.
MAX_LINGER_S = 2.5
# Share of departures that are followed by the loss of the leader, and its latest time.
LOST_LEADER_SHARE = 0.5
MAX_LOSS_DELAY_S = 4 * COMMIT_S
# Share of departures before which the upstream reports that it drains.
DRAINING_SHARE = 0.7
# Interval at which a departure is reported again until the upstream ends.
REPEAT_S = 1.0


class DepartingSchedule(Schedule):
    """A schedule in which upstreams leave as well.

    Args:
        seed: Seed of all random choices.
    """

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        # The departures have their own source of random numbers, so that the other faults of a
        # seed are those of ``tools.fuzz_leases``.
        self._departures = random.Random(f"departures {seed}")
        self._leaving: set[ModelUpstream] = set()
        self._names = 0

    def _announces(self, upstream: ModelUpstream) -> bool:
        return super()._announces(upstream) and upstream not in self._leaving

    def _act(self) -> None:
        super()._act()
        if self._departures.random() < LEAVE_CHANCE:
            self._let_one_leave()

    def _let_one_leave(self) -> None:
        staying = [each for each in self.world.upstreams.values() if each not in self._leaving]
        if not staying:
            return
        upstream = self._departures.choice(staying)
        self.counts["departures"] += 1
        if self._departures.random() < DRAINING_SHARE:
            self.world.announce(upstream.state._replace(is_draining=True))
            self._step()
        self._leaving.add(upstream)
        self._report(upstream)
        self.world.later(self._departures.uniform(0.0, MAX_LINGER_S), self._end, upstream)
        self._names += 1
        self._add_upstream(f"new{self._names}")
        if self._departures.random() < LOST_LEADER_SHARE:
            delay_s = self._departures.uniform(0.0, MAX_LOSS_DELAY_S)
            self.world.later(delay_s, self._lose_leader)

    def _is_up(self, upstream: ModelUpstream) -> bool:
        return self.world.upstreams.get(upstream.state.upstream_id) is upstream

    def _report(self, upstream: ModelUpstream) -> None:
        """Report a departure, and again until the upstream ends, as if no answer arrived."""
        if not self._is_up(upstream):
            return
        fields = {
            "upstream": upstream.state.upstream_id,
            "born_ms": upstream.state.started_at_ms,
        }
        self.world.send_request(Request(Operation.LEAVE, fields))
        self.world.later(REPEAT_S, self._report, upstream)

    def _end(self, upstream: ModelUpstream) -> None:
        if not self._is_up(upstream):
            return
        name = upstream.state.upstream_id
        self.world.kill_upstream(name)
        if self._departures.random() < 0.3:
            self._add_upstream(name)

    def _lose_leader(self) -> None:
        if not self.world.log.is_serving:
            return
        self.world.change_leader(gap_s=self._departures.uniform(0.05, 0.6))
        self.world.authority.restore(self.world.authority.snapshot())


def run_departures(*, seed: int, steps: int) -> Counter[str]:
    """Run worlds with departures; see ``tools.fuzz_leases.run``."""
    return run(seed=seed, steps=steps, schedule=DepartingSchedule)


if __name__ == "__main__":
    main(run_departures, description=__doc__, steps=200_000)
