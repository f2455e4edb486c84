"""Guards against connections that are carried for strangers or anywhere."""

import dataclasses
import datetime
import random

import pytest

from arbutuscove.config import model as config_model
from arbutuscove.daemon import listing as listing_module
from arbutuscove.daemon import paths as paths_module
from arbutuscove.daemon import settings as settings_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.membership import swim
from arbutuscove.paths import errors
from arbutuscove.paths import reach
from arbutuscove.storage import http
from arbutuscove.storage import inventory
from arbutuscove.transport import tunnel

SECOND = datetime.timedelta(seconds=1)
ENGINE = http.Address("127.0.0.1", 1)
SERVICE = "engines/fabric"
OWN = swim.Member(name="own", peer_address="10.0.0.1:7", region="r")
SETTINGS = settings_module.Settings(
    name="own",
    region="r",
    failure_domain="f",
    listen="",
    admin_listen="",
    peer_listen="",
    advertise="",
    peer_advertise="10.0.0.1:7",
    peers=(),
    table="",
    objects="",
    inventory="",
    resume_secret="",
    admin_key_digest="",
    keep_seconds=1.0,
    tunnel_listen="127.0.0.1:0",
)


class _Membership:
    def __init__(self):
        self.own = OWN
        self.alive = []

    def get_own(self):
        return self.own

    def get_alive(self):
        return self.alive

    def set_unreached_source(self, source):
        self.list_unreached = source

    def probe_peers(self):
        pass


class _Daemon:
    def __init__(self):
        self.membership = _Membership()
        self.lag = loop.LagMonitor(clock_module.ManualClock())
        vm = inventory.Vm(
            name="vm",
            address=str(ENGINE),
            fabric_domain="fabric",
            failure_domain="f",
            accelerators=1,
        )
        listing = listing_module.UpstreamListing(
            lambda: {"vm": vm}, config_model.Snapshot
        )
        self.paths = paths_module.DaemonPaths(
            SETTINGS,
            clock_module.SystemClock(),
            self.membership,
            self.lag,
            listing,
            random.Random(1),
        )
        (_, _), (_, self.server) = self.paths.list_services()


@pytest.fixture(name="daemon")
def build_daemon():
    return _Daemon()


@pytest.fixture(name="carrier")
def start_carrier(daemon):
    daemon.membership.alive = [
        swim.Member(name="peer", peer_address="127.0.0.1:5")
    ]
    daemon.server.start(None)
    yield daemon
    daemon.server.stop()


def _ask(carrier, target):
    with pytest.raises(http.NotSentError) as caught:
        tunnel.open_tunnel(carrier.server.address, target, SECOND)
    return caught.value


def test_paths_carry_nothing_for_strangers(carrier):
    """Guards against a port that leads anybody to the engines."""
    carrier.membership.alive = [
        swim.Member(name="peer", peer_address="10.0.0.2:5")
    ]
    assert isinstance(_ask(carrier, ENGINE), tunnel.CarrierError)
    assert carrier.server.refused == 1


def test_paths_carry_nothing_to_unregistered_addresses(carrier):
    """Guards against daemons that lead each other to any address."""
    error = _ask(carrier, http.Address("127.0.0.1", 2))
    assert tunnel.OpenResult.UNLISTED in str(error)


def test_paths_carry_nothing_while_the_daemon_drains(carrier):
    """Guards against connections that break when the carrier ends."""
    carrier.membership.own = dataclasses.replace(OWN, state=swim.State.LEFT)
    assert tunnel.OpenResult.BUSY in str(_ask(carrier, ENGINE))


def test_paths_carry_nothing_while_the_loop_is_late(carrier):
    """Guards against a small daemon that is drowned by the others' work."""
    for _ in range(2):
        carrier.lag.record(2 * paths_module.MAX_CARRIER_LAG)
    assert tunnel.OpenResult.BUSY in str(_ask(carrier, ENGINE))


def test_paths_refusal_of_the_only_engine_is_no_refusal(carrier):
    """Guards against deaths that a reset of the own path imitates."""
    with pytest.raises(http.NotSentError) as caught:
        carrier.paths.upstreams.open(ENGINE, SECOND)
    assert not isinstance(caught.value, http.RefusedError)
    assert tunnel.OpenResult.UNREACHABLE in str(_ask(carrier, ENGINE))


def test_paths_ask_no_peer_that_carries_nothing(daemon):
    """Guards against tunnels through a daemon of an older version."""
    daemon.membership.alive = [
        swim.Member(name="old", peer_address="10.0.0.2:5", region="r")
    ]
    assert all(not peer.port for peer in daemon.paths._list_carriers())
    with pytest.raises(errors.NoPathError):
        daemon.paths.upstreams.open(ENGINE, SECOND)
    assert daemon.membership.list_unreached() == (SERVICE,)
    assert not daemon.paths.may_judge("fabric")
    verdict = daemon.paths.monitor.get_verdict(SERVICE)
    assert verdict is reach.Verdict.UNREACHED


def test_paths_ask_peers_of_the_own_region_first(daemon):
    """Guards against streams that cross regions without need."""
    near = swim.Member(
        name="near",
        peer_address="10.0.0.2:5",
        region="r",
        tunnel_address="10.0.0.2:6",
        unreached=(SERVICE,),
    )
    far = dataclasses.replace(
        near,
        name="far",
        peer_address="10.0.0.3:5",
        tunnel_address="10.0.0.3:6",
        region="s",
    )
    daemon.membership.alive = [far, near]
    assert [peer.name for peer in daemon.paths._list_carriers()] == ["near"]
    daemon.membership.alive = [far]
    (carrier,) = daemon.paths._list_carriers()
    assert (carrier.host, carrier.port) == ("10.0.0.3", 6)
    assert carrier.unreached == {SERVICE}


def test_paths_tunnel_address_of_all_interfaces():
    """Guards against an address that leads each peer to itself."""
    settings = dataclasses.replace(SETTINGS, tunnel_listen="0.0.0.0:9")
    assert settings_module.get_tunnel_address(settings) == "10.0.0.1:9"
    settings = dataclasses.replace(SETTINGS, tunnel_listen="")
    assert settings_module.get_tunnel_address(settings) == ""
