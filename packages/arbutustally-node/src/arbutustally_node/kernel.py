"""Micro-kernel: services register by name and find each other by name at call time."""

from typing import Any, Protocol, runtime_checkable


@runtime_checkable
class Service(Protocol):
    """A part of the node with a lifetime."""

    def start(self) -> None:
        """Begins work; must not block."""

    def stop(self) -> None:
        """Ends all greenlets and connections of the service."""


class Kernel:
    """Holds the services of one node."""

    def __init__(self) -> None:
        self._services: dict[str, Any] = {}

    def register(self, name: str, service: Any) -> None:
        """Adds a service.

        :raises ValueError: if the name is taken.
        """
        if name in self._services:
            raise ValueError(f"service {name} is registered twice; choose another name")
        self._services[name] = service

    def lookup(self, name: str) -> Any:
        """Returns the service of that name.

        :raises LookupError: if there is none; the message lists the registered names.
        """
        try:
            return self._services[name]
        except KeyError:
            names = ", ".join(self._services)
            raise LookupError(f"no service {name}; register it first (have: {names})") from None

    def start(self) -> None:
        """Starts all services in registration order."""
        for service in self._services.values():
            if isinstance(service, Service):
                service.start()

    def stop(self) -> None:
        """Stops all services in reverse order."""
        for service in reversed(self._services.values()):
            if isinstance(service, Service):
                service.stop()
