"""Relays model responses: retries before the first token, resumes or continues after it."""

from collections.abc import Iterator
from typing import Any

from arbutustally.clock import Clock, monotonic
from arbutustally.retries import RetryBudget
from arbutustally_node.calls import ModelCall
from arbutustally_node.completion_body import completion_body
from arbutustally_node.dispatch import Dispatcher
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.stream_run import StreamRun


class StreamsService:
    """Runs model calls; section 10 of the design."""

    def __init__(
        self, kernel: Kernel, options: Options, dispatcher: Dispatcher, clock: Clock
    ) -> None:
        self._kernel = kernel
        self._options = options
        self._dispatcher = dispatcher
        self._clock = clock
        self._retries = RetryBudget.from_config()

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "StreamsService":
        """Builds the service for a node."""
        return cls(kernel, options, Dispatcher.from_config(kernel, options), monotonic)

    def start(self) -> None:
        """Does nothing; streams run in the greenlets of their callers."""

    def stop(self) -> None:
        """Does nothing; streams end with the connections of their callers."""

    def complete(self, call: ModelCall) -> Iterator[bytes]:
        """Returns the server-sent events of the response.

        The first item is yielded after the first token has arrived, so an earlier error can still
        be sent as an ordinary error response.

        :raises StreamLostError: while iterating, if the stream cannot be continued.
        :raises RouterError: before the first item, if the request is refused.
        """
        return self._new(call).events()

    def complete_whole(self, call: ModelCall) -> dict[str, Any]:
        """Returns the complete response.

        :raises RouterError: if the request is refused or its stream is lost.
        """
        run = self._new(call)
        for _events in run.events():
            continue
        return completion_body(call, run.cursor)

    def _new(self, call: ModelCall) -> StreamRun:
        return StreamRun(
            call, self._kernel, self._options, self._dispatcher, self._retries, self._clock
        )
