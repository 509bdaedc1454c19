"""A route is removed, and the core that leads is killed: callers of running jobs are answered 404.

Each client hands in one job that needn't be kept, before the route is removed, and waits for its
answer. It makes no other attempt, as 404 is no reason for one.
"""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand2
from stand2 import World, config, route

JOBS = 6
CPU = 4000
DEADLINE_MS = 9500
STEPS = [{"count": 2, "cpu": CPU, "requestedMemoryMb": 64, "estimatedMs": 5000}]
WORK = [{"cpu": CPU, "ms": 5000}]


def case(world: World) -> bool:
    """Play the case; return whether the rule REFUSED was broken."""
    routes = [route("r1", "/keep/"), {**route("r2", "/drop/"), "timeoutMs": 10_000}]
    world.start(config(3, routes), runners=6)
    statuses: dict[str, int] = {}

    def hand_in(number: int) -> None:
        job = f"{0xA000 + number:016x}"
        body = {"spec": json.dumps(WORK), "steps": STEPS, "bestEffort": True}
        at = world.frontends[number % len(world.frontends)].callers
        status, answer = stand2.http(
            at,
            "POST",
            f"/drop/{job}",
            body,
            headers={"Deadline-Ms": str(DEADLINE_MS)},
            timeout_s=DEADLINE_MS / 1000,
        )
        statuses[job] = status
        world.note("client", f"POST /drop/{job} -> {status} {json.dumps(answer)[:60]}")

    for number in range(JOBS):
        threading.Thread(target=hand_in, args=(number,), daemon=True).start()
    time.sleep(1.0)
    world.replace_config(config(8, routes[:1]))
    time.sleep(1.0)
    if stand2.trouble():
        world.leader().kill_and_restart(1.0)
    time.sleep(DEADLINE_MS / 1000)
    with world.lock:
        started = {task.split(".")[0] for _, task, _ in world.starts}
    refused = [job for job, status in statuses.items() if status in (404, 429, 503)]
    broken = sorted(started.intersection(refused))
    for job in broken:
        world.note(
            "check",
            f"REFUSED: tasks of {job} were started, and its only attempt was answered "
            f"{statuses[job]}",
        )
    return bool(broken)


stand2.play(case, Path(__file__).with_name("record.txt"))
