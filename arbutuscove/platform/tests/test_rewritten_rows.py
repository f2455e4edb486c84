"""Guards against own rows that are gone once the store came back older."""

import datetime

import gevent
import pytest
from gevent import pywsgi

from arbutuscove.crashes import judgement
from arbutuscove.crashes import verdicts
from arbutuscove.kernel import services
from arbutuscove.platform import assembly
from arbutuscove.platform import registry
from arbutuscove.platform import table as platform_table
from arbutuscove.platform.tests import test_settings
from arbutuscove.standins import users_store

TABLE = platform_table.OWN_TABLE
REGISTRATION = registry.DAEMON_PREFIX + test_settings.FIELDS["node"]
VERDICT = f"{verdicts.KEY_PREFIX}{7:016x}"
TIMEOUT = 5.0  # seconds


@pytest.fixture(name="started")
def started_fixture():
    """Yields a stand-in store and a daemon that writes rows to it."""
    service = users_store.Store()
    server = pywsgi.WSGIServer(("127.0.0.1", 0), service, log=None)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    daemon = assembly._Assembly(
        test_settings.decode(platform={"address": address})
    )
    kernel = daemon.build()
    running = [
        kernel.get_service(name, services.LoopService)
        for name in (verdicts.SERVICE_NAME, registry.SERVICE_NAME)
    ]
    for item in running:
        item.start(kernel)
    yield service, daemon
    for item in running:
        item.stop()
    server.stop(timeout=0.1)


def _wait_for_rows(service, *keys):
    with gevent.Timeout(TIMEOUT):
        while any(service.read(TABLE, key) is None for key in keys):
            gevent.sleep(0.02)


def _record_verdict(daemon):
    for number in range(judgement.MIN_DEATHS_ANSWERED):
        daemon._evidence.record_death(
            judgement.Death(
                identity=f"vm{number}@1",
                at=datetime.timedelta(),
                suspects={7: 0},
            )
        )


def test_daemon_writes_its_rows_again_in_a_new_era(started):
    """Guards against daemons and verdicts that no later start finds."""
    service, daemon = started
    _record_verdict(daemon)
    _wait_for_rows(service, REGISTRATION, VERDICT)
    service.restore(60.0)
    assert service.read(TABLE, REGISTRATION) is None
    daemon._store.read_rows("op")
    _wait_for_rows(service, REGISTRATION, VERDICT)


def test_daemon_writes_its_rows_again_when_a_peer_names_a_new_era(started):
    """Guards against rows that wait for the daemon's own next call."""
    service, daemon = started
    _record_verdict(daemon)
    _wait_for_rows(service, REGISTRATION, VERDICT)
    service.restore(60.0)
    daemon._store.observe_era(2, "peer")
    _wait_for_rows(service, REGISTRATION, VERDICT)


def test_daemon_writes_its_rows_again_after_an_outage(started):
    """Guards against rows that are given up while the store is away."""
    service, daemon = started
    _record_verdict(daemon)
    _wait_for_rows(service, REGISTRATION, VERDICT)
    service.restore(60.0)
    service.faults.error_status = 503
    daemon._store.observe_era(2, "peer")
    gevent.sleep(0.5)
    service.faults.error_status = 0
    _wait_for_rows(service, REGISTRATION, VERDICT)
