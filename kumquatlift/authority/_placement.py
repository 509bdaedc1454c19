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


class WaitingTask(NamedTuple):
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


class UpstreamOffer(NamedTuple):
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


def fits(task: WaitingTask, offer: UpstreamOffer) -> bool:
    """Tell whether a place has the room and the label for a task."""
    return (
        task.cpu_milli <= offer.cpu_milli
        and task.memory_mb <= offer.memory_mb
        and task.gpus <= offer.gpus
        and (not task.label or task.label in offer.labels)
    )


def run_ms(task: WaitingTask, offer: UpstreamOffer) -> float:
    """Return the run time expected of a task on a place."""
    time_ms = task.expected_ms / offer.speed
    if task.data_rack and task.data_rack != offer.rack:
        time_ms *= task.remote_factor
    if offer.upstream_id in task.avoid:
        time_ms *= AVOID_FACTOR
    return time_ms * (1 + offer.failures)


def should_wait(task: WaitingTask, offer: UpstreamOffer, remaining_ms: float) -> bool:
    """Tell whether a task is late on the best free place and in time on a faster upstream.

    Args:
        task: The task.
        offer: The best of the offers.
        remaining_ms: Time until its job should be complete.
    """
    if not task.wait_speed or run_ms(task, offer) * WAIT_FACTOR <= remaining_ms:
        return False
    return task.expected_ms / task.wait_speed * WAIT_FACTOR <= remaining_ms


def choose(
    task: WaitingTask,
    offers: Iterable[UpstreamOffer],
    now: float,
    exclude: frozenset[str] = frozenset(),
) -> UpstreamOffer | None:
    """Return the place for a task, or None when none has room or the task waits for a faster one.

    The slowest place that meets the objective is chosen; when none does, the fastest one.

    Args:
        task: The task.
        offers: Upstreams that may take tasks.
        now: Time.
        exclude: Upstreams that already run as many tasks of its step as allowed.
    """
    remaining_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
    best: UpstreamOffer | None = None
    best_rank: tuple[int, float] | None = None
    for offer in offers:
        if not fits(task, offer) or offer.upstream_id in exclude:
            continue
        time_ms = run_ms(task, offer)
        is_in_time = time_ms * SAFETY_FACTOR <= remaining_ms
        rank = (0, -time_ms) if is_in_time else (1, time_ms)
        if best_rank is None or rank < best_rank:
            best, best_rank = offer, rank
    return None if best is None or should_wait(task, best, remaining_ms) else best


class OffersBySpeed:
    """The upstreams of one service that may take tasks, ordered by speed.

    With 176 upstreams a search through all of them for each task took a third of the leader's
    decision time; in order of speed it ends at the first place with room.

    Args:
        offers: Upstreams that may take tasks.
    """

    def __init__(self, offers: Iterable[UpstreamOffer]) -> None:
        self._offers = {offer.upstream_id: offer for offer in offers}
        ordered = sorted(self._offers.values(), key=_effective_speed)
        self._speeds = [_effective_speed(offer) for offer in ordered]
        self._ids = [offer.upstream_id for offer in ordered]

    def __bool__(self) -> bool:
        return bool(self._offers)

    def __getitem__(self, upstream_id: str) -> UpstreamOffer:
        return self._offers[upstream_id]

    def copy(self) -> "OffersBySpeed":
        """Return a copy that changes apart from this one."""
        return OffersBySpeed(self._offers.values())

    def update(self, offer: UpstreamOffer) -> None:
        """Take note of the room that is left; one without any is dropped."""
        if offer.cpu_milli <= 0 and offer.memory_mb <= 0:
            del self._offers[offer.upstream_id]
        else:
            self._offers[offer.upstream_id] = offer

    def choose(
        self, task: WaitingTask, now: float, exclude: frozenset[str] = frozenset()
    ) -> UpstreamOffer | None:
        """Return the place for a task, as ``choose`` does."""
        if task.data_rack or task.avoid:
            # Run times differ from place to place by more than their speed.
            return choose(task, self._offers.values(), now, exclude)
        remaining_ms = (task.objective_at - now) * 1000 - OVERHEAD_MS
        min_speed = (
            task.expected_ms * SAFETY_FACTOR / remaining_ms if remaining_ms > 0 else float("inf")
        )
        fast_enough = bisect_left(self._speeds, min_speed)
        for index in (*range(fast_enough, len(self._ids)), *range(fast_enough - 1, -1, -1)):
            offer = self._offers.get(self._ids[index])
            if offer is not None and fits(task, offer) and offer.upstream_id not in exclude:
                return None if should_wait(task, offer, remaining_ms) else offer
        return None


def _effective_speed(offer: UpstreamOffer) -> float:
    return offer.speed / (1 + offer.failures)


class QueuedJob(NamedTuple):
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


def order_key(job: QueuedJob, now: float) -> tuple[int, float, int]:
    """Return the rank of a job among those that wait; the lowest is served first.

    Jobs that can still meet their objective come first, by the latest time at which they must
    start. Jobs that can only be late follow, those with the least work first, and last those that
    are of no use any more but were accepted.
    """
    needed_s = (job.expected_ms + OVERHEAD_MS) / 1000
    start_by = job.objective_at - needed_s
    if now <= start_by:
        return (0, start_by, job.arrival_number)
    if now + needed_s <= job.expires_at:
        return (1, job.expected_ms, job.arrival_number)
    return (2, job.objective_at, job.arrival_number)
