"""Tests of the upstreams on which the members of a gang start."""

from collections import Counter

import pytest

from kumquatlift.authority import JobSpec, Step
from tests.authority_world import make
from tools.fleet_model import FleetModel

JOB = "a" * 16


def members(world: FleetModel) -> Counter[str]:
    """Return the number of running members of the gang on each upstream that has any."""
    return Counter({name: len(each.runs) for name, each in world.upstreams.items() if each.runs})


class TestAntiAffinity:
    """Guards against members that don't count each other, so that too many share an upstream."""

    @pytest.mark.parametrize("most", [1, 2])
    def test_no_upstream_gets_more_members_than_the_step_allows(self, most: int) -> None:
        world = make(upstreams=4)
        step = Step(4, 100, 64, 0, 900, is_gang=True, max_per_upstream=most)
        world.submit(JOB, JobSpec("text", (step,)), work_ms=900)
        world.run(0.3)
        assert world.starts == 4
        assert max(members(world).values()) <= most

    def test_a_gang_that_has_too_few_upstreams_does_not_start(self) -> None:
        world = make(upstreams=3)
        step = Step(4, 100, 64, 0, 900, is_gang=True, max_per_upstream=1)
        world.submit(JOB, JobSpec("text", (step,)), work_ms=900)
        world.run(0.5)
        assert world.starts == 0
        world.add_upstream("u3")
        world.run(0.5)
        assert set(members(world).values()) == {1}
        assert world.starts == 4
