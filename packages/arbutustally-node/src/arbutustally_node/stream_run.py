"""One model call: admission, dispatch, relay and recovery."""

from collections.abc import Callable, Generator, Iterator
from dataclasses import replace
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.engine_completions import END_OF_STREAM
from arbutustally.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    NoEndpointError,
    Ran,
    RouterError,
    StreamLostError,
    StreamNotResumableError,
)
from arbutustally.prefixes import PromptShape, split_levels
from arbutustally.retries import RetryBudget
from arbutustally.stream_token import EventId, StreamToken, issue, verify
from arbutustally_node.calls import ModelCall
from arbutustally_node.dispatch import Dispatcher, Link
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.relay import EventSplitter, Fault, StreamCursor
from arbutustally_node.stream_report import (
    NOT_SENT,
    REFUSED,
    RESUMED,
    StreamReport,
    estimated_prompt_tokens,
)

#: Consecutive resumptions of a stream without a new token before another engine is tried.
MAX_RESUMES_WITHOUT_TOKEN = 2
#: The same after a read timeout; each further resumption may wait for the whole timeout again.
MAX_RESUMES_AFTER_TIMEOUT = 1
#: The same while no other engine can continue the stream.
MAX_RESUMES_OF_LAST_ENGINE = 4
DONE = b"data: [DONE]\n\n"


class StreamRun:
    """One model call."""

    def __init__(
        self,
        call: ModelCall,
        kernel: Kernel,
        options: Options,
        dispatcher: Dispatcher,
        retries: RetryBudget,
        clock: Clock,
    ) -> None:
        self._call = call
        self._kernel = kernel
        self._secrets = (options.peer_secret, options.peer_secret_previous)
        self._dispatcher = dispatcher
        self._retries = retries
        self._clock = clock
        self._report = StreamReport(call, kernel)
        self._cursor = StreamCursor(call.request_id, "")
        self._version = ""
        self._shape: PromptShape | None = None
        self._tried: set[str] = set()
        self._link: Link | None = None
        self._admission: Any = None
        self._resumes_without_token = 0
        self._ran = Ran.NOT_RUN

    @property
    def cursor(self) -> StreamCursor:
        """Returns the state of the stream received so far."""
        return self._cursor

    def events(self) -> Iterator[bytes]:
        """Yields batches of events and then the end marker."""
        try:
            if self._call.last_event_id:
                yield from self._resumed()
            else:
                yield from self._admitted()
        finally:
            self._call.watch.stop()

    def _admitted(self) -> Iterator[bytes]:
        call = self._call
        tokens = estimated_prompt_tokens(call) + call.output_tokens
        limits = self._kernel.lookup("limits")
        reservation = limits.reserve(call.account, tokens, call.trace)
        try:
            with self._kernel.lookup("fairness").admit(
                call.account,
                call.class_name,
                tokens,
                call.trace,
                service=call.service,
                model=call.model,
            ) as self._admission:
                self._version = self._kernel.lookup("versions").pick(call.model, call.request_id)
                call.trace.note("version_picked", version=self._version)
                self._shape = split_levels(call.prompt, _yield_to_others)
                self._report.begin(self._version, self._shape)
                self._cursor = StreamCursor(call.request_id, self._version)
                yield from self._relay(self._open_link)
        finally:
            limits.settle(reservation, self._used_tokens())

    def _resumed(self) -> Iterator[bytes]:
        event = verify(self._secrets, self._call.last_event_id)
        token = event.token
        if token.account != self._call.account or token.request_digest != self._call.digest:
            raise StreamNotResumableError(
                "Last-Event-ID belongs to another request; send that request's own body and key"
            )
        self._version = token.version
        self._ran = Ran.MAY_HAVE_RUN
        self._call = call = replace(self._call, request_id=token.request_id)
        self._cursor = StreamCursor(token.request_id, token.version, event.index + 1, False)
        self._report.begin(token.version, None)
        self._report.count(RESUMED)
        call.trace.note("resuming", stream=token.request_id, after=event.index)
        yield from self._relay(lambda: self._resume_for_caller(event))

    def _relay(self, open_first: Callable[[], Link]) -> Iterator[bytes]:
        try:
            self._link = open_first()
            while (fault := (yield from self._pump(self._link))) is not None:
                self._link = self._recover(self._link, fault)
            self._complete(self._link)
            self._link = None
            yield DONE
        finally:
            if self._link is not None:
                self._abandon(self._link)

    def _pump(self, link: Link) -> Generator[bytes, None, Fault | None]:
        """Yields checked events of a link; returns its fault, ``None`` if the stream completed."""
        with self._call.watch:
            return (yield from self._read_events(link))

    def _read_events(self, link: Link) -> Generator[bytes, None, Fault | None]:
        cursor = self._cursor
        splitter = EventSplitter()
        prefix = b""
        while True:
            try:
                data = link.response.read()
            except EndpointTimeoutError:
                return Fault.READ_TIMEOUT
            except EndpointFailedError:
                return Fault.BROKEN
            if not data:
                return None if cursor.finished else Fault.TRUNCATED
            payloads = splitter.feed(data)
            if payloads is None:
                return Fault.MALFORMED
            out = []
            result: Fault | int | None = 0
            for payload in payloads:
                if payload == END_OF_STREAM:
                    result = None if cursor.finished else Fault.TRUNCATED
                    break
                result = cursor.take(payload)
                if type(result) is not int:
                    break
                if result < 0:
                    out.append(b"data: %s\n\n" % payload)
                    continue
                if not prefix:
                    prefix = b"id: " + self._stream_token(link).encode() + b"."
                out.append(b"%s%d\ndata: %s\n\n" % (prefix, result, payload))
            if out:
                self._progress(link)
                yield b"".join(out)
            if type(result) is not int:
                return result

    def _progress(self, link: Link) -> None:
        link.last_s = self._clock()
        self._resumes_without_token = 0
        if link.first_s:
            return
        link.first_s = link.last_s
        self._dispatcher.release_load(link)
        if self._admission is not None:
            self._admission.started()
        self._report.first_token(link)

    def _stream_token(self, link: Link) -> str:
        call = self._call
        token = StreamToken(
            call.request_id,
            call.account,
            link.endpoint.id,
            self._cursor.incarnation,
            self._version,
            call.digest,
        )
        return issue(self._secrets[0], token)

    # Opening and recovery.

    def _open_link(self) -> Link:
        """Opens a link on the best engine, trying others within the retry budget."""
        call = self._call
        failure: RouterError | None = None
        while True:
            try:
                endpoint, choice = self._dispatcher.choose(
                    call, self._version, self._shape, self._tried
                )
            except NoEndpointError as error:
                raise self._with_run_state(failure or error) from error
            self._tried.add(endpoint.id)
            self._report.placed(endpoint, choice)
            try:
                return self._send(endpoint, choice)
            except (EndpointFailedError, EndpointTimeoutError) as error:
                failure = error
                if not self._retries.allow(call.account):
                    call.trace.note("retry_budget_empty")
                    raise self._with_run_state(failure) from error

    def _send(self, endpoint: Any, choice: Any) -> Link:
        begun = self._clock()
        ran_before, self._ran = self._ran, Ran.MAY_HAVE_RUN
        try:
            return self._dispatcher.send(
                self._call,
                self._version,
                self._shape,
                endpoint,
                choice,
                self._cursor,
                self._admission.priority,
                begun,
            )
        except (EndpointFailedError, EndpointTimeoutError) as error:
            counter = REFUSED
            if error.ran is Ran.NOT_RUN:
                self._ran = ran_before
                counter = NOT_SENT
            else:
                self._dispatcher.cancel(endpoint, self._call.request_id)
            self._report.dispatch_failed(endpoint, choice, error, counter, self._clock() - begun)
            raise

    def _recover(self, link: Link, fault: Fault) -> Link:
        """Returns a link that continues the stream from the cursor.

        :raises StreamLostError: if no engine can continue it.
        """
        lost_s = self._clock() - (link.last_s or link.opened_s)
        self._report.stream_broken(link, fault, self._cursor.next_index, lost_s)
        link.response.close()
        if fault is Fault.OTHER_INCARNATION:
            self._dispatcher.mark_dead(link.endpoint, link.incarnation)
        elif self._resume(
            link,
            MAX_RESUMES_AFTER_TIMEOUT if fault is Fault.READ_TIMEOUT else MAX_RESUMES_WITHOUT_TOKEN,
        ):
            return link
        if fault is Fault.READ_TIMEOUT:
            return self._continue_after_timeout(link)
        self._drop_link(link)
        return self._continue_elsewhere()

    def _continue_after_timeout(self, link: Link) -> Link:
        """Returns a link to another engine, or to the same one if no other continues the stream.

        An engine that sent nothing until the read timeout may only be overloaded and still have the
        stream.
        """
        try:
            continued = self._continue_elsewhere()
        except StreamLostError:
            if self._resume(link, MAX_RESUMES_OF_LAST_ENGINE):
                return link
            self._drop_link(link)
            raise
        self._drop_link(link)
        return continued

    def _drop_link(self, link: Link) -> None:
        """Closes the link to an engine that failed to continue and cancels the request there."""
        self._link = None
        self._dispatcher.close_link(link)
        self._report.endpoint_failed(link)
        self._dispatcher.cancel(link.endpoint, self._call.request_id)

    def _resume(self, link: Link, limit: int) -> bool:
        """Resumes a stream on the incarnation that produces it; returns whether that succeeded."""
        if self._resumes_without_token >= limit or not self._cursor.incarnation:
            return False
        self._resumes_without_token += 1
        try:
            link.response = self._dispatcher.resume(
                self._call, link.endpoint, self._cursor.incarnation, self._cursor
            )
        except RouterError as error:
            self._call.trace.note(
                "not_resumed", endpoint=link.endpoint.id, code=error.code, reason=error.message
            )
            return False
        self._call.trace.note("resumed", endpoint=link.endpoint.id, at=self._cursor.next_index)
        return True

    def _continue_elsewhere(self) -> Link:
        if not self._cursor.can_continue:
            raise self._lost("this node does not have the tokens sent before")
        if not self._retries.allow(self._call.account):
            raise self._lost("the retry budget is used up")
        try:
            continued = self._open_link()
        except RouterError as error:
            raise self._lost(error.message) from error
        self._call.trace.note(
            "continued", endpoint=continued.endpoint.id, at=self._cursor.next_index
        )
        return continued

    def _resume_for_caller(self, event: EventId) -> Link:
        token = event.token
        membership = self._kernel.lookup("membership")
        found = [
            state
            for state in membership.endpoints(self._call.service, self._call.model)
            if state.id == token.endpoint
        ]
        if not found or found[0].incarnation not in ("", token.incarnation):
            raise self._not_resumable("its engine is not available or was restarted")
        opened_s = self._clock()
        try:
            response = self._dispatcher.resume(
                self._call, found[0], token.incarnation, self._cursor
            )
        except RouterError as error:
            raise self._not_resumable(error.message) from error
        first = self._cursor.next_index
        return Link(found[0], token.incarnation, None, response, 0, opened_s, first)

    # Completion and cancellation.

    def _complete(self, link: Link) -> None:
        link.response.settle()
        self._dispatcher.close_link(link)
        self._retries.record_success(self._call.account)
        self._report.completed(link, self._cursor)

    def _abandon(self, link: Link) -> None:
        self._link = None
        self._dispatcher.close_link(link)
        self._dispatcher.cancel(link.endpoint, self._call.request_id)
        self._report.abandoned(link, self._cursor.next_index)

    def _used_tokens(self) -> int:
        if self._ran is Ran.NOT_RUN:
            return 0
        usage = self._cursor.usage
        prompt = usage.prompt_tokens if usage else estimated_prompt_tokens(self._call)
        return prompt + self._cursor.next_index

    def _with_run_state(self, error: RouterError) -> RouterError:
        if self._ran is not Ran.NOT_RUN:
            error.ran = self._ran
        return error

    def _lost(self, reason: str) -> StreamLostError:
        return StreamLostError(
            f"the stream broke after {self._cursor.next_index} tokens and cannot be continued: "
            f"{reason}; send the request again for a new answer",
            ran=Ran.MAY_HAVE_RUN,
            retry_after_s=0.0,
        )

    def _not_resumable(self, reason: str) -> StreamNotResumableError:
        return StreamNotResumableError(
            f"the stream cannot be resumed: {reason}; send the request again without Last-Event-ID",
            ran=Ran.MAY_HAVE_RUN,
        )


def _yield_to_others() -> None:
    """Lets other greenlets run between the steps of a long computation."""
    gevent.sleep(0)
