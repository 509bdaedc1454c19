"""The leader is killed while hundreds of tasks end: does a task that has ended run again?"""

import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stand import (  # noqa: E402
    TROUBLE,
    CannotRunError,
    System,
    job_id,
    play,
    route,
    runs_at_the_same_time,
    starts_after_a_noted_end,
)

HOST = "nony24.example"
PREFIX = "/lohu1/"
JOBS = 6
TASKS = 540
CPU = 4
# The tasks end one after the other at this distance, however fast they are started. Between two
# lists of a live leader, which are about 40 ms apart, that is some 90 ends.
END_EVERY_S = 0.0005
FIRST_END_S = 4.0
AGAIN_MS = 300


def work(name, run, spec, server):
    """Return how long a run takes: the first one until its task's time, a repeated one 0.3 s."""
    if server.owner.was_started(name):
        return AGAIN_MS, "done"
    fields = json.loads(spec)
    ends_at = fields["first_end"] + END_EVERY_S * (fields["job"] * TASKS + int(name.split(".")[3]))
    return max(1.0, (ends_at - time.time()) * 1000), "done"


def case(system):
    """Play the case and return the breaks of the rule."""
    system.start()
    system.configure([route("r", HOST, PREFIX)])
    system.servers.logs_holds = True
    for number in range(2):
        kind = "b" if number else "a"
        system.servers.add(f"i-{number}", system.server_address(number), labels=(kind, "r1"))
    system.wait_ready()
    time.sleep(1)
    paths = []
    first_end = time.time() + FIRST_END_S
    for number in range(JOBS):
        step = {
            "count": TASKS,
            "cpu": CPU,
            "requestedMemoryMb": 2,
            "estimatedMs": round(FIRST_END_S * 1000),
            "requirements": "b",
        }
        spec = json.dumps({"first_end": first_end, "job": number})
        # A job that is refused at a busy moment is handed in again under a new id.
        for _ in range(10):
            path = PREFIX + job_id()
            if system.call("POST", HOST, path, {"spec": spec, "steps": [step]})[0] == 200:
                break
            time.sleep(0.1)
        else:
            raise CannotRunError("a job was not accepted")
        paths.append(path)
    deadline = time.monotonic() + 30
    while not any(event[1] == "done" for event in system.servers.snapshot()):
        if time.monotonic() > deadline:
            raise CannotRunError("no task has ended")
        time.sleep(0.02)
    if TROUBLE:
        time.sleep(0.15)
        leader = system.leader()
        leader.kill()
        time.sleep(1)
        leader.start()
    time.sleep(20)
    events = system.servers.snapshot()
    broken = []
    for path in paths:
        system.record("check", f"{path}: {system.state(HOST, path)}")
    again = starts_after_a_noted_end(events)
    for name, run, server, late_s in again:
        system.record("check", f"{name} run {run} starts on {server} {late_s:.3f} s after its end")
    if again:
        broken.append(
            f"TWICE: {len(again)} starts of tasks that had ended done, with ends that were taken "
            f"note of; the first is {again[0]}"
        )
    both = runs_at_the_same_time(events)
    if both:
        broken.append(f"TWICE: {len(both)} runs beside another run of the task; {both[0]}")
    return broken


play(case, System(HERE, work=work, size_of=lambda name: CPU))
