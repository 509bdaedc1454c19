"""Tests encoding and decoding of the platform's messages, also of invalid ones."""

import json
from typing import Any

import pytest

from kumquatlift.authority import EndReason, OrderResult, PollOrder, StartOrder, TaskKey
from kumquatlift.platform._fields import WireError
from kumquatlift.platform._settings import PlatformSettings, SettingsError
from kumquatlift.platform._wire import (
    read_config,
    read_heartbeat,
    read_job,
    read_order_answer,
    read_poll_answer,
    write_poll,
    write_start,
)

NOW_MS = 1_700_000_000_000
ROUTE = {
    "name": "r",
    "host": "A.example",
    "pathPrefix": "/p/",
    "timeoutMs": 1500,
    "service": "s",
    "maxAttempts": 4,
    "slackFactor": 1.6,
    "targetLatencyMs": 60,
}
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "requestedMemoryMb": 100, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 5,
}

# JSON texts that are no valid value of any field that holds a number, a task or a reason.
ODD_VALUES = [
    "1e999",
    "-1e999",
    "NaN",
    "1.5e300",
    "9" * 60,
    "9" * 400,
    "9" * 5000,
    "-1",
    "true",
    "null",
    "{}",
    "[]",
    '"\\ud800"',
    '"' + "x" * 5000 + '"',
    "[" * 900 + "]" * 900,
    "[" * 100_000 + "]" * 100_000,
    '{"x":' * 100_000 + '"]}"' + "}" * 100_000,
]
# Odd values that are accepted, by the place in the row of an end.
ACCEPTED_PLACES = {4: ("null", "{}", "[]")}


def config(**changes: Any) -> str:
    fields = {"version": 7, "routes": [ROUTE], "services": [{"name": "s"}], **changes}
    return json.dumps(fields)


class TestJob:
    """Decoding of submitted jobs."""

    def test_fields_are_decoded(self) -> None:
        step = {"count": 2, "cpu": 500, "requestedMemoryMb": 9, "estimatedMs": 70, "dataRack": "r1"}
        spec = read_job(json.dumps({"spec": "x", "steps": [step]}).encode())
        assert spec.steps[0].tasks == 2
        assert spec.steps[0].cpu_milli == 500
        assert spec.steps[0].data_rack == "r1"
        assert spec.steps[0].estimate_ms == 70

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b'{"steps": []}',
            b'{"steps": [1]}',
            b'{"steps": [{"count": 0}]}',
            b'{"steps": [{"count": 1, "cpu": -1}]}',
            b'{"steps": [{"count": 1, "dependsOn": [0]}]}',
            b'{"steps": [{"count": 1, "dependsOn": 0}]}',
            b'{"steps": [{"count": 99999}]}',
            json.dumps({"spec": "x" * 4001, "steps": [{"count": 1}]}).encode(),
        ],
    )
    def test_invalid_jobs_are_refused(self, body: bytes) -> None:
        with pytest.raises(WireError):
            read_job(body)


class TestConfig:
    """Decoding of configurations."""

    def test_a_valid_configuration_is_decoded(self) -> None:
        cfg = read_config(config())
        assert cfg.version == 7
        assert cfg.queues[0].host == "a.example"
        assert cfg.queues[0].max_attempts == 4

    @pytest.mark.parametrize(
        "source",
        [
            config()[:-9],
            config(version=0),
            config(version="7"),
            config(services=[]),
            config(routes=[ROUTE, {**ROUTE, "name": "other"}]),
            config(routes=[{**ROUTE, "timeoutMs": 0}]),
            config(routes=[{**ROUTE, "host": ""}]),
            config(routes={}),
        ],
    )
    def test_invalid_configurations_are_refused(self, source: str) -> None:
        with pytest.raises(WireError):
            read_config(source)


class TestUpstream:
    """Heartbeats of upstreams, and orders and polls to them."""

    def test_a_heartbeat_is_decoded(self) -> None:
        state = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode(), now_ms=NOW_MS)
        assert state.started_at_ms == 5
        assert state.rack == "r1"
        assert not state.is_draining

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "new"},
            {"capacity": None},
            {"address": "host:80"},
            {"labels": [1]},
            {"service": 3},
            {"born": "x"},
        ],
    )
    def test_an_invalid_heartbeat_is_refused(self, change: dict[str, Any]) -> None:
        with pytest.raises(WireError):
            read_heartbeat("i-1", json.dumps({**HEARTBEAT, **change}).encode(), now_ms=NOW_MS)

    def test_orders_are_encoded(self) -> None:
        task = TaskKey("a" * 16, 0, 1, 17)
        start = json.loads(write_start(StartOrder(task, 2, "x", 900, "half done"), 7))
        assert start["task"] == "a" * 16 + ".0.1.17"
        assert start["untilMs"] == 900
        assert start["checkpoint"] == "half done"
        poll = json.loads(write_poll(PollOrder(57, 0, 450), 7))
        assert poll == {"fencingToken": 7, "ackedThrough": 57, "waitMs": 450}

    @pytest.mark.parametrize(
        ("status", "body", "result"),
        [
            (200, b'{"clockMs": 5}', OrderResult.OK),
            (409, b'{"reason": "fence"}', OrderResult.FENCED),
            (409, b'{"reason": "old"}', OrderResult.STALE_RUN),
            (409, b"{}", OrderResult.UNKNOWN),
            (421, b"", OrderResult.OTHER_LIFE),
            (503, b"", OrderResult.REFUSED),
            (500, b"", OrderResult.UNKNOWN),
            (200, b'{"clockMs": 5, "born": 6}', OrderResult.BORN_AGAIN),
        ],
    )
    def test_answers_are_decoded(self, status: int, body: bytes, result: OrderResult) -> None:
        assert read_order_answer(status, body, 5).result is result

    def test_lists_are_decoded_and_invalid_rows_are_skipped(self) -> None:
        body = {
            "clockMs": 9,
            "running": [["a.0.1.17", 2, "", 41], ["bad", 1], None],
            "finished": [[58, "a.0.1.9", 1, "done", ""], [59, "a.0.1.8", 1, "new", ""]],
        }
        answer = read_poll_answer(200, json.dumps(body).encode(), 5)
        assert [row.task.number for row in answer.running] == [17]
        assert [(number, end.reason) for number, end in answer.ends] == [(58, EndReason.DONE)]

    @pytest.mark.parametrize(("ends", "may_be_cut"), [(0, False), (499, False), (500, True)])
    def test_full_list_of_ends_may_be_cut(self, ends: int, may_be_cut: bool) -> None:
        """Guards against taking the first 500 unacknowledged ends for all of them."""
        rows = [[58 + number, f"a.0.1.{number}", 1, "done", ""] for number in range(ends)]
        body = json.dumps({"running": [], "finished": rows}).encode()
        assert read_poll_answer(200, body, 5).may_have_more_ends == may_be_cut

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize("place", range(5))
    def test_odd_end_does_not_cost_the_others(self, odd: str, place: int) -> None:
        row = ["59", '"a.0.1.8"', "1", '"done"', '""']
        row[place] = odd
        ends = f'[[58, "a.0.1.9", 1, "done", ""], [{",".join(row)}], {odd}]'
        answer = read_poll_answer(200, f'{{"clockMs": 9, "finished": {ends}}}'.encode(), 5)
        assert answer.result is OrderResult.OK
        assert answer.clock_ms == 9
        # A missing checkpoint is accepted.
        is_read = odd in ACCEPTED_PLACES.get(place, ())
        assert [number for number, _ in answer.ends] == ([58, 59] if is_read else [58])
        assert answer.unread_ends == (1 if is_read else 2)

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize("place", range(4))
    def test_odd_run_does_not_cost_the_others(self, odd: str, place: int) -> None:
        row = ['"a.0.1.8"', "3", '"half"', "41"]
        row[place] = odd
        running = f'[["a.0.1.9", 1, "", 4], [{",".join(row)}], {odd}]'
        answer = read_poll_answer(200, f'{{"running": {running}}}'.encode(), 5)
        task = TaskKey("a", 0, 1, 8)
        # A run whose number can't be read still holds its task.
        assert answer.tasks_without_run == ({task} if place == 1 else frozenset())
        assert [row.task.number for row in answer.running] == ([9, 8] if place > 1 else [9])

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize("field", ["clockMs", "born", "reason"])
    def test_odd_field_of_an_answer_counts_as_missing(self, odd: str, field: str) -> None:
        body = f'{{"running": [["a.0.1.9", 1, "", 4]], "{field}": {odd}}}'.encode()
        answer = read_poll_answer(200, body, 5)
        assert answer.result is OrderResult.OK
        assert (answer.clock_ms, len(answer.running)) == (None, 1)
        assert read_poll_answer(409, body, 5).result is OrderResult.UNKNOWN
        assert read_order_answer(200, body, 5)[:2] == (OrderResult.OK, None)

    @pytest.mark.parametrize("odd", ["5", "{}", "null", "true", '"a.0.1.9"'])
    @pytest.mark.parametrize("field", ["running", "finished"])
    def test_answer_without_lists_does_not_say_that_nothing_runs(
        self, odd: str, field: str
    ) -> None:
        """Guards against starting tasks again because a list could not be read."""
        lists = {"running": "[]", "finished": "[]", field: odd}
        body = ",".join(f'"{name}": {value}' for name, value in lists.items())
        answer = read_poll_answer(200, f'{{"clockMs": 9, {body}}}'.encode(), 5)
        assert answer.result is OrderResult.UNKNOWN

    def test_bytes_that_are_no_text_do_not_cost_the_other_rows(self) -> None:
        body = b'{"running": [["a.0.1.9", 1, "", 4], ["\xff.0.1.8", 1, "", 4]]}'
        assert len(read_poll_answer(200, body, 5).running) == 1

    @pytest.mark.parametrize("body", [b"", b"[]", b"{", b"[" * 100_000, b"\xff", b'"x"', b"1e999"])
    def test_answer_that_is_no_object_is_unknown(self, body: bytes) -> None:
        assert read_poll_answer(200, body, 5).result is OrderResult.UNKNOWN
        assert read_order_answer(409, body, 5).result is OrderResult.UNKNOWN

    def test_lists_of_another_incarnation_are_rejected(self) -> None:
        answer = read_poll_answer(200, b'{"born": 6, "running": []}', 5)
        assert answer.result is OrderResult.BORN_AGAIN


class TestSettings:
    """Decoding of the settings file."""

    def test_the_message_lists_every_problem(self) -> None:
        with pytest.raises(SettingsError, match="host") as caught:
            PlatformSettings.from_text('name = "n"\nhost = "x"\n')
        assert "seeds" in str(caught.value)

    @pytest.mark.parametrize("value", ['"yes"', "1", "[]"])
    def test_odd_placement_settings_are_refused_with_path_and_reason(self, value: str) -> None:
        with pytest.raises(SettingsError, match=r"placement\.keeps_apart: Input should be a valid"):
            PlatformSettings.from_text(f"[placement]\nkeeps_apart = {value}\n")
        with pytest.raises(SettingsError, match=r"placement\.keeps_appart"):
            PlatformSettings.from_text("[placement]\nkeeps_appart = true\n")
