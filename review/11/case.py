"""Jobs that can never run keep others, accepted later, from running; see claim.txt."""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand3 import Cluster, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
# Three times the disruption: 3 s of the usual traffic, of which one job in 21 can never run.
EVENTS = 3
JOBS_PER_EVENT = 150
INTERVAL_S = 0.02
HOPELESS_EACH = 21
# More than any runner has.
HOPELESS_MEMORY_MB = 65_536
FINISH_S = 14.0
IDLE_S = 3.0
OCCURRENCES = 5
OCCURRENCE_MS = 2000
STEP = {"count": 2, "cpu": 6800, "requestedMemoryMb": 64, "estimatedMs": 200}
RECURRING = f"{0xD000:016x}"
TWO_STEPS = f"{0xD001:016x}"


async def send_traffic(cluster: Cluster, has_trouble: bool) -> None:
    """Submit the usual jobs and, with trouble, those that can never run."""
    sent: list[asyncio.Task[Any]] = []
    for event in range(EVENTS):
        cluster.record.line(f"event {event} begins")
        for number in range(JOBS_PER_EVENT):
            is_hopeless = has_trouble and number % HOPELESS_EACH == 0 and number > 0
            step = {**STEP, "requestedMemoryMb": HOPELESS_MEMORY_MB} if is_hopeless else STEP
            job = {"spec": json.dumps({"ms": 200}), "steps": [step]}
            job_id = f"{(0xE if is_hopeless else 0xC) << 16 | event << 12 | number:016x}"
            frontend = cluster.frontends[number % 3]
            sent.append(cluster.spawn(cluster.submit(frontend, job_id, job)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(1.0)
    await asyncio.gather(*sent)


async def play(cluster: Cluster, has_trouble: bool) -> list[str]:
    """Return the violations."""
    await cluster.start()
    await send_traffic(cluster, has_trouble)
    recurring = {
        "spec": json.dumps({"ms": 200}),
        "steps": [STEP],
        "repetitions": OCCURRENCES,
        "startAtMs": int(time.time() * 1000) + OCCURRENCE_MS,
        "intervalMs": OCCURRENCE_MS,
    }
    # The first step takes longer than declared.
    two_steps = {
        "spec": json.dumps({"0": {"ms": 2500}, "1": {"ms": 200}}),
        "steps": [{**STEP, "estimatedMs": 300}, {**STEP, "dependsOn": [0]}],
    }
    accepted = [
        job_id
        for job_id, job in ((RECURRING, recurring), (TWO_STEPS, two_steps))
        if await cluster.submit_until_accepted(job_id, job)
    ]
    cluster.record.line("the traffic has ended")
    await asyncio.sleep(OCCURRENCES * OCCURRENCE_MS / 1000 + FINISH_S + IDLE_S)
    violations = []
    busy = [row for row in cluster.world.history if row[4] is None]
    newest = max(row[4] or cluster.record.now for row in cluster.world.history)
    idle_s = cluster.record.now - newest
    for job_id in accepted:
        state = await cluster.state(cluster.frontends[0], job_id)
        runs = [row for row in cluster.world.history if row[0].startswith(job_id)]
        cluster.record.line(f"client: GET {job_id} -> {state}, {len(runs)} runs")
        if state not in ("completed", "failed") and not busy and idle_s > IDLE_S:
            violations.append(
                f"LOST: job {job_id} is {state!r} with {len(runs)} runs, and no runner has run "
                f"anything for {idle_s:.1f} s"
            )
    return violations


run_case(FOLDER, play)
