"""What a requester of slots has asked for, and what the owners have not been told yet."""

import math

from kumquatlift.failure import Failure
from kumquatlift.scheduling.slot_messages import SlotCancel, SlotDemand, SlotFinish
from kumquatlift.scheduling.slot_source import SlotListener

# Two zones that both refuse are asked in turn no more often than this.
MIN_ZONE_BACKOFF_S = 1.0
# A zone refuses by the load of that moment, which other zones may take over before its Retry-After
# is over. So it is asked again after a quarter of the time that the demand has left.
MAX_ZONE_BACKOFF_SHARE = 0.25
# Few demands wait for half of their time; each zone serves them in order of their deadlines.
NEAR_DEADLINE_SHARE = 0.5


class OpenDemand:
    """A demand that is not fully granted: open counts by zone, and zones that refused it."""

    def __init__(
        self, *, service: str, demand: SlotDemand, listener: SlotListener, asked_at: float
    ) -> None:
        self.service = service
        self.demand = demand
        self.listener = listener
        self.asked_at = asked_at
        self.deadline_at = asked_at + demand.deadline_s
        self.by_zone: dict[str, int] = {}
        # Requests for which no zone is known that has slots and may be asked.
        self.unplaced = 0
        # When each zone that refused the demand may be asked again.
        self._refused_until: dict[str, float] = {}

    @property
    def is_granted(self) -> bool:
        """Whether nothing of it waits any more."""
        return not self.unplaced and not any(self.by_zone.values())

    def record_refusal(self, zone: str, failure: Failure, now: float) -> None:
        """Leave a zone out for its Retry-After or less; a refusal without one holds on."""
        max_backoff_s = MAX_ZONE_BACKOFF_SHARE * (self.deadline_at - now)
        backoff_s = max(MIN_ZONE_BACKOFF_S, min(failure.retry_after_ms / 1000, max_backoff_s))
        self._refused_until[zone] = now + backoff_s if failure.retry_after_ms else math.inf

    def is_refused(self, zone: str, now: float) -> bool:
        """Whether a zone has refused the demand and is not to be asked yet."""
        return now < self._refused_until.get(zone, 0.0)

    def is_near_deadline(self, now: float) -> bool:
        """Whether half of its time is over, so that it goes before most of what waits elsewhere."""
        return now - self.asked_at > NEAR_DEADLINE_SHARE * self.demand.deadline_s

    def for_zone(self, zone: str, now: float) -> SlotDemand:
        """Return the demand as one zone sees it now."""
        return self.demand._replace(
            count=self.by_zone[zone],
            deadline_s=max(0.0, self.deadline_at - now),
            waited_s=now - self.asked_at,
        )


class OwnerChanges:
    """What a place's owner has not been told yet."""

    def __init__(self) -> None:
        self.demands: list[str] = []
        self.cancelled: list[SlotCancel] = []
        self.finished: list[SlotFinish] = []
        self.full = False
        self.asks_load = False
