"""Requests to the leader and its replies, as processes exchange them over the channel."""

import json
from enum import StrEnum
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode


class Operation(StrEnum):
    """Kind of a request."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "cancel"
    WITHDRAW = "withdraw"
    """The caller of a submission has left; the job goes on if another submission waits for it."""
    PENDING = "pending"
    REPLACE_CONFIG = "replace-config"
    READ_CONFIG = "read-config"
    ANNOUNCE = "announce"
    LEAVE = "leave"
    EVACUATE = "evacuate"
    """Empty an availability zone, or take it back."""
    WHO_LEADS = "who-leads"


class Request(NamedTuple):
    """A request to the leader.

    Args:
        operation: Kind of the request.
        fields: Arguments as plain JSON values; their names depend on the operation.
    """

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
        code: Result code. With ``NOT_LEADER``, the field ``members`` lists the instances that may
            lead.
        fields: Results as plain JSON values; their names depend on the operation.
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
