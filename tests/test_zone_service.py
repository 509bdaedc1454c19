"""Tests what a second authority, for a zone that is cut off, would meet beside today's leader.

Two authorities order one set of model upstreams, each those that its side of a cut reaches. The
second one is a plain leader with higher fencing tokens that has waited until all leases of the
first are over, so fences and leases alone decide. See docs/design/zone-service.md.
"""

from concurrent.futures import Future

import pytest

from kumquatlift.authority import Authority, Limits, Operation, Reply, Request, UpstreamRef
from kumquatlift.authority._leader import INCARNATIONS_PER_TERM
from kumquatlift.blackboard import Blackboard
from kumquatlift.store import Entry, Role
from tests.authority_world import QUEUE, answered_at_end
from tools.fleet_model import COMMIT_S, FleetModel, ModelLog
from tools.model_upstream import ModelUpstream

JOB = "a" * 16
RUNS_TWICE = f"{JOB}.0.0.0 runs twice"
ZONE_TERM = 1000
# Time after which a caller submits a job again that got no answer, in seconds.
RESUBMIT_S = Limits().resubmit_s
# Time after which the longest lease is over on the slowest clock, with a margin, in seconds.
LEASES_OVER_S = 1.3
# Run time of a task from the tail of the distribution, in milliseconds.
TAIL_MS = 5000.0


class ZoneLog(ModelLog):
    """Log of the zone's authority, which no other instance leads."""

    def __init__(self, *, world: "SplitFleet") -> None:
        super().__init__(world=world)
        self._split = world
        self.term = ZONE_TERM
        self.is_serving = False

    def propose(self, data: bytes) -> int | None:
        """Append a command, which is committed after ``COMMIT_S``."""
        self.entries += 1
        entry = Entry(self.term, data)
        self._split.later(COMMIT_S, self._split.zone_authority.apply, self.entries, entry)
        return self.entries


class SplitFleet(FleetModel):
    """Upstreams in two zones, a leader, and an authority of the zone "cut" that can be cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.is_cut = False
        self.zone_authority = Authority(
            read_config=lambda _source: self.config,
            gateway=self,
            loop=self.loop,
            clock=self.clock,
            limits=Limits(),
            section=Blackboard().section("zone"),
            wall_clock=self.clock.now,
        )
        self.zone_log = ZoneLog(world=self)
        self.zone_authority.attach(self.zone_log)
        for number in range(4):
            upstream = self.add_upstream(f"u{number}")
            upstream.state = upstream.state._replace(zone="cut" if number < 2 else "z")
            self.announce(upstream.state)
        self.run(0.2)
        self.configure(QUEUE)

    def _reachable(self, ref: UpstreamRef) -> ModelUpstream | None:
        upstream = super()._reachable(ref)
        is_of_zone = ref.token >= ZONE_TERM * INCARNATIONS_PER_TERM
        if upstream is None or (self.is_cut and is_of_zone != (upstream.state.zone == "cut")):
            return None
        return upstream

    def cut(self) -> None:
        """Cut the zone off; its authority serves once all leases of the leader are over there."""
        self.is_cut = True
        self.zone_log.leader_lost_at = self.clock.now()
        self.run(LEASES_OVER_S)
        self.zone_log.is_serving = True
        self.run(0.1)
        for upstream in self.upstreams.values():
            if upstream.state.zone == "cut":
                fields = {"upstream": list(upstream.state)}
                self._send_to_zone(Request(Operation.ANNOUNCE, fields))
        fields = {"version": self.config.version, "source": "{}"}
        self._send_to_zone(Request(Operation.REPLACE_CONFIG, fields))
        self.run(0.2)

    def heal(self) -> None:
        """End the cut and the service of the zone's authority."""
        self.is_cut = False
        self.zone_log.is_serving = False
        self.zone_authority.on_role(Role.FOLLOWER, ZONE_TERM + 1)

    def submit_to_zone(self, *, work_ms: float = TAIL_MS) -> "Future[Reply]":
        """Submit the job to the zone's authority."""
        self._work[JOB] = (work_ms, answered_at_end(1).steps[0].cpu_milli)
        fields = {
            "job": JOB,
            "attempt": "again",
            "spec": answered_at_end(1).to_plain(),
            "zone": "cut",
            "host": "h",
            "path": f"/q/{JOB}",
        }
        return self._send_to_zone(Request(Operation.SUBMIT, fields))

    def _send_to_zone(self, request: Request) -> "Future[Reply]":
        return self.zone_authority.handle_request(Request.from_bytes(request.to_bytes()))

    def submit_to_leader(self) -> "Future[Reply]":
        """Submit the job to the leader."""
        return self.submit(JOB, answered_at_end(1), work_ms=TAIL_MS, attempt="first")

    def return_to_zone(self) -> None:
        """Submit the job to the zone's authority as soon as a caller may."""
        self.run(RESUBMIT_S)
        self.submit_to_zone()
        self.run(0.1)

    @property
    def broken_rules(self) -> list[str]:
        """Violations without their times."""
        return [text.partition(": ")[2] for text in self.violations]

    @property
    def zones_of_runs(self) -> list[str]:
        """Zones of the upstreams that run a task."""
        return [each.state.zone for each in self.upstreams.values() if each.runs]


class TestSecondAuthority:
    """Fences and leases alone don't keep two sides from running one job at the same time."""

    def test_each_side_runs_jobs_of_its_own(self) -> None:
        """Shows that the model itself starts nothing twice."""
        world = SplitFleet()
        world.cut()
        reply = world.submit_to_zone(work_ms=300.0)
        world.submit("b" * 16, answered_at_end(1), work_ms=300)
        world.run(0.1)
        assert sorted(world.zones_of_runs) == ["cut", "z"]
        world.run(1.0)
        assert reply.result(timeout=0).fields == {"state": "completed"}
        assert world.broken_rules == []

    def test_a_caller_that_left_returns_on_the_other_side(self) -> None:
        """The leader keeps runs for 1.8 s for a caller that may return to it."""
        world = SplitFleet()
        world.cut()
        world.submit_to_leader()
        world.run(0.2)
        world.send_request(Request(Operation.WITHDRAW, {"job": JOB, "attempt": "first"}))
        world.return_to_zone()
        assert world.broken_rules == [RUNS_TWICE]

    def test_a_caller_whose_frontend_was_killed_returns_on_the_other_side(self) -> None:
        """The leader doesn't know when a frontend ends, nor when a caller's deadline has passed."""
        world = SplitFleet()
        world.cut()
        world.submit_to_leader()
        world.run(0.2)
        world.return_to_zone()
        assert world.broken_rules == [RUNS_TWICE]

    def test_a_caller_returns_on_the_other_side_after_a_change_of_the_leader(self) -> None:
        """The next leader keeps the runs that it finds until their callers had time to return."""
        world = SplitFleet()
        world.cut()
        world.submit_to_leader()
        world.run(0.2)
        world.change_leader(gap_s=0.6)
        world.return_to_zone()
        assert world.broken_rules == [RUNS_TWICE]

    def test_a_submission_that_was_held_up_arrives_when_the_cut_ends(self) -> None:
        """The leader hears of the zone's runs only after the first polls of its upstreams."""
        world = SplitFleet()
        world.cut()
        world.submit_to_zone()
        world.run(0.2)
        world.heal()
        world.submit_to_leader()
        world.run(0.1)
        assert world.broken_rules == [RUNS_TWICE]

    @pytest.mark.parametrize("is_reachable", [True, False])
    def test_runs_that_are_stopped_at_once_are_over_before_the_return(
        self, is_reachable: bool
    ) -> None:
        """Shows the bound that each side would have to keep, with and without its stop orders."""
        world = SplitFleet()
        world.cut()
        world.submit_to_leader()
        world.run(0.2)
        for upstream in world.upstreams.values():
            upstream.is_reachable = is_reachable or not upstream.runs
        world.send_request(Request(Operation.CANCEL, {"job": JOB}))
        world.return_to_zone()
        assert world.zones_of_runs == ["cut"]
        assert world.broken_rules == []
