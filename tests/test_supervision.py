"""Tasks of a node are restarted after an unexpected error."""

import gevent

from arbutustally_node.gateway.supervision import supervise
from tests.gateway_fleet import GatewayCase


class Log:
    """Records decision log lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def line(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))


class SupervisionTest(GatewayCase):
    def test_task_is_started_again_and_its_error_is_logged(self) -> None:
        log, runs = Log(), []

        def task() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise ValueError("unexpected error")

        supervise(log, "task", task).join(timeout=5.0)
        self.assertEqual(len(runs), 3)
        self.assertEqual([event for event, _fields in log.lines], ["fault", "fault"])
        self.assertIn("unexpected error", log.lines[0][1]["error"])

    def test_error_in_one_message_does_not_stop_receiving(self) -> None:
        """Guards against a node that stops receiving state after one bad message."""
        first, second = self.start_nodes(2)
        self.eventually(lambda: len(first._gossip.present) == 1)
        take = first._gossip._on_state

        def fail_once(*_arguments: object) -> None:
            first._gossip._on_state = take
            raise KeyError("unexpected error")

        first._gossip._on_state = fail_once
        self.eventually(lambda: first._gossip._on_state is take)
        second._services.state.quota._admitted["school"] = 70.0
        self.eventually(lambda: "school" in str(first._services.state.quota._last_reports), 3.0)

    def test_error_in_one_task_leaves_the_others(self) -> None:
        node = self.start_node()
        self.wait_ready(node)
        node._endpoints._read = lambda: 1 / 0
        gevent.sleep(0.5)
        self.assertEqual(self.call(node, "/look/a", "r1").status, 200)
