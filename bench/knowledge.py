"""Cost and age of what nodes know of each other, by size of the fleet, on a virtual clock.

Compares relays with the manner in which each node tells each other node, whose interval grows with
the fleet so that a node sends at most about 100 datagrams a second.
"""

import argparse
import csv
import sys
from dataclasses import astuple, dataclass, fields

from arbutustally_node.gateway.gossip import DIRECT_INTERVAL_S, INTERVAL_PER_PEER_S
from bench.fleet_world import FleetWorld

SIZES = (8, 16, 60, 195, 480, 1000)
#: Longest time for which a fleet is given to find together, seconds.
MAX_START_S = 10.0
STEP_S = 0.1


@dataclass(frozen=True)
class Row:
    """One size of the fleet.

    :ivar together_s: time until every node knows every other after all start at once.
    :ivar age_ms: mean age of what a node knows of its peers' load.
    :ivar received_s: datagrams that a node receives in a second; the most of any node.
    :ivar sent_kb_s: kilobytes that a node sends in a second; the most of any node.
    :ivar zone_kb_s: kilobytes between zones in a second, all nodes together.
    :ivar mesh_age_ms: the age if each node tells each other node.
    """

    nodes: int
    relays: int
    together_s: float
    age_ms: float
    worst_age_ms: float
    received_s: float
    most_received_s: float
    sent_kb_s: float
    most_sent_kb_s: float
    zone_kb_s: float
    mesh_age_ms: float
    mesh_received_s: float


def measure(nodes: int, seconds: float, seed: int) -> Row:
    """Plays one fleet from its start."""
    world = FleetWorld(nodes, seed=seed)
    began = world.clock()
    while any(len(node.table.present) < nodes - 1 for node in world.nodes):
        world.run(STEP_S)
        if world.clock() - began > MAX_START_S:
            break
    together_s = world.clock() - began
    # Nodes that change to another relay count twice for a moment.
    world.run(3.0)
    for counter in (world.sent, world.received, world.sent_bytes):
        counter.clear()
    world.zone_bytes = 0
    world.counts_bytes = True
    ages = []
    for _ in range(round(seconds / STEP_S)):
        world.run(STEP_S)
        ages += [world.age_s(node) for node in world.nodes]
    mesh_s = DIRECT_INTERVAL_S + INTERVAL_PER_PEER_S * max(0, nodes - 11)
    return Row(
        nodes,
        sum(node.table.is_relay for node in world.nodes),
        round(together_s, 1),
        round(1000 * sum(ages) / len(ages)),
        round(1000 * max(ages)),
        round(world.received.total() / nodes / seconds, 1),
        round(max(world.received.values()) / seconds, 1),
        round(world.sent_bytes.total() / nodes / seconds / 1000, 1),
        round(max(world.sent_bytes.values()) / seconds / 1000, 1),
        round(world.zone_bytes / seconds / 1000, 1),
        round(1000 * mesh_s / 2),
        round((nodes - 1) / mesh_s, 1),
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=SIZES, help="sizes of the fleet")
    parser.add_argument("--seconds", type=float, default=3.0, help="time measured, seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--csv", help="file that gets the rows")
    arguments = parser.parse_args()
    rows = []
    names = [field.name for field in fields(Row)]
    print(" | ".join(names))
    for nodes in arguments.nodes:
        rows.append(measure(nodes, arguments.seconds, arguments.seed))
        print(" | ".join(map(str, astuple(rows[-1]))), flush=True)
    if arguments.csv:
        with open(arguments.csv, "w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(names)
            writer.writerows(map(astuple, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
