"""Availability zones that an operator has emptied: no task may start on their upstreams.

The order is part of the replicated state, beside the configuration, so it holds for every later
leader until the operator withdraws it.
"""

from collections.abc import Callable
from typing import Any

from kumquatlift.authority._commands import Command, CommandKind

# Most zones that the state holds, so that orders for ever new names can't fill it.
MAX_ZONES = 1000


class Evacuations:
    """The emptied zones; a part of the replicated state."""

    def __init__(self) -> None:
        self._zones: set[str] = set()
        # Index of the newest order in the log; 0 before the first.
        self.number = 0

    def __contains__(self, zone: str) -> bool:
        return zone in self._zones

    def __len__(self) -> int:
        return len(self._zones)

    @property
    def zones(self) -> list[str]:
        """Names of the emptied zones, sorted."""
        return sorted(self._zones)

    def apply(self, index: int, fields: dict[str, Any]) -> bool:
        """Apply the fields of a committed command; the last one for a zone counts.

        Args:
            index: Index of the command in the log.
            fields: Its fields, see ``evacuation_command``.

        Returns:
            Whether the state has changed.

        Raises:
            TypeError, ValueError: The zone is no text, or there are too many.
        """
        zone = fields["zone"]
        if not isinstance(zone, str):
            raise TypeError("zone: a text is needed")
        self.number = index
        if (zone in self._zones) == fields["is_empty"]:
            return False
        if not fields["is_empty"]:
            self._zones.discard(zone)
            return True
        if len(self._zones) >= MAX_ZONES:
            raise ValueError(f"zone: more than {MAX_ZONES} zones are emptied")
        self._zones.add(zone)
        return True

    def to_plain(self) -> list[Any]:
        """Return the state for a snapshot."""
        return [self.number, self.zones]

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Evacuations":
        """Return the state of a snapshot."""
        restored = cls()
        restored.number, zones = plain
        restored._zones = set(zones)
        return restored


class OrderNumber:
    """The number by which a leader tells a new order of an operator from one that was delayed.

    Failure: an order waits in a process that is paused, or on a link that is cut. The operator
    sends it again elsewhere, and withdraws it later; then the first message arrives. An order names
    the number that its sender has just asked for, so the delayed one is found to be out of date.

    Args:
        term: Term of the leader. As it is a part of the number, no later leader takes an order that
            names the index of an entry that was never committed.
        evacuations: Returns the emptied zones of the replicated state.
    """

    def __init__(self, *, term: int, evacuations: Callable[[], Evacuations]) -> None:
        self._term = term
        self._evacuations = evacuations
        self._proposed = 0

    @property
    def newest(self) -> str:
        """Number of the newest order, committed or not."""
        return f"{self._term}.{max(self._proposed, self._evacuations().number)}"

    def record(self, index: int | None) -> None:
        """Record the log index of an order that is proposed; None if it was not."""
        self._proposed = max(self._proposed, index or 0)


def evacuation_command(zone: str, *, is_empty: bool) -> Command:
    """Return the command that empties a zone or takes it back."""
    return Command(CommandKind.EVACUATION, {"zone": zone, "is_empty": is_empty})
