"""Which entry processes there are, and which of them are live."""

from enum import Enum
from hashlib import blake2b
from typing import NamedTuple, Protocol


class MemberState(Enum):
    """What an entry process says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class Member(NamedTuple):
    """One entry process as its peers see it.

    Args:
        name: Process name.
        zone: Availability zone.
        callers: Address for callers, "ip:port".
        runners: Address for announcements, "ip:port".
        peers: Address for peers, "ip:port", TCP and UDP.
        incarnation: Random identity of the process's current run.
        state: What the process says of itself.
        config_version: Version of the configuration in force there.
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
    """Read access to the membership view of a process."""

    @property
    def me(self) -> Member:
        """This process."""

    def live(self, zone: str | None = None) -> list[Member]:
        """Return live members that serve, this process included, ordered by name."""

    def get(self, name: str) -> Member | None:
        """Return a member by name, live or not."""


def owner_of(key: str, candidates: list[Member]) -> Member | None:
    """Choose the owner of a key by rendezvous hashing.

    A change of the candidates moves only the keys of the member that came or went.

    Args:
        key: What is owned, such as a service in a zone.
        candidates: Members that may own it.

    Returns:
        The owner, or None without candidates.
    """
    return max(candidates, key=lambda member: _weight(key, member.name), default=None)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
