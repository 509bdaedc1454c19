"""The operators' console: HTML forms without scripts."""

import json
import secrets
from base64 import b64encode
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from functools import cache
from hashlib import sha256
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, quote, urlencode

from kumquatlift.administration.access import (
    Operator,
    OperatorAccess,
    cookie_header,
    is_own_form,
    is_same_origin,
)
from kumquatlift.administration.console_forms import Place, find_place
from kumquatlift.codes import ResultCode
from kumquatlift.configuration.diff import differences
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping
from kumquatlift.configuration.register import Register
from kumquatlift.configuration.value import Change
from kumquatlift.failure import Failure
from kumquatlift.jobs.identity import is_name
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse

MAX_FORM_FIELDS = 100

Form = Mapping[str, str]


class BaseVersion(NamedTuple):
    """The version that a change was made from, and the register that accepted it."""

    version: int
    register: str


Submit = Callable[[Operator, str, BaseVersion, Document], Change | Failure]


class Console:
    """Answers the requests for pages under ``/console``.

    Args:
        access: Checks tokens and cookies.
        state: Returns the current state of the system as plain data.
        register: The configuration.
        submit: Proposes a change and waits for its outcome.
    """

    def __init__(
        self,
        *,
        access: OperatorAccess,
        state: Callable[[], dict[str, Any]],
        register: Register,
        submit: Submit,
    ) -> None:
        self._access = access
        self._state = state
        self._register = register
        self._submit = submit
        self._get_routes: dict[str, Callable[[ApiRequest, Operator], ApiResponse]] = {
            "/console": lambda req, operator: _page("overview", operator, state=self._state()),
            "/console/edit": self._edit,
            "/console/add": self._add,
            "/console/history": self._history,
        }
        self._post_routes: dict[str, Callable[[Form, Operator], ApiResponse]] = {
            "/console/preview": self._preview,
            "/console/apply": self._apply,
            "/console/logout": lambda form, operator: _redirect("/console", cookie_header("")),
        }

    def handle(self, req: ApiRequest) -> ApiResponse:
        """Answer one HTTP request."""
        if req.path == "/":
            return _redirect("/console")
        if req.path == "/console/login" and req.method == "POST":
            return self._login(req)
        operator = self._access.by_cookie(req)
        if operator is None:
            return _page("login", None, status=401, problem="")
        if req.method == "GET" and req.path in self._get_routes:
            return self._get_routes[req.path](req, operator)
        if req.method == "POST" and req.path in self._post_routes:
            form = _parse_form(req)
            if not is_own_form(operator, form.get("form_key", ""), req):
                return _message_page(
                    operator, 401, "The form is not from this console; open it again."
                )
            return self._post_routes[req.path](form, operator)
        return _message_page(operator, 404, "There is no such page.")

    def _login(self, req: ApiRequest) -> ApiResponse:
        token = _parse_form(req).get("token", "").strip()
        if not is_same_origin(req) or self._access.by_token(token) is None:
            return _page("login", None, status=401, problem="This token is not valid.")
        return _redirect("/console", cookie_header(token))

    def _edit(self, req: ApiRequest, operator: Operator) -> ApiResponse:
        place = find_place(self._read_in_force()[1], req.query.get("path", ""))
        if place is None or (place.is_new and not _may_add(place)):
            return _message_page(operator, 404, "The document has no such table.")
        return self._form_page(operator, place, {}, {}, [])

    def _add(self, req: ApiRequest, operator: Operator) -> ApiResponse:
        path, name = req.query.get("path", ""), req.query.get("name", "").strip()
        if not is_name(name):
            return _message_page(
                operator,
                400,
                "A name has 1 to 40 of a-z, 0-9 and hyphen, and does not start with a hyphen.",
            )
        return _redirect(f"/console/edit?{urlencode({'path': f'{path}.{name}'})}")

    def _preview(self, form: Form, operator: Operator) -> ApiResponse:
        # The version and the document must be read together: a version paired with an older
        # document would revert a change without a conflict.
        base, current = self._read_in_force()
        place = find_place(current, form.get("path", ""))
        if place is None or place.table is None or not place.path:
            return _message_page(operator, 404, "The document has no such table.")
        warnings = []
        if form.get("base_version") != str(base.version):
            warnings.append(
                f"Version {base.version} is in force now; the form was opened from "
                f"version {form.get('base_version', '?')[:20]}. The differences below are against "
                "the version in force."
            )
        source = place.change(current, form)
        doc = read_mapping(source)
        if isinstance(doc, list):
            problems = {problem.path: str(problem) for problem in doc}
            return self._form_page(operator, place, form, problems, warnings)
        rows = differences(current, doc.to_mapping())
        if not rows:
            warnings.append("The form changes nothing.")
            return self._form_page(operator, place, form, {}, warnings)
        return _page(
            "preview",
            operator,
            rows=rows,
            warnings=warnings,
            path=form["path"],
            base=base,
            change_id=secrets.token_hex(8),
            document=json.dumps(doc.to_mapping()),
        )

    def _apply(self, form: Form, operator: Operator) -> ApiResponse:
        try:
            base = BaseVersion(int(form.get("base_version", "")), form.get("base_register", ""))
            source = json.loads(form.get("document", ""))
        except (ValueError, RecursionError):
            return _message_page(
                operator, 400, "The form is not complete; start from the overview."
            )
        doc = read_mapping(source)
        change_id = form.get("change_id", "")[:64]
        if isinstance(doc, list) or not change_id:
            return _message_page(
                operator, 422, "The document is not valid; start from the overview."
            )
        result = self._submit(operator, change_id, base, doc)
        is_conflict = isinstance(result, Failure) and result.code is ResultCode.VERSION_CONFLICT
        code = ResultCode(result.code)
        return _page(
            "result",
            operator,
            status=code.http_status,
            code=code,
            reason=result.reason if isinstance(result, Failure) else "",
            version=self._register.version,
            rows=differences(self._read_in_force()[1], doc.to_mapping()) if is_conflict else [],
            may_repeat=code is not ResultCode.APPLIED and code.resubmit.value == "same-id",
            base=base,
            change_id=change_id,
            document=json.dumps(doc.to_mapping()),
        )

    def _history(self, _req: ApiRequest, operator: Operator) -> ApiResponse:
        value = self._register.value
        changes = () if value is None else value.changes
        return _page("history", operator, changes=tuple(reversed(changes)))

    def _form_page(
        self,
        operator: Operator,
        place: Place,
        form: Form,
        problems: Mapping[str, str],
        warnings: list[str],
    ) -> ApiResponse:
        inputs = place.inputs(form, problems)
        shown = {".".join((*place.path, entry.field.name)) for entry in inputs}
        unplaced = [text for path, text in problems.items() if path not in shown]
        return _page(
            "edit",
            operator,
            status=422 if problems else 200,
            place=place,
            path=".".join(place.path),
            inputs=inputs,
            messages=[*warnings, *unplaced],
            base_version=self._register.version,
            first_kind=form.get("first_kind", ""),
        )

    def _read_in_force(self) -> tuple[BaseVersion, dict[str, Any]]:
        """Return the version in force and its document, read together."""
        current = self._register.current
        if current is None:
            return BaseVersion(0, ""), {}
        value, doc = current
        return BaseVersion(value.version, value.register), doc.to_mapping()


def _may_add(place: Place) -> bool:
    return place.table is not None and bool(place.path) and is_name(place.path[-1])


def _parse_form(req: ApiRequest) -> dict[str, str]:
    try:
        fields = parse_qs(
            req.body.decode("utf-8"), keep_blank_values=True, max_num_fields=MAX_FORM_FIELDS
        )
    except ValueError:
        return {}
    return {name: values[0] for name, values in fields.items()}


@cache
def _template() -> tuple[Any, str]:
    """Return the page template and the style sheet; Jinja is imported on first use only."""
    import jinja2
    import markupsafe

    env = jinja2.Environment(
        autoescape=True, undefined=jinja2.StrictUndefined, trim_blocks=True, lstrip_blocks=True
    )
    env.filters["utc"] = lambda ms: datetime.fromtimestamp(ms / 1000, UTC).isoformat(" ", "seconds")
    env.filters["quote"] = lambda text: quote(str(text), safe="")
    folder = Path(__file__).parent
    # The style sheet is inserted unescaped, so that it matches the hash in the security policy.
    style = markupsafe.Markup((folder / "console.css").read_text(encoding="utf-8"))
    return env.from_string((folder / "console.jinja").read_text(encoding="utf-8")), style


def _page(name: str, operator: Operator | None, *, status: int = 200, **fields: Any) -> ApiResponse:
    template, style = _template()
    style_hash = b64encode(sha256(style.encode()).digest()).decode()
    policy = (
        f"default-src 'none'; style-src 'sha256-{style_hash}'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    )
    text = template.render(page=name, operator=operator, style=style, **fields)
    headers = (
        ("Cache-Control", "no-store"),
        ("Content-Security-Policy", policy),
        ("Referrer-Policy", "same-origin"),
        ("X-Content-Type-Options", "nosniff"),
    )
    return ApiResponse(status, text.encode(), "text/html; charset=utf-8", headers)


def _message_page(operator: Operator, status: int, text: str) -> ApiResponse:
    return _page("message", operator, status=status, text=text)


def _redirect(path: str, *headers: tuple[str, str]) -> ApiResponse:
    return ApiResponse(303, b"", "text/plain", (("Location", path), *headers))
