"""Guards against conditions that hold by accident after a lost write."""

import pytest
from gevent import pywsgi

from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import http
from arbutuscove.storage import table as table_module


@pytest.fixture(name="served")
def fixture_served():
    """Yields the table behind a stand-in server, and a client of it."""
    service = table_standin.TableStandin()
    server = pywsgi.WSGIServer(("127.0.0.1", 0), service.build_app(), log=None)
    server.start()
    address = http.Address("127.0.0.1", server.server_port)
    yield service._table, table_module.HttpTable(address)
    server.stop(timeout=0.1)


def _write(value, version):
    return table_module.Transaction(
        conditions=(table_module.Condition(key="k", version=version),),
        writes=(table_module.Write(key="k", value=value),),
    )


def _commit(client, value, version):
    clock = clock_module.ManualClock()
    return table_module.commit(client, _write(value, version), clock)


def test_condition_of_an_earlier_era_does_not_hold(served):
    """Guards against a version that was given out again to another row."""
    table, client = served
    client.transact(_write("lost", table_module.ABSENT))
    version = client.read("k").version
    table.restore()
    table.transact(_write("other", table_module.ABSENT))
    assert table.read("k").version == version
    assert client.read("other") is None  # the answer names the new era
    assert _commit(client, "own", version).is_error()
    assert table.read("k").value == "other"


def test_write_answered_by_another_era_is_not_confirmed(served):
    """Guards against a write under a condition of an earlier era.

    The client learns of the new era only by the answer to this write.
    """
    table, client = served
    client.transact(_write("lost", table_module.ABSENT))
    version = client.read("k").version
    table.restore()
    table.transact(_write("other", table_module.ABSENT))
    with pytest.raises(table_module.OutcomeUnknownError):
        client.transact(_write("own", version))


def test_write_is_read_back_in_the_new_era(served):
    """Guards against a write that took effect and is reported as a conflict."""
    table, client = served
    table.restore()
    outcome = _commit(client, "own", table_module.ABSENT)
    assert outcome.is_ok()
    assert client.read("k").version == outcome.ok.versions["k"]


def test_refusal_names_the_era(served):
    """Guards against a change of era that only successful calls show."""
    table, client = served
    table.restore()
    assert client.read("k") is None
    assert client.get_era() == 1


def test_table_without_an_era_has_its_versions(served):
    """Guards against versions that change for a service without eras."""
    _, client = served
    client.transact(_write("own", table_module.ABSENT))
    assert client.read("k").version == 1
    assert client.get_era() == 0
