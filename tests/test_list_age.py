"""Age of an endpoints' list whose answers are held up on their way from the store."""

import unittest
from random import Random

from arbutustally_node.gateway.ports import Batch
from tests.return_world import World

#: Time for which an answer of the store is held up on a node's link, seconds.
HELD_UP_S = 1.2


class HeldUpAnswerTest(unittest.TestCase):
    """Guards against nodes that rely on a list that is older than its reader tells them."""

    def setUp(self) -> None:
        self.world = World(Random(1))
        self.world.run(2.0)
        self.reader = next(node for node in self.world.nodes if node.endpoints.is_reader)

    def hold_up_answers(self) -> None:
        topic = self.reader.endpoints._topic
        answer = topic.since

        def since(offset: int, wait_s: float) -> Batch:
            batch = answer(offset, wait_s)
            self.world.clock.advance(HELD_UP_S)
            return batch

        topic.since = since

    def test_list_is_as_old_as_the_request_for_it(self) -> None:
        self.hold_up_answers()
        self.world.write_heartbeats()
        self.reader.endpoints.read_once()
        self.assertGreaterEqual(self.reader.endpoints.list_age_s, HELD_UP_S)
        updates = self.reader.endpoints.updates()
        self.assertTrue(updates is None or updates.age_s >= HELD_UP_S)

    def test_empty_answer_shows_that_the_wait_passed_without_a_record(self) -> None:
        self.world.clock.advance(0.5)
        self.reader.endpoints.read_once()
        self.reader.endpoints.read_once()
        self.assertLessEqual(self.reader.endpoints.list_age_s, 0.0)
