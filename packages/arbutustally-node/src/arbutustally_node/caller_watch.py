"""Interrupts a request that waits for an endpoint: its caller is gone, or the node stops."""

import select
from typing import Any

import gevent
from gevent import monkey

# gevent's own poll yields to other greenlets, which a callback of the event loop must not do.
_poll = monkey.get_original("select", "poll")
_READ = 1


class CallerGoneError(Exception):
    """The caller closed its connection; raised in the greenlet that serves it."""


class NodeStoppingError(Exception):
    """The node stops before the request has ended; raised in the greenlet that serves it."""


class CallerWatch:
    """Interrupts the serving greenlet when its caller closes the connection or the node stops.

    The exception is raised only inside a ``with`` block of the watch, so that accounting outside of
    it always completes. Inside the block the greenlet waits for an endpoint or for its caller.

    :param sock: the caller's socket, or ``None`` to watch nothing.
    """

    def __init__(self, sock: Any = None) -> None:
        self._is_gone = False
        self._is_stopping = False
        self._may_interrupt = False
        self._greenlet = gevent.getcurrent()
        self._watcher = None
        if sock is not None:
            self._descriptor = sock.fileno()
            self._watcher = gevent.get_hub().loop.io(self._descriptor, _READ)
            self._watcher.start(self._on_readable)

    @property
    def gone(self) -> bool:
        """Returns whether the caller has closed its connection."""
        return self._is_gone

    def node_stops(self) -> None:
        """Interrupts the request since the node stops."""
        self._is_stopping = True
        gevent.get_hub().loop.run_callback(self._interrupt_stopping)

    def stop(self) -> None:
        """Ends the watch; must be called before the socket is closed."""
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def __enter__(self) -> None:
        if self._is_gone:
            raise CallerGoneError
        if self._is_stopping:
            raise NodeStoppingError
        self._may_interrupt = True

    def __exit__(self, *_error: Any) -> None:
        self._may_interrupt = False

    def _interrupt_stopping(self) -> None:
        if self._may_interrupt:
            self._greenlet.throw(NodeStoppingError)

    def _on_readable(self) -> None:
        poll = _poll()
        poll.register(self._descriptor, select.POLLRDHUP)
        # Without a hang-up the socket is readable because of bytes of the next request. The watcher
        # is stopped in that case too, because the event loop would call it continuously.
        self._is_gone = bool(poll.poll(0))
        self.stop()
        if self._is_gone and self._may_interrupt:
            self._greenlet.throw(CallerGoneError)
