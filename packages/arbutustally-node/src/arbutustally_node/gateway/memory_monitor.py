"""Compares the memory of the process with its limit, and returns free memory to the system."""

import contextlib
import ctypes
import resource
from typing import Any

import gevent

from arbutustally.gateway.memory_account import MemoryAccount
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.instruments import Instruments

#: Interval of the checks, seconds.
CHECK_INTERVAL_S = 0.25
#: Checks between two returns of free memory to the system.
CHECKS_PER_TRIM = 8
#: Size from which on the allocator returns a buffer to the system when it is freed, bytes. By
#: default this size grows with the buffers used, which then leave gaps.
MAPPED_BYTES = 256 << 10
STATM = "/proc/self/statm"
# Of mallopt(3).
_M_MMAP_THRESHOLD = -3


class MemoryMonitor:
    """Observes the resident memory of the process for its account."""

    def __init__(self, account: MemoryAccount, log: DecisionLog, instruments: Instruments) -> None:
        self._account = account
        self._log = log
        self._instruments = instruments
        self._checks = 0
        self._shed = 0
        self._refused = 0
        self._is_scarce = False
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts the checks."""
        map_large_buffers()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the checks."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            self._check(resident_bytes())
            gevent.sleep(CHECK_INTERVAL_S)

    def _check(self, resident: int) -> None:
        account = self._account
        account.observe(resident)
        self._count()
        self._checks += 1
        if resident > account.ceiling and self._checks % CHECKS_PER_TRIM == 0:
            trim()
        if account.is_scarce is self._is_scarce:
            return
        self._is_scarce = account.is_scarce
        self._log.line(
            "memory_scarce" if self._is_scarce else "memory_sufficient",
            reserved=account.reserved,
            allowed=account.allowed,
            resident=resident,
            shed=account.shed,
            refused=account.refused,
        )

    def _count(self) -> None:
        account, instruments = self._account, self._instruments
        instruments.count("memory_shed", amount=account.shed - self._shed)
        instruments.count("memory_refused", amount=account.refused - self._refused)
        self._shed, self._refused = account.shed, account.refused


def resident_bytes() -> int:
    """Returns the resident memory of the process, bytes; 0 if the system does not tell it."""
    try:
        with open(STATM, "rb") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0


def map_large_buffers() -> None:
    """Keeps large buffers out of the allocator's heap where it has a function for that."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES)


def trim() -> None:
    """Returns free memory of the allocator to the system where it has a function for that."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
