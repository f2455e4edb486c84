"""Guards against a second run of a non-repeatable request (P5)."""

from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import claims
from arbutuscove.standins import table as table_standin


class _RacingTable(table_standin.MemoryTable):
    """Runs a rival daemon between the read and the write of a claim."""

    def __init__(self):
        super().__init__()
        self.rival = None

    def transact(self, transaction):
        rival, self.rival = self.rival, None
        if rival is not None:
            rival()
        return super().transact(transaction)


def test_claim_race_has_one_winner():
    """Two daemons that saw no claim must not both dispatch."""
    table = _RacingTable()
    clock = clock_module.ManualClock()
    first = claims.Claims(table, clock, "a")
    second = claims.Claims(table, clock, "b")
    results = []
    table.rival = lambda: results.append(second.acquire("claim/k", "2", "d"))
    results.append(first.acquire("claim/k", "1", "d"))
    assert sorted(result.is_ok() for result in results) == [False, True]


def test_claim_left_by_a_dead_daemon_is_not_taken_again():
    """The request may have run, so its outcome must stay unknown."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    assert claims.Claims(table, clock, "a").acquire("claim/k", "1", "d").is_ok()
    again = claims.Claims(table, clock, "b").acquire("claim/k", "2", "d")
    assert again.error.state == claims.ClaimState.CLAIMED
