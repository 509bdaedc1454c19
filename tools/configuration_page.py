"""Prints the reference page of the configuration document as Markdown.

python -m tools.configuration_page > docs/configuration.md
"""

from typing import Any

from kumquatlift.configuration.document import Document
from kumquatlift.configuration.document_check import RULES
from kumquatlift.configuration.field_table import FieldSpec, Shape, field_specs

INTRODUCTION = """\
# The configuration document

This page is generated from `kumquatlift/configuration/document.py` by `make docs`.

The document is one TOML file, or the same tables as JSON in the administration API. Tables that are
entered by name (`<name>` below) have names of 1 to 40 of a-z, 0-9 and hyphen, starting with a
letter or digit. `kumquatlift check <file>` shows every error of a file.
"""


def render() -> str:
    """Return the page."""
    parts = [INTRODUCTION, *_sections("", Document), _rules()]
    return "\n".join(parts)


def _sections(path: str, table: Any) -> list[str]:
    title = f"`[{path}]`" if path else "The whole document"
    lines = [f"## {title}", "", (table.__doc__ or "").splitlines()[0], ""]
    lines += [
        "| field | what it holds | range | unit | default | meaning |",
        "|---|---|---|---|---|---|",
    ]
    lines += [_line(field) for field in field_specs(table)]
    sections = ["\n".join(lines) + "\n"]
    for field in field_specs(table):
        if field.table is not None:
            inner = f"{path}.{field.name}".lstrip(".")
            name = ".<name>" if field.shape is Shape.TABLES else ""
            sections += _sections(inner + name, field.table)
    return sections


def _line(field: FieldSpec) -> str:
    range_text = (
        ", ".join(field.choices) if field.choices else field.range_text if field.high else ""
    )
    shown = field.default_text
    cells = (f"`{field.name}`", field.shape.value, range_text, field.unit, shown, field.help)
    return f"| {' | '.join(cells)} |"


def _rules() -> str:
    lines = ["## Conditions on several fields", ""]
    lines += [
        f"- `{rule.fields[0]}` ({rule.table.__name__.lower()}): {rule.text}." for rule in RULES
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render(), end="")
