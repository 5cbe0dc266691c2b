"""Structured logs as JSON lines; secrets are redacted before a line is written."""

import re
import sys
from typing import Any

import structlog

_SECRET_FIELDS = frozenset(
    {"key", "digest", "secret", "authorization", "token", "peer_secret", "operator_token"}
)
# Matches caller keys and bearer credentials inside longer strings.
_SECRET_PATTERN = re.compile(r"(?i)(bearer\s+)\S+|at-[0-9a-z]{8,}-[0-9A-Za-z_\-]{16,}")


def _redact(_logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
    return {name: _redact_value(name, value) for name, value in event.items()}


def _redact_value(name: str, value: Any) -> Any:
    if name in _SECRET_FIELDS:
        return "[redacted]"
    if isinstance(value, str):
        return _SECRET_PATTERN.sub("[redacted]", value)
    return value


def configure(level: str = "info", stream: Any = None) -> None:
    """Configures logging of JSON lines to ``stream`` (standard error by default).

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    levels = {"debug": 10, "info": 20, "warning": 30, "error": 40}
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _redact,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(levels[level]),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(component: str) -> Any:
    """Returns a logger bound to a component name.

    The logger reads the configuration at its first call, so modules may create it at import time.
    """
    return structlog.get_logger(component=component)
