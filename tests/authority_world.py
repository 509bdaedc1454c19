"""Jobs, a queue and a simulated fleet for the tests of the authority."""

from kumquatlift.authority import JobSpec, Queue, Step
from tools.fleet_model import FleetModel

QUEUE = Queue("q", "h", "/q/", "s", 0, 3, 1.6, 60)


def job(tasks: int = 1, *, cpu_milli: int = 6800, estimate_ms: int = 100) -> JobSpec:
    """Return a job of one step that is in the log."""
    return JobSpec("text", (Step(tasks, cpu_milli, 64, 0, estimate_ms),))


def answered_at_end(tasks: int = 1) -> JobSpec:
    """Return a job that only its leader knows and whose submission is answered at its end."""
    return job(tasks)._replace(answers_at_end=True)


def make(upstreams: int = 3, **options: float) -> FleetModel:
    """Return a simulated fleet with upstreams and one queue in force."""
    world = FleetModel(**options)  # type: ignore[arg-type]
    for number in range(upstreams):
        world.add_upstream(f"u{number}")
    world.run(0.2)
    world.configure(QUEUE)
    return world
