"""A route is removed, and the core that leads is killed: the route's accepted job never goes on."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand2
from stand2 import World, config, route

JOB = "00000000000000a1"
OTHER = "00000000000000b1"
STEPS = [
    {"count": 2, "cpu": 4000, "requestedMemoryMb": 64, "estimatedMs": 4000},
    {"count": 2, "cpu": 4000, "requestedMemoryMb": 64, "estimatedMs": 200, "dependsOn": [0]},
]
WORK = [{"cpu": 4000, "ms": 4000}, {"cpu": 4000, "ms": 200}]


def case(world: World) -> bool:
    """Play the case; return whether the rule LOST was broken."""
    world.start(config(3, [route("r1", "/keep/"), route("r2", "/drop/")]), runners=6)
    is_accepted = world.submit(f"/drop/{JOB}", STEPS, WORK) == 200
    if not (is_accepted and world.submit(f"/keep/{OTHER}", STEPS, WORK) == 200):
        raise stand2.CannotRun("a job was not accepted")
    time.sleep(1.0)
    world.replace_config(config(8, [route("r1", "/keep/")]))
    time.sleep(1.0)
    if stand2.trouble():
        world.leader().kill_and_restart(1.0)
    # The traffic has ended. Without a disruption, both jobs take 4.3 s.
    time.sleep(stand2.FINISH_S)
    if world.state(f"/keep/{OTHER}") != "completed":
        world.note("check", "the job on the route that stays isn't completed either")
    return world.is_lost(JOB, f"/drop/{JOB}", tasks=2, cpu=4000)


stand2.play(case, Path(__file__).with_name("record.txt"))
