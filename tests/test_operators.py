"""The administration API and the console for operators."""

import json
import re
from collections.abc import Iterator
from hashlib import sha256
from html import unescape
from html.parser import HTMLParser
from typing import Any
from urllib.parse import urlencode

import pytest

from kumquatlift.administration.operators import OperatorApplication
from kumquatlift.blackboard import Blackboard
from kumquatlift.clock import MonotonicClock
from kumquatlift.configuration.data_file import FakeDisk
from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import read_mapping
from kumquatlift.configuration.register import Register
from kumquatlift.settings import OperatorToken
from kumquatlift.transport.wsgi import ApiRequest, ApiResponse
from tests.fakes import FakeMembers, FakeNetwork, member

TOKEN = "correct token; with others"
SCRIPT = '<script>alert("x")</script>'


class _Forms(HTMLParser):
    """Collects each form's action and fields, as a browser without scripts would send them."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.forms: dict[str, dict[str, str]] = {}
        self._fields: dict[str, str] = {}
        self._select = ""
        self._selected = False
        self.tags: set[str] = set()
        self.feed(text)

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tags.add(tag)
        values = {name: value or "" for name, value in attrs}
        if tag == "form":
            self._fields = self.forms.setdefault(values["action"], {})
        elif tag == "input" and values.get("type") != "checkbox":
            self._fields[values["name"]] = values.get("value", "")
        elif tag == "select":
            self._select = values["name"]
        elif tag == "option":
            self._selected = "selected" in values

    def handle_data(self, data: str) -> None:
        if self._selected and data.strip():
            self._fields[self._select], self._selected = data, False


class _Site:
    def __init__(self) -> None:
        source = {"system": {"voters": ["a"]}, "services": {"s": {"kinds": {"k": {}}}}}
        doc = read_mapping(source)
        assert isinstance(doc, Document)
        members = FakeMembers(me=member("a", "z"), others=[member("b", SCRIPT)])
        self.register = Register(
            members=members,
            channel=FakeNetwork().channel("a"),
            disk=FakeDisk(),
            first_document=doc,
            clock=MonotonicClock(),
            section=Blackboard().section("register"),
        )
        self.register.maintenance.poll()
        self.app = OperatorApplication(
            register=self.register,
            members=members,
            tokens=[OperatorToken("ann", sha256(TOKEN.encode()).hexdigest())],
            dump=lambda: {"slots": {"services": {"s": {"queue": [SCRIPT, 1]}}}},
            metrics=lambda: b"up 1\n",
        )
        self.cookie = ""

    def api(self, method: str, path: str, body: Any = None, token: str = TOKEN) -> ApiResponse:
        headers = {"authorization": f"Bearer {token}"} if token else {}
        data = b"" if body is None else json.dumps(body).encode()
        return self.app.handle(ApiRequest(method, path, {}, headers, data))

    def get(self, page: str, **query: str) -> str:
        res = self.app.handle(ApiRequest("GET", page, query, {"cookie": self.cookie}, b""))
        return res.body.decode()

    def post(self, page: str, fields: dict[str, str], **headers: str) -> ApiResponse:
        given = {"cookie": self.cookie, "host": "site:1", **headers}
        return self.app.handle(ApiRequest("POST", page, {}, given, urlencode(fields).encode()))

    def sign_in(self) -> None:
        res = self.post("/console/login", {"token": TOKEN})
        cookie = dict(res.headers)["Set-Cookie"]
        assert "HttpOnly" in cookie and "SameSite=Strict" in cookie
        self.cookie = cookie.partition(";")[0]


@pytest.fixture
def site() -> Iterator[_Site]:
    started = _Site()
    yield started
    started.register.stop()


def _json(res: ApiResponse) -> Any:
    return json.loads(res.body)


def _document_with_slots(site: _Site, slots: Any) -> dict[str, Any]:
    doc = _json(site.api("GET", "/v1/configuration"))["document"]
    doc["services"]["s"]["slots"] = slots
    return dict(doc)


def _propose(site: _Site, change_id: str, base: int, slots: Any) -> ApiResponse:
    body = {
        "change_id": change_id,
        "base_version": base,
        "document": _document_with_slots(site, slots),
    }
    return site.api("POST", "/v1/configuration/changes", body)


class TestOperators:
    """Guards against changes that are lost, made twice or made without a valid token."""

    @pytest.mark.parametrize("token", ["", "wrong", TOKEN[:-1], "ann"])
    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("GET", "/v1/configuration"),
            ("POST", "/v1/configuration/changes"),
            ("GET", "/v1/state"),
            ("GET", "/v1/dump"),
            ("GET", "/metrics"),
            ("GET", "/anything"),
        ],
    )
    def test_nothing_is_shown_without_a_token(
        self, site: _Site, token: str, method: str, path: str
    ) -> None:
        res = site.api(method, path, {"change_id": "c", "base_version": 1}, token=token)
        assert res.status == 401
        assert set(_json(res)) == {"code", "name", "ran", "resubmit", "reason"}
        assert site.register.version == 1

    def test_change_resend_conflict_and_history(self, site: _Site) -> None:
        first = _propose(site, "c1", 1, 9)
        assert (first.status, _json(first)["change"]["version"]) == (200, 2)
        assert _json(_propose(site, "c1", 1, 9)) == _json(first)
        assert _json(site.api("GET", "/v1/configuration/changes/c1")) == _json(first)
        conflict = _propose(site, "c2", 1, 10)
        assert (conflict.status, _json(conflict)["name"]) == (409, "version-conflict")
        assert _json(conflict)["in_force"]["document"]["services"]["s"]["slots"] == 9
        changes = _json(site.api("GET", "/v1/configuration/changes"))["changes"]
        assert [(row["id"], row["operator"]) for row in changes] == [("c1", "ann")]

    def test_preview_shows_the_difference_and_changes_nothing(self, site: _Site) -> None:
        res = site.api(
            "POST", "/v1/configuration/preview", {"document": _document_with_slots(site, 9)}
        )
        row = {"path": "services.s.slots", "old": "8", "new": "9"}
        assert _json(res)["version"] == 1 and _json(res)["differences"] == [row]
        assert site.register.version == 1

    def test_malformed_requests_are_explained(self, site: _Site) -> None:
        problems = _json(_propose(site, "c1", 1, 0))["problems"]
        assert [problem["path"] for problem in problems] == ["services.s.slots"]
        for body in ({}, [], {"change_id": "a b"}, {"change_id": "a", "base_version": True}):
            assert site.api("POST", "/v1/configuration/changes", body).status == 400
        assert site.api("GET", "/v1/configuration/changes/a%20b").status == 400

    def test_state_dump_and_metrics(self, site: _Site) -> None:
        state = _json(site.api("GET", "/v1/state"))
        assert state["configuration"]["version"] == 1
        assert [instance["name"] for instance in state["instances"]] == ["a", "b"]
        assert "slots" in _json(site.api("GET", "/v1/dump"))
        assert site.api("GET", "/metrics").body == b"up 1\n"


class TestConsole:
    """Guards against forms that change something else than they show, and against other sites."""

    def test_only_the_sign_in_form_is_shown_without_a_cookie(self, site: _Site) -> None:
        for path in ("/console", "/console/edit", "/console/history", "/console/x"):
            assert list(_Forms(site.get(path)).forms) == ["/console/login"]
        assert site.post("/console/apply", {}).status == 401
        assert site.post("/console/login", {"token": "wrong"}).status == 401
        cross_site = site.post("/console/login", {"token": TOKEN}, origin="http://other")
        assert cross_site.status == 401

    def test_edit_preview_and_apply(self, site: _Site) -> None:
        site.sign_in()
        page = site.get("/console/edit", path="services.s.kinds.k")
        fields = _Forms(page).forms["/console/preview"]
        assert fields["field.urgency"] == "normal" and fields["field.repeatable"] == "false"
        fields.update({"field.urgency": "urgent", "field.repeatable": "true"})
        preview = site.post("/console/preview", fields).body.decode()
        assert re.search(r"<del>.*normal.*</del>", preview) and "urgent" in preview
        assert site.register.version == 1
        hidden = _Forms(preview).forms["/console/apply"]
        for _ in range(2):
            # The second request is a resend, as after an answer that was lost.
            res = site.post("/console/apply", hidden)
            assert res.status == 200 and "6000 applied" in res.body.decode()
        doc = site.register.document
        assert doc is not None and site.register.version == 2
        assert doc.services["s"].kinds["k"].urgency.value == "urgent"
        assert "ann" in site.get("/console/history")

    def test_form_from_an_old_version_ends_in_a_conflict(self, site: _Site) -> None:
        site.sign_in()
        fields = _Forms(site.get("/console/edit", path="services.s")).forms["/console/preview"]
        hidden = _Forms(
            site.post("/console/preview", {**fields, "field.slots": "9"}).body.decode()
        ).forms["/console/apply"]
        assert _propose(site, "c1", 1, 10).status == 200
        conflict = site.post("/console/apply", hidden)
        assert conflict.status == 409 and "<del>10</del>" in conflict.body.decode()
        assert "Version 2 is in force now" in site.post("/console/preview", fields).body.decode()

    def test_add_and_remove(self, site: _Site) -> None:
        site.sign_in()
        fields = _Forms(site.get("/console/edit", path="services.t")).forms["/console/preview"]
        missing = site.post("/console/preview", fields)
        assert missing.status == 422 and "services.t.kinds" in missing.body.decode()
        preview = site.post("/console/preview", {**fields, "first_kind": "quick"}).body.decode()
        site.post("/console/apply", _Forms(preview).forms["/console/apply"])
        doc = site.register.document
        assert doc is not None and list(doc.services["t"].kinds) == ["quick"]
        fields = _Forms(site.get("/console/edit", path="services.t")).forms["/console/preview"]
        preview = site.post("/console/preview", {**fields, "remove": "1"}).body.decode()
        site.post("/console/apply", _Forms(preview).forms["/console/apply"])
        assert site.register.document is not None and "t" not in site.register.document.services

    def test_problems_are_shown_beside_the_fields_and_texts_are_escaped(self, site: _Site) -> None:
        site.sign_in()
        fields = _Forms(site.get("/console/edit", path="services.s")).forms["/console/preview"]
        res = site.post("/console/preview", {**fields, "field.slots": SCRIPT})
        page = res.body.decode()
        assert res.status == 422 and "a whole number from 1 to 1,024" in page
        pages = [page, site.get("/console"), site.get("/console/edit", path=SCRIPT)]
        pages.append(site.post("/console/preview", {**fields, "path": SCRIPT}).body.decode())
        for page in pages:
            assert "script" not in _Forms(page).tags
        assert SCRIPT in unescape(pages[1])

    @pytest.mark.parametrize("path", ["/console/preview", "/console/apply", "/console/logout"])
    def test_cross_site_posts_are_refused(self, site: _Site, path: str) -> None:
        site.sign_in()
        fields = _Forms(site.get("/console/edit", path="services.s")).forms["/console/preview"]
        without_key = {**fields, "form_key": ""}
        assert site.post(path, without_key).status == 401
        assert site.post(path, fields, origin="http://other").status == 401
        assert site.post(path, fields, origin="http://site:1").status != 401

    @pytest.mark.parametrize("body", [b"\xff\xfe", b"a" * 5000, b"&".join([b"a=1"] * 500)])
    def test_malformed_posts_are_refused(self, site: _Site, body: bytes) -> None:
        site.sign_in()
        req = ApiRequest("POST", "/console/apply", {}, {"cookie": site.cookie}, body)
        assert site.app.handle(req).status == 401
