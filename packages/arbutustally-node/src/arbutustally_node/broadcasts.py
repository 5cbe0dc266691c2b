"""Broadcasts of this node and of others: serials, subscribers, and what to pass on."""

from collections import OrderedDict
from collections.abc import Callable
from itertools import count
from typing import Any

from arbutustally.logs import get_logger
from arbutustally.peer_protocol import Event, Events, Identity
from arbutustally_node.serial_window import SerialWindow

#: Origins whose broadcast serials are remembered.
MAX_ORIGINS = 4096

Subscriber = Callable[[str, Any], None]

_log = get_logger("peers")


class Broadcasts:
    """Delivers each broadcast once and collects those for the own group.

    :param own: this node.
    """

    def __init__(self, own: Identity) -> None:
        self._own = own
        self._serials = count()
        self._subscribers: dict[str, list[Subscriber]] = {}
        self._seen: OrderedDict[str, SerialWindow] = OrderedDict()
        self._forward: list[Event] = []

    @classmethod
    def from_config(cls, own: Identity) -> "Broadcasts":
        """Builds the state of a node that has sent and received nothing."""
        return cls(own)

    def subscribe(self, topic: str, function: Subscriber) -> None:
        """Calls ``function(origin, payload)`` for each new broadcast of a topic."""
        self._subscribers.setdefault(topic, []).append(function)

    def event(self, topic: str, payload: Any) -> Event:
        """Returns a new broadcast of this node."""
        return Event(self._own.node_id, self._own.incarnation, next(self._serials), topic, payload)

    def receive(self, events: Events, sender: str, is_near: bool) -> list[str]:
        """Delivers the new ones of received events.

        :param sender: node that sent the frame.
        :param is_near: the sender is of the own group; what it sends has been passed on already.
        :returns: the origins of the new events.
        """
        origins = []
        for event in events.events:
            if event.origin == self._own.node_id or not self._is_new(event):
                continue
            origins.append(event.origin)
            if event.origin == sender and not is_near:
                self._forward.append(event)
            self._deliver(event)
        return origins

    def take_forwarded(self) -> list[Event]:
        """Returns the events to pass on to the own group since the last call."""
        events, self._forward = self._forward, []
        return events

    def _is_new(self, event: Event) -> bool:
        window = self._seen.get(event.origin)
        if window is None or window.incarnation != event.incarnation:
            window = self._seen[event.origin] = SerialWindow(event.incarnation)
        self._seen.move_to_end(event.origin)
        if len(self._seen) > MAX_ORIGINS:
            self._seen.popitem(last=False)
        return window.accept(event.serial)

    def _deliver(self, event: Event) -> None:
        for function in self._subscribers.get(event.topic, ()):
            try:
                function(event.origin, event.payload)
            except Exception as error:  # noqa: BLE001 one subscriber must not end the link
                _log.error("subscriber failed", topic=event.topic, error=type(error).__name__)
