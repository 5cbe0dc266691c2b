"""The peer protocol accepts only the next frame of an authenticated peer."""

import unittest
from itertools import count

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from arbutustally.cbor_bounds import MAX_ITEMS
from arbutustally.errors import PeerRejectedError
from arbutustally.peer_channel import MAX_HANDSHAKE_BYTES, Handshake, SecureChannel
from arbutustally.peer_protocol import (
    MAX_FRAME_BYTES,
    Call,
    Challenge,
    Event,
    Events,
    Failure,
    Hello,
    Message,
    Proof,
    Reply,
    decode,
    encode,
)

OLD, NEW, OTHER = "old-secret-0123456789", "new-secret-0123456789", "other-secret-01234567"
_nonces = count()

scalars = st.none() | st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.text() | st.binary()
payloads = st.recursive(
    scalars | st.floats(allow_nan=False),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
numbers = st.integers(0, 2**62)
events = st.builds(Event, st.text(), st.text(), numbers, st.text(), payloads)
messages = st.one_of(
    st.builds(Call, numbers, st.text(), payloads),
    st.builds(Reply, numbers, payloads),
    st.builds(Failure, numbers, st.text(), st.text(), st.text(), st.none() | st.floats(0, 9)),
    st.builds(Events, st.lists(events, max_size=4).map(tuple)),
    st.builds(Hello, numbers, st.text(), st.text(), st.binary()),
    st.builds(Challenge, st.text(), st.text(), st.binary(), st.lists(st.binary()).map(tuple)),
    st.builds(Proof, st.binary()),
)


def nonce(size: int) -> bytes:
    return next(_nonces).to_bytes(size, "big")


def node(name: str, secret: str, previous: str = "") -> Handshake:
    return Handshake.from_config(name, "1", secret, previous, nonce)


def link(a: Handshake, b: Handshake, b_name: str = "b") -> tuple[SecureChannel, SecureChannel]:
    proof, channel = a.prove(b.challenge(a.hello()), b_name)
    return channel, b.finish(proof)


def channels() -> tuple[SecureChannel, SecureChannel]:
    return link(node("a", NEW), node("b", NEW))


class CodecTest(unittest.TestCase):
    @given(messages)
    def test_messages_survive_the_wire(self, message: Message) -> None:
        """Guards against a field that is lost or changes its type in transit."""
        self.assertEqual(decode(encode(message)), message)

    @given(st.binary(max_size=200))
    def test_random_bytes_are_refused_or_decoded(self, data: bytes) -> None:
        """Guards against exceptions other than the typed one."""
        try:
            decode(data)
        except PeerRejectedError:
            return

    @given(messages, st.data())
    def test_altered_messages_are_refused_or_decoded(
        self, message: Message, data: st.DataObject
    ) -> None:
        """Guards against an untyped exception from a message that is almost well formed."""
        encoded = bytearray(encode(message))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] ^= data.draw(st.integers(1, 255))
        try:
            decode(bytes(encoded))
        except PeerRejectedError:
            return

    def test_hostile_lengths_are_refused_before_decoding(self) -> None:
        """Guards against a few bytes that make the decoder allocate memory or recurse."""
        hostile = {
            "string of 2^63 bytes": b"\x82\x07\x5b" + b"\x7f" + b"\xff" * 7,
            "list of 2^63 items": b"\x82\x07\x9b" + b"\x7f" + b"\xff" * 7,
            "map of 2^31 items": b"\x82\x07\xba\x7f\xff\xff\xff",
            "deep nesting": b"\x82\x07" + b"\x81" * 500 + b"\x00",
            "indefinite list": b"\x82\x07\x9f\xff",
            "bignum tag": b"\x83\x05\x00\xc2\x41\x01",
            "too many items": encode_list(MAX_ITEMS + 1),
            "too long": bytes(MAX_FRAME_BYTES + 1),
            "trailing bytes": encode(Proof(b"")) + b"\x00",
            "empty": b"",
        }
        for name, data in hostile.items():
            with self.subTest(name), self.assertRaises(PeerRejectedError):
                decode(data)


def encode_list(items: int) -> bytes:
    return cbor2.dumps([5, 0, [0] * items])


class ChannelTest(unittest.TestCase):
    @given(st.binary(max_size=300), st.data())
    def test_one_changed_bit_is_refused(self, payload: bytes, data: st.DataObject) -> None:
        """Guards against altered frames."""
        sender, receiver = channels()
        frame = bytearray(sender.seal(payload))
        bit = data.draw(st.integers(0, len(frame) * 8 - 1))
        frame[bit // 8] ^= 1 << bit % 8
        with self.assertRaises(PeerRejectedError):
            receiver.open(bytes(frame))

    @given(st.binary(max_size=300), st.data())
    def test_truncated_frame_is_refused(self, payload: bytes, data: st.DataObject) -> None:
        """Guards against frames cut at any point."""
        sender, receiver = channels()
        frame = sender.seal(payload)
        with self.assertRaises(PeerRejectedError):
            receiver.open(frame[: data.draw(st.integers(0, len(frame) - 1))])

    @given(st.lists(st.binary(max_size=20), min_size=2, max_size=6), st.data())
    def test_any_order_but_the_sent_one_is_refused(
        self, payloads_sent: list[bytes], data: st.DataObject
    ) -> None:
        """Guards against replayed, reordered and dropped frames."""
        sender, receiver = channels()
        frames = [sender.seal(payload) for payload in payloads_sent]
        indexes = st.lists(st.integers(0, len(frames) - 1), min_size=1, max_size=8)
        for expected, index in enumerate(data.draw(indexes)):
            if index == expected:
                self.assertEqual(receiver.open(frames[index]), payloads_sent[index])
                continue
            with self.assertRaises(PeerRejectedError):
                receiver.open(frames[index])
            return

    def test_own_frame_reflected_is_refused(self) -> None:
        """Guards against the same key for both directions."""
        sender, _ = channels()
        with self.assertRaises(PeerRejectedError):
            sender.open(sender.seal(b"x"))

    def test_frame_of_another_link_is_refused(self) -> None:
        """Guards against session keys that do not depend on the nonces."""
        first, _ = channels()
        _, second = channels()
        with self.assertRaises(PeerRejectedError):
            second.open(first.seal(b"x"))

    def test_oversized_frame_is_refused_before_its_mac_is_computed(self) -> None:
        """Guards against unbounded work for a hostile frame."""
        _, receiver = channels()
        with self.assertRaisesRegex(PeerRejectedError, "length"):
            receiver.open(bytes(MAX_FRAME_BYTES + 1))


class HandshakeTest(unittest.TestCase):
    def test_wrong_secret_is_refused_by_both_ends(self) -> None:
        """Guards against a node of another fleet."""

        def fixed(name: str, secret: str) -> Handshake:
            # With equal nonces, the two proofs differ only by the secret.
            return Handshake.from_config(name, "1", secret, "", bytes)

        dialling, listening = fixed("a", OTHER), fixed("b", NEW)
        challenge = listening.challenge(dialling.hello())
        with self.assertRaises(PeerRejectedError):
            dialling.prove(challenge, "b")
        forged, _ = dialling.prove(fixed("b", OTHER).challenge(dialling.hello()), "b")
        with self.assertRaises(PeerRejectedError):
            listening.finish(forged)

    def test_rotation_keeps_every_pair_connected(self) -> None:
        """Guards against an outage between any two consecutive steps of a rotation."""
        steps = [(OLD, ""), (OLD, NEW), (NEW, OLD), (NEW, "")]
        for first, second in zip(steps, steps[1:], strict=False):
            for one, other in ((first, first), (first, second), (second, first)):
                with self.subTest(one=steps.index(one), other=steps.index(other)):
                    a, b = link(node("a", *one), node("b", *other))
                    self.assertEqual(b.open(a.seal(b"x")), b"x")
        # Restarting each node once with (new, old) also keeps every pair connected.
        link(node("a", OLD), node("b", NEW, OLD))
        link(node("a", NEW, OLD), node("b", OLD))

    def test_withdrawn_secret_is_refused(self) -> None:
        """Guards against accepting the old secret after the rotation."""
        with self.assertRaises(PeerRejectedError):
            link(node("a", OLD), node("b", NEW))

    def test_another_node_cannot_answer(self) -> None:
        """Guards against a link whose other end is not the dialled node."""
        with self.assertRaisesRegex(PeerRejectedError, "answered for"):
            link(node("a", NEW), node("c", NEW), "b")

    def test_proof_is_bound_to_both_nodes_and_nonces(self) -> None:
        """Guards against a proof replayed to another node or by another node."""
        dialling = node("a", NEW)
        listening = node("b", NEW)
        proof, _ = dialling.prove(listening.challenge(dialling.hello()), "b")
        for replayed_to in (node("b", NEW), node("c", NEW)):
            replayed_to.challenge(dialling.hello())
            with self.assertRaises(PeerRejectedError):
                replayed_to.finish(proof)
        listening = node("b", NEW)
        listening.challenge(node("d", NEW).hello())
        with self.assertRaises(PeerRejectedError):
            listening.finish(proof)

    def test_own_handshake_reflected_is_refused(self) -> None:
        """Guards against a reflected handshake that authenticates a node to itself."""
        dialling = node("a", NEW)
        with self.assertRaises(PeerRejectedError):
            node("a", NEW).challenge(dialling.hello())

    def test_long_and_unexpected_handshake_messages_are_refused(self) -> None:
        """Guards against memory held for unauthenticated peers, and against skipped steps."""
        for data in (bytes(MAX_HANDSHAKE_BYTES + 1), encode(Events(())), encode(Proof(b""))):
            with self.assertRaises(PeerRejectedError):
                node("b", NEW).challenge(data)
        with self.assertRaises(PeerRejectedError):
            node("b", NEW).finish(encode(Proof(bytes(32))))

    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_altered_handshake_fails(self, position: int, mask: int) -> None:
        """Guards against a handshake byte that the proofs do not cover."""
        a, b = node("a", NEW), node("b", NEW)
        steps = [a.hello()]
        steps[0] = alter(steps[0], position, mask, 0)
        try:
            challenge = b.challenge(steps[0])
            proof, first = a.prove(alter(challenge, position, mask, 1), "b")
            second = b.finish(alter(proof, position, mask, 2))
        except PeerRejectedError:
            return
        self.fail(f"altered handshake was accepted: {first} {second}")


def alter(data: bytes, position: int, mask: int, step: int) -> bytes:
    """Changes one byte of one of the three handshake messages."""
    if position % 3 != step:
        return data
    changed = bytearray(data)
    changed[position // 3 % len(data)] ^= mask
    return bytes(changed)
