"""A runner leaves, and the leader loses power before its acknowledgement arrives; see claim.txt."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand3 import AnswerProxy, CaseError, Cluster, run_case

FOLDER = Path(__file__).resolve().parent
JOBS = 10
WORK_MS = 6000
DRAIN_S = 2.0
# Time after drainMs for which the runner still serves.
LONGER_S = 0.5
# The runner ends this long after it has first said that it leaves, acknowledged or not.
GIVE_UP_S = 5.0
RESTART_S = 1.0


async def play(cluster: Cluster, has_trouble: bool) -> list[str]:
    """Return the violations."""
    await cluster.start()
    leader = cluster.leader()
    cluster.record.line(f"the leader is {leader.name}")

    def on_answer(request: str) -> bool:
        if not has_trouble or not request.endswith("/deregister HTTP/1.1"):
            return True
        if leader.process is not None and leader.process.poll() is None:
            leader.kill()
            cluster.restart_later(leader, RESTART_S)
        return False

    await AnswerProxy(cluster=cluster, target=leader.address, on_answer=on_answer).open()
    step = {"count": 2, "cpu": 6800, "requestedMemoryMb": 64, "estimatedMs": WORK_MS}
    job = {"spec": json.dumps({"ms": WORK_MS}), "steps": [step]}
    for number in range(JOBS):
        await cluster.submit(cluster.frontends[number % 3], f"{0xB000 + number:016x}", job)
    await asyncio.sleep(0.5)
    leaving = next((runner for runner in cluster.runners if runner.runs), None)
    if leaving is None:
        raise CaseError("nothing runs")
    cluster.record.line(f"runner {leaving.id} runs {sorted(leaving.runs)}")
    await leaving.drain()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    await leaving.deregister(give_up_s=GIVE_UP_S)
    await asyncio.sleep(WORK_MS / 1000 + 2.0)
    violations = []
    for one, other in cluster.world.overlaps():
        violations.append(
            f"TWICE: task {one[0]}: run {one[1]} on {one[2]} from {one[3]:.3f} to {one[4]:.3f} "
            f"({one[5]}), run {other[1]} on {other[2]} from {other[3]:.3f}"
        )
    return violations


run_case(FOLDER, play)
