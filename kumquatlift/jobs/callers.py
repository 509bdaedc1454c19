"""HTTP API for callers: tickets, jobs and their answers."""

from concurrent.futures import Future
from typing import Any, NamedTuple, Protocol

from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import MAX_REQUEST_BYTES
from kumquatlift.failure import Failure
from kumquatlift.jobs.job import JobAnswer, JobRequest
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse, code_fields

MAX_WAIT_MS = 600_000


class JobReply(NamedTuple):
    """An answer and the id of its job; the id is empty when the job was refused without one."""

    job_id: str
    answer: JobAnswer


class JobService(Protocol):
    """Jobs by id, whichever process runs them, as the HTTP API uses them."""

    def ticket(self) -> str | Failure:
        """Return the ledger in which a caller may choose keys."""

    def submit(self, job_id: str, req: JobRequest, *, wait: bool) -> Future[JobReply]:
        """Submit a job, or attach to it when its id is already known.

        Args:
            job_id: Text form of the identity; empty to generate one.
            req: The job.
            wait: Whether the future waits for the final answer.
        """

    def get(self, job_id: str, *, wait_s: float) -> Future[JobReply]:
        """Return the answer of a job, waiting up to ``wait_s`` seconds for its end."""

    def cancel(self, job_id: str) -> Future[JobReply]:
        """Cancel a job."""


class CallerApi:
    """Serves the HTTP API for callers.

    Args:
        jobs: Submits, queries and cancels jobs.
        zone: Availability zone of this process, returned with tickets.
    """

    def __init__(self, *, jobs: JobService, zone: str) -> None:
        self._jobs = jobs
        self._zone = zone

    def handle(self, req: ApiRequest) -> ApiResponse:
        """Answer one HTTP request."""
        if req.path == "/v1/tickets":
            return self._ticket() if req.method == "POST" else _not_allowed("POST")
        if req.path == "/v1/jobs":
            return self._submit(req) if req.method == "POST" else _not_allowed("POST")
        if req.path.startswith("/v1/jobs/"):
            return self._handle_job(req, req.path.removeprefix("/v1/jobs/"))
        return ApiResponse.from_failure(
            Failure(ResultCode.NOT_FOUND, f"no such path: {req.path[:100]}")
        )

    def _ticket(self) -> ApiResponse:
        ledger = self._jobs.ticket()
        if isinstance(ledger, Failure):
            return ApiResponse.from_failure(ledger)
        accepted = Failure(ResultCode.ACCEPTED, "")
        return ApiResponse.from_json(
            200, {**code_fields(accepted), "ledger": ledger, "zone": self._zone}
        )

    def _submit(self, req: ApiRequest) -> ApiResponse:
        if len(req.body) > MAX_REQUEST_BYTES:
            return ApiResponse.from_failure(
                Failure(ResultCode.TOO_LARGE, f"the body is over {MAX_REQUEST_BYTES} bytes")
            )
        obj = req.json_object()
        if isinstance(obj, Failure):
            return ApiResponse.from_failure(obj)
        job_id, wait = obj.get("id", ""), obj.get("wait", True)
        if not isinstance(job_id, str) or not isinstance(wait, bool):
            reason = "id: a string is needed; wait: true or false is needed"
            return ApiResponse.from_failure(Failure(ResultCode.MALFORMED, reason))
        job = JobRequest.from_json(obj)
        if isinstance(job, Failure):
            return ApiResponse.from_failure(job, id=job_id)
        return _reply(self._jobs.submit(job_id, job, wait=wait).result())

    def _handle_job(self, req: ApiRequest, job_id: str) -> ApiResponse:
        if req.method == "DELETE":
            return _reply(self._jobs.cancel(job_id).result())
        if req.method != "GET":
            return _not_allowed("GET, DELETE")
        wait_ms = req.query.get("wait_ms", "0")
        if not wait_ms.isascii() or not wait_ms.isdigit() or int(wait_ms) > MAX_WAIT_MS:
            reason = f"wait_ms: a whole number from 0 to {MAX_WAIT_MS} is needed"
            return ApiResponse.from_failure(Failure(ResultCode.MALFORMED, reason), id=job_id)
        return _reply(self._jobs.get(job_id, wait_s=int(wait_ms) / 1000).result())


def _reply(reply: JobReply) -> ApiResponse:
    answer = reply.answer
    if not answer.is_complete:
        return ApiResponse.from_failure(answer.failure, id=reply.job_id)
    fields: dict[str, Any] = {**code_fields(answer.failure), "id": reply.job_id}
    fields["results"] = [row._asdict() for row in answer.results]
    return ApiResponse.from_json(200, fields)


def _not_allowed(methods: str) -> ApiResponse:
    return ApiResponse(405, b"{}", headers=(("Allow", methods),))
