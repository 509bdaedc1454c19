"""HTTP application for operators: administration API, metrics, state dump and console."""

import json
import re
import time
from collections.abc import Callable, Iterable
from typing import Any

from kumquatlift.administration.access import Operator, OperatorAccess
from kumquatlift.administration.console import BaseVersion, Console
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.diff import differences
from kumquatlift.configuration.document import Document, Problem
from kumquatlift.configuration.document_check import read_mapping, read_toml
from kumquatlift.configuration.in_force import write_document
from kumquatlift.configuration.register import Register
from kumquatlift.configuration.value import Change, Proposal
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger
from kumquatlift.membership.members import Members
from kumquatlift.settings import OperatorToken
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse, code_fields

# The rounds of a change take at most 5 s, after those of the changes queued before it.
ANSWER_TIMEOUT_S = 30.0
_CHANGE_ID = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_CHANGES = "/v1/configuration/changes"


class OperatorApplication:
    """Answers the HTTP requests of operators. Every request needs a valid token.

    Args:
        register: The configuration.
        members: Membership view.
        tokens: Names of operators and checksums of their tokens.
        dump: Returns the state of this process as plain data.
        metrics: Returns the metrics in the text format of Prometheus.
    """

    def __init__(
        self,
        *,
        register: Register,
        members: Members,
        tokens: Iterable[OperatorToken],
        dump: Callable[[], dict[str, Any]],
        metrics: Callable[[], bytes],
    ) -> None:
        self._register = register
        self._members = members
        self._access = OperatorAccess(tokens=tokens)
        self._dump = dump
        self._metrics = metrics
        self._console = Console(
            access=self._access, state=self._state, register=register, submit=self.submit
        )
        self._routes: dict[tuple[str, str], Callable[[ApiRequest, Operator], ApiResponse]] = {
            ("GET", "/v1/configuration"): self._get_configuration,
            ("POST", "/v1/configuration/preview"): self._preview,
            ("GET", _CHANGES): self._list_changes,
            ("POST", _CHANGES): self._propose,
            ("GET", "/v1/state"): lambda req, operator: _json_response(self._state()),
            ("GET", "/v1/dump"): lambda req, operator: _json_response(self._dump()),
            ("GET", "/metrics"): self._get_metrics,
        }

    def handle(self, req: ApiRequest) -> ApiResponse:
        """Answer one HTTP request."""
        if req.path == "/" or req.path == "/console" or req.path.startswith("/console/"):
            return self._console.handle(req)
        operator = self._access.by_bearer(req)
        if operator is None:
            failure = Failure(ResultCode.UNAUTHORIZED, "a valid operator token is needed")
            res = ApiResponse.from_failure(failure)
            return res._replace(headers=(*res.headers, ("WWW-Authenticate", "Bearer")))
        route = self._routes.get((req.method, req.path))
        if route is not None:
            return route(req, operator)
        if req.method == "GET" and req.path.startswith(f"{_CHANGES}/"):
            return self._get_change(req.path.removeprefix(f"{_CHANGES}/"))
        return ApiResponse.from_failure(
            Failure(ResultCode.NOT_FOUND, f"no {req.method} of {req.path[:100]}")
        )

    def submit(
        self, operator: Operator, change_id: str, base: BaseVersion, doc: Document
    ) -> Change | Failure:
        """Propose a change and wait for its outcome, for at most ``ANSWER_TIMEOUT_S``."""
        now_ms = int(time.time() * 1000)
        text = write_document(doc)
        proposal = Proposal(
            change_id, base.version, text, operator.name, now_ms, base_register=base.register
        )
        try:
            return self._register.propose(proposal).result(timeout=ANSWER_TIMEOUT_S)
        except TimeoutError:
            return Failure(ResultCode.CHANGE_UNKNOWN, "no outcome yet; ask again with the same id")

    def _get_configuration(self, _req: ApiRequest, _operator: Operator) -> ApiResponse:
        return _json_response(self._in_force())

    def _preview(self, req: ApiRequest, _operator: Operator) -> ApiResponse:
        fields = req.json_object()
        if isinstance(fields, Failure):
            return ApiResponse.from_failure(fields)
        doc = _read_document(fields.get("document"))
        if isinstance(doc, list):
            return _invalid_document_response(doc)
        in_force = self._in_force()
        rows = differences(in_force.pop("document"), doc.to_mapping())
        return _json_response({**in_force, "differences": [row._asdict() for row in rows]})

    def _propose(self, req: ApiRequest, operator: Operator) -> ApiResponse:
        fields = req.json_object()
        if isinstance(fields, Failure):
            return ApiResponse.from_failure(fields)
        change_id, base_version = fields.get("change_id"), fields.get("base_version")
        if not isinstance(change_id, str) or not _CHANGE_ID.fullmatch(change_id):
            return _malformed_response("change_id: 1 to 64 of A-Z, a-z, 0-9, _, . and - are needed")
        if type(base_version) is not int or base_version < 1:
            return _malformed_response(
                "base_version: the version that the change was made from is needed"
            )
        base_register = fields.get("base_register", "")
        if not isinstance(base_register, str):
            return _malformed_response(
                "base_register: the register that goes with base_version is needed"
            )
        doc = _read_document(fields.get("document"))
        if isinstance(doc, list):
            return _invalid_document_response(doc)
        base = BaseVersion(base_version, base_register)
        return self._change_response(self.submit(operator, change_id, base, doc))

    def _get_change(self, change_id: str) -> ApiResponse:
        if not _CHANGE_ID.fullmatch(change_id):
            return _malformed_response("change_id: 1 to 64 of A-Z, a-z, 0-9, _, . and - are needed")
        try:
            return self._change_response(
                self._register.find_change(change_id).result(ANSWER_TIMEOUT_S)
            )
        except TimeoutError:
            return ApiResponse.from_failure(
                Failure(ResultCode.CHANGE_UNKNOWN, "no majority answered in time; ask again")
            )

    def _change_response(self, result: Change | Failure) -> ApiResponse:
        if isinstance(result, Failure):
            # The answer includes the configuration from which the change must be made again.
            is_conflict = result.code is ResultCode.VERSION_CONFLICT
            extra = {"in_force": self._in_force()} if is_conflict else {}
            return ApiResponse.from_failure(result, **extra)
        code = ResultCode(result.code)
        return _json_response({**code_fields(Failure(code, code.help)), "change": result._asdict()})

    def _list_changes(self, _req: ApiRequest, _operator: Operator) -> ApiResponse:
        value = self._register.value
        changes = () if value is None else value.changes
        return _json_response({"changes": [change._asdict() for change in reversed(changes)]})

    def _get_metrics(self, _req: ApiRequest, _operator: Operator) -> ApiResponse:
        return ApiResponse(200, self._metrics(), "text/plain; version=0.0.4")

    def _in_force(self) -> dict[str, Any]:
        current = self._register.current
        if current is None:
            return {"version": 0, "register": "", "document": {}}
        value, doc = current
        return {
            "version": value.version,
            "register": value.register,
            "document": doc.to_mapping(),
        }

    def _state(self) -> dict[str, Any]:
        return {
            "configuration": self._register.state(),
            "instances": [
                {
                    "name": member.name,
                    "zone": member.zone,
                    "state": member.state.value,
                    "configuration": member.config_version,
                    "peers": member.peers,
                }
                for member in self._members.live()
            ],
            "services": self._dump().get("slots", {}).get("services", {}),
        }


def _read_document(source: Any) -> Document | list[Problem]:
    """Validate a document given as TOML text or as plain dicts and lists."""
    return read_toml(source) if isinstance(source, str) else read_mapping(source)


def _json_response(value: Any) -> ApiResponse:
    # The dump may hold values of types that JSON lacks; these are converted to text.
    body = json.dumps(value, default=str).encode()
    return ApiResponse(200, body, headers=(("Cache-Control", "no-store"),))


def _malformed_response(reason: str) -> ApiResponse:
    return ApiResponse.from_failure(Failure(ResultCode.MALFORMED, reason))


def _invalid_document_response(problems: list[Problem]) -> ApiResponse:
    get_logger().info("document_refused", problems=len(problems))
    failure = Failure(ResultCode.INVALID_DOCUMENT, f"{len(problems)} problem(s) in the document")
    rows = [problem._asdict() for problem in problems]
    return ApiResponse.from_failure(failure, problems=rows)
