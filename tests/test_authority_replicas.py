"""Three replicas of the authority's state whose log holds commands that can't be applied."""

import json
from typing import Any

import pytest
from structlog.testing import capture_logs

from kumquatlift.authority import ServingConfig, TaskKey
from kumquatlift.authority._state import State
from kumquatlift.store import Entry, Role
from tests.test_authority_unknown_tasks import UNKNOWN_TASKS, ends_command, job_command
from tools import replica_world
from tools.replica_world import World


class Machine:
    """The authority's state as the state machine of a replica."""

    def __init__(self) -> None:
        self.state = State(read_config=lambda _source: ServingConfig(), wall_clock=lambda: 1.0)
        self.errors: list[Exception] = []

    def apply(self, index: int, entry: Entry) -> None:
        """Apply a command; an error is recorded, as the event loop logs it and goes on."""
        try:
            self.state.apply(index, entry.term, entry.data)
        except Exception as exc:
            self.errors.append(exc)

    def snapshot(self) -> bytes:
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        self.state.restore(state)

    def on_role(self, _role: Role, _term: int) -> None:
        return


def machines(world: World) -> list[Any]:
    return [replica.machine for replica in world.replicas.values()]


class TestOddCommands:
    """Guards against a committed command that ends all replicas at each start."""

    @pytest.mark.parametrize(
        "odd", [*map(ends_command, UNKNOWN_TASKS), b"no JSON", b'["ends",{}]'], ids=lambda odd: odd
    )
    def test_replicas_agree_and_start_again(
        self, odd: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(replica_world, "ListMachine", Machine)
        world = World()
        world.run(3.0)
        with capture_logs():
            for command in (job_command(), odd, ends_command(TaskKey("a" * 16, 0, 0, 1))):
                world.propose(command)
                world.run(0.3)
            assert [machine.errors for machine in machines(world)] == [[]] * 3
            # Of the three, one starts with the entries, the others with a snapshot.
            compacted = list(world.replicas.values())[1:]
            for replica in compacted:
                replica.compact()
            world.run(0.3)
            for replica in world.replicas.values():
                replica.crash()
                replica.start()
            world.run(3.0)
            world.propose(json.dumps(["cancel", {"job": "a" * 16, "at_ms": 3}]).encode())
            world.run(0.5)
        assert [machine.errors for machine in machines(world)] == [[]] * 3
        snapshots = {machine.snapshot() for machine in machines(world)}
        assert len(snapshots) == 1
        job = json.loads(snapshots.pop())["jobs"][0]
        assert (job[2][0], job[3]) == ("cancelled", [[0, 0, 1]])
