"""Keeps track of the upstreams on which tasks may start, and of their free resources."""

from collections.abc import Collection

from kumquatlift.authority._fleet import Upstream
from kumquatlift.authority._placement import OffersBySpeed, UpstreamOffer

# Offers are kept down to this share of the smallest waiting task, so that a slightly smaller one
# among the next does not cause them to be built anew.
KEPT_SHARE = 0.8
# When the waiting tasks have grown to more than this multiple of the smallest kept offer, offers on
# which none of them fits are dropped, at most once in this interval.
DROP_FACTOR = 1.5
DROP_INTERVAL_S = 1.0


class OfferIndex:
    """The usable upstreams of a fleet and their offers, by service.

    A busy leader places tasks several hundred times a second and decides on as many jobs. Between
    two of these decisions hardly any of its hundreds of upstreams have changed, so each looks at
    those that have, in place of a walk over all.

    Args:
        fleet: Upstreams by identity.
    """

    def __init__(self, *, fleet: dict[str, Upstream]) -> None:
        self._fleet = fleet
        self._usable: dict[str, dict[str, Upstream]] = {}
        self._offers: dict[str, OffersBySpeed] = {}
        # Service under which a usable upstream is listed, by identity.
        self._service_of: dict[str, str] = {}
        self._changed: set[str] = set()
        # Upstreams that rest or are cold until a time that is still to come, with that time.
        self._resting: dict[str, float] = {}
        # Smallest free processor of the offers that are kept, in thousandths of a core.
        self._least_milli = 0
        self._built_at = 0.0

    def mark_changed(self, upstream_id: str) -> None:
        """Note that an upstream was added, has changed or was removed."""
        self._changed.add(upstream_id)

    def usable(self, service: str, now: float) -> Collection[Upstream]:
        """Return the upstreams of a service on which tasks may start."""
        self._refresh(now)
        return self._usable.get(service, {}).values()

    def offers(self, now: float, least_milli: int) -> dict[str, OffersBySpeed]:
        """Return the present offers.

        Args:
            now: Current time, in seconds.
            least_milli: Processor that the smallest waiting task needs, in thousandths of a core.
                Upstreams with less free processor may be left out.

        Returns:
            The offers by service; they may be updated with the tasks that are placed.
        """
        self._refresh(now)
        has_useless = (
            least_milli > DROP_FACTOR * self._least_milli and now - self._built_at > DROP_INTERVAL_S
        )
        if least_milli < self._least_milli or has_useless:
            self._least_milli = int(KEPT_SHARE * least_milli)
            self._built_at = now
            self._offers = {
                service: OffersBySpeed(
                    (offer_of(each, now) for each in usable.values()),
                    least_milli=self._least_milli,
                )
                for service, usable in self._usable.items()
            }
        return self._offers

    def _refresh(self, now: float) -> None:
        rested = {each for each, until in self._resting.items() if now >= until}
        changed, self._changed = self._changed | rested, set()
        for upstream_id in changed:
            self._update(upstream_id, now)

    def _update(self, upstream_id: str, now: float) -> None:
        upstream = self._fleet.get(upstream_id)
        is_usable = upstream is not None and upstream.is_usable(now)
        service = upstream.state.service if upstream is not None and is_usable else None
        if self._service_of.get(upstream_id, service) != service:
            self._remove(upstream_id)
        self._resting.pop(upstream_id, None)
        if upstream is None:
            return
        times = [at for at in (upstream.backoff_until, upstream.cold_until) if now < at]
        if times:
            self._resting[upstream_id] = min(times)
        if service is None:
            return
        self._service_of[upstream_id] = service
        self._usable.setdefault(service, {})[upstream_id] = upstream
        if service not in self._offers:
            self._offers[service] = OffersBySpeed(least_milli=self._least_milli)
        self._offers[service].update(offer_of(upstream, now))

    def _remove(self, upstream_id: str) -> None:
        service = self._service_of.pop(upstream_id)
        del self._usable[service][upstream_id]
        self._offers[service].remove(upstream_id)


def offer_of(upstream: Upstream, now: float) -> UpstreamOffer:
    """Return what an upstream offers to tasks at a time."""
    state = upstream.state
    return UpstreamOffer(
        state.upstream_id,
        *upstream.offered(now),
        upstream.speed,
        state.labels,
        state.rack,
        upstream.failures,
    )
