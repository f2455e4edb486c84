"""Registry of services, which look each other up by name.

The kernel does not depend on any service. Each service is registered under a
name and can look up others in `start`. Services are drained and stopped in
reverse order of registration, so that a service runs longer than all services
that use it.
"""

import contextlib
import datetime
import typing
from collections import abc

import eliot
import gevent

RESTART_DELAY = datetime.timedelta(milliseconds=200)


class Service(typing.Protocol):
    """Interface of a service that the kernel starts, drains and stops."""

    def start(self, kernel: "Kernel") -> None:
        """Looks up other services and starts work."""

    def drain(self) -> None:
        """Stops accepting work and returns when work in progress has ended."""

    def stop(self) -> None:
        """Stops all greenlets and closes all connections."""


class BaseService:
    """A service whose start, drain and stop do nothing."""

    def start(self, kernel: "Kernel") -> None:
        """Does nothing."""

    def drain(self) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""


class LoopService(BaseService):
    """A service that runs one greenlet until it is stopped."""

    _greenlet: gevent.Greenlet | None = None

    def run_loop(self, loop: abc.Callable[[], None]) -> None:
        """Runs `loop` in the greenlet of this service.

        If `loop` raises an exception, the exception is logged and `loop` is
        restarted after `RESTART_DELAY`: from outside, a service whose loop has
        ended could not be told from an idle one.

        Args:
            loop: the function to run; it is not restarted once it returns.
        """
        self._greenlet = gevent.spawn(self._run_with_restarts, loop)

    def _run_with_restarts(self, loop: abc.Callable[[], None]) -> None:
        while True:
            try:
                loop()
                return
            except Exception:  # noqa: BLE001 - restart after any error
                eliot.write_traceback()
            # An exception may also be thrown into the greenlet in the pause.
            with contextlib.suppress(Exception):
                gevent.sleep(RESTART_DELAY.total_seconds())

    def stop(self) -> None:
        """Stops the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()


class KernelError(Exception):
    """A service is missing, registered twice or of an unexpected type."""


ServiceT = typing.TypeVar("ServiceT")


class Kernel:
    """Registers, starts, drains and stops the services of one process.

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
        """Registers a service.

        Args:
            name: the name under which other services look it up.
            service: the service.

        Raises:
            KernelError: a service is already registered under `name`.
        """
        if name in self._services:
            raise KernelError(f"service {name!r} is already registered")
        self._services[name] = service

    def get_service(self, name: str, service_type: type[ServiceT]) -> ServiceT:
        """Returns the service registered under `name`.

        Args:
            name: the name of the service.
            service_type: the expected type of the service.

        Raises:
            KernelError: no service is registered under `name`, or it is not an
                instance of `service_type`.
        """
        service = self._services.get(name)
        if service is None:
            raise KernelError(f"no service is registered as {name!r}")
        if not isinstance(service, service_type):
            actual_type = type(service).__name__
            raise KernelError(
                f"service {name!r} has an unexpected type: {actual_type}"
            )
        return service

    def start(self) -> None:
        """Starts all services in the order of registration."""
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
