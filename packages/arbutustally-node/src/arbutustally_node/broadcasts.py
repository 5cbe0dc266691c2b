"""Broadcasts of this node and of others: serials, subscribers and forwarding."""

from collections import OrderedDict
from collections.abc import Callable
from itertools import count
from typing import Any

from arbutustally.logs import get_logger
from arbutustally.peer_channel import Identity
from arbutustally.peer_protocol import Event, Events
from arbutustally_node.serial_window import SerialWindow

#: Maximum number of origins whose broadcast serials are remembered.
MAX_ORIGINS = 4096

Subscriber = Callable[[str, Any], None]

_log = get_logger("peers")


class Broadcasts:
    """Delivers each broadcast once and collects those to forward to this node's group.

    :param own: identity of this node.
    """

    def __init__(self, own: Identity) -> None:
        self._own = own
        self._serials = count()
        self._subscribers: dict[str, list[Subscriber]] = {}
        self._seen: OrderedDict[str, SerialWindow] = OrderedDict()
        self._to_forward: list[Event] = []

    @classmethod
    def from_config(cls, own: Identity) -> "Broadcasts":
        """Builds the state of a node that has sent and received nothing."""
        return cls(own)

    def subscribe(self, topic: str, function: Subscriber) -> None:
        """Registers ``function(origin, payload)`` for each new broadcast of a topic."""
        self._subscribers.setdefault(topic, []).append(function)

    def event(self, topic: str, payload: Any) -> Event:
        """Returns a new broadcast of this node, with the next serial."""
        return Event(self._own.node_id, self._own.incarnation, next(self._serials), topic, payload)

    def receive(self, events: Events, sender: str, is_near: bool) -> list[str]:
        """Delivers those of the received events that are new.

        :param sender: node that sent the frame.
        :param is_near: whether the sender is in this node's group; its events are not forwarded,
            as the group has received them already.
        :returns: the origins of the new events.
        """
        origins = []
        for event in events.events:
            if event.origin == self._own.node_id or not self._is_new(event):
                continue
            origins.append(event.origin)
            if event.origin == sender and not is_near:
                self._to_forward.append(event)
            self._deliver(event)
        return origins

    def take_events_to_forward(self) -> list[Event]:
        """Returns the events collected since the last call, to forward to this node's group."""
        events, self._to_forward = self._to_forward, []
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
            except Exception as error:  # noqa: BLE001 a subscriber must not end the link
                _log.error("subscriber failed", topic=event.topic, error=type(error).__name__)
