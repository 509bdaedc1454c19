"""Open demands of a requester, and changes that are not sent to the owners yet."""

import math

from kumquatlift.failure import Failure
from kumquatlift.scheduling.slot_messages import SlotCancel, SlotDemand, SlotFinish
from kumquatlift.scheduling.slot_source import SlotListener

# For at least this long, a demand is not sent again to a zone that refused it, so that two zones
# that both refuse it don't cause a storm of messages.
MIN_ZONE_BACKOFF_S = 1.0
# A zone refuses because of its current load, and other zones may take over its queue before the
# Retry-After time has passed. So the zone is excluded for at most this share of the time that
# remains until the demand's deadline.
MAX_ZONE_BACKOFF_SHARE = 0.25
# A demand that has waited for this share of the time to its deadline counts as near its deadline.
# Few demands wait that long, and each zone serves demands in order of their deadlines.
NEAR_DEADLINE_SHARE = 0.5


class OpenDemand:
    """A demand that is not fully granted yet.

    Args:
        service: Service name.
        demand: The demand as it was requested.
        listener: Receives the grants and refusals.
        requested_at: Time of the request, in monotonic seconds.

    Attributes:
        by_zone: Number of open requests by the zone that they were sent to.
        unplaced: Number of open requests that no zone is known to have slots for.
    """

    def __init__(
        self, *, service: str, demand: SlotDemand, listener: SlotListener, requested_at: float
    ) -> None:
        self.service = service
        self.demand = demand
        self.listener = listener
        self.requested_at = requested_at
        self.deadline_at = requested_at + demand.deadline_s
        self.by_zone: dict[str, int] = {}
        self.unplaced = 0
        # Time from which the demand may be sent again to each zone that refused it.
        self._refused_until: dict[str, float] = {}

    @property
    def has_no_open_requests(self) -> bool:
        """Whether no request of the demand is open any more."""
        return not self.unplaced and not any(self.by_zone.values())

    def record_refusal(self, zone: str, failure: Failure, now: float) -> None:
        """Exclude a zone for its Retry-After time or less; without one, exclude it for good."""
        max_backoff_s = MAX_ZONE_BACKOFF_SHARE * (self.deadline_at - now)
        backoff_s = max(MIN_ZONE_BACKOFF_S, min(failure.retry_after_ms / 1000, max_backoff_s))
        self._refused_until[zone] = now + backoff_s if failure.retry_after_ms else math.inf

    def is_refused(self, zone: str, now: float) -> bool:
        """Whether a zone is excluded because it refused the demand."""
        return now < self._refused_until.get(zone, 0.0)

    def is_near_deadline(self, now: float) -> bool:
        """Whether ``NEAR_DEADLINE_SHARE`` of the time to the deadline is over.

        Such a demand precedes most of the demands that wait in other zones.
        """
        return now - self.requested_at > NEAR_DEADLINE_SHARE * self.demand.deadline_s

    def for_zone(self, zone: str, now: float) -> SlotDemand:
        """Return the part of the demand that one zone serves, with the times as of ``now``."""
        return self.demand._replace(
            count=self.by_zone[zone],
            deadline_s=max(0.0, self.deadline_at - now),
            waited_s=now - self.requested_at,
        )


class OwnerChanges:
    """Changes that are collected for the next message to the owner of a pool.

    Attributes:
        demands: Ids of new demands.
        cancelled: Demands withdrawn, whole or in part.
        finished: Slots returned.
        full: Whether to send the whole state.
        requests_load: Whether to request the load of the pool.
    """

    def __init__(self) -> None:
        self.demands: list[str] = []
        self.cancelled: list[SlotCancel] = []
        self.finished: list[SlotFinish] = []
        self.full = False
        self.requests_load = False
