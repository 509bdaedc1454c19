"""Jobs as callers submit them, and their answers."""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import MAX_JOB_TASKS, MAX_TASK_BYTES
from kumquatlift.failure import Failure

MAX_TASK_ID_CHARS = 64


class Task(NamedTuple):
    """One task of a job.

    Args:
        id: Caller's id of the task, unique within the job.
        body: Any JSON value, passed to the runner unchanged.
    """

    id: str
    body: Any


class JobRequest(NamedTuple):
    """A job as its caller submits it.

    Args:
        service: Service name.
        kind: Request kind of the service.
        team: Team whose share and quota the job counts against; empty for none.
        deadline_ms: Longest time to the answer, in milliseconds; 0 for the deadline of the kind.
        tasks: Tasks in the caller's order.
    """

    service: str
    kind: str
    team: str
    deadline_ms: int
    tasks: tuple[Task, ...]

    @classmethod
    def from_json(cls, obj: Mapping[str, Any]) -> "JobRequest | Failure":
        """Read a submission; the configuration is not consulted.

        Returns:
            The request, or a failure with a code of 2xxx (invalid request) that names the field.
        """
        for field in ("service", "kind"):
            if not isinstance(obj.get(field), str) or not obj[field]:
                return Failure(ResultCode.MALFORMED, f"{field}: a non-empty string is needed")
        team = obj.get("team", "")
        if not isinstance(team, str):
            return Failure(ResultCode.MALFORMED, "team: a string is needed")
        deadline_ms = obj.get("deadline_ms", 0)
        if type(deadline_ms) is not int or deadline_ms < 0:
            return Failure(ResultCode.MALFORMED, "deadline_ms: a whole number from 0 is needed")
        tasks = _read_tasks(obj.get("tasks"))
        if isinstance(tasks, Failure):
            return tasks
        return cls(obj["service"], obj["kind"], team, deadline_ms, tasks)

    @property
    def digest(self) -> bytes:
        """Checksum of the payload, 16 bytes; equal for equal requests."""
        return digest_of(self.to_bytes())

    def to_bytes(self) -> bytes:
        """Encode for another entry process; equal requests give equal bytes."""
        tasks = [{"id": task.id, "body": task.body} for task in self.tasks]
        fields = {**self._asdict(), "tasks": tasks}
        return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "JobRequest | Failure":
        """Decode what ``to_bytes`` made."""
        try:
            obj = json.loads(data)
        except ValueError as exc:
            return Failure(ResultCode.MALFORMED, f"not a job request: {exc}")
        return cls.from_json(obj)


class TaskResult(NamedTuple):
    """Result of one task, and how many attempts it took."""

    id: str
    result: Any
    attempts: int = 1


class JobAnswer(NamedTuple):
    """Final answer of a job: complete with one result per task, or failed with none.

    Args:
        code: ``COMPLETE``, or why the job failed.
        reason: One-line explanation for people.
        results: One result per task in the caller's order; empty unless complete.
        retry_after_ms: Delay before a retry, in milliseconds; 0 when unknown.
    """

    code: ResultCode
    reason: str = ""
    results: tuple[TaskResult, ...] = ()
    retry_after_ms: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the answer carries every result."""
        return self.code is ResultCode.COMPLETE

    @classmethod
    def from_failure(cls, failure: Failure) -> "JobAnswer":
        """Make the answer of a job that failed or was refused."""
        return cls(failure.code, failure.reason, retry_after_ms=failure.retry_after_ms)

    @property
    def failure(self) -> Failure:
        """The code and reason as a failure value."""
        return Failure(self.code, self.reason, self.retry_after_ms)

    def to_bytes(self) -> bytes:
        """Encode for another entry process."""
        return json.dumps([int(self.code), self.reason, self.results, self.retry_after_ms]).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "JobAnswer":
        """Decode what ``to_bytes`` made.

        Raises:
            ValueError: The bytes are not an answer.
        """
        code, reason, results, retry_after_ms = json.loads(data)
        return cls(
            ResultCode(code), reason, tuple(TaskResult(*row) for row in results), retry_after_ms
        )


def digest_of(data: bytes) -> bytes:
    """Return the checksum of an encoded request, 16 bytes."""
    return blake2b(data, digest_size=16).digest()


def _read_tasks(source: Any) -> tuple[Task, ...] | Failure:
    if not isinstance(source, list) or not source:
        return Failure(ResultCode.MALFORMED, "tasks: a list with at least one task is needed")
    if len(source) > MAX_JOB_TASKS:
        return Failure(
            ResultCode.TOO_LARGE, f"tasks: {len(source)} given, at most {MAX_JOB_TASKS} are allowed"
        )
    tasks: list[Task] = []
    seen: set[str] = set()
    for index, item in enumerate(source):
        task = _read_task(index, item)
        if isinstance(task, Failure):
            return task
        if task.id in seen:
            return Failure(
                ResultCode.DUPLICATE_TASK_ID, f"tasks.{index}.id: {task.id!r} is used twice"
            )
        seen.add(task.id)
        tasks.append(task)
    return tuple(tasks)


def _read_task(index: int, item: Any) -> Task | Failure:
    if not isinstance(item, dict) or not isinstance(item.get("id"), str):
        return Failure(ResultCode.MALFORMED, f"tasks.{index}: an object with an id is needed")
    task_id = item["id"]
    if not 0 < len(task_id) <= MAX_TASK_ID_CHARS:
        return Failure(
            ResultCode.MALFORMED,
            f"tasks.{index}.id: 1 to {MAX_TASK_ID_CHARS} characters are needed",
        )
    if len(json.dumps(item.get("body"))) > MAX_TASK_BYTES:
        return Failure(ResultCode.TOO_LARGE, f"tasks.{index}.body: over {MAX_TASK_BYTES} bytes")
    return Task(task_id, item.get("body"))
