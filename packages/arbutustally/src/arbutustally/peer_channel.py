"""Authentication of a peer link: its handshake and its sealed frames.

A frame is ``sequence (8 bytes) | message | MAC (16 bytes)``. The MAC is checked before the
message is decoded, and the sequence has no gaps, so a replayed, reordered, truncated or altered
frame closes the link.
"""

import hashlib
import hmac
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import cbor2

from arbutustally.cbor_bounds import rejected
from arbutustally.peer_protocol import (
    FRAME_OVERHEAD_BYTES,
    MAC_BYTES,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    SEQUENCE_BYTES,
    Challenge,
    Hello,
    Proof,
    decode,
    encode,
)

#: Largest message before authentication in bytes; bounds the memory an unauthenticated peer takes.
MAX_HANDSHAKE_BYTES = 1024
NONCE_BYTES = 32


class SecureChannel:
    """Seals and opens the frames of one link.

    :param send_key: MAC key of this direction.
    :param receive_key: MAC key of the other direction.
    """

    def __init__(self, send_key: bytes, receive_key: bytes) -> None:
        self._send_mac = hmac.new(send_key, digestmod=hashlib.sha256)
        self._receive_mac = hmac.new(receive_key, digestmod=hashlib.sha256)
        self._sent = 0
        self._received = 0

    @property
    def received(self) -> int:
        """Returns the number of accepted frames."""
        return self._received

    def seal(self, payload: bytes) -> bytes:
        """Returns the next frame; frames must be sent in the order in which they were sealed."""
        body = self._sent.to_bytes(SEQUENCE_BYTES, "big") + payload
        self._sent += 1
        return body + _mac(self._send_mac, body)

    def open(self, frame: bytes) -> bytes:
        """Returns the payload of the next frame.

        :raises PeerRejectedError: if the frame is too short, too long, altered or out of sequence.
        """
        if not FRAME_OVERHEAD_BYTES <= len(frame) <= MAX_FRAME_BYTES:
            raise rejected(f"a peer frame has a length of {len(frame)} bytes")
        body, mac = frame[:-MAC_BYTES], frame[-MAC_BYTES:]
        if not hmac.compare_digest(mac, _mac(self._receive_mac, body)):
            raise rejected("a peer frame has a wrong MAC")
        if int.from_bytes(body[:SEQUENCE_BYTES], "big") != self._received:
            raise rejected("a peer frame is out of sequence")
        self._received += 1
        return body[SEQUENCE_BYTES:]


def _mac(keyed: Any, body: bytes) -> bytes:
    # Copying the keyed state avoids the key schedule for every frame.
    state = keyed.copy()
    state.update(body)
    return state.digest()[:MAC_BYTES]


@dataclass(frozen=True)
class Identity:
    """The authenticated other end of a link."""

    node_id: str
    incarnation: str


class Handshake:
    """One run of the mutual challenge-response, for either end; used once.

    The dialling node calls ``hello`` and ``prove``, the listening node ``challenge`` and
    ``finish``. Each HMAC covers the role, both identities and both nonces.

    :param identity: this node.
    :param secrets: accepted fleet secrets, current one first.
    """

    def __init__(
        self, identity: Identity, secrets: tuple[bytes, ...], random: Callable[[int], bytes]
    ) -> None:
        self._identity = identity
        self._secrets = secrets
        self._nonce = random(NONCE_BYTES)
        self._transcript: list[Any] = []
        self._peer: Identity | None = None

    @classmethod
    def from_config(
        cls,
        node_id: str,
        incarnation: str,
        secret: str,
        previous: str = "",
        random: Callable[[int], bytes] = os.urandom,
    ) -> "Handshake":
        """Builds one end; an empty ``previous`` accepts only the current secret."""
        secrets = tuple(text.encode() for text in (secret, previous) if text)
        return cls(Identity(node_id, incarnation), secrets, random)

    @property
    def peer(self) -> Identity:
        """Returns the other end; valid after ``prove`` or ``finish`` has returned."""
        if self._peer is None:
            raise rejected("the peer has not proved its identity")
        return self._peer

    def hello(self) -> bytes:
        """Returns the first message of the dialling node."""
        return encode(
            Hello(PROTOCOL_VERSION, self._identity.node_id, self._identity.incarnation, self._nonce)
        )

    def challenge(self, data: bytes) -> bytes:
        """Returns the listening node's response to a hello.

        :raises PeerRejectedError: if the hello is malformed, of another version, or our own.
        """
        hello = _expect(Hello, data)
        if hello.version != PROTOCOL_VERSION:
            raise rejected(f"the peer uses protocol version {hello.version}")
        peer = Identity(hello.node_id, hello.incarnation)
        self._refuse_self(peer)
        self._transcript = _transcript(peer, self._identity, hello.nonce, self._nonce)
        proofs = tuple(_proof(secret, "listen", self._transcript) for secret in self._secrets)
        return encode(
            Challenge(self._identity.node_id, self._identity.incarnation, self._nonce, proofs)
        )

    def prove(self, data: bytes, expected_node_id: str) -> tuple[bytes, SecureChannel]:
        """Checks the challenge and returns the dialling node's proof and its channel.

        :raises PeerRejectedError: if another node responds or no secret is shared.
        """
        challenge = _expect(Challenge, data)
        peer = Identity(challenge.node_id, challenge.incarnation)
        self._refuse_self(peer)
        if peer.node_id != expected_node_id:
            raise rejected(f"node {peer.node_id!r} answered for {expected_node_id!r}")
        self._transcript = _transcript(self._identity, peer, self._nonce, challenge.nonce)
        for secret in self._secrets:
            expected = _proof(secret, "listen", self._transcript)
            if any(hmac.compare_digest(expected, proof) for proof in challenge.proofs):
                self._peer = peer
                proof = encode(Proof(_proof(secret, "dial", self._transcript)))
                return proof, self._channel(secret, "dial", "listen")
        raise rejected("the peer shares no secret with this node")

    def finish(self, data: bytes) -> SecureChannel:
        """Checks the proof and returns the listening node's channel.

        :raises PeerRejectedError: if the proof matches none of the accepted secrets.
        """
        proof = _expect(Proof, data)
        if not self._transcript:
            raise rejected("the peer sent a proof before the hello")
        for secret in self._secrets:
            if hmac.compare_digest(_proof(secret, "dial", self._transcript), proof.proof):
                self._peer = Identity(self._transcript[0], self._transcript[1])
                return self._channel(secret, "listen", "dial")
        raise rejected("the peer shares no secret with this node")

    def _refuse_self(self, peer: Identity) -> None:
        # A reflected handshake would otherwise authenticate this node to itself.
        if peer.node_id == self._identity.node_id:
            raise rejected("the peer uses this node's own id")

    def _channel(self, secret: bytes, own_role: str, peer_role: str) -> SecureChannel:
        return SecureChannel(
            _proof(secret, "key " + own_role, self._transcript),
            _proof(secret, "key " + peer_role, self._transcript),
        )


def _expect(cls: type, data: bytes) -> Any:
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise rejected(f"a handshake message has {len(data)} bytes")
    message = decode(data)
    if type(message) is not cls:
        raise rejected(f"expected {cls.__name__} in the handshake")
    if isinstance(message, Hello | Challenge) and len(message.nonce) != NONCE_BYTES:
        raise rejected("a handshake nonce has a wrong length")
    return message


def _transcript(
    dialling: Identity, listening: Identity, dialling_nonce: bytes, listening_nonce: bytes
) -> list[Any]:
    return [
        dialling.node_id,
        dialling.incarnation,
        listening.node_id,
        listening.incarnation,
        dialling_nonce,
        listening_nonce,
    ]


def _proof(secret: bytes, label: str, transcript: list[Any]) -> bytes:
    return hmac.new(secret, cbor2.dumps([label, *transcript]), hashlib.sha256).digest()
