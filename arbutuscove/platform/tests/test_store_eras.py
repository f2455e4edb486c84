"""Guards against the use of answers of a store that came back older."""

import datetime

import expression
import gevent
import pytest
from gevent import pywsgi

from arbutuscove.kernel import clock as clock_module
from arbutuscove.platform import store as store_module
from arbutuscove.platform import table as platform_table
from arbutuscove.standins import users_store
from arbutuscove.storage import eras
from arbutuscove.storage import http
from arbutuscove.storage import table as table_module
from arbutuscove.transport import pool

WAIT = datetime.timedelta(milliseconds=300)


@pytest.fixture(name="served")
def served_fixture():
    """Yields a stand-in store and a client of it."""
    service = users_store.Store()
    server = pywsgi.WSGIServer(("127.0.0.1", 0), service, log=None)
    server.start()
    clock = clock_module.SystemClock()
    address = http.Address("127.0.0.1", server.server_port)
    yield (
        service,
        store_module.Store(address, pool.ConnectionPool(clock), clock),
    )
    server.stop(timeout=0.1)


def test_store_learns_the_era_from_a_refusal(served):
    """Guards against a restore that is noticed only after the first read."""
    service, store = served
    store.read_rows("op")
    assert store.get_era() == 1
    service.restore(0.0)
    service.faults.error_status = 503
    with pytest.raises(store_module.StoreBusyError):
        store.read_rows("op")
    assert store.get_era() == 2


def test_store_reports_each_change_of_the_era_once(served):
    """Guards against positions that are dropped twice, or at each start."""
    service, store = served
    changes = []
    store.add_era_listener(lambda: changes.append(store.get_era()))
    store.read_rows("op")
    assert not changes
    service.restore(0.0)
    store.read_rows("op")
    store.observe_era(2, "peer")
    store.observe_era(1, "peer")
    store.observe_era(2**64, "peer")
    assert changes == [2]


def test_position_of_an_earlier_era_is_lost(served):
    """Guards against a feed that hides changes from before its position.

    After a restore the counter passes the position again; the changes in
    between would never be delivered.
    """
    service, store = served
    service.put("op", "config", {"version": 1})
    gevent.sleep(0.05)
    for count in range(3):
        service.put("servers", "a", count)
    position = store.read_rows("op").position
    service.restore(0.03)
    service.put("op", "config", {"version": 2})
    for count in range(5):
        service.put("servers", "a", count)
    with pytest.raises(store_module.HistoryLostError):
        store.wait_for_changes("op", position, WAIT)
    page = store.read_rows("op")
    assert page.era == 2
    assert b"2" in page.rows[0].content


def test_position_not_reached_yet_is_lost(served):
    """Guards against a feed that waits for the counter to pass its position."""
    service, store = served
    service.put("op", "config", {"version": 1})
    position = store.read_rows("op").position
    service.restore(10.0)
    with pytest.raises(store_module.HistoryLostError):
        store.wait_for_changes("op", position, WAIT)


def test_feed_that_spans_a_restore_is_lost(served):
    """Guards against changes of a new era that are added to an older one."""
    service, store = served
    position = store.read_rows("op").position
    gevent.spawn_later(0.05, service.restore, 0.0)
    gevent.spawn_later(0.1, service.put, "op", "config", {"version": 1})
    with pytest.raises(store_module.HistoryLostError):
        store.wait_for_changes("op", position, WAIT)


def test_late_answer_of_an_earlier_era_is_not_used(served):
    """Guards against rows from before a restore that replace newer ones."""
    service, store = served
    store.read_rows("op")
    service.faults.answer_delay = 0.1
    late = gevent.spawn(_get_error, store.read_rows, "op")
    gevent.sleep(0.05)
    service.faults.answer_delay = 0.0
    service.restore(0.0)
    assert store.read_rows("op").era == 2
    assert isinstance(late.get(timeout=2), store_module.StoreError)


def test_write_of_an_earlier_era_is_not_confirmed(served):
    """Guards against a lease that was confirmed and then lost by a restore."""
    service, store = served
    table = platform_table.StoreTable(store)
    assert table.read("lease") is None
    service.faults.answer_delay = 0.1
    late = gevent.spawn(_get_error, table.transact, _create_write("lease", 0))
    gevent.sleep(0.05)
    service.faults.answer_delay = 0.0
    service.restore(10.0)
    assert table.read("lease") is None
    error = late.get(timeout=2)
    assert isinstance(error, table_module.OutcomeUnknownError)


def test_write_that_meets_a_new_era_is_not_confirmed(served):
    """Guards against a condition that holds for the version of another row."""
    service, store = served
    table = platform_table.StoreTable(store)
    table.read("lease")
    service.restore(0.0)
    with pytest.raises(table_module.OutcomeUnknownError):
        table.transact(_create_write("lease", 0))


def test_condition_of_an_earlier_era_conflicts(served):
    """Guards against a write over a row whose version was assigned again."""
    service, store = served
    table = platform_table.StoreTable(store)
    table.transact(_create_write("lease", 0))
    row = table.read("lease")
    service.restore(10.0)
    service.put(platform_table.OWN_TABLE, "lease", {"value": "other"})
    assert table.read("lease").value == "other"
    outcome = table.transact(_create_write("lease", row.version))
    assert isinstance(outcome, expression.Result)
    assert outcome.is_error()
    assert table.read("lease").value == "other"


def test_change_between_two_pages_is_not_hidden(served, monkeypatch):
    """Guards against a snapshot whose position is past what it contains.

    A row of the first page that changes before the second page is read has to
    be delivered by the feed.
    """
    service, store = served
    monkeypatch.setattr(store_module, "MAX_PAGE_ROWS", 1)
    service.put("servers", "a", "old")
    service.put("servers", "b", "old")
    service.faults.answer_delay = 0.05
    gevent.spawn_later(0.025, service.put, "servers", "a", "new")
    page = store.read_rows("servers")
    assert [row.key for row in page.rows] == ["a", "b"]
    assert b"old" in page.rows[0].content
    changes = store.wait_for_changes("servers", page.position, WAIT)
    assert [row.key for row in changes.rows] == ["a"]


def _create_write(key, version):
    return table_module.Transaction(
        write_id="w",
        conditions=(table_module.Condition(key=key, version=version),),
        writes=(table_module.Write(key=key, value={"holder": "me"}),),
    )


def _get_error(function, *arguments):
    try:
        return function(*arguments)
    except Exception as error:
        return error


def test_daemon_that_starts_after_a_restore_learns_of_it(served):
    """Guards against a list of an older copy that is used as it is read."""
    service, store = served
    service.restore(0.0)
    changes = []
    store.add_era_listener(lambda: changes.append(store.get_era()))
    store.read_rows("op")
    assert changes == [2]


def test_first_era_is_no_change(served):
    """Guards against a list that settles at each start without a restore."""
    _, store = served
    changes = []
    store.add_era_listener(lambda: changes.append(store.get_era()))
    store.read_rows("op")
    assert not changes


def test_era_that_appears_after_unnamed_answers_is_a_change(served):
    """Guards against a restore that is missed as it brings the first era."""
    _, store = served
    changes = []
    store.add_era_listener(lambda: changes.append(store.get_era()))
    store._has_unnamed_era = True
    store.read_rows("op")
    assert changes == [1]


def test_false_era_of_a_peer_is_not_believed(served):
    """Guards against a store that no daemon uses after one false message."""
    _, store = served
    store.read_rows("op")
    store.observe_era(eras.MAX_ERA, "peer")
    assert store.get_era() == 1
    store.read_rows("op")
    store.observe_era(2, "peer")
    assert store.get_era() == 2
