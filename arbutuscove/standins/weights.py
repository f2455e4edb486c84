"""Stand-in for the rate-limited weight store.

Each load holds one of the store's permits for `seconds_per_load`; loads beyond
the number of permits wait for one.
"""

import gevent
from gevent import lock
from werkzeug import wrappers

from arbutuscove.standins import server


class WeightStandin:
    """HTTP interface of a weight store with a limit on concurrent loads.

    Args:
        concurrent: Number of loads served at a time.
        seconds_per_load: Seconds that each load takes.
    """

    def __init__(self, concurrent: int, seconds_per_load: float) -> None:
        self._permits = lock.BoundedSemaphore(concurrent)
        self._seconds = seconds_per_load
        self._loads = 0

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App(
            [
                ("GET", "/weights/<model>", self._load),
                ("GET", "/counts", self._get_counts),
            ]
        )

    def _load(self, request: wrappers.Request, model: str) -> wrappers.Response:
        with self._permits:
            gevent.sleep(self._seconds)
        self._loads += 1
        return server.respond({"model": model})

    def _get_counts(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond({"loads": self._loads})
