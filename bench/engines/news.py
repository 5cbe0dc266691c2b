"""What nodes tell each other, of a stated age.

Each node's state is noted at intervals of that age and heard half of it later, so that what nodes
know of each other is that old on average.
"""

from arbutustally.gateway.engine_speeds import add_works, subtract_works
from arbutustally.gateway.fleet_sums import add_loads, subtract_loads
from bench.engines.node import MODEL, Node
from bench.replay.loop import EventLoop


class News:
    """Exchange between all nodes.

    :param age_s: mean age of what is known.
    """

    def __init__(self, nodes: list[Node], loop: EventLoop, age_s: float, until: float) -> None:
        self._nodes = nodes
        self._loop = loop
        self._age_s = age_s
        self._until = until

    def start(self) -> None:
        """Begins the exchange."""
        self._loop.after(self._age_s, self._exchange)

    def _exchange(self) -> None:
        nodes = self._nodes
        loads = [node.loads() for node in nodes]
        admitted = [dict(node.quota.admitted) for node in nodes]
        works = [node.speeds.own() for node in nodes]
        told = [node.take_told() for node in nodes]
        weights = [self._weights_of(node) for node in nodes]
        down = [{state.id for state in node.book.all() if state.is_down} for node in nodes]
        all_loads, all_works = add_loads(loads), add_works(works)
        all_admitted = _sums(admitted)
        newest = _newest(weights)
        all_down = set().union(*down)

        def hear() -> None:
            for number, node in enumerate(nodes):
                node.hear_use(
                    subtract_loads(all_loads, loads[number]),
                    {
                        account: total - admitted[number].get(account, 0.0)
                        for account, total in all_admitted.items()
                    },
                    subtract_works(all_works, works[number]),
                )
                for other, entries in enumerate(told):
                    if other != number:
                        for entry in entries:
                            node.hear_parts(entry)
                for state in node.book.all():
                    node.learn_weights(state, newest.get(state.id, 0))
                    if state.id in all_down - down[number]:
                        node.book.unreachable(state)

        self._loop.after(self._age_s / 2, hear)
        if self._loop.clock() < self._until:
            self._loop.after(self._age_s, self._exchange)

    def _weights_of(self, node: Node) -> dict[str, int]:
        return {state.id: state.weights.get(MODEL, 0) for state in node.book.all()}


def _sums(tables: list[dict[str, float]]) -> dict[str, float]:
    total: dict[str, float] = {}
    for table in tables:
        for name, value in table.items():
            total[name] = total.get(name, 0.0) + value
    return total


def _newest(tables: list[dict[str, int]]) -> dict[str, int]:
    newest: dict[str, int] = {}
    for table in tables:
        for name, version in table.items():
            newest[name] = max(newest.get(name, 0), version)
    return newest
