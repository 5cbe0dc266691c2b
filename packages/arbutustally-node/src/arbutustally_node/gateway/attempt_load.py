"""Load that an attempt causes at its endpoint."""

from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.requests import CallerRequest
from arbutustally.placement_types import Choice


class AttemptLoad:
    """Adds an attempt to the load of its endpoint while it runs.

    :param state: endpoint of the attempt.
    :param request: request of the caller.
    :param choice: result of placement, ``None`` for a plain service.
    :param is_repeatable: whether the request may run at another endpoint if this one interrupts
        it.
    :ivar first_at: time of the first event by the steady clock, seconds; 0 before it.
    """

    def __init__(
        self,
        state: EndpointState,
        request: CallerRequest,
        choice: Choice | None,
        is_repeatable: bool,
    ) -> None:
        self._state = state
        total = request.prompt_tokens or 0
        self._unread = float(total - choice.expected_cached_tokens) if choice else 0.0
        self._memory = float(total + request.output_tokens) if choice else 0.0
        self._unrepeatable = 0 if is_repeatable else 1
        self._has_ended = False
        self.first_at = 0.0
        state.running += 1
        state.unrepeatable += self._unrepeatable
        state.prompt_tokens += self._unread
        state.memory_tokens += self._memory

    @property
    def has_ended(self) -> bool:
        """Returns whether the attempt has ended."""
        return self._has_ended

    def set_repeatable(self, is_repeatable: bool) -> None:
        """Updates whether the request may still run at another endpoint."""
        if self._has_ended:
            return
        before, self._unrepeatable = self._unrepeatable, 0 if is_repeatable else 1
        self._state.unrepeatable += self._unrepeatable - before

    def first_event(self, now: float) -> None:
        """Records the first event, which shows that the prompt has been read.

        :param now: time of the event by the steady clock, seconds.
        """
        self.first_at = self.first_at or now
        self._state.prompt_tokens -= self._unread
        self._unread = 0.0

    def end(self) -> None:
        """Removes the attempt from the load of its endpoint."""
        self._has_ended = True
        self._state.running -= 1
        self._state.unrepeatable -= self._unrepeatable
        self._state.prompt_tokens -= self._unread
        self._state.memory_tokens -= self._memory
        self._unread = self._memory = 0.0
