"""The ideal response time: what a job would take alone, with true speeds and run times known."""

from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace
from typing import NamedTuple


class RunnerCapacity(NamedTuple):
    """What a runner can do at best.

    Args:
        speed: Run times are divided by this factor.
        slots: Requests run at a time.
    """

    speed: float
    slots: int


def ideal_response_s(run_s: Iterable[float], runners: Sequence[RunnerCapacity]) -> float:
    """Schedule requests by longest processing time first and return the length of the schedule.

    Each request, longest first, goes to the slot on which it ends earliest. Messages take no time
    in this schedule.

    Args:
        run_s: Run time of each request on a runner of speed 1, in seconds.
        runners: Every runner of the service.

    Returns:
        Seconds from the start to the end of the last request; 0 without requests.

    Raises:
        ValueError: There is no slot.
    """
    # Slots of one runner are alike, so only the one that is free first matters.
    free_at = [[0.0] * runner.slots for runner in runners if runner.slots > 0]
    speeds = [runner.speed for runner in runners if runner.slots > 0]
    if not free_at:
        raise ValueError("no runner has a slot")
    for slots in free_at:
        heapify(slots)
    longest = 0.0
    for run in sorted(run_s, reverse=True):
        ends, index = min(
            (slots[0] + run / speed, number)
            for number, (slots, speed) in enumerate(zip(free_at, speeds, strict=True))
        )
        heapreplace(free_at[index], ends)
        longest = max(longest, ends)
    return longest
