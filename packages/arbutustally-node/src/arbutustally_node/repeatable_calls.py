"""Plain calls that may be repeated: a failed attempt is made again on another instance."""

from arbutustally.errors import NoEndpointError, Ran, RouterError
from arbutustally.metrics import declare
from arbutustally.retries import RetryBudget
from arbutustally_node.calls import PlainCall, PlainResponse
from arbutustally_node.kernel import Kernel
from arbutustally_node.plain_dispatch import ATTEMPT_ERRORS, PlainDispatcher

PLAIN_FAILED = declare("retried.plain_failed", "A repeatable plain call went to another instance.")


class RepeatableCalls:
    """Makes calls within a retry budget.

    :param kernel: finds ``metrics``.
    """

    def __init__(self, kernel: Kernel, dispatcher: PlainDispatcher, retries: RetryBudget) -> None:
        self._kernel = kernel
        self._dispatcher = dispatcher
        self._retries = retries

    @classmethod
    def from_config(cls, kernel: Kernel, dispatcher: PlainDispatcher) -> "RepeatableCalls":
        """Builds it with a retry budget of its own."""
        return cls(kernel, dispatcher, RetryBudget.from_config())

    def run(self, call: PlainCall) -> PlainResponse:
        """Runs a call, on further instances if one fails.

        :raises RouterError: the first error that leaves open whether the call ran, otherwise the
            last one.
        """
        tried: set[str] = set()
        failure: RouterError | None = None
        while True:
            try:
                endpoint = self._dispatcher.choose(call.service, tried)
            except NoEndpointError as error:
                raise failure or error from error
            tried.add(endpoint.id)
            try:
                answer = self._dispatcher.send(call, endpoint, fresh=False)
            except ATTEMPT_ERRORS as error:
                failure = _less_certain(failure, error)
                call.trace.note("endpoint_failed", endpoint=endpoint.id, code=error.code)
                if not self._retries.allow(call.account):
                    raise failure from error
                self._kernel.lookup("metrics").count(PLAIN_FAILED)
                continue
            self._retries.record_success(call.account)
            call.trace.note("answered", endpoint=endpoint.id, status=answer.status)
            return answer


def _less_certain(first: RouterError | None, second: RouterError) -> RouterError:
    """Returns the first error if it does not prove that the call did not run, else the second."""
    if first is not None and first.ran is not Ran.NOT_RUN:
        return first
    return second
