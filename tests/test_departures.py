"""Tests of upstreams that leave, or are removed, while they may hold runs."""

import json

import pytest

from kumquatlift.authority import Operation, Request, ServingConfig
from kumquatlift.authority._commands import Command, CommandKind, UpstreamState
from kumquatlift.authority._state import State
from kumquatlift.codes import ResultCode
from tests.authority_world import answered_at_end, job, make
from tools import fleet_model
from tools.fleet_model import FleetModel

JOB = "a" * 16
# Enough for the departure to be committed, and not for a task to end.
COMMITTED_S = 2 * fleet_model.COMMIT_S


def leave(world: FleetModel, *names: str) -> None:
    """Report the departure of upstreams, which go on running what they have begun."""
    for name in names:
        world.send_request(Request(Operation.LEAVE, {"upstream": name}))


def reload_state(world: FleetModel) -> None:
    """Continue with what a snapshot holds, as an instance that has just started does."""
    world.authority.restore(world.authority.snapshot())


def announcement(name: str, born_ms: int = 1000, *, is_draining: bool = False) -> UpstreamState:
    return UpstreamState(name, born_ms, "10.0.0.9:1", "s", "z", 16_000, 32_768, 0, (), is_draining)


def replica() -> State:
    return State(read_config=lambda _source: ServingConfig())


def apply(state: State, kind: CommandKind, fields: dict[str, object]) -> None:
    state.apply(1, 1, Command(kind, fields).to_bytes())


class TestLostLeaders:
    """Guards against tasks that run twice when the leader is lost after an upstream has left.

    The replicated state forgot the upstream with its departure, so the next leader neither polled
    it nor waited for its lease.
    """

    @pytest.mark.parametrize("has_snapshot", [False, True])
    @pytest.mark.parametrize("losses", [1, 2])
    @pytest.mark.parametrize("gap_s", [0.05, 0.4])
    @pytest.mark.parametrize("leaving", [("u0",), ("u0", "u1"), ("u0", "u1", "u2")])
    def test_the_tasks_wait_until_the_upstream_holds_none(
        self, leaving: tuple[str, ...], gap_s: float, losses: int, has_snapshot: bool
    ) -> None:
        world = make(upstreams=3)
        world.submit(JOB, job(4, estimate_ms=1500), work_ms=1500)
        world.run(0.2)
        world.add_upstream("spare")
        leave(world, *leaving)
        world.run(COMMITTED_S)
        for _ in range(losses):
            world.change_leader(gap_s=gap_s)
            if has_snapshot:
                reload_state(world)
            world.run(gap_s + 0.02)
        world.run(8.0)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"

    @pytest.mark.parametrize("fault", ["killed", "unreachable", "without answers"])
    def test_an_upstream_that_can_no_longer_be_heard_is_waited_for_until_its_lease_is_over(
        self, fault: str
    ) -> None:
        world = make(upstreams=2)
        world.submit(JOB, job(4, estimate_ms=900), work_ms=900)
        world.run(0.2)
        world.add_upstream("spare")
        leave(world, "u0")
        world.run(COMMITTED_S)
        world.change_leader(gap_s=0.1)
        if fault == "killed":
            world.kill_upstream("u0")
        elif fault == "unreachable":
            world.upstreams["u0"].is_reachable = False
        else:
            world.upstreams["u0"].can_reply = False
        world.run(6.0)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"
        assert world.authority.state.departed == {}

    def test_an_upstream_removed_by_the_leader_while_it_starts_tasks_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The removal of a silent upstream is committed after it has become reachable again."""
        world = make(upstreams=1)
        upstream = world.upstreams["u0"]
        world.submit(JOB, job(2, estimate_ms=4000), work_ms=4000)
        upstream.is_reachable = False
        world.run(4.0)
        assert world.starts == 0
        with monkeypatch.context() as patch:
            patch.setattr(fleet_model, "COMMIT_S", 4.0)
            entries = world.log.entries
            while world.log.entries == entries:
                world.run(0.1)
            upstream.is_reachable = True
            while world.authority.state.upstreams:
                world.run(0.1)
        assert len(upstream.runs) == 2
        world.add_upstream("spare")
        world.run(COMMITTED_S)
        world.change_leader(gap_s=0.1)
        world.run(6.0)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"

    def test_an_incarnation_that_leaves_before_it_has_listed_the_runs_of_its_predecessor(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a second start of tasks that its predecessor's orders started there."""
        world = make(upstreams=1)
        orders: list[tuple[object, ...]] = []
        monkeypatch.setattr(world, "start", lambda *order: orders.append(order))
        monkeypatch.setattr(world, "poll", lambda *_poll: None)
        world.submit(JOB, job(2, estimate_ms=600), work_ms=600)
        world.run(0.03)
        world.kill_upstream("u0")
        world.add_upstream("u0")
        world.run(0.02)
        monkeypatch.undo()
        for order in orders:
            world.start(*order)  # type: ignore[arg-type]
        world.add_upstream("spare")
        leave(world, "u0")
        world.run(6.0)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"


class TestEndsOfDepartures:
    """Guards against upstreams that have left and stay in the replicated state for ever."""

    @pytest.mark.parametrize("tasks", [0, 4])
    @pytest.mark.parametrize("is_up", [False, True])
    def test_an_upstream_that_has_left_is_forgotten(self, tasks: int, is_up: bool) -> None:
        world = make(upstreams=2)
        if tasks:
            world.submit(JOB, job(tasks, estimate_ms=300), work_ms=300)
            world.run(0.1)
        leave(world, "u0")
        world.run(COMMITTED_S)
        if not is_up:
            world.kill_upstream("u0")
        world.run(3.0)
        assert world.authority.state.departed == {}
        leader = world.authority._leader
        assert leader is not None
        assert list(leader.fleet) == ["u1"]

    def test_an_upstream_without_runs_is_forgotten_at_once(self) -> None:
        """Guards against a recovery that waits for the lease of an upstream that held no runs."""
        world = make(upstreams=2)
        leave(world, "u0")
        world.run(2 * COMMITTED_S)
        assert world.authority.state.departed == {}
        world.kill_upstream("u0")
        world.change_leader(gap_s=0.1)
        world.run(0.15)
        leader = world.authority._leader
        assert leader is not None
        assert not leader.is_recovering

    def test_an_upstream_whose_address_another_one_has_taken_is_forgotten(self) -> None:
        world = make(upstreams=2)
        world.submit(JOB, job(4, estimate_ms=600), work_ms=600)
        world.run(0.2)
        address = world.upstreams["u0"].state.address
        leave(world, "u0")
        world.run(COMMITTED_S)
        world.kill_upstream("u0")
        world.change_leader(gap_s=0.1)
        world.add_upstream("u2", address=address)
        world.run(0.5)
        assert world.authority.state.departed == {}
        world.run(5.0)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"


class TestAnnouncementsAfterADeparture:
    """An upstream that has left may be announced again, by a late message or a new process."""

    def test_one_that_the_leader_removed_returns(self) -> None:
        world = make(upstreams=2)
        leave(world, "u0")
        world.run(COMMITTED_S)
        world.announce(world.upstreams["u0"].state)
        world.run(0.1)
        assert set(world.authority.state.upstreams) == {"u0", "u1"}
        assert world.authority.state.departed == {}

    def test_one_that_was_draining_gets_no_tasks_after_a_late_announcement(self) -> None:
        """Guards against an upstream that has left and is in use again."""
        world = make(upstreams=1)
        world.submit(JOB, job(2, estimate_ms=600), work_ms=600)
        world.run(0.1)
        ready = world.upstreams["u0"].state
        world.announce(ready._replace(is_draining=True))
        world.run(COMMITTED_S)
        leave(world, "u0")
        world.run(COMMITTED_S)
        world.announce(ready)
        world.run(0.1)
        world.submit("b" * 16, job(), work_ms=50)
        world.run(0.2)
        assert world.starts == 2

    def test_a_late_announcement_of_a_previous_incarnation_is_ignored(self) -> None:
        world = make(upstreams=1)
        previous = world.upstreams["u0"].state
        world.submit(JOB, job(2, estimate_ms=600), work_ms=600)
        world.kill_upstream("u0")
        world.run(0.1)
        world.add_upstream("u0")
        world.run(0.5)
        leave(world, "u0")
        world.run(COMMITTED_S)
        world.announce(previous)
        world.run(COMMITTED_S)
        assert world.authority.state.upstreams == {}


class TestLateDepartures:
    """A departure may be delayed until the next incarnation has begun."""

    def restart(self) -> tuple[FleetModel, UpstreamState]:
        """Return a world whose upstream has restarted and runs tasks, and its first incarnation."""
        world = make(upstreams=1)
        first = world.upstreams["u0"].state
        world.kill_upstream("u0")
        world.run(0.1)
        world.add_upstream("u0")
        world.submit(JOB, job(2, estimate_ms=1500), work_ms=1500)
        world.run(0.5)
        assert world.starts == 2
        return world, first

    def test_one_that_names_the_first_incarnation_changes_nothing(self) -> None:
        world, first = self.restart()
        fields = {"upstream": "u0", "born_ms": first.started_at_ms}
        fut = world.send_request(Request(Operation.LEAVE, fields))
        world.run(0.1)
        assert fut.result(timeout=0).code is ResultCode.ACCEPTED
        assert set(world.authority.state.upstreams) == {"u0"}

    def test_after_one_that_names_none_the_leader_is_lost(self) -> None:
        """Guards against tasks that run twice, and an upstream that is never used again."""
        world, _ = self.restart()
        world.add_upstream("spare")
        leave(world, "u0")
        world.run(COMMITTED_S)
        world.change_leader(gap_s=0.1)
        world.run(1.0)
        world.announce(world.upstreams["u0"].state)
        world.run(5.0)
        assert world.violations == []
        assert world.state_of(JOB) == "completed"
        assert set(world.authority.state.upstreams) == {"u0", "spare"}


class TestReplicatedState:
    """Guards against departures that a snapshot or a build before this one loses or misreads."""

    def test_a_snapshot_holds_departures(self) -> None:
        state = replica()
        apply(state, CommandKind.UPSTREAM, {"upstream": list(announcement("u"))})
        apply(state, CommandKind.UPSTREAM_LEFT, {"upstream": "u", "born_ms": 1000})
        restored = replica()
        restored.restore(state.snapshot())
        assert restored.departed == state.departed == {"u": announcement("u")}
        apply(restored, CommandKind.DEPARTURE_OVER, {"upstream": "u", "born_ms": 1000})
        assert restored.departed == {}

    def test_snapshots_of_the_build_before_have_no_departures(self) -> None:
        state = replica()
        assert "departed" not in json.loads(state.snapshot())
        state.restore(b'{"config": "", "jobs": [], "upstreams": []}')
        assert state.departed == {}

    @pytest.mark.parametrize(
        ("born_ms", "departed"), [(999, {"u": announcement("u")}), (1000, {}), (1001, {})]
    )
    def test_the_end_of_the_departure_of_an_earlier_incarnation_changes_nothing(
        self, born_ms: int, departed: dict[str, UpstreamState]
    ) -> None:
        state = replica()
        apply(state, CommandKind.UPSTREAM, {"upstream": list(announcement("u"))})
        apply(state, CommandKind.UPSTREAM_LEFT, {"upstream": "u", "born_ms": 1000})
        apply(state, CommandKind.DEPARTURE_OVER, {"upstream": "u", "born_ms": born_ms})
        assert state.departed == departed

    def test_the_end_of_a_departure_leaves_an_upstream_that_has_returned(self) -> None:
        """Guards against an upstream in use that all replicas but the leader forget."""
        state = replica()
        apply(state, CommandKind.UPSTREAM, {"upstream": list(announcement("u"))})
        apply(state, CommandKind.UPSTREAM_LEFT, {"upstream": "u", "born_ms": 1000})
        apply(state, CommandKind.UPSTREAM, {"upstream": list(announcement("u"))})
        apply(state, CommandKind.DEPARTURE_OVER, {"upstream": "u", "born_ms": 1000})
        assert state.upstreams == {"u": announcement("u")}

    def test_a_newer_incarnation_ends_the_departure_of_the_one_before(self) -> None:
        state = replica()
        apply(state, CommandKind.UPSTREAM, {"upstream": list(announcement("u"))})
        apply(state, CommandKind.UPSTREAM_LEFT, {"upstream": "u", "born_ms": 1000})
        apply(state, CommandKind.UPSTREAM, {"upstream": list(announcement("u", 2000))})
        assert state.departed == {}
        assert state.upstreams == {"u": announcement("u", 2000)}


class TestOtherFactsOfALostLeader:
    """What a leader has told an upstream or a caller holds under its successor."""

    @pytest.mark.parametrize("has_snapshot", [False, True])
    def test_an_upstream_whose_draining_was_acknowledged_gets_no_tasks(
        self, has_snapshot: bool
    ) -> None:
        world = make(upstreams=1)
        fut = world.announce(world.upstreams["u0"].state._replace(is_draining=True))
        world.run(COMMITTED_S)
        assert fut.result(timeout=0).code is ResultCode.ACCEPTED
        world.change_leader(gap_s=0.1)
        if has_snapshot:
            reload_state(world)
        world.submit(JOB, job(), work_ms=50)
        world.run(1.0)
        world.announce(world.upstreams["u0"].state)
        world.run(1.0)
        assert world.starts == 0

    @pytest.mark.parametrize("answers_at_end", [False, True])
    def test_a_job_that_was_refused_never_runs(self, answers_at_end: bool) -> None:
        world = make(upstreams=1)
        spec = job(4, estimate_ms=2000)._replace(answers_at_end=answers_at_end)
        futs = []
        for number in range(20):
            futs.append(world.submit(f"{number:016x}", spec, work_ms=2000))
            world.run(COMMITTED_S)
        refused = {
            f"{n:016x}"
            for n, fut in enumerate(futs)
            if fut.done() and fut.result().code is ResultCode.OVERLOADED
        }
        assert refused
        world.change_leader(gap_s=0.2)
        world.run(40.0)
        assert not refused.intersection(task.job for task in world._started_at)
        assert world.violations == []

    def test_a_job_that_all_callers_have_left_is_not_started_by_the_next_leader(self) -> None:
        world = make(upstreams=1)
        world.submit(JOB, answered_at_end(2), work_ms=9000, attempt="first")
        world.run(0.1)
        fields = {"job": JOB, "attempt": "first"}
        world.send_request(Request(Operation.WITHDRAW, fields))
        world.run(0.1)
        world.change_leader(gap_s=0.2)
        world.run(4.0)
        assert world.starts == 2
        assert not world.upstreams["u0"].runs
