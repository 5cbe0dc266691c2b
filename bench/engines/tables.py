"""Typed reading of TOML tables into frozen data classes."""

import dataclasses
from collections.abc import Mapping
from types import UnionType
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from bench.engines.errors import ExperimentError

T = TypeVar("T")


def bounded(least: float, most: float = float("inf"), default: Any = dataclasses.MISSING) -> Any:
    """Returns a data class field with bounds that ``read_table`` checks.

    :param least: smallest value that is accepted.
    :param most: largest value that is accepted.
    """
    return dataclasses.field(default=default, metadata={"bounds": (least, most)})


def one_of(*values: str) -> Any:
    """Returns a data class field that takes one of these texts."""
    return dataclasses.field(metadata={"values": values})


def read_table(kind: type[T], table: Any, path: str) -> T:
    """Returns a data class filled from a table.

    :param path: name of the table in messages.
    :raises ExperimentError: if a field is missing, unknown, of another type or out of range.
    """
    if not isinstance(table, Mapping):
        raise ExperimentError(f"{path}: expected a table, got {table!r}")
    known = {field.name: field for field in dataclasses.fields(kind)}
    for name in table:
        if name not in known:
            raise ExperimentError(f"{path}.{name}: unknown field; known are {', '.join(known)}")
    hints = get_type_hints(kind)
    values = {}
    for name, field in known.items():
        if name in table:
            values[name] = _read(hints[name], table[name], f"{path}.{name}")
            _check(values[name], field.metadata, f"{path}.{name}")
        elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
            raise ExperimentError(f"{path}.{name}: missing; add it with a value")
    return kind(**values)


def _read(kind: Any, value: Any, path: str) -> Any:
    if get_origin(kind) in (Union, UnionType):
        kind = next(option for option in get_args(kind) if option is not type(None))
    if get_origin(kind) is tuple:
        if not isinstance(value, list):
            raise ExperimentError(f"{path}: expected a list, got {value!r}")
        item = get_args(kind)[0]
        return tuple(_read(item, entry, f"{path}[{number}]") for number, entry in enumerate(value))
    if dataclasses.is_dataclass(kind):
        return read_table(kind, value, path)
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if type(value) is not kind:
        raise ExperimentError(f"{path}: expected {kind.__name__}, got {value!r}")
    return value


def _check(value: Any, rules: Mapping[str, Any], path: str) -> None:
    least, most = rules.get("bounds", (float("-inf"), float("inf")))
    if "bounds" in rules and not least <= value <= most:
        raise ExperimentError(
            f"{path}: {value!r} is out of range, accepted is {least:g} to {most:g}"
        )
    if "values" in rules and value not in rules["values"]:
        raise ExperimentError(
            f"{path}: {value!r} is unknown; known are {', '.join(rules['values'])}"
        )
