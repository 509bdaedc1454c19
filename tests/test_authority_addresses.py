"""Announcements that contradict each other: an address used twice, and a removal that is late."""

from kumquatlift.authority._leader import Leader
from tests.authority_world import job, make
from tools.fleet_model import FleetModel


def leader_of(world: FleetModel) -> Leader:
    leader = world.authority._leader
    assert leader is not None
    return leader


class TestAddressOfAnotherUpstream:
    """A newer announcement with the address of a known upstream."""

    def test_an_upstream_that_still_answers_keeps_its_tasks(self) -> None:
        """Guards against an odd announcement that starts the tasks of a live upstream again.

        Its tasks were taken for ended because a newer process seemed to listen at its address.
        """
        world = make(upstreams=2)
        world.submit("a" * 16, job(4), work_ms=900)
        world.run(0.2)
        assert world.starts == 4
        u0 = world.upstreams["u0"].state
        odd = u0._replace(upstream_id="odd", started_at_ms=u0.started_at_ms + 100)
        world.announce(odd)
        world.run(3.0)
        assert world.violations == []
        assert world.starts == 4
        assert world.state_of("a" * 16) == "completed"
        world.submit("b" * 16, job(4), work_ms=100)
        world.run(1.0)
        assert world.state_of("b" * 16) == "completed"
        assert "u0" in leader_of(world).fleet

    def test_the_tasks_of_a_replaced_upstream_start_again_at_once(self) -> None:
        world = make(upstreams=1)
        address = world.upstreams["u0"].state.address
        world.submit("a" * 16, job(2), work_ms=200)
        world.run(0.1)
        world.kill_upstream("u0")
        world.add_upstream("next", address=address)
        world.run(0.4)
        assert world.state_of("a" * 16) == "completed"
        assert world.violations == []
        world.run(0.2)
        assert list(leader_of(world).fleet) == ["next"]
        assert list(world.authority.state.upstreams) == ["next"]


class TestLateRemoval:
    """The removal of an incarnation that is committed after the announcement of the next one."""

    def test_the_next_incarnation_stays_in_use(self) -> None:
        """Guards against a restarted upstream that gets no tasks until the leader changes."""
        world = make(upstreams=1)
        former = world.upstreams["u0"].state
        world.kill_upstream("u0")
        world.run(0.1)
        world.add_upstream("u0")
        leader_of(world)._propose_removal(former)
        world.run(0.2)
        world.submit("a" * 16, job(2), work_ms=100)
        world.run(1.0)
        assert world.state_of("a" * 16) == "completed"
        assert list(world.authority.state.upstreams) == ["u0"]

    def test_tasks_that_run_there_go_on(self) -> None:
        world = make(upstreams=1)
        former = world.upstreams["u0"].state
        world.kill_upstream("u0")
        world.add_upstream("u0")
        world.run(0.2)
        world.submit("a" * 16, job(2), work_ms=500)
        world.run(0.1)
        leader_of(world)._propose_removal(former)
        world.run(0.1)
        world.submit("b" * 16, job(2, estimate_ms=400), work_ms=100)
        world.run(1.5)
        assert world.starts == 4
        assert world.violations == []
        assert world.state_of("b" * 16) == "completed"
