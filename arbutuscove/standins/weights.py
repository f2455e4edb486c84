"""Stand-in for the rate-limited weight store.

A load takes one permit for `seconds_per_load`; the rest wait their turn.
"""

import gevent
from gevent import lock
from werkzeug import wrappers

from arbutuscove.standins import server


class WeightStandin:
    """Serves at most `concurrent` loads at a time."""

    def __init__(self, concurrent: int, seconds_per_load: float) -> None:
        self._permits = lock.BoundedSemaphore(concurrent)
        self._seconds = seconds_per_load
        self._loads = 0

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App(
            [
                ("GET", "/weights/<model>", self._load),
                ("GET", "/counts", self._count),
            ]
        )

    def _load(self, request: wrappers.Request, model: str) -> wrappers.Response:
        with self._permits:
            gevent.sleep(self._seconds)
        self._loads += 1
        return server.respond({"model": model})

    def _count(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond({"loads": self._loads})
