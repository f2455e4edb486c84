"""Guards against tokens given out again by a store that came back older."""

import pytest
from gevent import pywsgi

from arbutuscove.fleet import controller
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.leases import holder
from arbutuscove.leases import lease
from arbutuscove.platform import assembly
from arbutuscove.platform import store as store_module
from arbutuscove.platform import table as platform_table
from arbutuscove.platform.tests import test_settings
from arbutuscove.standins import users_store
from arbutuscove.storage import eras
from arbutuscove.storage import http
from arbutuscove.transport import pool

DUTY = controller.DUTY
MAX_SIGNED = (1 << 63) - 1


@pytest.fixture(name="service")
def service_fixture():
    """Yields a stand-in store with the address of its server."""
    service = users_store.Store()
    server = pywsgi.WSGIServer(("127.0.0.1", 0), service, log=None)
    server.start()
    yield service, http.Address("127.0.0.1", server.server_port)
    server.stop(timeout=0.1)


def _build_holder(identity, address):
    clock = clock_module.SystemClock()
    store = store_module.Store(address, pool.ConnectionPool(clock), clock)
    return holder.LeaseHolder(
        identity,
        platform_table.StoreTable(store),
        clock,
        loop.LagMonitor(clock),
        assembly.LEASE_TERMS,
        None,
        store.get_era,
    )


def test_lease_on_the_store_gets_a_token_of_the_new_era(service):
    """Guards against a client of the store that hides the change of era."""
    store, address = service
    leases = _build_holder("a.1", address)
    leases.step(DUTY)
    first = leases.get_active_epoch(DUTY)
    leases.step(DUTY)
    assert leases.get_active_epoch(DUTY) == first
    store.restore(60.0)
    other = _build_holder("b.1", address)
    leases.step(DUTY)
    other.step(DUTY)
    assert leases.get_active_epoch(DUTY) == (2 << lease.ERA_SHIFT) + 1
    assert other.get_active_epoch(DUTY) is None


def test_daemon_drops_its_lease_when_a_peer_names_a_newer_era(service):
    """Guards against a daemon whose lease does not follow the store's era."""
    _, address = service
    settings = test_settings.decode(platform={"address": str(address)})
    daemon = assembly._Assembly(settings)
    daemon._leases.step(DUTY)
    assert daemon._leases.get_active_epoch(DUTY) is not None
    daemon._store.observe_era(7, "peer")
    assert daemon._leases.get_active_epoch(DUTY) is None


def test_epochs_of_the_highest_era_fit_into_numbers_that_travel():
    """Guards against tokens and group epochs beyond 63 bits."""
    epoch = lease.compute_next_epoch(None, eras.MAX_ERA)
    assert ((epoch + 1) << controller.EPOCH_BITS) <= MAX_SIGNED
