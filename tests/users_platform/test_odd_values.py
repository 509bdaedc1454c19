"""Odd values in every field of the messages that callers, operators and upstreams send."""

import copy
import json
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.authority import (
    MAX_START_AHEAD_MS,
    JobSpec,
    LeaderClient,
    OrderResult,
    Reply,
    Request,
    Step,
    TaskKey,
)
from kumquatlift.authority._commands import Command, CommandKind
from kumquatlift.authority._state import State
from kumquatlift.blackboard import Blackboard
from kumquatlift.codes import ResultCode
from kumquatlift.platform._control import Control
from kumquatlift.platform._fields import MAX_DEPTH, MAX_INTEGER, WireError
from kumquatlift.platform._frontend import RESULT_TIMEOUT_S, Frontend
from kumquatlift.platform._wire import (
    read_config,
    read_heartbeat,
    read_job,
    read_order_answer,
    read_poll_answer,
)
from kumquatlift.transport.wsgi import ApiRequest
from tests.users_platform.test_wire import HEARTBEAT, NOW_MS, ROUTE

JOB_ID = "a" * 16
JOB = {
    "spec": "x",
    "steps": [
        {"count": 2, "cpu": 500, "requestedMemoryMb": 9, "gpu": 0, "estimatedMs": 70},
        {"count": 1, "dependsOn": [0], "antiAffinity": 1, "dataRack": "r", "requirements": "a"},
    ],
    "repetitions": 2,
    "startAtMs": 5,
    "intervalMs": 5,
}
CONFIG = {"version": 7, "routes": [{**ROUTE, "priority": 1}], "services": [{"name": "s"}]}
ANSWER = {
    "clockMs": 9,
    "born": 5,
    "reason": "old",
    "running": [["a.0.1.17", 2, "", 41]],
    "finished": [[58, "a.0.1.9", 1, "done", ""]],
}

NO_NUMBERS = [
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
    "1.5e300",
    "-1",
    "-0.5",
    "9" * 60,
    "9" * 400,
    "9" * 5000,
    "true",
    "null",
    "{}",
    "[]",
    '"5"',
    "[" * 100_000 + "]" * 100_000,
]
NO_TEXTS = ['"\\ud800"', '"' + "x" * 5000 + '"', "5", "true", "null", "{}", "[]", "[" * 100_000]
NO_ADDRESSES = [
    *NO_TEXTS,
    '""',
    '"10.0.0.9"',
    '"10.0.0.9:0"',
    '"10.0.0.9:65536"',
    '"10.0.0.9:99999"',
    '"10.0.0.9:-1"',
    '"999.1.1:70"',
    '"999.1.1.1:70"',
    '"256.1.1.1:70"',
    '"10.0.0.9.1:70"',
    '"10.0.0.9:70 "',
    '"10.0.0.9:\\u0667\\u0660"',
    '"...:70"',
    '"[::1]:70"',
    '"host:70"',
]


def change(message: Any, path: tuple[Any, ...], value: str) -> bytes:
    """Return a message in JSON with another JSON text at a path."""
    message = copy.deepcopy(message)
    inner = message
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = "(odd)"
    return json.dumps(message).replace('"(odd)"', value).encode()


HEARTBEATS = [
    *((("born",), value) for value in [*NO_NUMBERS, "0.5", "9007199254740992"]),
    *(
        (("capacity", name), value)
        for name in ("cpu", "requestedMemoryMb", "gpu")
        for value in [*NO_NUMBERS, "1000000001"]
    ),
    *((("address",), value) for value in NO_ADDRESSES),
    *((("service",), value) for value in [*NO_TEXTS, '""']),
    *((("zone",), value) for value in [*NO_TEXTS, '""']),
    *((("labels", 0), value) for value in NO_TEXTS),
    *((("labels",), value) for value in ["5", '"a"', "{}", json.dumps(["a"] * 65)]),
    *((("state",), value) for value in ["5", '"new"', "{}", "[]", "null"]),
    *((("capacity",), value) for value in ["5", '"a"', "[]", "null"]),
    *(
        ((name,), value)
        for name in ("slots", "coldRemainingMs", "remainingMs", "sequence", "clockMs")
        for value in ("1e999", "NaN", "9" * 400, "true", "null", "{}", "[]", '"5"')
    ),
    *((("version",), value) for value in ("5", "null", "[]")),
    (("more",), "[" * 900 + "]" * 900),
    (("more",), "[" * MAX_DEPTH + "]" * MAX_DEPTH),
    (("more",), "NaN"),
]
JOBS = [
    *(
        (("steps", 0, name), value)
        for name in ("count", "cpu", "requestedMemoryMb", "gpu", "estimatedMs", "antiAffinity")
        for value in NO_NUMBERS
    ),
    *(
        ((name,), value)
        for name in ("repetitions", "startAtMs", "intervalMs")
        for value in NO_NUMBERS
    ),
    *((("steps", 1, "dependsOn", 0), value) for value in [*NO_NUMBERS, "1"]),
    *((("steps", 1, "dependsOn"), value) for value in ["5", "{}", json.dumps([0] * 300)]),
    *((("steps", 1, name), value) for name in ("dataRack", "requirements") for value in NO_TEXTS),
    *((("spec",), value) for value in NO_TEXTS),
    (("repetitions",), "1000000000"),
]
CONFIGS = [
    *((("version",), value) for value in [*NO_NUMBERS, "0", "9007199254740992"]),
    *(
        (("routes", 0, name), value)
        for name in ("timeoutMs", "maxAttempts", "slackFactor", "targetLatencyMs", "priority")
        for value in NO_NUMBERS
    ),
    *(
        (("routes", 0, name), value)
        for name in ("name", "host", "pathPrefix", "service")
        for value in [*NO_TEXTS, '""']
    ),
    *((("services", 0, "name"), value) for value in [*NO_TEXTS, '""']),
    *(((name,), value) for name in ("routes", "services") for value in ["5", "{}", "[5]", "null"]),
    (("more",), "[" * MAX_DEPTH + "]" * MAX_DEPTH),
    (("more",), "NaN"),
]


class NoLeader:
    """Fails the test when a message is passed on."""

    leader = "10.0.0.1:7000"

    def call(self, request: Request, **_options: Any) -> Reply:
        raise AssertionError(f"passed on: {request}")


def short(value: Any) -> str:
    return str(value)[:24]


def post(path: str, body: bytes) -> int:
    """Return the status of the response to a POST."""
    client: LeaderClient = NoLeader()  # type: ignore[assignment]
    req = ApiRequest("POST", path, {}, {"host": "h"}, body)
    if path.startswith("/api/"):
        return Control(client=client, control_port=1).handle(req).status
    section = Blackboard().section("s")
    return Frontend(client=client, zone="z", section=section).handle(req).status


class TestRefused:
    """Guards against an odd value that is answered by 500, or passed on to the leader."""

    @pytest.mark.parametrize(("path", "value"), HEARTBEATS, ids=short)
    def test_heartbeat(self, path: tuple[Any, ...], value: str) -> None:
        body = change(HEARTBEAT, path, value)
        with pytest.raises(WireError, match=rf"^{path[0]}|JSON"):
            read_heartbeat("i-1", body, now_ms=NOW_MS)
        assert post("/api/instances/i-1/heartbeat", body) == 400

    @pytest.mark.parametrize(("path", "value"), JOBS, ids=short)
    def test_job(self, path: tuple[Any, ...], value: str) -> None:
        body = change(JOB, path, value)
        with pytest.raises(WireError, match=rf"^{path[0]}|JSON"):
            read_job(body)
        assert post(f"/q/{JOB_ID}", body) == 400

    @pytest.mark.parametrize(("path", "value"), CONFIGS, ids=short)
    def test_config(self, path: tuple[Any, ...], value: str) -> None:
        body = change(CONFIG, path, value)
        with pytest.raises(WireError, match=rf"^{path[0]}|JSON"):
            read_config(body.decode())
        assert post("/api/config/replace", body) == 400

    @pytest.mark.parametrize(
        "upstream_id", ["", "%20", "a%0D%0AX:%201", "%ED%A0%80", "%C3%A9", "x" * 129, "%00"]
    )
    @pytest.mark.parametrize("action", ["heartbeat", "deregister"])
    def test_identity_of_an_upstream(self, upstream_id: str, action: str) -> None:
        body = json.dumps(HEARTBEAT).encode()
        assert post(f"/api/instances/{upstream_id}/{action}", body) == 400


class RecordingLeader:
    """Accepts each request and records the timeout of the caller."""

    leader = "10.0.0.1:7000"

    def __init__(self) -> None:
        self.timeouts_s: list[float] = []

    def call(self, _request: Request, *, timeout_s: float, **_options: Any) -> Reply:
        self.timeouts_s.append(timeout_s)
        return Reply(ResultCode.ACCEPTED, {"state": "completed"})


class TestDeadline:
    """Guards against an odd deadline that is answered by 500 although the job is valid."""

    @pytest.mark.parametrize("value", ["\u00b2", "9" * 5000, "1e999", "-5", "NaN", ""])
    def test_odd_deadline_counts_as_missing(self, value: str) -> None:
        leader = RecordingLeader()
        section = Blackboard().section("s")
        frontend = Frontend(client=leader, zone="z", section=section)  # type: ignore[arg-type]
        headers = {"host": "h", "deadline-ms": value}
        body = json.dumps({**JOB, "bestEffort": True}).encode()
        req = ApiRequest("POST", f"/q/{JOB_ID}", {}, headers, body)
        assert frontend.handle(req).status == 200
        assert leader.timeouts_s == [RESULT_TIMEOUT_S]


class TestAccepted:
    """Guards against a check that refuses what the protocol allows."""

    def test_whole_floats_and_bounds(self) -> None:
        capacity = {"cpu": 1200.0, "requestedMemoryMb": 10**9, "gpu": 0.0}
        fields = {**HEARTBEAT, "capacity": capacity, "born": float(10**12), "more": [[{}]]}
        state = read_heartbeat("i-7f3a91c2", json.dumps(fields).encode(), now_ms=NOW_MS)
        assert (state.cpu_milli, state.memory_mb, state.started_at_ms) == (1200, 10**9, 10**12)
        assert isinstance(state.started_at_ms, int)

    @pytest.mark.parametrize("address", ["127.0.0.1:1", "255.255.255.255:65535", "10.128.0.9:8080"])
    def test_addresses(self, address: str) -> None:
        fields = {**HEARTBEAT, "address": address}
        assert read_heartbeat("i", json.dumps(fields).encode(), now_ms=NOW_MS).address == address

    def test_start_on_a_clock_that_is_up_to_a_day_ahead(self) -> None:
        latest_ms = NOW_MS + MAX_START_AHEAD_MS
        fields = {**HEARTBEAT, "born": latest_ms}
        state = read_heartbeat("i", json.dumps(fields).encode(), now_ms=NOW_MS)
        assert state.started_at_ms == latest_ms
        with pytest.raises(WireError, match="born"):
            read_heartbeat(
                "i", json.dumps({**fields, "born": latest_ms + 1}).encode(), now_ms=NOW_MS
            )
        assert post("/api/instances/i/heartbeat", change(HEARTBEAT, ("born",), "1" * 15)) == 400

    def test_a_job_with_many_occurrences(self) -> None:
        job = {"steps": [{"count": 5, "estimatedMs": 900.5}], "repetitions": 100_000}
        assert read_job(json.dumps(job).encode()).occurrences == 100_000

    def test_heartbeat_with_all_fields(self) -> None:
        fields = {
            **HEARTBEAT,
            "version": "v1",
            "slots": 8,
            "coldRemainingMs": 0,
            "remainingMs": 1500.5,
            "clockMs": 482113,
            "sequence": 4,
        }
        assert read_heartbeat("i", json.dumps(fields).encode(), now_ms=NOW_MS).zone == "z"

    def test_texts_outside_ascii(self) -> None:
        fields = {**HEARTBEAT, "zone": "z\u00fcrich-\U0001f34a"}
        assert (
            read_heartbeat("i", json.dumps(fields).encode(), now_ms=NOW_MS).zone
            == "z\u00fcrich-\U0001f34a"
        )


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=-(10**400), max_value=10**400)
    | st.floats()
    | st.text(alphabet=st.characters(), max_size=20)
    | st.sampled_from(["\ud800", "a.0.0.0", "10.0.0.9:80", "done", "ready", 2**53, 10**12]),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


def paths(value: Any, before: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the paths of all values within a message."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for name, inner in items:
        yield (*before, name)
        if isinstance(inner, dict | list):
            yield from paths(inner, (*before, name))


def changed(message: Any) -> st.SearchStrategy[bytes]:
    """Return messages with any JSON value in up to three of their places, or any JSON value."""
    places = st.lists(st.sampled_from(list(paths(message))), min_size=1, max_size=3)

    def put(changes: list[tuple[tuple[Any, ...], Any]]) -> bytes:
        result = copy.deepcopy(message)
        for path, value in changes:
            inner = result
            try:
                for name in path[:-1]:
                    inner = inner[name]
                inner[path[-1]] = value
            except (KeyError, IndexError, TypeError):
                # An earlier change has removed this place.
                continue
        return json.dumps(result).encode()

    changes = places.flatmap(
        lambda found: st.tuples(*(st.tuples(st.just(path), JSON_VALUES) for path in found))
    )
    return changes.map(list).map(put) | JSON_VALUES.map(lambda value: json.dumps(value).encode())


def assert_stored(kind: CommandKind, fields: dict[str, Any]) -> State:
    """Check that a command is applied, and that its effect survives a snapshot."""
    errors: list[int] = []
    states = [State(read_config=read_config) for _ in range(2)]
    states[0].on_applied = lambda applied: errors.extend([1] if applied.command is None else [])
    request = json.loads(json.dumps(fields))
    states[0].apply(1, 1, Command(kind, request).to_bytes())
    assert errors == []
    snapshot = states[0].snapshot()
    states[1].restore(snapshot)
    assert states[1].snapshot() == snapshot
    # Other processes read only strict JSON, and texts that can be encoded.
    json.loads(snapshot, parse_constant=pytest.fail)
    json.dumps(json.loads(snapshot), ensure_ascii=False).encode()
    return states[1]


class TestAnyValue:
    """Guards against a value that a reader neither refuses nor returns in a form that can be kept.

    Such a value is an error in the leader, or in every replica that reads it back.
    """

    @given(body=changed(HEARTBEAT))
    def test_heartbeat(self, body: bytes) -> None:
        try:
            upstream = read_heartbeat("i-1", body, now_ms=NOW_MS)
        except WireError:
            return
        state = assert_stored(CommandKind.UPSTREAM, {"upstream": list(upstream)})
        assert state.upstreams == {"i-1": upstream}
        assert max(upstream.started_at_ms, upstream.cpu_milli, upstream.memory_mb) <= MAX_INTEGER

    @given(upstream_id=st.text(alphabet=st.characters()) | st.text(max_size=200))
    def test_identity(self, upstream_id: str) -> None:
        try:
            upstream = read_heartbeat(upstream_id, json.dumps(HEARTBEAT).encode(), now_ms=NOW_MS)
        except WireError:
            return
        assert upstream.upstream_id.isascii() and upstream.upstream_id.isprintable()

    @given(body=changed(JOB))
    def test_job(self, body: bytes) -> None:
        try:
            spec = read_job(body)
        except WireError:
            return
        fields = {
            "job": JOB_ID,
            "queue": "q",
            "spec": spec.to_plain(),
            "at_ms": 1,
            "max_attempts": 3,
            "zone": "z",
        }
        assert assert_stored(CommandKind.JOB, fields).jobs[JOB_ID].spec == spec

    @given(body=changed(CONFIG))
    def test_config(self, body: bytes) -> None:
        source = body.decode()
        try:
            cfg = read_config(source)
        except WireError:
            return
        state = assert_stored(CommandKind.CONFIG, {"version": cfg.version, "source": source})
        assert state.routing.cfg == cfg

    @given(body=changed(ANSWER) | st.binary(max_size=40), status=st.sampled_from([200, 409, 500]))
    def test_answers(self, body: bytes, status: int) -> None:
        order = read_order_answer(status, body, 5)
        poll = read_poll_answer(status, body, 5)
        for clock_ms in (order.clock_ms, poll.clock_ms):
            assert clock_ms is None or 0 <= clock_ms <= MAX_INTEGER
        assert order.reason.isascii() and poll.reason.isascii()
        if poll.result is not OrderResult.OK:
            return
        rows = [[*end.task, end.run, end.reason, end.checkpoint] for _, end in poll.ends]
        assert_stored(CommandKind.ENDS, {"at_ms": 1, "ends": rows})
        assert all(isinstance(row.task, TaskKey) and row.run >= 1 for row in poll.running)

    @given(body=changed(ANSWER))
    def test_ends_of_a_stored_job(self, body: bytes) -> None:
        state = State(read_config=read_config)
        fields = {
            "job": "a",
            "queue": "q",
            "spec": JobSpec("", (Step(1), Step(20))).to_plain(),
            "at_ms": 1,
            "max_attempts": 3,
            "zone": "z",
        }
        state.apply(1, 1, Command(CommandKind.JOB, fields).to_bytes())
        ends = read_poll_answer(200, body, 5).ends
        rows = [[*end.task, end.run, end.reason, end.checkpoint] for _, end in ends]
        state.apply(2, 1, Command(CommandKind.ENDS, {"at_ms": 1, "ends": rows}).to_bytes())
        again = State(read_config=read_config)
        again.restore(state.snapshot())
        assert again.snapshot() == state.snapshot()
