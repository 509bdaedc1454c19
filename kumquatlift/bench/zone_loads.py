"""The load of the zones in an experiment, as each zone knows it from delayed messages."""

from collections.abc import Mapping

from kumquatlift.bench.baselines import SlotPolicy
from kumquatlift.bench.cases import ZONES, Case
from kumquatlift.bench.events import EventQueue
from kumquatlift.scheduling.scheduler import Scheduler
from kumquatlift.scheduling.zone_choice import ZoneLoad, choose_moves, choose_zones

IN_ZONE_DELAY_S = 0.00025
"""One-way message delay within a zone, in seconds."""


class ZoneLoads:
    """Loads that zones send each other, and the choice of zones that is based on them.

    Args:
        case: The case.
        events: Event queue of the experiment.
        policies: The policy of each zone.
    """

    def __init__(
        self, *, case: Case, events: EventQueue, policies: Mapping[str, SlotPolicy]
    ) -> None:
        self._case = case
        self._events = events
        self._policies = policies
        self._loads: dict[str, dict[str, ZoneLoad]] = {zone: {} for zone in ZONES}

    def delay_s(self, zone: str, other: str) -> float:
        """Return the one-way message delay between two zones, in seconds."""
        return IN_ZONE_DELAY_S if zone == other else self._case.delay_s

    def publish(self) -> None:
        """Send the load of each zone to every zone."""
        for zone in ZONES:
            for other in ZONES:
                delay_s = self.delay_s(zone, other)
                load = self._load(zone)._replace(delay_s=delay_s)
                self._events.at(self._events.now + delay_s, self._store_load, other, zone, load)

    def split(self, zone: str, count: int) -> dict[str, int]:
        """Return how many of ``count`` requests a zone sends to each zone.

        The requests are added to the loads that the zone knows.
        """
        loads = self._loads[zone]
        loads[zone] = self._load(zone)._replace(delay_s=IN_ZONE_DELAY_S)
        split = choose_zones(count, zone, loads, self._case.message_weight)
        for other, part in split.items():
            loads[other] = loads[other].after(part)
        return split

    def moves(self, zone: str, waiting: Mapping[str, int]) -> dict[str, int]:
        """Return how many of its waiting requests a zone withdraws from each zone."""
        return choose_moves(waiting, self._loads[zone], self._case.message_weight)

    def _load(self, zone: str) -> ZoneLoad:
        policy = self._policies[zone]
        assert isinstance(policy, Scheduler)
        return policy.zone_load(self._events.now)

    def _store_load(self, zone: str, other: str, load: ZoneLoad) -> None:
        self._loads[zone][other] = load
