"""Faults of the soak: each runs for a while; several overlap."""

import signal
from collections.abc import Callable
from contextlib import ExitStack
from random import Random

import gevent

from tests.soak.fleet import Backend, SoakFleet
from tests.soak.program import Program
from tests.soak.proxy import Harm
from tests.soak.rules import DRAIN_S, EVACUATE_S, VERSION_S
from tests.soak.spoils import Spoil, Spoiling

#: Longest time of one fault, seconds.
MAX_FAULT_S = 3.0
#: Longest silence of a sound worker, seconds; the pages allow about a second.
MAX_SILENCE_S = 2.0
#: Statuses with which the store refuses calls.
STORE_REFUSALS = (429, 500, 503)

Fault = Callable[[SoakFleet, Random], None]


def kill_node(fleet: SoakFleet, rng: Random) -> None:
    """Kills a node and starts it again."""
    _restart(_node(fleet, rng), signal.SIGKILL, rng)


def stop_node(fleet: SoakFleet, rng: Random) -> None:
    """Stops a node in an orderly way and starts it again."""
    _restart(_node(fleet, rng), signal.SIGTERM, rng)


def kill_all_nodes(fleet: SoakFleet, rng: Random) -> None:
    """Kills all nodes at once and starts them again."""
    for node in fleet.nodes.values():
        node.end()
    gevent.sleep(rng.uniform(0.0, 0.5))
    for node in fleet.nodes.values():
        node.start()


def freeze_node(fleet: SoakFleet, rng: Random) -> None:
    """Stops a node for a while without ending it."""
    _node(fleet, rng).freeze(rng.uniform(0.2, MAX_FAULT_S))


def reload_node(fleet: SoakFleet, rng: Random) -> None:
    """Tells a node that its settings file has changed."""
    _node(fleet, rng).send(signal.SIGHUP)


def harm_store_path(fleet: SoakFleet, rng: Random) -> None:
    """Harms one node's connections to the store."""
    proxy = rng.choice(list(fleet.stores.values()))
    _harm(proxy, rng)


def refuse_at_store(fleet: SoakFleet, rng: Random) -> None:
    """Makes the store refuse every call for a while."""
    fleet.set_store_status(rng.choice(STORE_REFUSALS))
    gevent.sleep(rng.uniform(0.3, MAX_FAULT_S))
    fleet.set_store_status(200)


def forget_history(fleet: SoakFleet, _rng: Random) -> None:
    """Makes the store forget its history."""
    fleet.forget_history()


def return_store(fleet: SoakFleet, rng: Random) -> None:
    """Lets the store come back from a copy, perhaps after it was away for a moment."""
    copy = fleet.copy_store()
    gevent.sleep(rng.uniform(0.2, MAX_FAULT_S))
    if rng.random() < 0.5:
        fleet.set_store_status(rng.choice(STORE_REFUSALS))
        gevent.sleep(rng.uniform(0.1, 0.8))
    fleet.return_store(copy, rng.randrange(1 << 16))
    fleet.set_store_status(200)


def harm_worker_path(fleet: SoakFleet, rng: Random) -> None:
    """Harms the connections to one worker."""
    _harm(_backend(fleet, rng).proxy, rng)


def kill_worker(fleet: SoakFleet, rng: Random) -> None:
    """Kills a worker and starts it again under its id."""
    backend = _backend(fleet, rng)
    backend.program.end()
    gevent.sleep(rng.uniform(0.0, 1.5))
    backend.restart()


def freeze_worker(fleet: SoakFleet, rng: Random) -> None:
    """Stops a worker for a while without ending it."""
    _backend(fleet, rng).program.freeze(rng.uniform(0.2, MAX_FAULT_S))


def drain_worker(fleet: SoakFleet, rng: Random) -> None:
    """Lists a worker as leaving, removes it, and lists it again."""
    backend = _backend(fleet, rng)
    backend.list("draining")
    gevent.sleep(rng.uniform(0.5, 1.5))
    backend.list(None)
    gevent.sleep(rng.uniform(0.0, 1.0))
    backend.list("ready")


def take_worker_out(fleet: SoakFleet, rng: Random) -> None:
    """Lists a worker as leaving, or removes it at once; it keeps serving and is listed later."""
    backend = _backend(fleet, rng)
    backend.list(rng.choice(("draining", None)))
    gevent.sleep(rng.uniform(2.5, 5.0))
    backend.list("ready")


def evacuate_zone(fleet: SoakFleet, rng: Random) -> None:
    """Evacuates the zone of one worker for a while."""
    _backend(fleet, rng).evacuate(rng.uniform(0.5, 2.0), rng.uniform(6.0, 9.0))


def cool_worker(fleet: SoakFleet, rng: Random) -> None:
    """Lists a worker as cold for a while."""
    _backend(fleet, rng).cool(rng.uniform(4.0, 8.0))


def silence_worker(fleet: SoakFleet, rng: Random) -> None:
    """Lets a sound worker fall silent."""
    _backend(fleet, rng).fall_silent(_silence_s(rng))


def silence_leaving(fleet: SoakFleet, rng: Random) -> None:
    """Lets a worker fall silent as it is listed as leaving, or before nothing new may reach it."""
    backend, silence_s = _backend(fleet, rng), _silence_s(rng)
    pause_s = rng.choice((0.0, DRAIN_S))
    # Nodes learn of the listing a moment later, and send requests until then.
    before_s = rng.uniform(0.0, silence_s) if pause_s else rng.uniform(-0.1, 0.3)
    if not pause_s:
        gevent.spawn_later(max(0.0, -before_s), backend.fall_silent, silence_s)
        gevent.sleep(max(0.0, before_s))
    backend.list(rng.choice(("draining", None)))
    if pause_s:
        gevent.sleep(pause_s - before_s)
        backend.fall_silent(silence_s)
    gevent.sleep(rng.uniform(2.5, 4.0))
    backend.list("ready")


def silence_outdated(fleet: SoakFleet, rng: Random) -> None:
    """Lets an engine keep its weights and fall silent before nothing may begin on them."""
    backend, silence_s = rng.choice([one for one in fleet.backends if one.model]), _silence_s(rng)
    backend.ignore_orders()
    fleet.name_weights()
    before_s = rng.uniform(0.0, silence_s)
    gevent.sleep(VERSION_S - before_s)
    backend.fall_silent(silence_s)
    gevent.sleep(rng.uniform(0.0, 1.0))
    backend.obey_orders()


def silence_evacuated(fleet: SoakFleet, rng: Random) -> None:
    """Lets a worker fall silent as its zone is evacuated, or before nothing may reach it."""
    backend, silence_s = _backend(fleet, rng), _silence_s(rng)
    alone_s = rng.uniform(0.5, 2.0)
    pause_s = rng.choice((0.0, EVACUATE_S)) - rng.uniform(0.0, min(0.5, silence_s))
    gevent.spawn_later(max(0.0, alone_s + pause_s), backend.fall_silent, silence_s)
    backend.evacuate(alone_s, rng.uniform(6.5, 8.0))


def silence_hedged(fleet: SoakFleet, rng: Random) -> None:
    """Lets an engine fall silent for so long that others are asked, and one of these then too."""
    first, second = rng.sample([one for one in fleet.backends if one.model], 2)
    gevent.spawn_later(rng.uniform(0.7, 1.3), second.fall_silent, rng.uniform(0.3, 1.0))
    first.fall_silent(rng.uniform(1.2, MAX_SILENCE_S))


def _silence_s(rng: Random) -> float:
    return rng.uniform(0.3, MAX_SILENCE_S)


def change_configuration(fleet: SoakFleet, rng: Random) -> None:
    """Puts newer configurations in force in quick succession."""
    for _ in range(rng.randint(1, 4)):
        fleet.change_configuration()
        gevent.sleep(rng.uniform(0.0, 0.3))


def name_weights(fleet: SoakFleet, rng: Random) -> None:
    """Names newer weights, perhaps before the last ones are in place."""
    for _ in range(rng.randint(1, 2)):
        fleet.name_weights()
        gevent.sleep(rng.uniform(0.0, 1.0))


def spoil_mixed(fleet: SoakFleet, rng: Random) -> None:
    """Makes a worker spoil its answers in several ways."""
    kinds = rng.sample(list(Spoil), rng.randint(2, len(Spoil)))
    _spoil([_backend(fleet, rng)], kinds, rng)


def spoil_service(fleet: SoakFleet, rng: Random) -> None:
    """Makes all workers of a service spoil their answers in the same ways."""
    _spoil(_service(fleet, rng), rng.sample(list(Spoil), rng.randint(1, 3)), rng)


def spoil_refusals(fleet: SoakFleet, rng: Random) -> None:
    """Makes all workers of a service refuse requests and send copies, of refusals too."""
    _spoil(_service(fleet, rng), [Spoil.REFUSE, Spoil.COPY], rng)


def _spoil(backends: list[Backend], kinds: list[Spoil], rng: Random) -> None:
    spoiling = Spoiling(frozenset(kinds), rng.uniform(0.1, 0.6))
    with ExitStack() as stack:
        for backend in backends:
            stack.enter_context(backend.spoiling(spoiling))
        gevent.sleep(rng.uniform(0.5, MAX_FAULT_S))


def _spoiler(kind: Spoil) -> Fault:
    """Returns the fault that a worker spoils its answers in one way."""

    def spoil(fleet: SoakFleet, rng: Random) -> None:
        _spoil([_backend(fleet, rng)], [kind], rng)

    spoil.__name__ = f"spoil_{kind}"
    return spoil


#: Faults of workers that leave processes and paths as they are.
SPOILS: tuple[Fault, ...] = (*map(_spoiler, Spoil), spoil_mixed, spoil_service, spoil_refusals)
FAULTS: tuple[Fault, ...] = (
    *SPOILS,
    kill_node,
    stop_node,
    kill_all_nodes,
    freeze_node,
    reload_node,
    harm_store_path,
    refuse_at_store,
    forget_history,
    return_store,
    harm_worker_path,
    kill_worker,
    freeze_worker,
    drain_worker,
    change_configuration,
    name_weights,
)
#: Silences of workers that count as sound, so that the rules judge what their requests do.
SILENCES: tuple[Fault, ...] = (
    silence_worker,
    silence_leaving,
    silence_outdated,
    silence_evacuated,
    silence_hedged,
)
#: Faults that are injected only by name, so that the seeds of the others play the same.
NAMED_FAULTS: tuple[Fault, ...] = (take_worker_out, evacuate_zone, cool_worker, *SILENCES)


def _node(fleet: SoakFleet, rng: Random) -> Program:
    return rng.choice(list(fleet.nodes.values()))


def _backend(fleet: SoakFleet, rng: Random) -> Backend:
    return rng.choice(fleet.backends)


def _service(fleet: SoakFleet, rng: Random) -> list[Backend]:
    service = rng.choice(("llm", "desk"))
    return [one for one in fleet.backends if one.service == service]


def _restart(program: Program, number: int, rng: Random) -> None:
    program.end(number)
    gevent.sleep(rng.uniform(0.0, 1.0))
    program.start()


def _harm(proxy, rng: Random) -> None:
    proxy.set(rng.choice([harm for harm in Harm if harm is not Harm.NONE]))
    gevent.sleep(rng.uniform(0.3, MAX_FAULT_S))
    proxy.set(Harm.NONE)
