"""Descriptions of the configuration document's fields, read from its type hints."""

from enum import Enum
from functools import cache
from typing import Annotated, Any, NamedTuple, get_args, get_origin, get_type_hints

from pydantic.fields import FieldInfo

NAME_TEXT = "1 to 40 of a-z, 0-9 and hyphen, starting with a letter or digit"


class Shape(Enum):
    """Type of value that a field holds, as shown to operators."""

    WHOLE = "whole number"
    NUMBER = "number"
    FLAG = "true or false"
    CHOICE = "choice"
    NAMES = "list of names"
    TABLE = "table"
    TABLES = "tables by name"


class FieldSpec(NamedTuple):
    """One field of one table of the document.

    Args:
        name: Name of the field.
        shape: Type of its value.
        unit: Unit of a number; empty otherwise.
        low: Smallest number, or smallest count of entries; None when there is no bound.
        high: Largest number, or largest count of entries; None when there is no bound.
        choices: Allowed values of a choice.
        is_required: Whether the field has no default.
        default: Value when the field is left out.
        help: Meaning of the field, in one line.
        table: Class of the table or tables that it holds; None for a plain value.
    """

    name: str
    shape: Shape
    unit: str
    low: float | None
    high: float | None
    choices: tuple[str, ...]
    is_required: bool
    default: Any
    help: str
    table: Any

    @property
    def allowed(self) -> str:
        """The allowed values, in words."""
        if self.shape is Shape.CHOICE:
            return "one of " + ", ".join(self.choices)
        if self.shape is Shape.FLAG:
            return "true or false"
        if self.shape is Shape.TABLE:
            return "a table"
        range_text = self.range_text
        if self.shape is Shape.NAMES:
            return f"a list of {range_text} different names, each {NAME_TEXT}"
        if self.shape is Shape.TABLES:
            return f"a table with {range_text} entries by name"
        return f"a {self.shape.value} from {range_text}{f' ({self.unit})' if self.unit else ''}"

    @property
    def range_text(self) -> str:
        """The range of a number or of a count of entries, in words."""
        if self.high is None:
            return "any"
        high = _format_bound(self.high)
        return f"at most {high}" if self.low is None else f"{_format_bound(self.low)} to {high}"

    @property
    def default_text(self) -> str:
        """The default as it is written in TOML; "needed" when there is none."""
        if self.is_required:
            return "needed"
        if isinstance(self.default, Enum):
            return str(self.default.value)
        if isinstance(self.default, bool):
            return str(self.default).lower()
        return "none" if self.default == {} else str(self.default)


@cache
def field_specs(table: Any) -> tuple[FieldSpec, ...]:
    """Return the fields of a table class of the document, in the order of declaration."""
    hints = get_type_hints(table, include_extras=True)
    return tuple(_field_spec(table, name, hint) for name, hint in hints.items())


def field_spec(table: Any, name: str) -> FieldSpec | None:
    """Return one field of a table class, or None when there is no such field."""
    return next((each for each in field_specs(table) if each.name == name), None)


def _field_spec(table: Any, name: str, hint: Any) -> FieldSpec:
    field_type, *annotations = get_args(hint) if get_origin(hint) is Annotated else (hint,)
    info = next(annotation for annotation in annotations if isinstance(annotation, FieldInfo))
    shape, choices, inner = _shape(field_type)
    bounds = {type(bound).__name__: bound for bound in info.metadata}
    low = getattr(bounds.get("Ge"), "ge", getattr(bounds.get("MinLen"), "min_length", None))
    high = getattr(bounds.get("Le"), "le", getattr(bounds.get("MaxLen"), "max_length", None))
    unit = (
        info.json_schema_extra.get("unit", "") if isinstance(info.json_schema_extra, dict) else ""
    )
    defaults = table._field_defaults
    return FieldSpec(
        name=name,
        shape=shape,
        unit=str(unit),
        low=low,
        high=high,
        choices=choices,
        is_required=name not in defaults,
        default=defaults.get(name),
        help=info.description or "",
        table=inner,
    )


def _shape(field_type: Any) -> tuple[Shape, tuple[str, ...], Any]:
    scalar_shapes = {int: Shape.WHOLE, float: Shape.NUMBER, bool: Shape.FLAG}
    if field_type in scalar_shapes:
        return scalar_shapes[field_type], (), None
    if get_origin(field_type) is tuple:
        return Shape.NAMES, (), None
    if get_origin(field_type) is dict:
        return Shape.TABLES, (), get_args(field_type)[1]
    if issubclass(field_type, Enum):
        return Shape.CHOICE, tuple(member.value for member in field_type), None
    return Shape.TABLE, (), field_type


def _format_bound(bound: float) -> str:
    return f"{bound:,}" if isinstance(bound, int) else f"{bound:g}"
