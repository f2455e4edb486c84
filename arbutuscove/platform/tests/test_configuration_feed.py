"""Guards against a configuration that is behind or goes back.

The store was silent, or it came back from an older copy.
"""

import datetime
import random

import gevent
import pytest
from gevent import pywsgi

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.kernel import clock as clock_module
from arbutuscove.platform import availability
from arbutuscove.platform import followers
from arbutuscove.platform import store as store_module
from arbutuscove.standins import users_store
from arbutuscove.storage import http
from arbutuscove.transport import pool

# Within which a change must be in force.
APPLY_SECONDS = 2.0


class Scene:
    """A stand-in store and a daemon's configuration follower.

    The stand-in swallows calls while it is silent: it never answers those that
    arrive then, or that wait for changes.
    """

    def __init__(self, service, address):
        self.service = service
        self.version = 0
        clock = clock_module.SystemClock()
        self.store = store_module.Store(
            address, pool.ConnectionPool(clock), clock
        )
        self.catalog = catalog_holder.CatalogHolder()
        self.follower = followers.ConfigurationFollower(
            self.store, clock, random.Random(1), self.catalog
        )

    def change(self):
        """Writes the next version of the configuration."""
        self.version += 1
        self.service.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": [],
                "services": [{"name": "s"}],
            },
        )

    def wait_until_in_force(self):
        """Returns whether the version is in force in time."""
        with gevent.Timeout(APPLY_SECONDS, False):
            while self.catalog.get_version() < self.version:
                gevent.sleep(0.01)
            return True
        return False


@pytest.fixture(name="scene")
def scene_fixture():
    service = users_store.Store()
    server = pywsgi.WSGIServer(("127.0.0.1", 0), service, log=None)
    server.start()
    scene = Scene(service, http.Address("127.0.0.1", server.server_port))
    scene.change()
    scene.follower.start(None)
    assert scene.wait_until_in_force()
    gevent.sleep(0.05)  # the feed is pending now
    yield scene
    scene.follower.stop()
    server.stop(timeout=0.1)


def test_pending_feed_is_sent_again_after_a_failure(scene):
    """Guards against a feed that the store lost while it was silent."""
    scene.service.faults.is_swallowing = True
    gevent.sleep(0.3)  # the feed notices within 0.1 s
    with pytest.raises(store_module.StoreError):
        scene.store.read_rows("servers")
    scene.service.faults.is_swallowing = False
    scene.store.read_rows("servers")
    scene.change()
    assert scene.wait_until_in_force()


def test_feed_sent_during_a_failure_is_short(scene, monkeypatch):
    """Guards against a feed of 20 s that a silent store swallows.

    The feed before it times out during the silence, and this daemon makes no
    other call (nilavu-diary mix seed 928459047096: CONFIG 38, DENIED 30).
    """
    long_wait = followers.CONFIGURATION_FEED_WAIT
    short_wait = datetime.timedelta(milliseconds=50)
    monkeypatch.setattr(followers, "CONFIGURATION_FEED_WAIT", short_wait)
    scene.change()  # ends the pending feed
    assert scene.wait_until_in_force()
    # The silence begins as a feed has just arrived: if it were answered at that
    # moment, the next one would be the first to be lost, and a long one.
    calls = scene.service.feed_calls["op"]
    while scene.service.feed_calls["op"] == calls:
        gevent.sleep(0.001)
    scene.service.faults.is_swallowing = True
    monkeypatch.setattr(followers, "CONFIGURATION_FEED_WAIT", long_wait)
    timeout = short_wait + store_module.FEED_TIMEOUT_MARGIN
    gevent.sleep(timeout.total_seconds() + 0.5)
    scene.service.faults.is_swallowing = False
    scene.change()
    assert scene.wait_until_in_force()


def test_feed_is_sent_again_when_the_store_answers_peers_again(scene):
    """Guards against a lost feed in a daemon that makes no other call."""
    scene.service.faults.is_swallowing = True
    gevent.sleep(0.3)
    scene.service.faults.is_swallowing = False
    scene.store.availability.observe_peer("p", False)
    scene.store.availability.observe_peer("p", True)
    scene.change()
    assert scene.wait_until_in_force()


def test_feed_waits_long_without_a_failure(scene):
    """Guards against priced calls that a working store does not need."""
    scene.store.read_rows("servers")
    gevent.sleep(2 * followers.DOUBTFUL_FEED_WAIT.total_seconds())
    assert scene.service.feed_calls["op"] == 1


def test_feed_waits_long_again_after_a_failure(scene):
    """Guards against short feeds that go on after the store has recovered."""
    for _ in range(5):
        scene.service.faults.error_status = 429
        with pytest.raises(store_module.StoreError):
            scene.store.read_rows("servers")
        scene.service.faults.error_status = 0
        scene.store.read_rows("servers")
    doubt = availability.DOUBT_PERIOD + followers.DOUBTFUL_FEED_WAIT
    gevent.sleep((doubt + datetime.timedelta(seconds=0.2)).total_seconds())
    calls = scene.service.feed_calls["op"]
    assert calls <= 6
    gevent.sleep(2 * followers.DOUBTFUL_FEED_WAIT.total_seconds())
    assert scene.service.feed_calls["op"] == calls


def test_pending_feed_ends_when_a_peer_is_in_a_new_era(scene):
    """Guards against a feed whose position the counter has passed again.

    The feed hides what was written below its position, and this daemon makes no
    other call.
    """
    gevent.sleep(0.3)
    scene.service.put("other", "a", 1)
    scene.change()
    assert scene.wait_until_in_force()
    scene.service.put("other", "a", 2)
    gevent.sleep(0.05)
    scene.service.faults.is_swallowing = True
    gevent.sleep(0.2)  # the pending feed is lost
    scene.service.faults.is_swallowing = False
    scene.service.restore(0.4)
    scene.change()
    scene.store.observe_era(scene.service.era, "p")
    assert scene.wait_until_in_force()


def test_configuration_never_goes_back(scene):
    """Guards against an older version of a copy that comes into force again.

    Versions are the operator's own and outlive a restore.
    """
    gevent.sleep(0.2)
    scene.change()
    assert scene.wait_until_in_force()
    scene.service.restore(0.15)
    scene.store.read_rows("servers")
    gevent.sleep(0.3)
    assert scene.service.read("op", "config")["version"] == 1
    assert scene.catalog.get_version() == 2
    scene.change()
    assert scene.wait_until_in_force()
