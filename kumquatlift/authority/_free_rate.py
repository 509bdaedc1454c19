"""The rate at which runs in progress make room for tasks.

The load that this answers is a burst in which no upstream has free resources, while hundreds of
jobs are submitted in a second. Each asks how soon tasks of its size can start, so the runs are
summed up once for all sizes.
"""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate

from kumquatlift.authority._fleet import Upstream


class FreeRate:
    """Ends of runs in a second, by the room that there is on their upstreams after them.

    Args:
        upstreams: Upstreams on which tasks may start.
        now: Current time, in seconds.
    """

    def __init__(self, *, upstreams: Iterable[Upstream], now: float) -> None:
        ends = sorted(end for upstream in upstreams for end in _expected_ends(upstream, now))
        self._rooms = [room for room, _ in ends]
        self._ends_up_to = [0.0, *accumulate(per_s for _, per_s in ends)]
        self._room_up_to = [0.0, *accumulate(room * per_s for room, per_s in ends)]

    def per_s(self, cpu_milli: int) -> float:
        """Return how many tasks can start in a second.

        A run whose end does not make enough room for a task counts in proportion.

        Args:
            cpu_milli: Processor that each task needs, in thousandths of a core.
        """
        small = bisect_left(self._rooms, cpu_milli)
        enough = self._ends_up_to[-1] - self._ends_up_to[small]
        return enough + self._room_up_to[small] / max(1, cpu_milli)


def _expected_ends(upstream: Upstream, now: float) -> Iterable[tuple[int, float]]:
    """Yield the room after each run, in thousandths of a core, and its expected ends in a second.

    A run that has taken longer than expected is likely to take as long again.
    """
    free_milli = max(0, upstream.free.cpu_milli)
    for run in upstream.runs.values():
        if run.expected_ms > 0:
            expected_s = run.expected_ms / 1000 / upstream.speed
            yield free_milli + run.size.cpu_milli, 1 / max(expected_s, now - run.decided_at)
