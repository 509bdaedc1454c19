"""Splits the requests of a job between availability zones."""

import heapq
from collections.abc import Mapping
from typing import NamedTuple

MESSAGE_COST_S = 0.02
"""Advantage in seconds that makes up for leaving the own zone, at message weight 1."""


class FreeSlots(NamedTuple):
    """Free slots of one runner.

    Args:
        count: Number of slots.
        run_s: Expected run time of a request there, in seconds.
    """

    # The name is the usual one; it hides the method tuple.count.
    count: int  # type: ignore[assignment]
    run_s: float


class ZoneLoad(NamedTuple):
    """Load of the service in one zone.

    Args:
        free: Free slots.
        queued: Requests that wait.
        slots: Usable slots.
        expected_s: Expected run time of a request, averaged over the zone's slots, in seconds.
        delay_s: One-way message delay to the zone, in seconds.
        free_slots: Free slots by runner, fastest first; may be cut short or left out.
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
        left, groups = started, list(self.free_slots)
        while left and groups:
            used = min(left, groups[0].count)
            left -= used
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
    """Split requests so that each one ends as early as can be expected.

    The own zone is preferred until another zone's expected end is earlier by more than the message
    delay and the cost of messages.

    Args:
        count: Number of requests.
        own_zone: Zone of the caller.
        zones: Load of each zone that can be reached.
        message_weight: 0 weighs response time alone, 1 weighs messages alone.

    Returns:
        Requests by zone, without zones that get none; everything goes to the own zone when no
        zone has usable slots.
    """
    ends: list[tuple[float, bool, str]] = []
    plans: dict[str, _Plan] = {}
    for name, load in zones.items():
        if load.slots <= 0:
            continue
        cost_s = 0.0
        if name != own_zone:
            # The demand, the grant, the request and the answer each cross the zones once.
            cost_s = 4 * load.delay_s + message_weight * MESSAGE_COST_S
        plans[name] = _Plan(load, cost_s)
        ends.append((plans[name].next_end(), name != own_zone, name))
    if not ends:
        return {own_zone: count}
    heapq.heapify(ends)
    split: dict[str, int] = {}
    for _ in range(count):
        _, is_other, name = ends[0]
        split[name] = split.get(name, 0) + 1
        plans[name].place()
        heapq.heapreplace(ends, (plans[name].next_end(), is_other, name))
    return split


class _Plan:
    """Expected end of the next request in one zone while a job is split."""

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
