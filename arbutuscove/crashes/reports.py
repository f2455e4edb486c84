"""What daemons exchange of their evidence on crashes."""

import datetime

import msgspec

from arbutuscove.kernel import decoding


class DeathReport(msgspec.Struct, frozen=True, array_like=True):
    """A death as daemons exchange it; `age_ms` is the time since then.

    Daemons of earlier versions neither send nor read `waiting`.
    """

    identity: decoding.Text
    age_ms: int
    suspects: dict[int, int]
    waiting: dict[int, int] = msgspec.field(default_factory=dict)


class AnswerReport(msgspec.Struct, frozen=True, array_like=True):
    """The newest answer to a request with a trait, and the survivals.

    Daemons of earlier versions neither send nor read `count`.
    """

    key: int
    age_ms: int
    count: int = 1


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Evidence that one daemon sends to others."""

    deaths: tuple[DeathReport, ...] = ()
    answers: tuple[AnswerReport, ...] = ()


def compute_age(at: datetime.timedelta, now: datetime.timedelta) -> int:
    """Returns the milliseconds since a time, at least 0."""
    return max(0, (now - at) // datetime.timedelta(milliseconds=1))


def convert_age(age_ms: int) -> datetime.timedelta:
    """Returns an age in milliseconds as a duration."""
    # A damaged report must not overflow the range of timedelta.
    return datetime.timedelta(milliseconds=min(max(0, age_ms), 10**10))
