"""Reports of one model call to placement, versions, metrics and its trace."""

from typing import Any

from arbutustally.engine_completions import Usage
from arbutustally.errors import RouterError
from arbutustally.metrics import Counter, declare
from arbutustally.placement_types import Choice, Observation
from arbutustally.prefixes import BYTES_PER_TOKEN, PromptShape
from arbutustally_node.calls import ModelCall
from arbutustally_node.dispatch import Link
from arbutustally_node.kernel import Kernel
from arbutustally_node.relay import Fault, StreamCursor

#: Candidates listed in a trace.
MAX_RANKED_IN_TRACE = 5

_RETRIED = {
    fault: declare(f"retried.{fault}", f"Stream read on elsewhere: {fault}.") for fault in Fault
}
NOT_SENT = declare("retried.not_sent", "Endpoint unreachable; the request went to another one.")
REFUSED = declare("retried.endpoint_refused", "Endpoint refused; the request went to another one.")
RESUMED = declare("retried.resumed_for_caller", "A caller resumed the stream of another node.")


def estimated_prompt_tokens(call: ModelCall) -> int:
    """Returns the prompt tokens estimated from the body size, until an engine has counted them."""
    return call.prompt_bytes // BYTES_PER_TOKEN + 1


class StreamReport:
    """Reports on one call.

    :param kernel: finds ``placement``, ``versions`` and ``metrics``.
    """

    def __init__(self, call: ModelCall, kernel: Kernel) -> None:
        self._call = call
        self._kernel = kernel
        self._version = ""
        self._shape: PromptShape | None = None

    def begin(self, version: str, shape: PromptShape | None) -> None:
        """Sets the weights version and, unless the stream is resumed, the prompt's shape."""
        self._version = version
        self._shape = shape

    def count(self, counter: Counter) -> None:
        """Counts a retry."""
        self._kernel.lookup("metrics").count(counter)

    def placed(self, endpoint: Any, choice: Choice) -> None:
        """Records why an endpoint was chosen."""
        self._call.trace.note(
            "placed",
            endpoint=endpoint.id,
            estimate_s=round(choice.estimate_s, 4),
            expected_cached_tokens=choice.expected_cached_tokens,
            import_kv=choice.import_kv,
            reasons=list(choice.reasons),
            ranked=[
                {"endpoint": entry.endpoint, "first_token_s": round(entry.first_token_s, 4)}
                for entry in choice.ranked[:MAX_RANKED_IN_TRACE]
            ],
        )

    def dispatch_failed(
        self, endpoint: Any, choice: Choice, error: RouterError, counter: Counter, lost_s: float
    ) -> None:
        """Reports a dispatch that failed before a response began."""
        self.count(counter)
        self._call.trace.note(
            "retried", endpoint=endpoint.id, reason=error.code, lost_s=round(lost_s, 4)
        )
        self._report_to_versions(False)
        self._report_to_placement(endpoint.id, choice, None)

    def stream_broken(self, link: Link, fault: Fault, at: int, lost_s: float) -> None:
        """Reports a stream that broke.

        :param at: index of the next token.
        :param lost_s: seconds since the last token, or since the request was sent.
        """
        self.count(_RETRIED[fault])
        self._call.trace.note(
            "retried",
            endpoint=link.endpoint.id,
            reason=str(fault),
            at=at,
            lost_s=round(lost_s, 4),
        )

    def endpoint_failed(self, link: Link) -> None:
        """Reports an endpoint that could not continue its stream."""
        self._report_to_versions(False)
        if link.choice is not None:
            self._report_to_placement(link.endpoint.id, link.choice, None)

    def first_token(self, link: Link) -> None:
        """Records the first token of a link."""
        self._call.trace.note(
            "first_token", endpoint=link.endpoint.id, first_token_s=round(link.first_token_s, 4)
        )

    def completed(self, link: Link, cursor: StreamCursor) -> None:
        """Reports a complete response."""
        usage = cursor.usage
        self._call.trace.note(
            "completed",
            endpoint=link.endpoint.id,
            completion_tokens=cursor.next_index,
            prompt_tokens=usage.prompt_tokens if usage else None,
            cached_tokens=usage.cached_tokens if usage else None,
        )
        gap_s = link.gap_s(cursor.next_index)
        if link.choice is None:
            self._report_to_versions(True, None, gap_s)
            return
        work = usage.prompt_tokens - usage.cached_tokens if usage else None
        self._report_to_versions(True, link.first_token_s, gap_s, work)
        self._report_to_placement(link.endpoint.id, link.choice, usage, link.first_token_s)

    def abandoned(self, link: Link, at: int) -> None:
        """Reports a stream whose caller disconnected.

        It is no evidence about the endpoint or its cache: neither success nor failure is counted,
        and placement receives the expected number of cached tokens as the actual one.
        """
        self._call.trace.note("abandoned", endpoint=link.endpoint.id, at=at)
        if link.choice is not None:
            expected = Usage(0, 0, link.choice.expected_cached_tokens)
            self._report_to_placement(link.endpoint.id, link.choice, expected)

    def _report_to_placement(
        self,
        endpoint: str,
        choice: Choice,
        usage: Usage | None,
        first_token_s: float | None = None,
    ) -> None:
        observation = Observation(
            account=self._call.account,
            model=self._call.model,
            version=self._version,
            shape=self._shape,
            endpoint=endpoint,
            incarnation=choice.incarnation,
            cached_tokens=usage.cached_tokens if usage else None,
            prompt_tokens=usage.prompt_tokens if usage else 0,
            first_token_s=first_token_s,
            dispatch=choice.dispatch,
            imported=choice.import_kv,
        )
        self._kernel.lookup("placement").learn(observation)

    def _report_to_versions(
        self,
        ok: bool,
        first_token_s: float | None = None,
        gap_s: float | None = None,
        work_tokens: float | None = None,
    ) -> None:
        call = self._call
        self._kernel.lookup("versions").observe(
            call.model,
            self._version,
            call.class_name,
            call.route,
            ok,
            first_token_s,
            gap_s,
            work_tokens,
        )
