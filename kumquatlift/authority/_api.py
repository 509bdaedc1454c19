"""Requests to the authority from the processes that callers, upstreams and operators reach."""

import json
from enum import StrEnum
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode


class Operation(StrEnum):
    """What is asked of the authority."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "cancel"
    PENDING = "pending"
    REPLACE_CONFIG = "replace-config"
    READ_CONFIG = "read-config"
    ANNOUNCE = "announce"
    LEAVE = "leave"
    WHO_LEADS = "who-leads"


class Request(NamedTuple):
    """A request to the leader, with plain fields by operation."""

    operation: Operation
    fields: dict[str, Any]

    def to_bytes(self) -> bytes:
        """Encode for the channel."""
        return json.dumps([self.operation, self.fields], separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Request":
        """Decode.

        Raises:
            ValueError: The bytes are not a request.
        """
        operation, fields = json.loads(data)
        return cls(Operation(operation), fields)


class Reply(NamedTuple):
    """Answer of an instance to a request.

    Args:
        code: Result code; ``NOT_LEADER`` names the leader in its fields when it is known.
        fields: Plain values, by operation.
    """

    code: ResultCode
    fields: dict[str, Any] = {}

    def to_bytes(self) -> bytes:
        """Encode for the channel."""
        return json.dumps([int(self.code), self.fields], separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Reply":
        """Decode.

        Raises:
            ValueError: The bytes are not a reply.
        """
        code, fields = json.loads(data)
        return cls(ResultCode(code), fields)
