"""Guards against a second run of a request whose claim the table lost."""

import datetime

import pytest

from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import claims
from arbutuscove.requests import failures
from arbutuscove.requests import lost_claims
from arbutuscove.requests import once
from arbutuscove.standins import table as table_standin

SECOND = datetime.timedelta(seconds=1)


class _Setup:
    """Daemons that share a table which can lose what it acknowledged."""

    def __init__(self):
        self.table = table_standin.MemoryTable()
        self.clock = clock_module.ManualClock()
        self.daemons = {name: self.start(name) for name in "ab"}

    def start(self, name):
        return once.AtMostOnce(
            claims.Claims(self.table, self.clock, name, self.table.get_era),
            None,
        )

    def begin(self, name, key="k", attempt="1"):
        """Returns the claim, or the run status of the refusal."""
        try:
            return self.daemons[name].begin("desk", key, attempt, "digest")
        except failures.RequestFailedError as error:
            return error.run


@pytest.fixture(name="setup")
def fixture_setup():
    return _Setup()


def test_request_whose_claim_is_lost_does_not_run_again(setup):
    """Guards against an absent claim that is taken for a request not run."""
    assert isinstance(setup.begin("a"), claims.HeldClaim)
    setup.table.restore()
    for name in "ab":
        assert setup.begin(name, attempt=name) is failures.RunStatus.UNKNOWN


def test_lost_claim_is_written_again(setup):
    """Guards against a second run once the settle time has passed."""
    setup.begin("a")
    setup.table.restore()
    setup.daemons["a"].check_claims()
    setup.clock.advance(lost_claims.SETTLE_TIME)
    assert setup.begin("b", attempt="2") is failures.RunStatus.UNKNOWN


def test_new_requests_run_again_after_the_settle_time(setup):
    """Guards against a loss after which no such request ever runs."""
    setup.begin("a")
    setup.table.restore()
    assert setup.begin("b", key="new") is failures.RunStatus.UNKNOWN
    setup.clock.advance(lost_claims.SETTLE_TIME)
    assert isinstance(setup.begin("b", key="new"), claims.HeldClaim)


def test_abandoned_claim_of_an_older_copy_is_not_taken(setup):
    """Guards against a second run from a row that is older than the first."""
    held = setup.begin("a")
    setup.daemons["a"].cancel(held)
    setup.table.save()
    assert isinstance(setup.begin("a", attempt="2"), claims.HeldClaim)
    setup.table.restore()
    assert setup.begin("b", attempt="3") is failures.RunStatus.UNKNOWN
    setup.daemons["a"].check_claims()
    setup.clock.advance(lost_claims.SETTLE_TIME)
    assert setup.begin("b", attempt="3") is failures.RunStatus.UNKNOWN


def test_daemon_started_after_the_loss_waits_too(setup):
    """Guards against a process that has known only the new era."""
    setup.begin("a")
    setup.table.restore()
    setup.daemons["c"] = setup.start("c")
    assert setup.begin("c", attempt="2") is failures.RunStatus.UNKNOWN


def test_daemon_started_later_does_not_wait(setup):
    """Guards against requests refused at each start after a loss."""
    setup.table.restore()
    setup.begin("a")
    setup.clock.advance(lost_claims.SETTLE_TIME)
    setup.daemons["a"].check_claims()
    setup.daemons["c"] = setup.start("c")
    assert isinstance(setup.begin("c"), claims.HeldClaim)


def test_claim_written_while_the_era_changes_does_not_run(setup):
    """Guards against a claim whose absence was read before the loss.

    Another daemon may have claimed and run the request in the lost part.
    """
    transact = setup.table.transact

    def lose_first(transaction):
        setup.table.transact = transact
        assert isinstance(setup.begin("b", attempt="2"), claims.HeldClaim)
        setup.table.restore()
        return transact(transaction)

    setup.table.transact = lose_first
    assert not isinstance(setup.begin("a"), claims.HeldClaim)
