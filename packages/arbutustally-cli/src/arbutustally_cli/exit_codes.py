"""Exit codes of the operator command."""

from enum import IntEnum

from arbutustally.errors import (
    BadRequestError,
    ConfigurationConflictError,
    ConfigurationInvalidError,
    LogUnavailableError,
    NoConfigurationError,
    NodeUnreachableError,
    OperatorUnauthorizedError,
    RequestUnknownError,
    RouterError,
    SettingInvalidError,
)


class ExitCode(IntEnum):
    """What a script can rely on."""

    DONE = 0
    UNEXPECTED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6

    @property
    def meaning(self) -> str:
        """Returns the meaning for ``--help``."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.UNEXPECTED: "unexpected fault",
    ExitCode.USAGE: "wrong usage, setting or credential",
    ExitCode.REFUSED: "refused by validation",
    ExitCode.CONFLICT: "another change was accepted first; the message names its version",
    ExitCode.UNAVAILABLE: "the node or the log cannot be reached",
    ExitCode.NOT_IN_FORCE: "accepted, but not in force on every node in time",
}

_OF_ERRORS: tuple[tuple[type[RouterError], ExitCode], ...] = (
    (ConfigurationConflictError, ExitCode.CONFLICT),
    (ConfigurationInvalidError, ExitCode.REFUSED),
    (BadRequestError, ExitCode.REFUSED),
    (RequestUnknownError, ExitCode.REFUSED),
    (OperatorUnauthorizedError, ExitCode.USAGE),
    (SettingInvalidError, ExitCode.USAGE),
    (LogUnavailableError, ExitCode.UNAVAILABLE),
    (NodeUnreachableError, ExitCode.UNAVAILABLE),
    (NoConfigurationError, ExitCode.UNAVAILABLE),
)


def exit_code_of(error: RouterError) -> ExitCode:
    """Returns the exit code of an error."""
    for kind, code in _OF_ERRORS:
        if isinstance(error, kind):
            return code
    return ExitCode.UNEXPECTED
