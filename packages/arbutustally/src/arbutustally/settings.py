"""Settings: each is declared once and read from a flag or an environment variable."""

import argparse
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from arbutustally.errors import SettingInvalidError

ENVIRONMENT_PREFIX = "ARBUTUSTALLY_"


@dataclass(frozen=True)
class Setting:
    """One setting of a binary.

    :ivar name: name in lower case with underscores; the flag is ``--name-with-hyphens`` and the
        variable ``ARBUTUSTALLY_NAME``.
    :ivar kind: ``str``, ``int``, ``float``, ``bool`` or ``list`` (comma-separated strings).
    :ivar unit: unit of the value, empty where it has none.
    :ivar default: value if neither flag nor variable is set; ``None`` for a required setting.
    :ivar help: one sentence for ``--help``.
    :ivar low: smallest accepted number.
    :ivar high: largest accepted number.
    :ivar choices: accepted strings; empty accepts all.
    :ivar secret: hide the value in ``--print-settings``.
    :ivar example: a valid value, shown in error messages.
    """

    name: str
    kind: type
    default: Any
    help: str
    unit: str = ""
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    secret: bool = False
    example: str = ""

    @property
    def flag(self) -> str:
        """Returns the command line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Returns the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def accepted(self) -> str:
        """Returns a description of the accepted values."""
        unit = f" {self.unit}" if self.unit else ""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        if self.low is not None or self.high is not None:
            return f"{self.kind.__name__} from {self.low} to {self.high}{unit}"
        return f"{self.kind.__name__}{unit}"

    def parse(self, text: str) -> Any:
        """Converts and checks a value.

        :raises SettingInvalidError: with the name, the value, the accepted range and an example.
        """
        try:
            value = _convert(self.kind, text)
        except ValueError:
            raise self._invalid_error(text) from None
        if self.choices and value not in self.choices:
            raise self._invalid_error(text)
        if self.low is not None and value < self.low or self.high is not None and value > self.high:
            raise self._invalid_error(text)
        return value

    def _invalid_error(self, text: str) -> SettingInvalidError:
        shown = "[hidden]" if self.secret else repr(text)
        example = self.example or str(self.default)
        return SettingInvalidError(
            f"{self.flag} ({self.variable}) is {shown}; accepted: {self.accepted}; "
            f"example: {self.flag} {example}"
        )


def _convert(kind: type, text: str) -> Any:
    if kind is bool:
        lowered = text.lower()
        if lowered in ("1", "true", "yes", "on"):
            return True
        if lowered in ("0", "false", "no", "off"):
            return False
        raise ValueError(text)
    if kind is list:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    value = kind(text)
    if kind is float and value != value:
        raise ValueError(text)
    return value


def add_flags(parser: argparse.ArgumentParser, settings: Sequence[Setting]) -> None:
    """Adds a flag for each setting to ``parser``."""
    group = parser.add_argument_group("settings", "each is also an environment variable")
    for setting in settings:
        default = "required" if setting.default is None else f"default {setting.default!r}"
        group.add_argument(
            setting.flag,
            dest=setting.name,
            default=None,
            metavar=setting.kind.__name__.upper(),
            help=f"{setting.help} [{setting.variable}; {setting.accepted}; {default}]".replace(
                "%", "%%"
            ),
        )


def read(
    settings: Sequence[Setting], flags: argparse.Namespace, environment: Mapping[str, str]
) -> dict[str, Any]:
    """Returns the effective settings; a flag takes precedence over the variable.

    :raises SettingInvalidError: for the first missing or invalid value, or an unknown variable.
    """
    known = {setting.variable for setting in settings}
    for variable in sorted(environment):
        if variable.startswith(ENVIRONMENT_PREFIX) and variable not in known:
            raise SettingInvalidError(
                f"unknown environment variable {variable}; unset it or see --help for the names"
            )
    values: dict[str, Any] = {}
    for setting in settings:
        text = getattr(flags, setting.name)
        if text is None:
            text = environment.get(setting.variable)
        if text is not None:
            values[setting.name] = setting.parse(text)
        elif setting.default is None:
            raise SettingInvalidError(
                f"{setting.flag} ({setting.variable}) is required; accepted: {setting.accepted}; "
                f"example: {setting.flag} {setting.example}"
            )
        else:
            values[setting.name] = setting.default
    return values


def printable(settings: Sequence[Setting], values: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the effective settings with secrets hidden."""
    return {
        setting.name: (
            "[hidden]" if setting.secret and values[setting.name] else values[setting.name]
        )
        for setting in settings
    }
