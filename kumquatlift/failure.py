"""The value that a failed call returns in place of its result."""

from typing import NamedTuple

from kumquatlift.codes import Ran, ResultCode


class Failure(NamedTuple):
    """Sentinel result of a failed call.

    Args:
        code: Numbered result code.
        reason: One line for a person, without a final full stop.
        retry_after_ms: When to come back, in milliseconds; 0 when nothing is known.
    """

    code: ResultCode
    reason: str
    retry_after_ms: int = 0

    @property
    def ran(self) -> Ran:
        """Whether the work behind the failed call ran."""
        return self.code.ran

    def __str__(self) -> str:
        return f"{int(self.code)} {self.code.label}: {self.reason}"
