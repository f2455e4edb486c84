"""Guards against evacuated domains that get requests, or lose replicas."""

from arbutuscove.kernel import clock as clock_module
from arbutuscove.replicas import evacuations
from arbutuscove.replicas import marks
from arbutuscove.replicas.tests import test_drains
from arbutuscove.replicas.tests import world as world_module
from arbutuscove.storage import table as table_module


def set_mark(table, domain, mark):
    clock = clock_module.ManualClock()
    marks.set_mark(table, clock, "ann", evacuations.KIND, domain, mark)


def test_evacuations_are_kept_in_an_outage():
    """A table outage must not send requests to an evacuated domain."""
    table = test_drains._Table()
    evacuated = evacuations.EvacuatedDomains(table)
    mark = evacuations.Evacuation(domain="a", reason="power")
    set_mark(table, "a", mark)
    assert evacuated.read() == {"a"}
    table.down = True
    assert evacuated.read() == {"a"}
    table.down = False
    set_mark(table, "a", None)
    assert evacuated.read() == frozenset()


def test_repeated_call_writes_one_audit_entry():
    """A repeated call must not be recorded as a second change."""
    table = test_drains._Table()
    for _ in range(3):
        set_mark(table, "a", evacuations.Evacuation(domain="a"))
    assert len(table.scan("audit/evacuations/")) == 1


def test_odd_row_evacuates_the_domain_in_its_key():
    """A row that another version wrote must not be passed over."""
    table = test_drains._Table()
    write = table_module.Write(key="evacuated/a", value=["odd"])
    table.transact(table_module.Transaction(conditions=(), writes=(write,)))
    assert evacuations.EvacuatedDomains(table).read() == {"a"}


def test_evacuations_are_bounded():
    """Rows for names that nobody has must not fill the memory."""
    table = test_drains._Table()
    for number in range(evacuations.MAX_DOMAINS + 5):
        set_mark(table, f"d{number}", evacuations.Evacuation(domain="d"))
    names = evacuations.EvacuatedDomains(table).read()
    assert len(names) == evacuations.MAX_DOMAINS


def test_evacuations_beyond_the_bound_are_reported_once():
    """Guards against a domain that gets requests, and nobody is told why.

    Nor does a row beyond the bound end the evacuation of another domain.
    """
    table = test_drains._Table()
    skipped = []
    evacuated = evacuations.EvacuatedDomains(table, skipped.append)
    mark = evacuations.Evacuation(domain="d")
    for number in range(evacuations.MAX_DOMAINS):
        set_mark(table, f"d{number}", mark)
    names = evacuated.read()
    assert not skipped
    set_mark(table, "another", mark)
    assert [evacuated.read() for _ in range(3)] == 3 * [names]
    assert skipped == [{"reason": evacuations.TOO_MANY}]
    set_mark(table, "d0", None)
    assert "another" in evacuated.read()


def test_evacuated_domain_is_neither_used_nor_repaired():
    """A domain that comes back must find its replicas as they were.

    Its controller would otherwise replace a member that fails meanwhile, or
    form replicas that get no request.
    """
    service = world_module.build_service(replicas=2)
    world = world_module.World({"a": 3, "b": 3}, [service])
    world.advance(120)
    rows = world.rows()
    assert {row.fabric_domain for row in rows} == {"a", "b"}
    evacuated = {"a"}
    (daemon,) = world.daemons
    daemon.board._list_evacuated = lambda: frozenset(evacuated)
    (row,) = (row for row in rows if row.fabric_domain == "a")
    world.fleet.vms[row.members[1].name].up = False
    world.advance(60)
    assert world.rows() == rows
    assert {replica.fabric_domain for replica in world.serving()} == {"b"}
    near = {vm.failure_domain: vm for vm in daemon.board.get_vms().values()}
    withheld = [name for name in near if daemon.board.is_domain_evacuated(name)]
    assert withheld == ["a"]
    assert daemon.board.is_address_evacuated(near["a"].address)
    evacuated.clear()
    world.advance(120)
    assert {replica.fabric_domain for replica in world.serving()} == {"a", "b"}
