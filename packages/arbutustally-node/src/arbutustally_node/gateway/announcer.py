"""Peer discovery through the platform's store, for nodes whose seeds do not answer."""

from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally_node.addresses import is_host_ip
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.gossip import Gossip
from arbutustally_node.gateway.ports import NodeTopic
from arbutustally_node.gateway.store_watch import StoreWatch
from arbutustally_node.gateway.supervision import supervise

#: Key of the ranking of nodes that decides which of them are announced.
ANNOUNCING_DUTY = b"announce"
#: Number of nodes that are announced; a new node needs to reach only one of them.
ANNOUNCED_NODES = 4
#: Time after the start until enough of the fleet is known to rank the nodes, seconds.
RANKING_DELAY_S = 4.0
#: Time after which a node that receives no messages reads the store, and interval at which it
#: reads it again, seconds.
NO_PEERS_S = 0.6
NO_PEERS_RETRY_S = 1.0
CHECK_INTERVAL_S = 0.2
#: Characters of a key in the log.
MAX_LOGGED_KEY = 100


class Announcer:
    """Writes the addresses of a few nodes into the store; nodes without peers read them from there.

    :param name: name of this node.
    :param address: address at which the other nodes reach it.
    """

    def __init__(
        self,
        topic: NodeTopic,
        gossip: Gossip,
        watch: StoreWatch,
        log: DecisionLog,
        clock: Clock,
        name: str,
        address: bytes,
    ) -> None:
        self._topic = topic
        self._gossip = gossip
        self._watch = watch
        self._log = log
        self._clock = clock
        self._name = name
        self._address = address
        self._is_announced = False
        self._may_be_lost = False
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts to check periodically whether this node must be announced or needs peers."""
        self._greenlet = supervise(self._log, "announcer", self._run)

    def stop(self) -> None:
        """Removes this node's record."""
        self._greenlet.kill()
        if not self._is_announced:
            return
        try:
            self._topic.announce(self._name, None)
        except StoreUnavailableError as error:
            self._log.line("announcement_not_removed", reason=error.message)

    def era_changed(self, _era: int) -> None:
        """Schedules another write of this node's record, which the store may have lost."""
        self._may_be_lost = self._is_announced

    def _run(self) -> None:
        started = self._clock()
        no_peers_since = started
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            now = self._clock()
            has_no_peers = not self._gossip.present
            if not has_no_peers:
                no_peers_since = now
            try:
                if has_no_peers and now - no_peers_since >= NO_PEERS_S:
                    no_peers_since = now + NO_PEERS_RETRY_S - NO_PEERS_S
                    self._announce()
                    self._discover_peers()
                elif now - started >= RANKING_DELAY_S and self._must_announce():
                    self._announce()
                if self._may_be_lost:
                    self._announce_again()
            except StoreUnavailableError as error:
                self._watch.failed(error)
                gevent.sleep(NO_PEERS_RETRY_S)

    def _must_announce(self) -> bool:
        return not self._is_announced and self._gossip.rank(ANNOUNCING_DUTY) < ANNOUNCED_NODES

    def _announce(self) -> None:
        if not self._is_announced:
            # The store may have written the record even if it does not confirm the write.
            self._is_announced = True
            self._topic.announce(self._name, self._address)

    def _announce_again(self) -> None:
        self._may_be_lost = False
        try:
            self._topic.announce(self._name, self._address)
        except StoreUnavailableError:
            self._may_be_lost = True
            raise
        self._log.line("announced_again")

    def _discover_peers(self) -> None:
        for record in self._topic.newest().records:
            if record.value is None:
                continue
            ip = record.value.decode("ascii", "replace")
            if is_host_ip(ip):
                self._gossip.add_candidate(ip)
            else:
                self._log.line("announcement_unreadable", key=record.key[:MAX_LOGGED_KEY])
