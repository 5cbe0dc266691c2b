"""Tasks that a node needs for as long as it runs."""

import traceback
from collections.abc import Callable
from typing import Any

import gevent

from arbutustally_node.gateway.decision_log import DecisionLog

#: Pause before a task that failed is started again, seconds.
RESTART_S = 0.1
MAX_RESTART_S = 2.0


def supervise(log: DecisionLog, name: str, run: Callable[..., None], *arguments: Any) -> Any:
    """Runs a task and starts it again after an unexpected error; returns its greenlet.

    Without it, one message that nobody has thought of would end the task for good, and the node
    would go on with what it knew then.
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
