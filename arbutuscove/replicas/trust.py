"""How long a VM that comes back is left out of new assignments.

A VM that pauses or restarts once often does so again, and each time costs the
whole replica a load. So a returning VM is distrusted, for a time that doubles
with each return and decays while the VM stays.
"""

import dataclasses
import datetime

FIRST = datetime.timedelta(seconds=30)
LONGEST = datetime.timedelta(hours=1)
# One doubling is forgotten for each such time without a loss: a VM that fails
# once a day starts from `FIRST` again, one that fails hourly does not.
DECAY = datetime.timedelta(hours=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """The presence of one VM; `returns` counts recent returns."""

    present: bool
    since: datetime.timedelta
    returns: int = 0
    until: datetime.timedelta = datetime.timedelta()


def observe(
    record: Record | None, present: bool, now: datetime.timedelta
) -> Record:
    """Returns the record after seeing the VM present or lost at `now`.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> record = observe(None, True, 0 * second)
        >>> record = observe(record, False, 10 * second)
        >>> observe(record, True, 20 * second).until.total_seconds()
        50.0
    """
    if record is None:
        return Record(present=present, since=now)
    if record.present == present:
        return record
    if not present:
        kept = max(0, record.returns - (now - record.since) // DECAY)
        return Record(
            present=False, since=now, returns=kept, until=record.until
        )
    wait = min(FIRST * 2 ** min(record.returns, 16), LONGEST)
    return Record(
        present=True, since=now, returns=record.returns + 1, until=now + wait
    )


def is_distrusted(record: Record | None, now: datetime.timedelta) -> bool:
    """Returns whether the VM takes no new assignment at `now`."""
    return record is not None and now < record.until
