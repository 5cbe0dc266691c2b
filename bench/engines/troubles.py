"""Troubles of a scenario."""

from random import Random

from bench.engines.experiment import MS, Experiment, Trouble
from bench.engines.node import Node
from bench.engines.orders import Orders
from bench.engines.sites import Site

#: Time after which the list lacks an engine that says nothing any more, seconds.
UNLISTED_AFTER_S = 3.0


class Troubles:
    """Carries out troubles on a site.

    :param rng: draws the engines; equal for all policies.
    """

    def __init__(
        self, experiment: Experiment, site: Site, nodes: list[Node], orders: Orders, rng: Random
    ) -> None:
        self._site = site
        self._nodes = nodes
        self._orders = orders
        self._rng = rng
        self._age_s = experiment.nodes.knowledge_age_ms * MS
        self._actions = {
            "dark": self._dark,
            "crash": self._crash,
            "slow": self._slow,
            "leave": self._leave,
        }

    def plan(self, trouble: Trouble) -> None:
        """Schedules a trouble."""
        if trouble.kind == "weights":
            self._site.loop.at(trouble.at_s, self._orders.name)
            return
        names = list(self._site.engines)
        count = min(len(names), max(1, round(trouble.share * len(names))))
        for name in self._rng.sample(names, count):
            action = self._actions[trouble.kind]
            self._site.loop.at(trouble.at_s, lambda name=name, action=action: action(name, trouble))

    def _dark(self, name: str, trouble: Trouble) -> None:
        engine = self._site.engines[name]
        engine.go_dark()
        if trouble.for_s > UNLISTED_AFTER_S:
            self._site.loop.after(UNLISTED_AFTER_S, lambda: self._unlist(name))

        def end() -> None:
            engine.come_back()
            self._list(name)

        self._site.loop.after(trouble.for_s, end)

    def _crash(self, name: str, trouble: Trouble) -> None:
        engine = self._site.engines[name]
        engine.crash()
        if trouble.for_s > UNLISTED_AFTER_S:
            self._site.loop.after(UNLISTED_AFTER_S, lambda: self._unlist(name))

        def restart() -> None:
            engine.restart()
            self._list(name)

        self._site.loop.after(trouble.for_s, restart)

    def _slow(self, name: str, trouble: Trouble) -> None:
        engine = self._site.engines[name]
        engine.slow_factor = trouble.factor

        def recover() -> None:
            engine.slow_factor = 1.0

        self._site.loop.after(trouble.for_s, recover)

    def _leave(self, name: str, trouble: Trouble) -> None:
        entry = self._site.entry(name, is_leaving=True)
        for node in self._nodes:
            self._site.loop.after(self._age_s, lambda node=node: node.hear_entry(entry))
        self._site.loop.after(trouble.for_s, self._site.engines[name].crash)

    def _unlist(self, name: str) -> None:
        for node in self._nodes:
            node.book.remove(name)

    def _list(self, name: str) -> None:
        entry = self._site.entry(name)

        def hear(node: Node) -> None:
            node.hear_entry(entry)
            node.book.reachable(node.book.get(name))

        for node in self._nodes:
            self._site.loop.after(self._age_s, lambda node=node: hear(node))
