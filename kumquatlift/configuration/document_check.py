"""Validates configuration documents.

Every problem of a document is reported at once, with its path in the document and in terms of the
document's fields and not of the validator.
"""

import json
import tomllib
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from pydantic import ValidationError

from kumquatlift.configuration.document import Document, Kind, Problem, Service, System, adapter
from kumquatlift.configuration.field_table import (
    NAME_TEXT,
    FieldSpec,
    Shape,
    field_spec,
    field_specs,
)

MAX_GIVEN_CHARS = 80

Path = tuple[str, ...]


class Table(NamedTuple):
    """One table of a document.

    Args:
        path: Names that lead to it.
        table_class: Class that declares its fields.
        entries: What the document holds in it.
    """

    path: Path
    table_class: Any
    entries: Mapping[str, Any]


class Rule(NamedTuple):
    """A condition on several fields of one table.

    Args:
        table: Class of the table.
        fields: Fields that the condition reads; a problem is reported for the first one.
        holds: Takes the values of the fields; returns whether the condition holds.
        text: What is allowed, as shown in the problem.
    """

    table: Any
    fields: tuple[str, ...]
    holds: Callable[..., bool]
    text: str


RULES = (
    Rule(
        Kind,
        ("lease_ms", "deadline_ms"),
        lambda lease, deadline: lease <= deadline,
        "at most deadline_ms is allowed",
    ),
    Rule(
        Kind,
        ("expected_ms", "tasks_per_request", "lease_ms"),
        lambda expected, tasks, lease: expected * tasks <= lease,
        "expected_ms times tasks_per_request may be at most lease_ms",
    ),
    Rule(
        Kind,
        ("tasks_per_request", "max_tasks"),
        lambda tasks, most: tasks <= most,
        "at most max_tasks is allowed",
    ),
    Rule(
        Service,
        ("connections", "slots"),
        lambda connections, slots: connections >= slots,
        "at least slots is needed, since every running request holds a connection",
    ),
    Rule(
        System,
        ("ledger_rotation_s", "retention_s"),
        lambda rotation, retention: rotation <= retention,
        "at most retention_s is allowed",
    ),
    Rule(
        System,
        ("voters",),
        lambda voters: len(set(voters)) == len(voters),
        "a name may be listed once",
    ),
)


def read_toml(text: str) -> Document | list[Problem]:
    """Parse and validate a document in TOML.

    Returns:
        The document, or every problem in it, ordered by path.
    """
    try:
        source = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return [Problem("", f"not TOML: {exc}", "")]
    return read_mapping(source)


def read_mapping(source: Mapping[str, Any]) -> Document | list[Problem]:
    """Validate a document of plain dicts and lists.

    Returns:
        The document, or every problem in it, ordered by path.
    """
    if not isinstance(source, Mapping):
        return [_problem((), "a table is needed", source)]
    try:
        return _check(source)
    except RecursionError:
        return [Problem("", "tables and lists may not be nested that deep", "")]


def _check(source: Mapping[str, Any]) -> Document | list[Problem]:
    problems: dict[Path, Problem] = {}
    tables = list(_walk(Table((), Document, source), problems))
    try:
        doc = adapter().validate_python(_lists_to_tuples(_replace_malformed(source, (), problems)))
    except ValidationError as exc:
        doc = None
        for error in exc.errors():
            path = tuple(str(part) for part in error["loc"])
            # Errors that follow from a recorded problem are skipped: its value was replaced by an
            # empty table, and the validator counts the entries of a list without the invalid ones.
            if not _has_problem_at_or_above(path, problems) and not _has_problem_at_or_below(
                path, problems
            ):
                problems.setdefault(*_translate_error(path, error))
    for table in tables:
        _apply_rules(table, problems)
    if doc is not None and not problems:
        return doc
    return [problems[path] for path in sorted(problems)]


def _walk(table: Table, problems: dict[Path, Problem]) -> Iterator[Table]:
    """Yield every table, and record a problem for each other value where a table is needed."""
    yield table
    for field in field_specs(table.table_class):
        if field.table is None or field.name not in table.entries:
            continue
        path = (*table.path, field.name)
        inner = table.entries[field.name]
        if not isinstance(inner, Mapping):
            problems[path] = _problem(path, f"{field.allowed} is needed", inner)
        elif field.shape is Shape.TABLE:
            yield from _walk(Table(path, field.table, inner), problems)
        else:
            yield from _walk_tables(path, field, inner, problems)


def _walk_tables(
    path: Path, field: FieldSpec, inner: Mapping[str, Any], problems: dict[Path, Problem]
) -> Iterator[Table]:
    for name, entries in inner.items():
        entry_path = (*path, str(name))
        if isinstance(entries, Mapping):
            yield from _walk(Table(entry_path, field.table, entries), problems)
        else:
            problems[entry_path] = _problem(entry_path, "a table is needed", entries)


def _translate_error(path: Path, error: Any) -> tuple[Path, Problem]:
    """Return the path and the problem that an error of the validator describes."""
    # The validator appends this part to the path of an invalid key of a table.
    if path and path[-1] == "[key]":
        path = path[:-1]
        return path, _problem(path, f"a name of {NAME_TEXT} is needed", path[-1])
    table_class, field = _find_field(path)
    if error["type"] == "extra_forbidden":
        names = ", ".join(each.name for each in field_specs(table_class))
        return path, _problem(
            path, f"there is no such field; the fields are {names}", error["input"]
        )
    if field is None:
        return path, _problem(path, "another value is needed", error["input"])
    if field.shape is Shape.NAMES and path[-1] != field.name:
        return path, _problem(path, f"a name of {NAME_TEXT} is needed", error["input"])
    if error["type"] == "missing":
        text = f"is needed: {field.help}, {field.allowed}"
        return path, Problem(".".join(path), text, "nothing")
    return path, _problem(path, f"{field.allowed} is needed", error["input"])


def _find_field(path: Path) -> tuple[Any, FieldSpec | None]:
    """Return the class of the innermost table on a path and the field in it, if there is one."""
    table_class: Any = Document
    field: FieldSpec | None = None
    parts = iter(path)
    for part in parts:
        field = field_spec(table_class, part)
        if field is None or field.table is None:
            return table_class, field
        if field.shape is Shape.TABLES and next(parts, None) is None:
            return table_class, field
        table_class = field.table
    return table_class, field


def _apply_rules(table: Table, problems: dict[Path, Problem]) -> None:
    for rule in RULES:
        if rule.table is not table.table_class:
            continue
        paths = [(*table.path, name) for name in rule.fields]
        values = [_value_or_default(table, name) for name in rule.fields]
        if any(value is None for value in values):
            continue
        if any(
            _has_problem_at_or_above(path, problems) or _has_problem_at_or_below(path, problems)
            for path in paths
        ):
            continue
        if not rule.holds(*values):
            given = ", ".join(
                f"{name} = {_shorten(value)}"
                for name, value in zip(rule.fields, values, strict=True)
            )
            problems[paths[0]] = Problem(".".join(paths[0]), rule.text, given)


def _value_or_default(table: Table, name: str) -> Any:
    field = field_spec(table.table_class, name)
    default = None if field is None else field.default
    return table.entries.get(name, default)


def _has_problem_at_or_above(path: Path, problems: Mapping[Path, Problem]) -> bool:
    return any(path[:length] in problems for length in range(len(path) + 1))


def _has_problem_at_or_below(path: Path, problems: Mapping[Path, Problem]) -> bool:
    return any(other[: len(path)] == path for other in problems)


def _replace_malformed(value: Any, path: Path, problems: Mapping[Path, Problem]) -> Any:
    """Return the source with an empty table in the place of each value that has a problem."""
    if path in problems:
        return {}
    if isinstance(value, Mapping):
        return {
            key: _replace_malformed(item, (*path, str(key)), problems)
            for key, item in value.items()
        }
    return value


def _lists_to_tuples(value: Any) -> Any:
    """Replace lists by tuples, which strict validation requires for fields of tuple type."""
    if isinstance(value, dict):
        return {key: _lists_to_tuples(item) for key, item in value.items()}
    if isinstance(value, list):
        return tuple(_lists_to_tuples(item) for item in value)
    return value


def _problem(path: Path, message: str, given: Any) -> Problem:
    return Problem(".".join(path), message, _shorten(given))


def _shorten(value: Any) -> str:
    try:
        text = json.dumps(value, ensure_ascii=False)
    except (TypeError, ValueError, RecursionError):
        text = str(value)
    return text if len(text) <= MAX_GIVEN_CHARS else text[: MAX_GIVEN_CHARS - 3] + "..."
