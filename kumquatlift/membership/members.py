"""Members of the group of entry processes, and the choice of a key's owner among them."""

from enum import Enum
from hashlib import blake2b
from typing import NamedTuple, Protocol


class MemberState(Enum):
    """State that an entry process announces."""

    SERVING = "serving"
    LEAVING = "leaving"


class Member(NamedTuple):
    """Record that an entry process announces to its peers.

    Args:
        name: Process name.
        zone: Availability zone.
        callers: Address for callers, "ip:port".
        runners: Address for announcements, "ip:port".
        peers: Address for peers, "ip:port", TCP and UDP.
        incarnation: Random identity of the current run of the process.
        state: State that the process announces.
        config_version: Version of the configuration in force in the process.
    """

    name: str
    zone: str
    callers: str
    runners: str
    peers: str
    incarnation: str
    state: MemberState = MemberState.SERVING
    config_version: int = 0


class Members(Protocol):
    """Read access to a process's view of the membership."""

    @property
    def me(self) -> Member:
        """This process."""

    def live(self, zone: str | None = None) -> list[Member]:
        """Return the live members that serve, this process included, ordered by name.

        Args:
            zone: Availability zone; None for all.
        """

    def get(self, name: str) -> Member | None:
        """Return a member by name, live or not."""


def owner_of(key: str, candidates: list[Member]) -> Member | None:
    """Choose the owner of a key by rendezvous hashing.

    When a candidate is added or removed, only the keys of that candidate change their owner.

    Args:
        key: Name of what is owned, such as a service in a zone.
        candidates: Members that may own it.

    Returns:
        The owner, or None without candidates.
    """
    return max(candidates, key=lambda member: _weight(key, member.name), default=None)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
