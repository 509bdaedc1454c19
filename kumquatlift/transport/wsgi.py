"""JSON requests and responses on top of WSGI."""

import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from kumquatlift.codes import ResultCode
from kumquatlift.configuration.document import MAX_REQUEST_BYTES
from kumquatlift.failure import Failure
from kumquatlift.log import get_logger

_REASONS = {
    200: "OK",
    202: "Accepted",
    303: "See Other",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class ApiRequest(NamedTuple):
    """One HTTP request.

    Args:
        method: HTTP method in upper case.
        path: Decoded path without the query.
        query: First value of each query parameter.
        headers: Header values by lower-case name.
        body: Complete body.
        is_client_disconnected: Tells whether the client has closed the connection, as far as the
            server detects it (see ``lookahead`` of ``HttpServer``).
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    is_client_disconnected: Callable[[], bool] = lambda: False

    @classmethod
    def from_environ(cls, environ: dict[str, Any]) -> "ApiRequest":
        """Read a WSGI environment, whose body the server has buffered."""
        headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        headers["content-type"] = environ.get("CONTENT_TYPE", "")
        query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
        return cls(
            environ["REQUEST_METHOD"],
            environ.get("PATH_INFO", "/"),
            {name: values[0] for name, values in query.items()},
            headers,
            environ["wsgi.input"].read(),
            environ.get("waitress.client_disconnected", _never),
        )

    def json_object(self) -> dict[str, Any] | Failure:
        """Return the body as a JSON object, or a ``MALFORMED`` failure."""
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            return Failure(ResultCode.MALFORMED, f"the body is not JSON: {exc}")
        if not isinstance(value, dict):
            return Failure(ResultCode.MALFORMED, "the body is not a JSON object")
        return value


class ApiResponse(NamedTuple):
    """One HTTP response."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_json(
        cls, status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
    ) -> "ApiResponse":
        """Encode a JSON response."""
        return cls(status, json.dumps(value).encode(), headers=headers)

    @classmethod
    def from_failure(cls, failure: Failure, **extra: Any) -> "ApiResponse":
        """Encode a failure with its result code, and with further fields."""
        headers: tuple[tuple[str, str], ...] = ()
        if failure.retry_after_ms:
            seconds = -(-failure.retry_after_ms // 1000)
            headers = (("Retry-After", str(seconds)),)
        return cls.from_json(
            failure.code.http_status, {**code_fields(failure), **extra}, headers=headers
        )


def code_fields(failure: Failure) -> dict[str, Any]:
    """Return the fields that represent a result code in every JSON response."""
    fields: dict[str, Any] = {
        "code": int(failure.code),
        "name": failure.code.label,
        "ran": failure.ran.value,
        "resubmit": failure.code.resubmit.value,
        "reason": failure.reason,
    }
    if failure.retry_after_ms:
        fields["retry_after_ms"] = failure.retry_after_ms
    return fields


def _never() -> bool:
    return False


def _too_large(environ: dict[str, Any]) -> ApiResponse | None:
    """Return the refusal of a body over the limit, else None."""
    size = int(environ.get("CONTENT_LENGTH") or 0)
    if size <= MAX_REQUEST_BYTES:
        return None
    reason = f"the body has {size} bytes, at most {MAX_REQUEST_BYTES} are allowed"
    return ApiResponse.from_failure(Failure(ResultCode.TOO_LARGE, reason))


def application(handler: Callable[[ApiRequest], ApiResponse]) -> WsgiApp:
    """Return a WSGI application that calls a function for each request."""

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        try:
            res = _too_large(environ) or handler(ApiRequest.from_environ(environ))
        except Exception as exc:
            # An unexpected exception must not end the server's thread; the client gets status 500.
            get_logger().error(
                "request_failed", path=environ.get("PATH_INFO"), error=repr(exc), exc_info=True
            )
            res = ApiResponse.from_json(500, {"reason": "internal error; the outcome is unknown"})
        status = f"{res.status} {_REASONS.get(res.status, 'Unknown')}"
        headers = [
            ("Content-Type", res.content_type),
            ("Content-Length", str(len(res.body))),
            *res.headers,
        ]
        start_response(status, headers)
        # Waitress would send the body, and the client would read it as the next response.
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [res.body]

    return app
