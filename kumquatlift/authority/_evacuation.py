"""Availability zones that an operator has emptied: no task may start on their upstreams.

The order is part of the replicated state, beside the configuration, so it holds for every later
leader until the operator withdraws it.
"""

from typing import Any

from kumquatlift.authority._commands import Command, CommandKind

# Most zones that the state holds, so that orders for ever new names can't fill it.
MAX_ZONES = 1000


class Evacuations:
    """The emptied zones; a part of the replicated state."""

    def __init__(self) -> None:
        self._zones: set[str] = set()

    def __contains__(self, zone: str) -> bool:
        return zone in self._zones

    def __len__(self) -> int:
        return len(self._zones)

    @property
    def zones(self) -> list[str]:
        """Names of the emptied zones, sorted."""
        return sorted(self._zones)

    def apply(self, fields: dict[str, Any]) -> bool:
        """Apply the fields of a committed command; the last one for a zone counts.

        Returns:
            Whether the state has changed.

        Raises:
            TypeError, ValueError: The zone is no text, or there are too many.
        """
        zone = fields["zone"]
        if not isinstance(zone, str):
            raise TypeError("zone: a text is needed")
        if (zone in self._zones) == fields["is_empty"]:
            return False
        if not fields["is_empty"]:
            self._zones.discard(zone)
            return True
        if len(self._zones) >= MAX_ZONES:
            raise ValueError(f"zone: more than {MAX_ZONES} zones are emptied")
        self._zones.add(zone)
        return True

    def restore(self, zones: list[str]) -> None:
        """Replace the emptied zones by those of a snapshot."""
        self._zones = set(zones)


def evacuation_command(zone: str, *, is_empty: bool) -> Command:
    """Return the command that empties a zone or takes it back."""
    return Command(CommandKind.EVACUATION, {"zone": zone, "is_empty": is_empty})
