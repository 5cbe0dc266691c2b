"""Prefix hashes: equal prefixes, and only these, have equal hashes; hashing long prompts yields."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.cache_index import prefix_anchors
from arbutustally.prefixes import SLICE_BYTES, split_levels


def chat(*texts: str) -> list[dict]:
    roles = ("system", "user", "assistant")
    return [
        {"role": roles[0] if not number else roles[1 + (number - 1) % 2], "content": text}
        for number, text in enumerate(texts)
    ]


class PrefixTest(unittest.TestCase):
    def test_next_turn_extends_chunks_of_the_turn_before(self) -> None:
        """Guards against a conversation missing the cached chunks of its own history."""
        first = split_levels(chat("g" * 9000, "h" * 9000))
        second = split_levels(chat("g" * 9000, "h" * 9000, "a" * 50, "q" * 50))
        self.assertEqual(second.chunks[: len(first.chunks)], first.chunks)
        self.assertEqual(second.levels[0], first.levels[0])

    def test_levels_are_guide_history_and_question(self) -> None:
        """Guards against a question that changes the hash of the history."""
        one = split_levels(chat("g" * 400, "h" * 400, "a" * 40, "first"))
        two = split_levels(chat("g" * 400, "h" * 400, "a" * 40, "other"))
        self.assertEqual(len(one.levels), 3)
        self.assertEqual(one.levels[:2], two.levels[:2])
        self.assertNotEqual(one.levels[2].hash, two.levels[2].hash)

    @given(st.text(max_size=30), st.text(max_size=30), st.integers(0, 30))
    def test_text_moved_between_fields_changes_the_hash(self, a: str, b: str, cut: int) -> None:
        """Guards against equal hashes of prompts whose texts agree but whose messages differ."""
        left, right = (a + b)[:cut], (a + b)[cut:]
        one, two = split_levels(chat(a, b)), split_levels(chat(left, right))
        self.assertEqual(one.levels[-1].hash == two.levels[-1].hash, (a, b) == (left, right))

    @given(st.lists(st.integers(0, 9000), min_size=1, max_size=4))
    def test_tokens_and_chunks_follow_size(self, sizes: list[int]) -> None:
        """Guards against levels that are lost or duplicated at chunk boundaries."""
        shape = split_levels(chat(*("x" * size for size in sizes)))
        tokens = [level.tokens for level in shape.levels]
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertEqual(tokens[-1], shape.total_tokens)
        self.assertLessEqual(len(shape.chunks), shape.total_tokens // 1000)

    def test_long_prompt_yields_between_slices(self) -> None:
        """Guards against one 400 KB prompt blocking all other greenlets of the node."""
        pauses: list[int] = []
        shape = split_levels(chat("x" * 400_000, "q"), lambda: pauses.append(1))
        self.assertGreaterEqual(len(pauses), 400_000 // SLICE_BYTES)
        self.assertEqual(shape, split_levels(chat("x" * 400_000, "q")))

    def test_anchors_of_long_prompt_are_few_and_close(self) -> None:
        """Guards against one long prompt filling the index, and against missing long prefixes."""
        found = prefix_anchors(split_levels("x" * 400_000))
        lengths = sorted(anchor.tokens for anchor in found)
        self.assertLess(len(lengths), 60)
        for before, after in zip(lengths, lengths[1:], strict=False):
            self.assertLessEqual(after - before, max(1000, after / 8))
