"""Places of callers' connections, of which a daemon has a bounded number.

Answers a load pattern of clients that keep connections open and send next to
nothing: no head, half of one, or a body of a byte a second. If all places are
taken, the connection that has gone longest without progress gives way. One
whose request has arrived completely never does, since that may be running.
"""

import collections
import datetime
from collections import abc

from arbutuscove.kernel import clock as clock_module

# A connection has at least this long to make progress before it gives way to
# another one.
MIN_TIME = datetime.timedelta(milliseconds=250)
# So many bytes of a body are progress; fewer are not, unless they complete it.
PROGRESS_BYTES = 16384
# Further places, as a part of all, so that whole requests in all places do not
# make a daemon look dead.
SPARE_SHARE = 0.125


class NoPlaceError(Exception):
    """All places are taken, and none gives way."""


class Place:
    """The place of one connection.

    Args:
        places: where it belongs.
        host: the address of the client.
        give_way: called once when the connection has to close.

    Attributes:
        is_open: whether the connection still has the place.
        is_lost: whether it gave the place to another connection.
    """

    def __init__(
        self, places: "Places", host: str, give_way: abc.Callable[[], None]
    ) -> None:
        self.host = host
        self.is_open = True
        self.is_lost = False
        self._places = places
        self._give_way = give_way
        self._new_bytes = 0

    def begin(self) -> None:
        """Records that the connection waits for a request from now on."""
        self._new_bytes = 0
        self._places.move(self)

    def record_bytes(self, size: int) -> None:
        """Records that bytes of a body have arrived."""
        self._new_bytes += size
        if self._new_bytes >= PROGRESS_BYTES:
            self.begin()

    def complete(self) -> None:
        """Records that a request has arrived; it does not give way."""
        self._places.hold(self)

    def lose(self) -> None:
        """Gives the place to another connection."""
        self.is_lost = True
        self.leave()
        self._give_way()

    def leave(self) -> None:
        """Gives the place back."""
        self._places.remove(self)


class Places:
    """Shares places out to connections.

    Args:
        limit: the places of all connections.
        host_limit: the places of the connections of one address.
        clock: the clock.
    """

    def __init__(
        self, limit: int, host_limit: int, clock: clock_module.Clock
    ) -> None:
        self._limit = limit
        self._spare = max(1, int(limit * SPARE_SHARE))
        self._host_limit = host_limit
        self._clock = clock
        self._counts: collections.Counter[str] = collections.Counter()
        # Without a whole request, with the time of the last progress; the
        # earliest comes first.
        self._incomplete: dict[Place, datetime.timedelta] = {}

    def open(
        self,
        host: str,
        give_way: abc.Callable[[], None],
        is_status: bool = False,
    ) -> Place:
        """Returns a place for a connection; another one may have to give way.

        Args:
            host: the address of the client.
            give_way: called once when the connection has to close.
            is_status: whether it asks for the status of this daemon only, and
                may take the spare places.

        Raises:
            NoPlaceError: no connection gives way.
        """
        spare = self._spare if is_status else 0
        if self._counts[host] >= self._host_limit + spare:
            self._find_idlest(host).lose()
        elif self._counts.total() >= self._limit + spare:
            self._find_idlest(None).lose()
        place = Place(self, host, give_way)
        self._counts[host] += 1
        self._incomplete[place] = self._clock.monotonic()
        return place

    def move(self, place: Place) -> None:
        """Records progress of a connection whose request is incomplete."""
        if not place.is_open:
            return
        # It comes last from now on.
        self._incomplete.pop(place, None)
        self._incomplete[place] = self._clock.monotonic()

    def hold(self, place: Place) -> None:
        """Records that a request is complete."""
        self._incomplete.pop(place, None)

    def remove(self, place: Place) -> None:
        """Gives a place back, if it has not been."""
        if not place.is_open:
            return
        place.is_open = False
        self._incomplete.pop(place, None)
        self._counts[place.host] -= 1
        if not self._counts[place.host]:
            del self._counts[place.host]

    def _find_idlest(self, host: str | None) -> Place:
        """Returns the place that gives way, of one host or of any.

        Raises:
            NoPlaceError: there is none.
        """
        latest = self._clock.monotonic() - MIN_TIME
        for place, since in self._incomplete.items():
            if since > latest:
                break
            if host in (None, place.host):
                return place
        raise NoPlaceError("all connections are within requests")
