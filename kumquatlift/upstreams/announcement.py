"""What a runner says of itself, and what it gets in answer."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.identity import is_name
from kumquatlift.settings import Address

RENEW_MS = 500
# A runner that has just chosen a new owner announces again at once, so that the owner can grant.
NEW_OWNER_RENEW_MS = 20
MAX_SLOTS = 1024
MAX_CONNECTIONS = 4096


class Announcement(NamedTuple):
    """A runner's announcement, renewed every ``RENEW_MS``.

    Args:
        runner: Name of the runner.
        incarnation: Random identity of the runner's current run.
        service: Service that it serves.
        zone: Its availability zone.
        worker: Worker that it runs on.
        address: Where it takes requests, "ip:port".
        slots: Requests that it runs at a time.
        connections: Connections that it accepts.
        busy: Slots in use now.
        leaving: Whether it takes no new work.
        owner: Owner named in the last answer that it got; empty before the first.
    """

    runner: str
    incarnation: str
    service: str
    zone: str
    worker: str
    address: str
    slots: int
    connections: int
    busy: int
    leaving: bool
    owner: str

    @classmethod
    def from_json(cls, obj: Mapping[str, Any]) -> "Announcement | Failure":
        """Read and check an announcement.

        Returns:
            The announcement, or a ``RUNNER_MALFORMED`` failure that names the field at fault.
        """
        for field in ("runner", "service", "zone", "worker"):
            if not isinstance(obj.get(field), str) or not is_name(obj[field]):
                return _malformed(f"{field}: a name of a-z, 0-9 and - is needed")
        for field in ("incarnation", "owner"):
            if not isinstance(obj.get(field, ""), str) or len(obj.get(field, "")) > 100:
                return _malformed(f"{field}: a string of at most 100 characters is needed")
        try:
            address = str(Address.parse(obj["address"]))
        except (KeyError, ValueError, AttributeError):
            return _malformed("address: ip:port is needed")
        for field, low, high in (
            ("slots", 1, MAX_SLOTS),
            ("connections", 1, MAX_CONNECTIONS),
            ("busy", 0, MAX_SLOTS),
        ):
            value = obj.get(field)
            if type(value) is not int or not low <= value <= high:
                return _malformed(f"{field}: a whole number from {low} to {high} is needed")
        state = obj.get("state")
        if state not in ("serving", "leaving"):
            return _malformed("state: serving or leaving is needed")
        return cls(
            obj["runner"],
            obj.get("incarnation", ""),
            obj["service"],
            obj["zone"],
            obj["worker"],
            address,
            obj["slots"],
            obj["connections"],
            obj["busy"],
            state == "leaving",
            obj.get("owner", ""),
        )

    def to_bytes(self) -> bytes:
        """Encode for another entry process."""
        state = "leaving" if self.leaving else "serving"
        return json.dumps({**self._asdict(), "state": state}).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Announcement | Failure":
        """Decode JSON; used for requests of runners and of entry processes alike."""
        try:
            obj = json.loads(data)
        except (ValueError, RecursionError) as exc:
            return _malformed(f"the body is not JSON: {exc}")
        return cls.from_json(obj) if isinstance(obj, dict) else _malformed("an object is needed")


class AnnouncementAnswer(NamedTuple):
    """Who owns the runner's slots now, and when to announce again, in milliseconds."""

    owner: str
    renew_ms: int

    def to_bytes(self) -> bytes:
        """Encode for another entry process."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "AnnouncementAnswer | Failure":
        """Decode what ``to_bytes`` made."""
        try:
            return cls(**json.loads(data))
        except (ValueError, TypeError) as exc:
            return Failure(ResultCode.RUNNER_REFUSED, f"the owner's answer is not valid: {exc}")


def _malformed(reason: str) -> Failure:
    return Failure(ResultCode.RUNNER_MALFORMED, reason)
