"""Registry of services that find each other by name.

The kernel knows no service. Each one is registered under a name, looks up the
others in `start`, and is drained and stopped in reverse order of
registration, so that a service outlives everything that uses it.
"""

import datetime
import typing
from collections import abc

import eliot
import gevent

RESTART_DELAY = datetime.timedelta(milliseconds=200)


class Service(typing.Protocol):
    """What the kernel asks of a service."""

    def start(self, kernel: "Kernel") -> None:
        """Looks up other services and begins work."""

    def drain(self) -> None:
        """Takes no new work and returns when work in progress has ended."""

    def stop(self) -> None:
        """Ends all greenlets and closes all connections."""


class BaseService:
    """A service with nothing to do at start, drain or stop."""

    def start(self, kernel: "Kernel") -> None:
        """Does nothing."""

    def drain(self) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""


class LoopService(BaseService):
    """A service that works in one greenlet until it is stopped."""

    _greenlet: gevent.Greenlet | None = None

    def run_loop(self, loop: abc.Callable[[], None]) -> None:
        """Runs `loop` in the greenlet of this service.

        A loop that fails is logged and begun again: a service that has ended
        looks from outside like one that has nothing to do.
        """
        self._greenlet = gevent.spawn(self._run_with_restarts, loop)

    def _run_with_restarts(self, loop: abc.Callable[[], None]) -> None:
        while True:
            try:
                loop()
                return
            except Exception:  # noqa: BLE001 - whatever it is, go on
                eliot.write_traceback()
            gevent.sleep(RESTART_DELAY.total_seconds())

    def stop(self) -> None:
        """Ends the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()


class KernelError(Exception):
    """A service is missing, registered twice or of another type."""


ServiceT = typing.TypeVar("ServiceT")


class Kernel:
    """Holds the services of one process.

    Example:
        >>> kernel = Kernel()
        >>> kernel.register("limits", BaseService())
        >>> isinstance(kernel.get_service("limits", BaseService), BaseService)
        True
    """

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, name: str, service: Service) -> None:
        """Adds a service.

        Raises:
            KernelError: the name is taken.
        """
        if name in self._services:
            raise KernelError(f"service {name!r} is already registered")
        self._services[name] = service

    def get_service(self, name: str, service_type: type[ServiceT]) -> ServiceT:
        """Returns the service registered under `name`.

        Raises:
            KernelError: no such service, or it is not a `service_type`.
        """
        service = self._services.get(name)
        if service is None:
            raise KernelError(f"no service is registered as {name!r}")
        if not isinstance(service, service_type):
            actual_type = type(service).__name__
            raise KernelError(f"service {name!r} is a {actual_type}")
        return service

    def start(self) -> None:
        """Starts all services in order of registration."""
        for service in self._services.values():
            service.start(self)
            self._started.append(service)

    def drain(self) -> None:
        """Drains the started services in reverse order."""
        for service in reversed(self._started):
            service.drain()

    def stop(self) -> None:
        """Stops the started services in reverse order."""
        while self._started:
            self._started.pop().stop()
