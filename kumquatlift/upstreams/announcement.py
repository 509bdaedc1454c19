"""Messages with which a runner announces itself, and their answers."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure
from kumquatlift.jobs.identity import is_name
from kumquatlift.settings import Address

RENEW_MS = 500
# Interval for a runner whose announcement doesn't echo its current owner yet. The owner grants the
# runner's slots only after that echo, so the next announcement follows almost at once.
NEW_OWNER_RENEW_MS = 20
MAX_SLOTS = 1024
MAX_CONNECTIONS = 4096


class Announcement(NamedTuple):
    """A runner's announcement, renewed every ``RENEW_MS``.

    Args:
        runner: Name of the runner.
        incarnation: Random identity of the runner's process, new at each start.
        service: Service that it serves.
        zone: Its availability zone.
        worker: Worker that it runs on.
        address: Address at which it accepts requests, "ip:port".
        slots: Number of requests that it runs at a time.
        connections: Number of connections that it accepts.
        busy: Number of slots in use.
        leaving: Whether it is shutting down gracefully and accepts no new work.
        owner: Owner token of the last answer, echoed; empty before the first answer.
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
            The announcement, or a ``RUNNER_MALFORMED`` failure that names the invalid field.
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
        """Decode JSON from a runner, or from an entry process that forwards the announcement."""
        try:
            obj = json.loads(data)
        except (ValueError, RecursionError) as exc:
            return _malformed(f"the body is not JSON: {exc}")
        return cls.from_json(obj) if isinstance(obj, dict) else _malformed("an object is needed")


class AnnouncementAnswer(NamedTuple):
    """Answer to an announcement.

    Args:
        owner: Token of the process that owns the runner's slots, for the runner to echo.
        renew_ms: Time until the next announcement, in milliseconds.
    """

    owner: str
    renew_ms: int

    def to_bytes(self) -> bytes:
        """Encode for another entry process."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "AnnouncementAnswer | Failure":
        """Decode the output of ``to_bytes``."""
        try:
            return cls(**json.loads(data))
        except (ValueError, TypeError) as exc:
            return Failure(ResultCode.RUNNER_REFUSED, f"the owner's answer is not valid: {exc}")


def _malformed(reason: str) -> Failure:
    return Failure(ResultCode.RUNNER_MALFORMED, reason)
