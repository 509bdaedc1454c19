"""The configuration document: every setting of services, teams and limits in one place.

Each field declares its type, unit, range, default and help text. The validator, the forms of the
console and the reference page in the documentation are generated from these declarations alone.
"""

from enum import Enum
from functools import cache
from typing import Annotated, Any, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter

from kumquatlift.jobs.identity import NAME_PATTERN

MAX_JOB_TASKS = 540
MAX_REQUEST_BYTES = 4 * 1024 * 1024
MAX_TASK_BYTES = 64 * 1024

Name = Annotated[str, Field(pattern=f"^{NAME_PATTERN}$")]


def _number(unit: str, ge: float, le: float, text: str) -> Any:
    return Field(ge=ge, le=le, description=text, json_schema_extra={"unit": unit})


class Urgency(Enum):
    """Order in which waiting tasks are started; earlier members go first."""

    CRITICAL = "critical"
    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """Position in the order; tasks of rank 0 start first."""
        return list(Urgency).index(self)


class Kind(NamedTuple):
    """A request kind of a service: how its work is ordered, split, retried and refused."""

    urgency: Annotated[
        Urgency, Field(description="order among waiting tasks of the service", strict=False)
    ] = Urgency.NORMAL
    repeatable: Annotated[
        bool, Field(description="whether a task may run again after an attempt that ended")
    ] = False
    tasks_per_request: Annotated[
        int, _number("tasks", 1, 64, "consecutive tasks sent to a runner in one request")
    ] = 1
    max_tasks: Annotated[int, _number("tasks", 1, MAX_JOB_TASKS, "largest job accepted")] = (
        MAX_JOB_TASKS
    )
    expected_ms: Annotated[
        int, _number("ms", 1, 600_000, "declared run time of a task, corrected by observation")
    ] = 300
    lease_ms: Annotated[
        int,
        _number("ms", 10, 600_000, "longest run of one request, after which the runner stops it"),
    ] = 10_000
    deadline_ms: Annotated[
        int, _number("ms", 10, 3_600_000, "longest time from acceptance to the answer")
    ] = 30_000
    max_attempts: Annotated[
        int, _number("attempts", 1, 10, "maximum attempts of a task, including the first")
    ] = 3


class Service(NamedTuple):
    """A service: its request kinds, its runners' limits and the bounds of its queue."""

    kinds: Annotated[
        dict[Name, Kind], Field(min_length=1, max_length=64, description="request kinds by name")
    ]
    slots: Annotated[int, _number("tasks", 1, 1024, "tasks that one runner runs at a time")] = 8
    connections: Annotated[
        int,
        _number(
            "connections", 1, 4096, "maximum open connections to one runner, from all processes"
        ),
    ] = 64
    max_queued: Annotated[
        int, _number("tasks", 1, 1_000_000, "maximum tasks waiting in one availability zone")
    ] = 10_000
    retry_budget: Annotated[
        float, _number("share", 0.0, 1.0, "retries allowed as a share of completed requests")
    ] = 0.1
    message_weight: Annotated[
        float,
        _number("weight", 0.0, 1.0, "0 weighs response time alone, 1 weighs messages alone"),
    ] = 0.3


class Team(NamedTuple):
    """A team that shares the services, with its quota."""

    share: Annotated[int, _number("weight", 1, 1000, "weight among teams with waiting tasks")] = 10
    max_running: Annotated[int, _number("tasks", 1, 1_000_000, "tasks running at a time")] = 100_000
    max_queued: Annotated[int, _number("tasks", 1, 1_000_000, "tasks waiting at a time")] = 100_000


class System(NamedTuple):
    """Settings of kumquatlift itself that are the same in every process."""

    voters: Annotated[
        tuple[Name, ...],
        Field(min_length=1, max_length=7, description="entry processes that vote on changes"),
    ]
    retention_s: Annotated[
        int, _number("s", 10, 86_400, "how long a finished job's identity is remembered")
    ] = 3600
    ledger_rotation_s: Annotated[
        int, _number("s", 1, 86_400, "age at which a ledger stops accepting new jobs")
    ] = 600
    ledger_max_claims: Annotated[
        int, _number("claims", 1, 1_000_000, "claims at which a ledger stops accepting new jobs")
    ] = 100_000
    max_callers: Annotated[
        int,
        _number("requests", 1, 4096, "requests of callers that one process serves at a time"),
    ] = 64


class Document(NamedTuple):
    """The whole configuration."""

    system: Annotated[System, Field(description="kumquatlift itself")]
    services: Annotated[
        dict[Name, Service], Field(min_length=1, max_length=256, description="services by name")
    ]
    teams: Annotated[dict[Name, Team], Field(max_length=256, description="teams by name")] = {}

    def to_mapping(self) -> dict[str, Any]:
        """Return the document as plain dicts and lists, with every default written out."""
        return {name: _plain(value) for name, value in self._asdict().items()}

    def to_toml(self) -> str:
        """Return the document as TOML, with every default written out."""
        import tomli_w

        return tomli_w.dumps(self.to_mapping())


class Problem(NamedTuple):
    """One error of a document.

    Args:
        path: Dotted path of the field.
        message: What is allowed.
        given: The value in the document, shortened.
    """

    path: str
    message: str
    given: str

    def __str__(self) -> str:
        return f"{self.path or 'document'}: {self.message} (given: {self.given})"

    @classmethod
    def from_error(cls, error: Any) -> "Problem":
        """Return the problem that one entry of pydantic's error list describes."""
        path = ".".join(str(part) for part in error["loc"] if part != "[key]")
        return cls(path, str(error["msg"]), repr(error["input"])[:80])


@cache
def adapter() -> TypeAdapter[Document]:
    """Return the validator of documents.

    Validation is strict, so a list in the source must be given as a tuple.
    """
    return TypeAdapter(Document, config=ConfigDict(strict=True))


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if hasattr(value, "_asdict"):
        return {key: _plain(item) for key, item in value._asdict().items()}
    return [_plain(item) for item in value] if isinstance(value, tuple) else value
