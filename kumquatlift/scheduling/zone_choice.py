"""Distributes the requests of a job over availability zones."""

import heapq
from collections.abc import Mapping
from typing import NamedTuple

MESSAGE_COST_S = 0.02
"""Cost in seconds of sending a request to another zone, at message weight 1."""

MOVE_GAIN_S = 0.02
"""Minimum gain in seconds for moving a waiting request to another zone, since loads are up to 20 ms
old."""


class FreeSlots(NamedTuple):
    """Free slots of one runner.

    Args:
        count: Number of slots.
        run_s: Expected run time of a request on the runner, in seconds.
    """

    # Shadows the method tuple.count.
    count: int  # type: ignore[assignment]
    run_s: float


class ZoneLoad(NamedTuple):
    """Load of the service in one zone.

    Args:
        free: Free slots.
        queued: Waiting requests.
        slots: Usable slots.
        expected_s: Expected run time of a request, averaged over the zone's slots, in seconds.
        delay_s: One-way message delay to the zone, in seconds.
        free_slots: Free slots by runner, fastest first; may be incomplete.
    """

    free: int
    queued: int
    slots: int
    expected_s: float
    delay_s: float
    free_slots: tuple[FreeSlots, ...] = ()

    def after(self, count: int) -> "ZoneLoad":
        """Return the load with ``count`` more requests placed."""
        started = min(count, self.free)
        remaining, groups = started, list(self.free_slots)
        while remaining and groups:
            used = min(remaining, groups[0].count)
            remaining -= used
            groups[0] = groups[0]._replace(count=groups[0].count - used)
            if not groups[0].count:
                groups.pop(0)
        return self._replace(
            free=self.free - started,
            queued=self.queued + count - started,
            free_slots=tuple(groups),
        )


def choose_zones(
    count: int, own_zone: str, zones: Mapping[str, ZoneLoad], message_weight: float
) -> dict[str, int]:
    """Distribute requests so that each has the earliest expected end.

    Another zone is preferred to the own zone only if its expected end is earlier by more than the
    message delay and the cost of messages.

    Args:
        count: Number of requests.
        own_zone: Zone of the caller.
        zones: Load of each zone that can be reached.
        message_weight: 0 weighs response time alone, 1 weighs messages alone.

    Returns:
        Number of requests by zone, without zones that get none. If no zone has usable slots, the
        own zone gets all requests.
    """
    costs = {
        name: 0.0 if name == own_zone else _cross_zone_cost_s(load, message_weight)
        for name, load in zones.items()
    }
    return _split(count, zones, costs) or {own_zone: count}


def choose_moves(
    waiting: Mapping[str, int],
    zones: Mapping[str, ZoneLoad],
    message_weight: float,
    *,
    goes_first: bool = False,
) -> dict[str, int]:
    """Find waiting requests of a job that another zone is expected to complete earlier.

    Args:
        waiting: Number of waiting requests of the job, by zone.
        zones: Load of each zone that can be reached, these requests included.
        message_weight: 0 weighs response time alone, 1 weighs messages alone.
        goes_first: Whether the requests precede those that wait in other zones.

    Returns:
        Number of requests to withdraw, by zone; ``choose_zones`` distributes them again. Empty
        unless another zone has free slots, the requests wait in a zone without slots, or
        ``goes_first`` is set.
    """
    others = [load for zone, load in zones.items() if zone not in waiting]
    has_free_slots = any(load.free > load.queued for load in others)
    must_move = goes_first or any(zone in zones and not zones[zone].slots for zone in waiting)
    if not has_free_slots and not (must_move and any(load.slots for load in zones.values())):
        return {}
    without = {
        zone: load._replace(queued=max(0, load.queued - waiting.get(zone, 0)))
        for zone, load in zones.items()
    }
    costs = {
        name: 0.0 if name in waiting else _cross_zone_cost_s(load, message_weight) + MOVE_GAIN_S
        for name, load in zones.items()
    }
    split = _split(sum(waiting.values()), without, costs)
    surplus = {zone: count - split.get(zone, 0) for zone, count in waiting.items()}
    return {zone: count for zone, count in surplus.items() if count > 0}


def _cross_zone_cost_s(load: ZoneLoad, message_weight: float) -> float:
    # The demand, the grant, the request and the response each travel between the zones once.
    return 4 * load.delay_s + message_weight * MESSAGE_COST_S


def _split(count: int, zones: Mapping[str, ZoneLoad], costs: Mapping[str, float]) -> dict[str, int]:
    plans = {name: _ZonePlan(load, costs[name]) for name, load in zones.items() if load.slots > 0}
    ends = [(plan.next_end(), costs[name], name) for name, plan in plans.items()]
    heapq.heapify(ends)
    split: dict[str, int] = {}
    for _ in range(count if ends else 0):
        name = ends[0][2]
        split[name] = split.get(name, 0) + 1
        plans[name].place()
        heapq.heapreplace(ends, (plans[name].next_end(), costs[name], name))
    return split


class _ZonePlan:
    """Expected end of the next request in one zone while a job is distributed."""

    def __init__(self, load: ZoneLoad, cost_s: float) -> None:
        self._cost_s = cost_s
        self._queued = load.queued
        self._load = load
        self._groups = [[group.count, group.run_s] for group in reversed(load.free_slots)]
        unlisted = load.free - sum(group.count for group in load.free_slots)
        if unlisted > 0:
            self._groups.insert(0, [unlisted, load.expected_s])

    def next_end(self) -> float:
        wait_s = (self._queued + 1) * self._load.expected_s / self._load.slots
        end_s = wait_s + self._load.expected_s
        if self._groups:
            end_s = min(end_s, self._groups[-1][1])
        return self._cost_s + end_s

    def place(self) -> None:
        wait_s = (self._queued + 1) * self._load.expected_s / self._load.slots
        if not self._groups or self._groups[-1][1] > wait_s + self._load.expected_s:
            self._queued += 1
            return
        self._groups[-1][0] -= 1
        if self._groups[-1][0] <= 0:
            self._groups.pop()
