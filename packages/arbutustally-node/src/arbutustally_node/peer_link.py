"""An authenticated link to a peer: handshake, frames, calls and heartbeats."""

import logging
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.pool import Pool
from gevent.queue import Empty, Full, Queue
from websockets.exceptions import WebSocketException
from websockets.sync.connection import Connection

from arbutustally.errors import PeerRejectedError, PeerUnavailableError, Ran, RouterError
from arbutustally.logs import get_logger
from arbutustally.peer_channel import MAX_HANDSHAKE_BYTES, Handshake, Identity, SecureChannel
from arbutustally.peer_protocol import (
    MAX_FRAME_BYTES,
    Call,
    Events,
    Failure,
    Message,
    Reply,
    decode,
    encode,
)

#: Timeout of each step of the handshake, seconds.
HANDSHAKE_TIMEOUT_S = 3.0
#: An empty frame is sent on a link after this long without another frame, seconds.
HEARTBEAT_S = 2.0
#: A link on which nothing arrived for this long is closed, seconds; three heartbeats.
RECEIVE_TIMEOUT_S = 6.0
#: Maximum number of frames queued for a slow peer; beyond that the link is closed.
MAX_QUEUED_FRAMES = 256
#: Calls of one peer handled concurrently; beyond that reading from the link blocks.
MAX_CONCURRENT_CALLS = 64

Handler = Callable[[str, Any], Any]

_log = get_logger("peers")
# The library logs a traceback for every stray connection; this module logs typed errors instead.
_library_log = logging.getLogger("arbutustally.peers.websockets")
_library_log.addHandler(logging.NullHandler())
_library_log.propagate = False
#: ``max_size`` applies until the peer is authenticated; larger frames are accepted afterwards.
WEBSOCKET_OPTIONS: dict[str, Any] = {
    "close_timeout": 1.0,
    "ping_interval": None,
    "compression": None,
    "max_size": MAX_HANDSHAKE_BYTES,
    "logger": _library_log,
}


def _error_classes(base: type[RouterError]) -> dict[str, type[RouterError]]:
    classes = {}
    for cls in base.__subclasses__():
        classes[cls.code] = cls
        classes.update(_error_classes(cls))
    return classes


def to_error(failure: Failure) -> RouterError:
    """Returns the typed error for a failure that a peer reported."""
    cls = _error_classes(RouterError).get(failure.code, PeerUnavailableError)
    try:
        ran = Ran(failure.ran)
    except ValueError:
        ran = Ran.MAY_HAVE_RUN
    return cls(failure.message, ran=ran, retry_after_s=failure.retry_after_s)


def dial_handshake(
    connection: Connection, handshake: Handshake, expected_node_id: str
) -> tuple[Identity, SecureChannel]:
    """Runs the handshake of the dialling end.

    :raises PeerRejectedError: if the other end fails to prove that it is the expected node.
    """
    connection.send(handshake.hello())
    proof, channel = handshake.prove(_receive_step(connection), expected_node_id)
    connection.protocol.max_message_size = MAX_FRAME_BYTES
    connection.send(proof)
    # The listener sends its first frame once it has accepted the proof and accepts large frames.
    channel.open(_receive_step(connection))
    return handshake.peer, channel


def listen_handshake(
    connection: Connection, handshake: Handshake
) -> tuple[Identity, SecureChannel]:
    """Runs the handshake of the listening end.

    :raises PeerRejectedError: if the other end fails to prove that it has the fleet secret.
    """
    connection.send(handshake.challenge(_receive_step(connection)))
    channel = handshake.finish(_receive_step(connection))
    connection.protocol.max_message_size = MAX_FRAME_BYTES
    connection.send(channel.seal(encode(Events(()))))
    return handshake.peer, channel


def _receive_step(connection: Connection) -> bytes:
    try:
        data = connection.recv(timeout=HANDSHAKE_TIMEOUT_S)
    except TimeoutError:
        raise PeerRejectedError(
            f"a peer sent no handshake message in {HANDSHAKE_TIMEOUT_S} s; check its load"
        ) from None
    if not isinstance(data, bytes):
        raise PeerRejectedError(
            "a peer sent a text frame in the handshake; check which program connects to this port"
        )
    return data


class PeerLink:
    """A link to an authenticated peer.

    :param peer: the other end.
    :param on_events: called with this link and each received ``Events``.
    :param handlers: functions that answer calls, by method.
    """

    def __init__(
        self,
        connection: Connection,
        peer: Identity,
        channel: SecureChannel,
        handlers: dict[str, Handler],
        on_events: Callable[["PeerLink", Events], None],
    ) -> None:
        self._connection = connection
        self._peer = peer
        self._channel = channel
        self._handlers = handlers
        self._on_events = on_events
        self._queue: Queue = Queue(MAX_QUEUED_FRAMES)
        self._calls: dict[int, AsyncResult] = {}
        self._call_ids = count()
        self._workers = Pool(MAX_CONCURRENT_CALLS)
        self._closed = False
        #: Node that opened the link.
        self.dialler = ""
        self.sent_bytes = 0
        self.sent_frames = 0

    @property
    def peer(self) -> Identity:
        """Returns the authenticated other end."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Returns whether the link is closed."""
        return self._closed

    def run(self) -> None:
        """Receives messages until the link ends, in the greenlet of the caller.

        :raises PeerRejectedError: if the peer violated the protocol; the link is then closed.
        """
        writer = gevent.spawn(self._write)
        try:
            while not self._closed:
                frame = self._connection.recv(timeout=RECEIVE_TIMEOUT_S)
                if not isinstance(frame, bytes):
                    raise PeerRejectedError("a peer sent a text frame; upgrade the older node")
                self._dispatch(decode(self._channel.open(frame)))
        except TimeoutError:
            _log.warning(
                "peer link timed out", peer=self._peer.node_id, silence_s=RECEIVE_TIMEOUT_S
            )
        except (WebSocketException, OSError):
            pass
        finally:
            self.close()
            writer.kill(block=False)

    def post(self, data: bytes) -> None:
        """Queues an encoded message without blocking; closes the link if the queue is full."""
        if self._closed:
            return
        try:
            self._queue.put_nowait(data)
        except Full:
            _log.warning("peer link too slow", peer=self._peer.node_id, frames=MAX_QUEUED_FRAMES)
            self.close()

    def call(self, method: str, payload: Any, timeout_s: float) -> Any:
        """Sends a call and waits for its reply.

        :raises PeerUnavailableError: if the link ends or no reply arrives in time.
        :raises RouterError: the typed error that the peer's handler raised.
        """
        call_id = next(self._call_ids)
        result: AsyncResult = AsyncResult()
        self._calls[call_id] = result
        try:
            self.post(encode(Call(call_id, method, payload)))
            if self._closed:
                raise self._unavailable("the link is closed", Ran.NOT_RUN)
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise self._unavailable(f"no reply in {timeout_s} s", Ran.MAY_HAVE_RUN) from None
        finally:
            del self._calls[call_id]

    def close(self) -> None:
        """Closes the link and fails its pending calls."""
        if self._closed:
            return
        self._closed = True
        error = self._unavailable("the link was closed", Ran.MAY_HAVE_RUN)
        for result in list(self._calls.values()):
            result.set_exception(error)
        gevent.spawn(_close_quietly, self._connection)

    def _unavailable(self, detail: str, ran: Ran) -> PeerUnavailableError:
        return PeerUnavailableError(
            f"peer {self._peer.node_id} is unavailable ({detail}); retry or use another node",
            ran=ran,
            retry_after_s=1.0,
        )

    def _write(self) -> None:
        heartbeat = encode(Events(()))
        try:
            while not self._closed:
                try:
                    data = self._queue.get(timeout=HEARTBEAT_S)
                except Empty:
                    data = heartbeat
                frame = self._channel.seal(data)
                self.sent_bytes += len(frame)
                self.sent_frames += 1
                self._connection.send(frame)
        except (WebSocketException, OSError):
            self.close()

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, Events):
            self._on_events(self, message)
        elif isinstance(message, Call):
            self._workers.spawn(self._answer, message)
        elif isinstance(message, Reply):
            self._resolve(message.call_id, lambda result: result.set(message.payload))
        elif isinstance(message, Failure):
            self._resolve(message.call_id, lambda result: result.set_exception(to_error(message)))
        else:
            raise PeerRejectedError(
                "a peer sent a handshake message after the handshake; restart the peer"
            )

    def _resolve(self, call_id: int, finish: Callable[[AsyncResult], None]) -> None:
        # A reply that arrives after its call has timed out is dropped.
        result = self._calls.get(call_id)
        if result is not None:
            finish(result)

    def _answer(self, call: Call) -> None:
        try:
            handler = self._handlers.get(call.method)
            if handler is None:
                raise PeerUnavailableError(
                    f"node has no handler for {call.method}; upgrade the older node"
                )
            answer = encode(Reply(call.call_id, handler(self._peer.node_id, call.payload)))
        except RouterError as error:
            answer = encode(_failure(call.call_id, error))
        except Exception as error:  # noqa: BLE001 an error in a handler must not end the link
            _log.error("peer call failed", method=call.method, error=type(error).__name__)
            text = f"the call {call.method} failed; see the log of the peer"
            failed = PeerUnavailableError(text, ran=Ran.MAY_HAVE_RUN)
            answer = encode(_failure(call.call_id, failed))
        self.post(answer)


def _failure(call_id: int, error: RouterError) -> Failure:
    return Failure(call_id, error.code, error.message, error.ran.value, error.retry_after_s)


def _close_quietly(connection: Connection) -> None:
    with suppress(WebSocketException, OSError):
        connection.close()
