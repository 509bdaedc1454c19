"""Forms of the console: one for each table of the document, generated from the field table."""

import copy
from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

from kumquatlift.configuration.document import Document
from kumquatlift.configuration.field_table import FieldSpec, Shape, field_spec, field_specs

PREFIX = "field."
FIRST_KIND = "first_kind"


class FormField(NamedTuple):
    """One field of a form.

    Args:
        field: The field of the table.
        text: Text in the input element.
        problem: Problem to show beside the field; empty when there is none.
    """

    field: FieldSpec
    text: str
    problem: str = ""


class Place(NamedTuple):
    """A place in the document that has a page: a table, or a group of tables by name.

    Args:
        path: Names that lead to it.
        table: Class of the table; None for a group of tables by name, such as all services.
        inner: Class of the tables of a group; None for a table.
        entries: What the document holds at this place; None when it holds nothing yet.
    """

    path: tuple[str, ...]
    table: Any
    inner: Any
    entries: Mapping[str, Any] | None

    @property
    def is_new(self) -> bool:
        """Whether the document holds nothing at this place yet."""
        return self.entries is None

    @property
    def needs_kind(self) -> bool:
        """Whether the form asks for the name of a first inner table, which the table needs."""
        return self.is_new and any(
            field.shape is Shape.TABLES and field.is_required for field in self.fields
        )

    @property
    def fields(self) -> tuple[FieldSpec, ...]:
        """The fields of the table."""
        return field_specs(self.table) if self.table is not None else ()

    @property
    def children(self) -> list[tuple[str, str]]:
        """Paths of the tables in this place, each with its help text."""
        entries = self.entries or {}
        if self.inner is not None:
            return [(".".join((*self.path, name)), "") for name in sorted(entries)]
        inner = [field for field in self.fields if field.table is not None]
        return [(".".join((*self.path, field.name)), field.help) for field in inner]

    def inputs(self, given: Mapping[str, str], problems: Mapping[str, str]) -> list[FormField]:
        """Return the fields of the form.

        Args:
            given: Texts of a submitted form, which replace what the document holds.
            problems: Problems by path of the field.
        """
        form_fields = []
        for field in self.fields:
            if field.table is None:
                path = ".".join((*self.path, field.name))
                value = (self.entries or {}).get(field.name, field.default)
                text = given.get(PREFIX + field.name, _format_value(value))
                form_fields.append(FormField(field, text, problems.get(path, "")))
        return form_fields

    def change(self, doc: Mapping[str, Any], form: Mapping[str, str]) -> dict[str, Any]:
        """Return the document with the entries of a form; the validator reports invalid texts."""
        changed = copy.deepcopy(dict(doc))
        parent = changed
        for name in self.path[:-1]:
            parent = parent.setdefault(name, {})
        if form.get("remove"):
            parent.pop(self.path[-1], None)
            return changed
        target = parent.setdefault(self.path[-1], {})
        for field in self.fields:
            if field.table is None and PREFIX + field.name in form:
                target[field.name] = _parse_input(field, form[PREFIX + field.name])
            elif field.shape is Shape.TABLES and field.is_required and self.is_new:
                name = form.get(FIRST_KIND, "").strip()
                target[field.name] = {name: {}} if name else {}
        return changed


def find_place(doc: Mapping[str, Any], path_text: str) -> Place | None:
    """Return the place at a dotted path, or None when the document cannot have one there."""
    path = tuple(path_text.split(".")) if path_text else ()
    table: Any = Document
    inner: Any = None
    entries: Any = doc
    for name in path:
        entries = entries.get(name) if isinstance(entries, Mapping) else None
        if inner is not None:
            table, inner = inner, None
            continue
        field = field_spec(table, name) if table is not None else None
        if field is None or field.table is None:
            return None
        is_many = field.shape is Shape.TABLES
        table, inner = (None, field.table) if is_many else (field.table, None)
    return Place(path, table, inner, entries)


def _format_value(value: Any) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return str(value).lower()
    return "" if value is None else str(value)


def _parse_input(field: FieldSpec, text: str) -> Any:
    text = text.strip()
    if field.shape is Shape.NAMES:
        return [part.strip() for part in text.split(",") if part.strip()]
    if field.shape is Shape.FLAG:
        return {"true": True, "false": False}.get(text, text)
    try:
        if field.shape is Shape.WHOLE:
            return int(text)
        return float(text) if field.shape is Shape.NUMBER else text
    except ValueError:
        return text
