"""Declarations of an operator: parsing from TOML, validation and comparison."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import date, datetime
from typing import Any

from arbutustally.declaration_fields import structure_item, unstructure_item
from arbutustally.declaration_rules import check_item, check_references
from arbutustally.errors import ConfigurationInvalidError

#: Bounds the work that one record of the log causes at each reader.
MAX_ITEMS = 100_000


@dataclass(frozen=True)
class ClassOfWork:
    """A class of work with exactly one target.

    :ivar first_token_ms: target time to first token, milliseconds.
    :ivar recompute_percent: target upper bound of recomputed prefix tokens, percent.
    """

    first_token_ms: float | None = None
    recompute_percent: float | None = None


@dataclass(frozen=True)
class Account:
    """Limits of a client account.

    :ivar rate: tokens/s.
    :ivar burst: tokens.
    """

    rate: float
    burst: float


@dataclass(frozen=True)
class Route:
    """A path that callers use.

    :ivar path: path prefix.
    :ivar kind: ``model`` or ``plain``.
    :ivar class_: class of work, ``class`` in the file.
    :ivar service: service whose endpoints handle the requests.
    :ivar methods: accepted HTTP methods.
    :ivar idempotent: a plain call may be retried; otherwise it needs an idempotency key.
    :ivar open: callers need no caller key.
    """

    path: str
    kind: str
    class_: str
    service: str
    methods: tuple[str, ...] = ("POST",)
    idempotent: bool = False
    open: bool = False


@dataclass(frozen=True)
class Model:
    """Target version of a model.

    :ivar version: weights version.
    :ivar move_by: ISO 8601 time with offset by which all traffic must use the version.
    :ivar max_concurrent_loads: workers that may load weights at the same time.
    """

    version: str
    move_by: str | None = None
    max_concurrent_loads: int = 1


@dataclass(frozen=True)
class Endpoint:
    """Properties of the endpoints of a service.

    :ivar checks_fencing: they refuse orders with an outdated fencing number.
    """

    checks_fencing: bool = False


@dataclass(frozen=True)
class Declarations:
    """A complete, validated set of declarations, each section a mapping by name."""

    classes: Mapping[str, ClassOfWork] = field(default_factory=dict)
    accounts: Mapping[str, Account] = field(default_factory=dict)
    routes: Mapping[str, Route] = field(default_factory=dict)
    models: Mapping[str, Model] = field(default_factory=dict)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)


@dataclass(frozen=True)
class ItemChange:
    """One item that differs; ``old`` or ``new`` is ``None`` where the item is absent."""

    name: str
    old: Mapping[str, Any] | None
    new: Mapping[str, Any] | None


@dataclass(frozen=True)
class Difference:
    """Items that differ between two sets, each in order of name."""

    added: tuple[ItemChange, ...]
    changed: tuple[ItemChange, ...]
    removed: tuple[ItemChange, ...]

    @property
    def empty(self) -> bool:
        """Returns whether the two sets are equal."""
        return not (self.added or self.changed or self.removed)


_SECTIONS: dict[str, type] = {
    "classes": ClassOfWork,
    "accounts": Account,
    "routes": Route,
    "models": Model,
    "endpoints": Endpoint,
}


def load_toml(text: str) -> Declarations:
    """Reads a declaration file.

    :raises ConfigurationInvalidError: naming the item, the value and a remedy.
    """
    try:
        data = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigurationInvalidError(
            f"the file is not valid TOML: {error}; correct that line"
        ) from error
    items: dict[str, dict[str, Any]] = {}
    for section, entries in data.items():
        if not isinstance(entries, dict):
            raise ConfigurationInvalidError(
                f"top-level value {section!r} is not a section; write it as [section.NAME] with "
                f"one of {', '.join(_SECTIONS)}"
            )
        for name, fields in entries.items():
            items[f"{section}/{name}"] = _dates_to_text(fields)
    return from_items(items)


def to_items(declarations: Declarations) -> dict[str, dict[str, Any]]:
    """Returns the normal form: all fields, with defaults, except those that are ``None``."""
    return {
        f"{section}/{name}": unstructure_item(value)
        for section in _SECTIONS
        for name, value in getattr(declarations, section).items()
    }


def from_items(items: Mapping[str, Any]) -> Declarations:
    """Builds and validates a set of declarations.

    :param items: plain mappings by ``section/name``.
    :raises ConfigurationInvalidError: naming the item, the value and a remedy.
    """
    return change_items(Declarations(), items, ())


def restore_items(items: Mapping[str, Any]) -> Declarations:
    """Builds declarations that were accepted earlier, possibly by a release with other rules.

    :raises ConfigurationInvalidError: if an item does not have the fields of its section.
    """
    sections: dict[str, dict[str, Any]] = {section: {} for section in _SECTIONS}
    for item, fields in items.items():
        section, name = _split_item(item)
        sections[section][name] = structure_item(item, fields, _SECTIONS[section])
    return Declarations(**sections)


def change_items(
    declarations: Declarations, set_items: Mapping[str, Any], remove: tuple[str, ...]
) -> Declarations:
    """Returns the declarations after a change; only the changed sections are copied.

    :param set_items: items to add or replace.
    :param remove: items to remove.
    :raises ConfigurationInvalidError: if an item, or a reference between items, is wrong.
    """
    changed_sections: dict[str, dict[str, Any]] = {}
    for item in remove:
        section, name = _split_item(item)
        entries = _section_copy(changed_sections, declarations, section)
        if name not in entries:
            raise ConfigurationInvalidError(
                f"{item} cannot be removed because it is not declared; read the current "
                "declarations and try again"
            )
        del entries[name]
    for item, fields in set_items.items():
        section, name = _split_item(item)
        entries = _section_copy(changed_sections, declarations, section)
        value = structure_item(item, fields, _SECTIONS[section])
        check_item(item, value)
        entries[name] = value
    changed = replace(declarations, **changed_sections)
    total = sum(len(getattr(changed, section)) for section in _SECTIONS)
    if total > MAX_ITEMS:
        raise ConfigurationInvalidError(f"{total} items are declared; keep them below {MAX_ITEMS}")
    # No reference involves accounts, so the cost does not depend on their number.
    check_references(changed)
    return changed


def _section_copy(
    changed_sections: dict[str, dict[str, Any]], declarations: Declarations, section: str
) -> dict[str, Any]:
    """Returns the modifiable copy of a section, made once per change."""
    if section not in changed_sections:
        changed_sections[section] = dict(getattr(declarations, section))
    return changed_sections[section]


def diff(old_items: Mapping[str, Any], new_items: Mapping[str, Any]) -> Difference:
    """Compares two sets of items in normal form."""
    names = sorted(set(old_items) | set(new_items))
    pairs = [ItemChange(name, old_items.get(name), new_items.get(name)) for name in names]
    return Difference(
        added=tuple(pair for pair in pairs if pair.old is None),
        changed=tuple(
            pair
            for pair in pairs
            if pair.old is not None and pair.new is not None and pair.old != pair.new
        ),
        removed=tuple(pair for pair in pairs if pair.new is None),
    )


def _split_item(item: str) -> tuple[str, str]:
    section, _, name = item.partition("/")
    if section not in _SECTIONS:
        raise ConfigurationInvalidError(
            f"{item!r}: unknown section {section!r}; use one of {', '.join(_SECTIONS)}"
        )
    return section, name


def _dates_to_text(value: Any) -> Any:
    """Converts TOML dates to strings, so that items are plain JSON."""
    if isinstance(value, dict):
        return {name: _dates_to_text(entry) for name, entry in value.items()}
    if isinstance(value, datetime | date):
        return value.isoformat()
    return value
