"""Strict conversion of declared items; errors name the field, its value and a remedy."""

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

import cattrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from arbutustally.errors import ConfigurationInvalidError

_MAX_REPR_CHARACTERS = 80
_EXPECTED = {
    str: "a string in quotes",
    int: "a whole number",
    float: "a number",
    bool: "true/false",
}


class _FieldError(ValueError):
    """A value of the wrong type."""


def _strict_hook(kind: type) -> Any:
    """Returns a hook that accepts only ``kind``; default hooks convert values, such as 5 to "5"."""

    def structure(value: Any, _: Any) -> Any:
        if kind is float and type(value) is int:
            try:
                return float(value)
            except OverflowError:
                raise _FieldError(f"{short_repr(value)} is too large") from None
        if type(value) is not kind:
            raise _FieldError(f"{short_repr(value)} is not {_EXPECTED[kind]}")
        return value

    return structure


def _structure_strings(value: Any, _: Any) -> tuple[str, ...]:
    if not isinstance(value, list | tuple) or not all(type(entry) is str for entry in value):
        raise _FieldError(f"{short_repr(value)} is not a list of strings")
    return tuple(value)


def _new_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in _EXPECTED:
        converter.register_structure_hook(kind, _strict_hook(kind))
    converter.register_structure_hook_func(lambda kind: kind == tuple[str, ...], _structure_strings)
    return converter


_converter = _new_converter()
_registered: set[type] = set()


def _register_hooks(cls: type) -> None:
    """Registers the hooks of a section once; ``class_`` is ``class`` in files and records."""
    if cls in _registered:
        return
    renames = {
        field.name: override(rename=field.name.rstrip("_"))
        for field in fields(cls)
        if field.name.endswith("_")
    }
    structure = make_dict_structure_fn(
        cls, _converter, _cattrs_forbid_extra_keys=True, _cattrs_detailed_validation=True, **renames
    )
    _converter.register_structure_hook(cls, structure)
    _converter.register_unstructure_hook(cls, make_dict_unstructure_fn(cls, _converter, **renames))
    _registered.add(cls)


def short_repr(value: Any) -> str:
    """Returns the truncated ``repr`` of a value, for messages."""
    text = repr(value)
    return text if len(text) <= _MAX_REPR_CHARACTERS else text[:_MAX_REPR_CHARACTERS] + "..."


def structure_item(item: str, data: Any, cls: type) -> Any:
    """Builds one item from plain data.

    :param item: ``section/name``, for messages.
    :raises ConfigurationInvalidError: naming the item, the field, its value and a remedy.
    """
    _register_hooks(cls)
    if not isinstance(data, Mapping) or not all(type(name) is str for name in data):
        raise ConfigurationInvalidError(
            f"{item}: {short_repr(data)} is not a table; "
            f"write [{item.replace('/', '.')}] with fields"
        )
    try:
        return _converter.structure(data, cls)
    except cattrs.BaseValidationError as error:
        raise ConfigurationInvalidError(f"{item}: {_first_error(error, cls)}") from error


def unstructure_item(value: Any) -> dict[str, Any]:
    """Returns the normal form of an item: tuples as lists, fields that are ``None`` omitted."""
    _register_hooks(type(value))
    plain = _converter.unstructure(value)
    return {
        name: list(entry) if isinstance(entry, tuple) else entry
        for name, entry in plain.items()
        if entry is not None
    }


def _first_error(error: cattrs.BaseValidationError, cls: type) -> str:
    names = ", ".join(field.name.rstrip("_") for field in fields(cls))
    for cause in error.exceptions:
        if isinstance(cause, cattrs.ForbiddenExtraKeysError):
            extra = ", ".join(short_repr(name) for name in sorted(cause.extra_fields))
            return f"unknown field {extra}; known fields: {names}"
        if isinstance(cause, KeyError):
            return f"field {cause.args[0]!r} is missing; add it (fields: {names})"
        note = next((n for n in getattr(cause, "__notes__", []) if hasattr(n, "name")), None)
        name = note.name.rstrip("_") if note is not None else "a field"
        return f"{name}: {cause}; correct the value"
    return f"cannot be read; known fields: {names}"
