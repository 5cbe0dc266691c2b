"""Restarts background tasks of a node that fail."""

import traceback
from collections.abc import Callable
from typing import Any

import gevent

from arbutustally_node.gateway.decision_log import DecisionLog

#: First and longest pause before a failed task is restarted, seconds; it doubles with each failure.
RESTART_S = 0.1
MAX_RESTART_S = 2.0


def supervise(log: DecisionLog, name: str, run: Callable[..., None], *arguments: Any) -> Any:
    """Runs a task and restarts it after an unexpected error; returns its greenlet.

    Without restarts, one message that raises an unhandled error would end the task permanently,
    and the node would continue with outdated state.
    """
    return gevent.spawn(_run, log, name, run, arguments)


def _run(log: DecisionLog, name: str, run: Callable[..., None], arguments: tuple[Any, ...]) -> None:
    pause_s = RESTART_S
    while True:
        try:
            run(*arguments)
            return
        except Exception:
            log.line("fault", task=name, error=traceback.format_exc(limit=-4))
            gevent.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_RESTART_S)
