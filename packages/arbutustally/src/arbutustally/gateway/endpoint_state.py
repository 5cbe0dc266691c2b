"""State of one endpoint as a node sees it: list entry, own calls and checks, peers' reports."""

from collections import deque
from dataclasses import dataclass, field

from arbutustally.gateway.endpoint_entry import EndpointEntry

#: Consecutive failed checks after which an endpoint counts as unreachable.
FAILED_CHECKS = 2
#: Time over which the count of failures decays to 0, seconds.
FAILURE_DECAY_S = 3.0


@dataclass(frozen=True)
class FailedCheck:
    """A check that could not connect to an endpoint.

    :ivar began_at: start of the check, monotonic seconds.
    :ivar is_refused: the connection was refused since nothing listens at the address; it did not
        merely time out.
    """

    began_at: float
    is_refused: bool


@dataclass
class EndpointState:
    """State of one endpoint as this node knows it. Times are in monotonic seconds.

    :ivar running: requests of this node at the endpoint.
    :ivar prompt_tokens: prompt tokens of this node's requests that have no first event yet.
    :ivar memory_tokens: tokens that this node's running requests occupy in memory.
    :ivar unrepeatable: those of ``running`` whose routes do not allow a repeat on another endpoint.
    :ivar peer_load: the same four figures by peer; the last one also counts requests for which the
        peer's repeat budget is used up.
    :ivar gone_at: when the entry was removed, ``None`` while it is listed.
    :ivar kept_until: until then it counts as present although its entry was removed.
    :ivar has_announced_leaving: it has announced that it leaves, regardless of its list entry.
    :ivar replaced_incarnations: incarnations of earlier starts under the same id, latest last.
    :ivar paused_until: until then this node must send it no requests.
    :ivar is_down: the last attempt to connect failed.
    :ivar failed_checks: the latest failed checks since ``is_down`` was set.
    :ivar checked_at: when a connection was last tried because a request waits for it.
    :ivar last_data_at: when it last sent an answer or a stream event, for any request.
    :ivar unanswered_orders: orders of this node in a row that it left unanswered.
    :ivar order_backoff_until: until then the others that need an order go first.
    :ivar cold_until: until then it is slow.
    :ivar cold_sent: when this node sent it requests while it was slow, latest last.
    :ivar stated_cold_at: when it last stated in an answer for how long it is slow.
    :ivar failures: count of failures at ``failed_at``, see ``recent_failures``.
    :ivar silent_failures: those of requests that were given up while it sent nothing at all.
    :ivar silent_at: when the latest of these was given up.
    :ivar answered_at: when its latest answer arrived.
    :ivar held_up_until: answers to requests that were sent before count as held up by one silence.
    :ivar silent_until: the latest of these times at which it had answered nothing for a while.
    :ivar is_held_up: no answer since then was as fast as usual.
    :ivar is_replaced: another endpoint was found at its address.
    """

    entry: EndpointEntry
    running: int = 0
    prompt_tokens: float = 0.0
    memory_tokens: float = 0.0
    unrepeatable: int = 0
    peer_load: dict[str, tuple[int, float, float, int]] = field(default_factory=dict)
    weights: dict[str, int] = field(default_factory=dict)
    loading: bool = False
    loading_until: float = 0.0
    unanswered_orders: int = 0
    order_backoff_until: float = 0.0
    gone_at: float | None = None
    kept_until: float = 0.0
    has_announced_leaving: bool = False
    replaced_incarnations: tuple[str, ...] = ()
    paused_until: float = 0.0
    cold_until: float = 0.0
    cold_sent: deque[float] = field(default_factory=deque)
    stated_cold_at: float = float("-inf")
    is_replaced: bool = False
    is_down: bool = False
    failed_checks: deque[FailedCheck] = field(default_factory=lambda: deque(maxlen=FAILED_CHECKS))
    checked_at: float = float("-inf")
    last_data_at: float = float("-inf")
    suspect_until: float = 0.0
    suspicions: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    silent_failures: float = 0.0
    silent_at: float = float("-inf")
    answered_at: float = float("-inf")
    latency_s: float = 0.0
    held_up_until: float = float("-inf")
    silent_until: float = float("-inf")
    is_held_up: bool = False

    @property
    def id(self) -> str:
        """Returns the id of the endpoint."""
        return self.entry.id

    def recent_failures(self, now: float, of_silence: bool = False) -> float:
        """Returns the count of failures, which decays from the latest one on.

        :param of_silence: whether only those of a silence are counted.
        """
        failures = self.silent_failures if of_silence else self.failures
        return failures * max(0.0, 1.0 - (now - self.failed_at) / FAILURE_DECAY_S)

    def has_failed_checks(self, since: float) -> bool:
        """Returns whether the last ``FAILED_CHECKS`` checks failed and began since ``since``."""
        checks = self.failed_checks
        return len(checks) == FAILED_CHECKS and checks[0].began_at >= since

    def has_refused(self, since: float) -> bool:
        """Returns whether each of these checks was also refused rather than timed out."""
        return self.has_failed_checks(since) and all(one.is_refused for one in self.failed_checks)

    @property
    def address(self) -> str:
        """Returns ``host:port``."""
        return self.entry.address

    @property
    def is_leaving(self) -> bool:
        """Returns whether it accepts no new requests, by its list entry or its own notice."""
        return self.entry.is_leaving or self.has_announced_leaving

    @property
    def newer_weights(self) -> dict[str, int]:
        """Returns the weights that it is known to run and that its list entry does not show yet."""
        listed = self.entry.weights
        return {
            model: version
            for model, version in self.weights.items()
            if version > listed.get(model, 0)
        }

    @property
    def total_running(self) -> int:
        """Returns the running requests of all nodes."""
        return self.running + sum(load[0] for load in self.peer_load.values())

    @property
    def peer_unrepeatable(self) -> int:
        """Returns the requests of other nodes that can't be repeated on another endpoint."""
        return sum(load[3] for load in self.peer_load.values())

    @property
    def total_prompt_tokens(self) -> float:
        """Returns the prompt tokens of all nodes' requests that have no first event yet."""
        return self.prompt_tokens + sum(load[1] for load in self.peer_load.values())

    @property
    def total_memory_tokens(self) -> float:
        """Returns the tokens that all nodes' requests occupy in memory."""
        return self.memory_tokens + sum(load[2] for load in self.peer_load.values())
