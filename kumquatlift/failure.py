"""The value that a failed call returns instead of its result."""

from typing import NamedTuple

from kumquatlift.codes import Ran, ResultCode


class Failure(NamedTuple):
    """Result of a failed call.

    Args:
        code: Numbered result code.
        reason: One line that a person reads, without a final full stop.
        retry_after_ms: Time to wait before a retry, in milliseconds; 0 if unknown.
    """

    code: ResultCode
    reason: str
    retry_after_ms: int = 0

    @property
    def ran(self) -> Ran:
        """Whether the requested work ran."""
        return self.code.ran

    def __str__(self) -> str:
        return f"{int(self.code)} {self.code.label}: {self.reason}"
