"""Decides which waiting tasks start, and where: pure functions of a snapshot and a clock.

Load pattern: upstreams of unlike speed are four fifths busy; short, long, narrow and wide jobs wait
together. Room is scarce, so a task gets the slowest upstream on which its job still meets its
objective; the fast ones stay free for tasks that need them. When only upstreams are free on which
its job would be late, it waits for a faster one and leaves these to shorter tasks.
"""

from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple

# Run times vary about their estimate; a place must meet the objective with this much in hand. The
# factor comes from tools/experiment.py: 1.0 and 1.15 make more jobs late at the usual load.
SAFETY_FACTOR = 2.2
# A task waits for a faster upstream while its time there, by this factor, is left. In the load
# patterns of tools/experiment.py 1.2 and 1.3 serve more than 1.0 and 1.5, and 1.8 less than 0.
WAIT_FACTOR = 1.2
# Time from a decision until the task works, and from its end until callers see it.
OVERHEAD_MS = 25.0
# Upstreams on which a task failed or lapsed are avoided by this factor in run time.
AVOID_FACTOR = 4.0


class Waiting(NamedTuple):
    """A task that could start now.

    Args:
        cpu_milli: Room that it needs.
        memory_mb: Room that it needs.
        gpus: Room that it needs.
        expected_ms: Run time expected at speed 1.
        objective_at: Time at which its job should be complete.
        label: Label that the upstream must have; empty for any.
        data_rack: Rack with its data; empty for none.
        remote_factor: Run time on another rack, as a multiple.
        avoid: Upstreams on which it failed before.
        wait_speed: Speed of upstreams that it may wait for; 0 when it takes any place.
    """

    cpu_milli: int
    memory_mb: int
    gpus: int
    expected_ms: float
    objective_at: float
    label: str = ""
    data_rack: str = ""
    remote_factor: float = 1.0
    avoid: frozenset[str] = frozenset()
    wait_speed: float = 0.0


class Place(NamedTuple):
    """An upstream that may take tasks.

    Args:
        upstream_id: Identity.
        cpu_milli: Free capacity.
        memory_mb: Free capacity.
        gpus: Free capacity.
        speed: Learned speed, 1 for the usual one.
        labels: Labels.
        rack: Rack.
        failures: Recent failures of unlike jobs, decayed.
    """

    upstream_id: str
    cpu_milli: int
    memory_mb: int
    gpus: int
    speed: float
    labels: tuple[str, ...]
    rack: str
    failures: float = 0.0


def fits(task: Waiting, place: Place) -> bool:
    """Tell whether a place has the room and the label for a task."""
    return (
        task.cpu_milli <= place.cpu_milli
        and task.memory_mb <= place.memory_mb
        and task.gpus <= place.gpus
        and (not task.label or task.label in place.labels)
    )


def run_ms(task: Waiting, place: Place) -> float:
    """Return the run time expected of a task on a place."""
    time_ms = task.expected_ms / place.speed
    if task.data_rack and task.data_rack != place.rack:
        time_ms *= task.remote_factor
    if place.upstream_id in task.avoid:
        time_ms *= AVOID_FACTOR
    return time_ms * (1 + place.failures)


def waits(task: Waiting, place: Place, left_ms: float) -> bool:
    """Tell whether a task is late on the best free place and in time on a faster upstream.

    Args:
        task: The task.
        place: The best place that is free.
        left_ms: Time until its job should be complete.
    """
    if not task.wait_speed or run_ms(task, place) * WAIT_FACTOR <= left_ms:
        return False
    return task.expected_ms / task.wait_speed * WAIT_FACTOR <= left_ms


def choose(
    task: Waiting, places: Iterable[Place], now: float, exclude: frozenset[str] = frozenset()
) -> Place | None:
    """Return the place for a task, or None when none has room or the task waits for a faster one.

    The slowest place that meets the objective is chosen; when none does, the fastest one.

    Args:
        task: The task.
        places: Upstreams that may take tasks.
        now: Time.
        exclude: Upstreams that already run as many tasks of its step as allowed.
    """
    left_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
    best: Place | None = None
    best_rank: tuple[int, float] | None = None
    for place in places:
        if not fits(task, place) or place.upstream_id in exclude:
            continue
        time_ms = run_ms(task, place)
        is_in_time = time_ms * SAFETY_FACTOR <= left_ms
        rank = (0, -time_ms) if is_in_time else (1, time_ms)
        if best_rank is None or rank < best_rank:
            best, best_rank = place, rank
    return None if best is None or waits(task, best, left_ms) else best


class Places:
    """The upstreams of one service that may take tasks, ordered by speed.

    With 176 upstreams a search through all of them for each task took a third of the leader's
    decision time; in order of speed it ends at the first place with room.

    Args:
        places: Upstreams that may take tasks.
    """

    def __init__(self, places: Iterable[Place]) -> None:
        self._places = {place.upstream_id: place for place in places}
        ordered = sorted(self._places.values(), key=_effective_speed)
        self._speeds = [_effective_speed(place) for place in ordered]
        self._ids = [place.upstream_id for place in ordered]

    def __bool__(self) -> bool:
        return bool(self._places)

    def __getitem__(self, upstream_id: str) -> Place:
        return self._places[upstream_id]

    def copy(self) -> "Places":
        """Return a copy that changes apart from this one."""
        return Places(self._places.values())

    def update(self, place: Place) -> None:
        """Take note of the room that is left; one without any is dropped."""
        if place.cpu_milli <= 0 and place.memory_mb <= 0:
            del self._places[place.upstream_id]
        else:
            self._places[place.upstream_id] = place

    def choose(
        self, task: Waiting, now: float, exclude: frozenset[str] = frozenset()
    ) -> Place | None:
        """Return the place for a task, as ``choose`` does."""
        if task.data_rack or task.avoid:
            # Run times differ from place to place by more than their speed.
            return choose(task, self._places.values(), now, exclude)
        left_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
        least = task.expected_ms * SAFETY_FACTOR / left_ms if left_ms > 0 else float("inf")
        first = bisect_left(self._speeds, least)
        for at in (*range(first, len(self._ids)), *range(first - 1, -1, -1)):
            place = self._places.get(self._ids[at])
            if place is not None and fits(task, place) and place.upstream_id not in exclude:
                return None if waits(task, place, left_ms) else place
        return None


def _effective_speed(place: Place) -> float:
    return place.speed / (1 + place.failures)


class Candidate(NamedTuple):
    """A job with tasks that could start, for the order in which jobs are served.

    Args:
        objective_at: Time at which the job should be complete.
        expires_at: Time after which it is of no use to its caller.
        expected_ms: Run time expected of its longest remaining chain, at the usual speed.
        arrival_number: Order of arrival.
    """

    objective_at: float
    expires_at: float
    expected_ms: float
    arrival_number: int


def order_key(candidate: Candidate, now: float) -> tuple[int, float, int]:
    """Return the rank of a job among those that wait; the lowest is served first.

    Jobs that can still meet their objective come first, by the latest time at which they must
    start. Jobs that can only be late follow, those with the least work first, and last those that
    are of no use any more but were accepted.
    """
    needed_s = (candidate.expected_ms + OVERHEAD_MS) / 1000
    start_by = candidate.objective_at - needed_s
    if now <= start_by:
        return (0, start_by, candidate.arrival_number)
    if now + needed_s <= candidate.expires_at:
        return (1, candidate.expected_ms, candidate.arrival_number)
    return (2, candidate.objective_at, candidate.arrival_number)
