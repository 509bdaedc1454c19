"""Fair shares of a service's capacity among the flows of jobs that compete for it.

The load that this answers is a service with too little room, in which one queue or the callers of
one zone submit several times their usual work. Without shares, admission serves whoever comes
first, and those who have not changed anything are refused for those who have.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

# Time over which the work of a flow is averaged. A burst counts as the flow's demand after about
# this time, and an unused share is lent to the others for as long.
AVERAGED_S = 1.0
# The share is computed anew after this time.
SHARE_KEPT_S = 0.05
# A flow without jobs for this long is dropped.
IDLE_S = 20.0


class Flow(NamedTuple):
    """Jobs that get one share together.

    Args:
        queue: Key of their queue.
        zone: Availability zone of their callers.
    """

    queue: str
    zone: str


def fair_share(demands: Collection[float], capacity: float) -> float:
    """Return the largest share with which all demands, each cut to it, fit into a capacity.

    A flow whose demand is below an equal part leaves the rest to the others, so that the flow that
    is served worst is served as well as possible.

    Args:
        demands: Demand of each flow, in the unit of the capacity.
        capacity: What there is to divide.

    Returns:
        The share; infinite if all demands fit.
    """
    left = capacity
    by_size = sorted(demands)
    for served, demand in enumerate(by_size):
        part = left / (len(by_size) - served)
        if demand > part:
            return part
        left -= demand
    return math.inf


class DecayingRate:
    """Exponentially decaying average of the work that arrives in a time.

    Args:
        now: Current time, in seconds.
    """

    __slots__ = ("_per_s", "_updated_at")

    def __init__(self, *, now: float) -> None:
        self._per_s = 0.0
        self._updated_at = now

    def add(self, work: float, now: float) -> None:
        """Add work that arrives now."""
        self._per_s = self.at(now) + work / AVERAGED_S
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the average at a time that is not before the newest work, per second."""
        return self._per_s * math.exp((self._updated_at - now) / AVERAGED_S)

    def idle_s(self, now: float) -> float:
        """Return the time since the newest work, in seconds."""
        return now - self._updated_at


class Usage(NamedTuple):
    """Work of a flow and its share, in milliseconds of run time at speed 1 for each second.

    Args:
        offered: Work that was submitted.
        accepted: Work that was accepted.
        share: The share of each flow; infinite while there is room for the work of all flows.
    """

    offered: float
    accepted: float
    share: float

    @property
    def is_over_share(self) -> bool:
        """Whether more work was accepted than the share."""
        return self.accepted > self.share

    @property
    def return_s(self) -> float:
        """Time until the accepted work has fallen to the share if none is added, in seconds."""
        if not self.is_over_share or self.share <= 0:
            return AVERAGED_S if self.is_over_share else 0.0
        return AVERAGED_S * math.log(self.accepted / self.share)


class FairShares:
    """The work of the flows of one service, and the share of each."""

    def __init__(self) -> None:
        self._offered: dict[Flow, DecayingRate] = {}
        self._accepted: dict[Flow, DecayingRate] = {}
        self._share = math.inf
        self._computed_at = -math.inf

    def record_offer(self, flow: Flow, work_ms: float, now: float) -> None:
        """Record the work of a job that is submitted now, in milliseconds at speed 1."""
        self._offered.setdefault(flow, DecayingRate(now=now)).add(work_ms, now)

    def record_acceptance(self, flow: Flow, work_ms: float, now: float) -> None:
        """Record the work of a job that is accepted now, in milliseconds at speed 1."""
        self._accepted.setdefault(flow, DecayingRate(now=now)).add(work_ms, now)

    def usage(self, flow: Flow, capacity: float, now: float) -> Usage:
        """Return the work of a flow, and the share of each flow.

        Args:
            flow: The flow.
            capacity: Work that the usable upstreams do in a second, in milliseconds at speed 1.
            now: Current time, in seconds.
        """
        if now - self._computed_at > SHARE_KEPT_S:
            self._compute(capacity, now)
        offered, accepted = self._offered.get(flow), self._accepted.get(flow)
        return Usage(
            offered.at(now) if offered else 0.0,
            accepted.at(now) if accepted else 0.0,
            self._share,
        )

    def usages(self, now: float) -> dict[Flow, Usage]:
        """Return the work of all flows, and the share as it was last computed."""
        return {
            flow: Usage(
                offered.at(now),
                self._accepted[flow].at(now) if flow in self._accepted else 0.0,
                self._share,
            )
            for flow, offered in self._offered.items()
        }

    def _compute(self, capacity: float, now: float) -> None:
        self._computed_at = now
        for flow in [flow for flow, rate in self._offered.items() if rate.idle_s(now) > IDLE_S]:
            del self._offered[flow]
            self._accepted.pop(flow, None)
        self._share = fair_share([rate.at(now) for rate in self._offered.values()], capacity)
