"""Computes for how long a VM is distrusted after it returns.

A VM that has paused or restarted once often does so again, and each failure
costs its replica a load. A returning VM is therefore avoided in assignments
for a time that doubles with each return and decays while the VM is present.
"""

import dataclasses
import datetime

INITIAL_DISTRUST = datetime.timedelta(seconds=30)
MAX_DISTRUST = datetime.timedelta(hours=1)
# Each interval without a failure undoes one doubling. A VM that fails once a
# day starts from `INITIAL_DISTRUST` again, one that fails hourly does not.
DECAY_INTERVAL = datetime.timedelta(hours=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """The presence history of one VM.

    Attributes:
        is_present: whether the VM was present at the last observation.
        changed_at: the monotonic time of the last change of `is_present`.
        return_count: number of recent returns, which decays over time.
        distrusted_until: the monotonic time at which distrust ends.
    """

    is_present: bool
    changed_at: datetime.timedelta
    return_count: int = 0
    distrusted_until: datetime.timedelta = datetime.timedelta()


def observe(
    record: Record | None, is_present: bool, now: datetime.timedelta
) -> Record:
    """Returns the record updated by one observation of the VM.

    Args:
        record: the record so far; None at the first observation.
        is_present: whether the VM is present now.
        now: the monotonic time of the observation.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> record = observe(None, True, 0 * second)
        >>> record = observe(record, False, 10 * second)
        >>> record = observe(record, True, 20 * second)
        >>> record.distrusted_until.total_seconds()
        50.0
    """
    if record is None:
        return Record(is_present=is_present, changed_at=now)
    if record.is_present == is_present:
        return record
    if not is_present:
        decayed_count = max(
            0, record.return_count - (now - record.changed_at) // DECAY_INTERVAL
        )
        return Record(
            is_present=False,
            changed_at=now,
            return_count=decayed_count,
            distrusted_until=record.distrusted_until,
        )
    duration = min(
        INITIAL_DISTRUST * 2 ** min(record.return_count, 16), MAX_DISTRUST
    )
    return Record(
        is_present=True,
        changed_at=now,
        return_count=record.return_count + 1,
        distrusted_until=now + duration,
    )


def is_distrusted(record: Record | None, now: datetime.timedelta) -> bool:
    """Returns whether new assignments should avoid the VM at `now`."""
    return record is not None and now < record.distrusted_until
