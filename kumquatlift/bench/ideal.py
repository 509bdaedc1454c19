"""The ideal response time: that of a job alone on all runners, with known speeds and run times."""

from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace
from typing import NamedTuple


class RunnerCapacity(NamedTuple):
    """Speed and slots of a runner.

    Args:
        speed: Run times are divided by this factor.
        slots: Requests run at a time.
    """

    speed: float
    slots: int


def ideal_response_s(run_s: Iterable[float], runners: Sequence[RunnerCapacity]) -> float:
    """Return the makespan of the requests under the longest-processing-time-first rule.

    The requests are assigned in order of decreasing run time, each to the slot on which it ends
    first. Messages take no time.

    Args:
        run_s: Run time of each request on a runner of speed 1, in seconds.
        runners: All runners of the service.

    Returns:
        Seconds from the start to the end of the last request; 0 without requests.

    Raises:
        ValueError: No runner has a slot.
    """
    # The slots of a runner are equally fast, so only the one that is free first is considered.
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
