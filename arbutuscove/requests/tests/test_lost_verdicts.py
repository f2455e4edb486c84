"""Guards against verdicts that a restored table no longer has."""

import datetime

from arbutuscove.crashes import judgement
from arbutuscove.crashes import verdicts
from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import suspects
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module

PART = 7  # key of the part that crashes upstreams


def test_verdict_on_a_part_is_written_again():
    """Guards against a part that crashes replicas anew after a loss."""
    table = table_standin.MemoryTable()
    tracker = suspects.SuspectTracker(
        table,
        clock_module.ManualClock(),
        "d",
        None,
        lambda service: [],
        lambda: None,
        table.get_era,
    )
    for number in range(judgement.MIN_DEATHS_ANSWERED):
        tracker.evidence.record_death(
            judgement.Death(
                identity=f"vm{number}@1",
                at=datetime.timedelta(),
                suspects={PART: 0},
            )
        )
    tracker._verdicts.write_pending()
    (before,) = table_module.read_all(table, verdicts.KEY_PREFIX)
    table.restore()
    assert not table_module.read_all(table, verdicts.KEY_PREFIX)
    tracker.check_era()
    tracker._verdicts.write_pending()
    (after,) = table_module.read_all(table, verdicts.KEY_PREFIX)
    assert after.key == before.key
    # A death since the verdict may have been added.
    assert set(before.value["deaths"]) <= set(after.value["deaths"])
