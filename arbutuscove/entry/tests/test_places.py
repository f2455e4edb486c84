"""Guards against connections without progress that keep callers out."""

import contextlib
import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.entry import places
from arbutuscove.kernel import clock as clock_module

LIMIT = 4
HOST_LIMIT = 3
TIME = places.MIN_TIME + datetime.timedelta(milliseconds=1)
STEPS = {
    "wait": lambda place: None,
    "begin": lambda place: place.begin(),
    "bytes": lambda place: place.record_bytes(places.PROGRESS_BYTES),
    "complete": lambda place: place.complete(),
    "leave": lambda place: place.leave(),
}


class Connection:
    """A connection with its place."""

    def __init__(self, shared, host="a", is_status=False):
        self.given = 0
        self.place = shared.open(host, self._give, is_status)

    def _give(self):
        self.given += 1


@pytest.fixture
def clock():
    return clock_module.ManualClock()


@pytest.fixture
def shared(clock):
    return places.Places(LIMIT, LIMIT, clock)


def test_connection_longest_without_progress_gives_way(clock, shared):
    """Guards against trickled bodies that keep their places.

    A byte now and then is no progress, a piece of a body is some.
    """
    complete, trickling, uploading, idle = (
        Connection(shared) for _ in range(LIMIT)
    )
    complete.place.complete()
    clock.advance(TIME)
    trickling.place.record_bytes(1)
    uploading.place.record_bytes(places.PROGRESS_BYTES)
    idle.place.begin()
    Connection(shared)
    assert trickling.given == 1
    assert trickling.place.is_lost
    clock.advance(TIME)
    Connection(shared)
    Connection(shared)
    assert (uploading.given, idle.given) == (1, 1)
    assert complete.given == 0


def test_small_pieces_add_up_to_progress(clock, shared):
    """Guards against chunks of a sound upload that count as none."""
    uploading = Connection(shared)
    clock.advance(TIME)
    others = [Connection(shared) for _ in range(LIMIT - 1)]
    for _ in range(16):
        uploading.place.record_bytes(places.PROGRESS_BYTES // 16)
    clock.advance(TIME)
    Connection(shared)
    assert uploading.given == 0
    assert [other.given for other in others] == [1, 0, 0]


def test_complete_requests_keep_their_places(clock, shared):
    """Guards against a request that is cut to let another one in."""
    connections = [Connection(shared) for _ in range(LIMIT)]
    for connection in connections:
        connection.place.complete()
    clock.advance(TIME)
    with pytest.raises(places.NoPlaceError):
        Connection(shared)
    connections[0].place.begin()
    clock.advance(TIME)
    Connection(shared)
    assert [each.given for each in connections] == [1, 0, 0, 0]


def test_new_connections_have_time_for_a_request(clock, shared):
    """Guards against callers that close each other's connections at once."""
    for _ in range(LIMIT):
        Connection(shared)
    clock.advance(places.MIN_TIME / 2)
    with pytest.raises(places.NoPlaceError):
        Connection(shared)


def test_address_makes_room_for_itself(clock):
    """Guards against an address that takes the places of another one."""
    shared = places.Places(LIMIT, HOST_LIMIT, clock)
    other = Connection(shared, "b")
    own = [Connection(shared, "a") for _ in range(HOST_LIMIT)]
    clock.advance(TIME)
    Connection(shared, "a")
    assert other.given == 0
    assert [each.given for each in own] == [1, 0, 0]


def test_status_has_spare_places(clock, shared):
    """Guards against a daemon full of whole requests that looks dead.

    The spare places are bounded, too.
    """
    for _ in range(LIMIT):
        Connection(shared).place.complete()
    clock.advance(TIME)
    status = Connection(shared, is_status=True)
    status.place.complete()
    with pytest.raises(places.NoPlaceError):
        Connection(shared, is_status=True)
    with pytest.raises(places.NoPlaceError):
        Connection(shared)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["open", *STEPS]),
            strategies.integers(0, 7),
        ),
        max_size=60,
    )
)
def test_places_are_never_exceeded(steps):
    """Guards against places that are counted twice or not given back."""
    clock = clock_module.ManualClock()
    shared = places.Places(LIMIT, HOST_LIMIT, clock)
    opened = []
    for step, number in steps:
        clock.advance(TIME / 4)
        if step == "open":
            with contextlib.suppress(places.NoPlaceError):
                opened.append(Connection(shared, "ab"[number % 2]))
        elif opened:
            STEPS[step](opened[number % len(opened)].place)
        holding = [each for each in opened if each.place.is_open]
        assert len(holding) <= LIMIT
        assert all(
            sum(each.place.host == host for each in holding) <= HOST_LIMIT
            for host in "ab"
        )
        assert all(each.given == int(each.place.is_lost) for each in opened)
    for each in opened:
        each.place.leave()
    for _ in range(HOST_LIMIT):
        Connection(shared, "a")
