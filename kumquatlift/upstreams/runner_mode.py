"""Speed, delays and faults of a runner stand-in."""

from enum import Enum
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure


class Fault(Enum):
    """Fault that the stand-in applies to every request."""

    NONE = "none"
    FAIL = "fail"
    """Start the first task, then fail the request at once."""
    REFUSE = "refuse"
    """Answer 503 without starting a task."""
    CLOSE = "close"
    """Run the tasks, then close the connection without an answer."""
    TRUNCATE = "truncate"
    """Run the tasks, then close the connection in the middle of the body."""


class Mode(NamedTuple):
    """Speed, delays and fault of the stand-in.

    Args:
        speed: Factor by which run times are divided.
        delay_ms: Time from the arrival of a request until it acquires a slot, in milliseconds.
        stall_ms: Time for which a request holds its slot before it starts to run, in milliseconds.
        late_ms: Time from releasing the slot until the answer is sent, in milliseconds.
        fault: Fault that is applied to every request.
    """

    speed: float = 1.0
    delay_ms: int = 0
    stall_ms: int = 0
    late_ms: int = 0
    fault: Fault = Fault.NONE

    def changed(self, fields: dict[str, Any]) -> "Mode | Failure":
        """Return the mode with some fields replaced, or a ``MALFORMED`` failure."""
        unknown = sorted(set(fields) - set(self._fields))
        if unknown:
            return Failure(ResultCode.MALFORMED, f"unknown field of the mode: {unknown[0]}")
        try:
            mode = self._replace(**fields)
            mode = mode._replace(fault=Fault(mode.fault), speed=float(mode.speed))
            if mode.speed <= 0 or min(mode.delay_ms, mode.stall_ms, mode.late_ms) < 0:
                raise ValueError("the speed must be above 0, and no time below 0")
        except (TypeError, ValueError) as exc:
            return Failure(ResultCode.MALFORMED, str(exc))
        return mode

    def to_json(self) -> dict[str, Any]:
        """Return the mode in the form that ``POST /mode`` accepts."""
        return {**self._asdict(), "fault": self.fault.value}
