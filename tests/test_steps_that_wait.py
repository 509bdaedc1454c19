"""Steps of a job that wait for resources which others of its steps don't need."""

from kumquatlift.authority import JobSpec, Step, TaskKey
from tests.authority_world import make

JOB = "a" * 16
PLAIN = Step(2, 6800, 64, 0, 100)


class TestTasksBehindAnotherStep:
    """Guards against tasks that never start because an earlier step of their job can't be placed.

    Load: free upstreams, and a job of which one step needs a label that no upstream has.
    """

    def test_they_start(self) -> None:
        world = make(upstreams=2)
        steps = (PLAIN._replace(label="accelerator"), PLAIN)
        world.submit(JOB, JobSpec("text", steps), work_ms=100)
        world.run(1.0)
        job = world.authority.state.jobs[JOB]
        assert job.done == {TaskKey(JOB, 0, 1, 0), TaskKey(JOB, 0, 1, 1)}

    def test_those_of_a_lost_upstream_start_elsewhere(self) -> None:
        world = make(upstreams=2)
        endless = PLAIN._replace(tasks=1, runs_until_cancelled=True)
        steps = (endless._replace(label="accelerator"), endless)
        world.submit(JOB, JobSpec("text", steps), work_ms=100_000)
        world.run(0.5)
        leader = world.authority._leader
        assert leader is not None
        task = TaskKey(JOB, 0, 1, 0)
        world.kill_upstream(leader.progress[JOB].running[task])
        world.run(4.0)
        assert leader.progress[JOB].running[task] in world.upstreams

    def test_a_larger_task_does_not_hold_up_a_smaller_one(self) -> None:
        world = make(upstreams=1)
        world.submit("b" * 16, JobSpec("text", (PLAIN._replace(tasks=1),)), work_ms=2000)
        world.run(0.1)
        steps = (PLAIN._replace(cpu_milli=16_000), PLAIN._replace(tasks=1))
        world.submit(JOB, JobSpec("text", steps), work_ms=100)
        world.run(0.5)
        assert world.authority.state.jobs[JOB].done == {TaskKey(JOB, 0, 1, 0)}
