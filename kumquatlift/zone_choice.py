"""Divides a job's requests over availability zones."""

from collections.abc import Mapping
from typing import NamedTuple


class ZoneLoad(NamedTuple):
    """Last known load of a service in a zone.

    Args:
        free: Free slots.
        queued: Waiting requests.
        slots: Slots in all.
        expected_s: Mean run time of a request, in seconds.
        delay_s: One-way delay of messages to the zone, in seconds.
    """

    free: int
    queued: int
    slots: int
    expected_s: float
    delay_s: float


def choose_zones(
    count: int, own_zone: str, zones: Mapping[str, ZoneLoad], message_weight: float
) -> dict[str, int]:
    """Divide requests over zones: the own zone first, others for what it cannot start now.

    Args:
        count: Requests to place.
        own_zone: Zone of the entry process.
        zones: Load by zone.
        message_weight: 0 weighs response time alone, 1 weighs messages alone.

    Returns:
        Requests by zone; the counts add up to ``count``.
    """
    parts: dict[str, int] = {}
    left = count
    order = sorted(zones, key=lambda zone: (zone != own_zone, -zones[zone].free))
    for zone in order:
        part = min(left, zones[zone].free)
        if part:
            parts[zone] = part
            left -= part
    slots = sum(max(load.slots, 0) for load in zones.values())
    for zone in order:
        if not left or not slots:
            break
        part = min(left, -(-left * zones[zone].slots // slots))
        parts[zone] = parts.get(zone, 0) + part
        left -= part
    if left:
        parts[order[0]] = parts.get(order[0], 0) + left
    return parts
