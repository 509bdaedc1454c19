"""How fast and how well a runner stand-in works."""

from enum import Enum
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.failure import Failure


class Fault(Enum):
    """How the stand-in treats every request while the fault is set."""

    NONE = "none"
    FAIL = "fail"
    """Start each task and fail it at once."""
    REFUSE = "refuse"
    """Answer 503 before the start."""
    CLOSE = "close"
    """Run the tasks, then close the connection without an answer."""
    TRUNCATE = "truncate"
    """Run the tasks, then close the connection in the middle of the body."""


class Mode(NamedTuple):
    """How fast and how well the stand-in works.

    Args:
        speed: Run times are divided by this factor.
        delay_ms: Time from the arrival of a request to its start; it takes no slot yet.
        stall_ms: Time for which a started request holds its slot before it runs.
        late_ms: Time from the end of the run to the answer; the slot is free by then.
        fault: What goes wrong with every request.
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
        """Return the mode as ``POST /mode`` takes it."""
        return {**self._asdict(), "fault": self.fault.value}
