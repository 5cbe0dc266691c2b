"""Turns of the event loop between units of work."""

import gevent


def wait_for_turn() -> None:
    """Lets the event loop make a pass over timers and sockets, then continues.

    ``gevent.sleep(0)`` only lets other ready greenlets run: the loop may run many such callbacks
    before it polls.
    """
    hub = gevent.get_hub()
    timer = hub.loop.timer(0.0)
    try:
        hub.wait(timer)
    finally:
        timer.close()
