"""Lines of the decision log with values that JSON can't represent."""

import tempfile
import unittest

import orjson

from arbutustally_node.gateway.decision_log import DecisionLog
from tests.odd_values import ODD_VALUES


class OddLogLineTest(unittest.TestCase):
    """Guards against a task that ends because a line of the log can't be encoded."""

    def test_line_with_odd_values_is_written(self) -> None:
        with tempfile.TemporaryFile() as file:
            log = DecisionLog({"node": "n"}, file.fileno())
            for value in (1 << 70, "\ud800", {1 << 70: 1}, b"\xff", ODD_VALUES["nested"]):
                log.line("odd", value=value)
            log.flush()
            file.seek(0)
            lines = [orjson.loads(line) for line in file]
        self.assertEqual([line["event"] for line in lines], ["odd"] * 5)
