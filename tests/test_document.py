"""Validation of configuration documents, and their reference page."""

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kumquatlift.configuration.document import Document, Kind, Problem, Service, System, Team
from kumquatlift.configuration.document_check import read_mapping, read_toml
from kumquatlift.configuration.field_table import Shape, field_specs
from tools.configuration_page import render

PAGE = Path(__file__).parent.parent / "docs" / "configuration.md"


def _source(**service: Any) -> dict[str, Any]:
    return {
        "system": {"voters": ["a", "b"]},
        "services": {"s": {"kinds": {"k": {}}, **service}},
        "teams": {"t": {}},
    }


def _problems(source: Any) -> dict[str, Problem]:
    result = read_mapping(source)
    assert isinstance(result, list)
    return {problem.path: problem for problem in result}


class TestDocument:
    """Guards against an invalid document that is accepted, or refused without the reason."""

    def test_round_trips_as_mapping_and_toml(self) -> None:
        doc = read_mapping(_source(retry_budget=1))
        assert isinstance(doc, Document)
        assert read_mapping(doc.to_mapping()) == doc
        assert read_toml(doc.to_toml()) == doc

    def test_all_problems_are_reported_with_their_paths(self) -> None:
        source = _source(slots=True, kinds={"k": {"urgency": "soon", "lease_ms": 1}, "l": [1]})
        source["system"] = {"voters": ["a", "B!"], "retention": 5}
        source["teams"] = [1]
        assert sorted(_problems(source)) == [
            "services.s.kinds.k.lease_ms",
            "services.s.kinds.k.urgency",
            "services.s.kinds.l",
            "services.s.slots",
            "system.retention",
            "system.voters.1",
            "teams",
        ]

    def test_problem_states_given_and_allowed_values(self) -> None:
        found = _problems(_source(slots=2000, kinds={"k": {"urgency": "soon"}}, speed=1))
        assert str(found["services.s.slots"]) == (
            "services.s.slots: a whole number from 1 to 1,024 (tasks) is needed (given: 2000)"
        )
        urgency = found["services.s.kinds.k.urgency"]
        assert urgency.message == "one of critical, urgent, normal, batch is needed"
        assert "the fields are kinds, slots" in found["services.s.speed"].message
        assert _problems({})["services"].given == "nothing"

    @pytest.mark.parametrize(
        ("kind", "path"),
        [
            ({"lease_ms": 20, "deadline_ms": 10, "expected_ms": 1}, "lease_ms"),
            ({"expected_ms": 300, "tasks_per_request": 40}, "expected_ms"),
            ({"tasks_per_request": 10, "max_tasks": 9}, "tasks_per_request"),
        ],
    )
    def test_conditions_on_several_fields(self, kind: dict[str, int], path: str) -> None:
        # The invalid slots show that conditions are checked in a document with other errors too.
        found = _problems(_source(kinds={"k": kind}, slots=0))
        assert sorted(found) == [f"services.s.kinds.k.{path}", "services.s.slots"]

    def test_duplicate_voters_are_refused(self) -> None:
        source = _source()
        source["system"]["voters"] = ["a", "a"]
        assert list(_problems(source)) == ["system.voters"]

    @pytest.mark.parametrize("source", [[1], 5, None, "text"])
    def test_non_tables_are_refused(self, source: Any) -> None:
        assert list(_problems(source)) == [""]

    def test_deep_nesting_is_reported_as_a_problem(self) -> None:
        deep: Any = []
        for _ in range(5000):
            deep = [deep]
        assert _problems(_source(slots=deep))

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(["k", "s", "kinds", "slots"]), inner, max_size=3),
        )
    )
    def test_any_value_is_accepted_or_refused_with_problems(self, value: Any) -> None:
        for source in (value, _source(kinds=value), {"system": value, "services": value}):
            result = read_mapping(source)
            assert isinstance(result, Document) or all(problem.message for problem in result)


class TestFieldTable:
    """Guards against a field that the forms or the reference page cannot describe."""

    @pytest.mark.parametrize("table", [Document, System, Service, Kind, Team])
    def test_every_field_is_described(self, table: Any) -> None:
        for field in field_specs(table):
            assert field.help
            is_number = field.shape in (Shape.WHOLE, Shape.NUMBER)
            assert bool(field.unit) == is_number
            assert not is_number or (field.low is not None and field.high is not None)

    def test_reference_page_is_current(self) -> None:
        assert PAGE.read_text(encoding="utf-8") == render(), "run make docs"
