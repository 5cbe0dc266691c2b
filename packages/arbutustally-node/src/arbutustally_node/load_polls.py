"""Polls engines for load reports and selects those to send to peers."""

from collections.abc import Callable, Container
from typing import Any

from arbutustally.clock import Clock
from arbutustally.errors import RouterError
from arbutustally.instance_client import Instance
from arbutustally.metrics import Metrics, declare
from arbutustally_node.endpoint_table import EndpointTable, Load

#: Seconds after which an unchanged load is sent again, so that its age at peers stays low.
LOAD_RESEND_S = 2.0
#: Consecutive failed polls after which this node marks an endpoint as unreachable.
POLL_FAILURES = 2

POLL_FAILED = declare("retried.load_poll", "Load polls that failed; check the endpoints.")

LoadFunction = Callable[[str], Any]


class LoadPolls:
    """Polls load reports into the table of endpoints.

    :param load: reads the load report of the engine at an address.
    :param mark_dead: called with id and incarnation of an engine whose process has ended.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        load: LoadFunction,
        mark_dead: Callable[[str, str], None],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._endpoints = endpoints
        self._load = load
        self._mark_dead = mark_dead
        self._metrics = metrics
        self._clock = clock
        self._failures: dict[str, int] = {}
        # By endpoint: the newest load, and the last sent load with its send time.
        self._polled: dict[str, Load] = {}
        self._sent: dict[str, tuple[Load, float]] = {}

    def poll(self, instance: Instance) -> None:
        """Polls the load of one engine."""
        sent_at = self._clock()
        try:
            report = self._load(instance.address)
        except (RouterError, OSError) as error:
            self._handle_failure(instance, error)
            return
        self._failures.pop(instance.id, None)
        self._endpoints.set_unreachable(instance.id, False)
        load = Load(
            instance.id,
            report.incarnation,
            report.queued_tokens,
            report.running,
            tuple(report.versions),
            sent_at - report.age_s,
        )
        if self._endpoints.report(load):
            self._polled[instance.id] = load

    def take_unsent(self, is_full: bool) -> list[Load]:
        """Returns the loads that are due to be sent and marks them as sent.

        :param is_full: include unchanged loads.
        """
        now = self._clock()
        due = []
        for endpoint_id, load in self._polled.items():
            sent, sent_at = self._sent.get(endpoint_id, (None, 0.0))
            if not is_full and _is_same(load, sent) and now - sent_at < LOAD_RESEND_S:
                continue
            self._sent[endpoint_id] = (load, now)
            due.append(load)
        return due

    def keep(self, endpoint_ids: Container[str]) -> None:
        """Drops the loads of all endpoints that are not in ``endpoint_ids``."""
        self._polled = {key: load for key, load in self._polled.items() if key in endpoint_ids}

    def _handle_failure(self, instance: Instance, error: Exception) -> None:
        self._metrics.count(POLL_FAILED)
        if _is_connection_refused(error):
            # No process listens at the address, so the engine's process has ended.
            self._mark_dead(instance.id, self._endpoints.incarnation(instance.id))
            return
        failures = self._failures.get(instance.id, 0) + 1
        self._failures[instance.id] = failures
        if failures >= POLL_FAILURES:
            self._endpoints.set_unreachable(instance.id, True)


def _is_same(load: Load, sent: Load | None) -> bool:
    return sent is not None and (load.incarnation, load.queued_tokens, load.running) == (
        sent.incarnation,
        sent.queued_tokens,
        sent.running,
    )


def _is_connection_refused(error: BaseException | None) -> bool:
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__ or error.__context__
    return False
