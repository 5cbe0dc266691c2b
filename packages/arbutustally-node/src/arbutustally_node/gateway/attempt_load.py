"""Load of an attempt at its endpoint."""

from arbutustally.gateway.endpoints import EndpointState
from arbutustally.gateway.requests import CallerRequest
from arbutustally.placement import Choice


class AttemptLoad:
    """Counts an attempt at its endpoint while it runs.

    :param may_go_on: the request may go on at another endpoint if this one breaks it off.
    """

    def __init__(
        self,
        state: EndpointState,
        request: CallerRequest,
        choice: Choice | None,
        may_go_on: bool,
    ) -> None:
        self._state = state
        total = request.prompt_tokens or 0
        self._unread = float(total - choice.expected_cached_tokens) if choice else 0.0
        self._memory = float(total + request.output_tokens) if choice else 0.0
        self._unrepeatable = 0 if may_go_on else 1
        self._has_ended = False
        self.first_at = 0.0
        state.running += 1
        state.unrepeatable += self._unrepeatable
        state.prompt_tokens += self._unread
        state.memory_tokens += self._memory

    def may_go_on(self, may_go_on: bool) -> None:
        """Notes whether the request may still go on at another endpoint."""
        if self._has_ended:
            return
        before, self._unrepeatable = self._unrepeatable, 0 if may_go_on else 1
        self._state.unrepeatable += self._unrepeatable - before

    def first_event(self, now: float) -> None:
        """Notes that the prompt has been read."""
        self.first_at = self.first_at or now
        self._state.prompt_tokens -= self._unread
        self._unread = 0.0

    def end(self) -> None:
        """Takes the attempt off its endpoint."""
        self._has_ended = True
        self._state.running -= 1
        self._state.unrepeatable -= self._unrepeatable
        self._state.prompt_tokens -= self._unread
        self._state.memory_tokens -= self._memory
        self._unread = self._memory = 0.0
