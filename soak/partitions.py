"""Checks how daemons serve that are cut from all servers (RECOVER).

While some daemons are cut from all servers, from `faults.SETTLE_SECONDS` after
the cut began, first tries at them must be served at least two thirds as often
as those at the others, or no more than 10 and 1 in 50 of them may fail. A
connection that is refused, or closed with the request unread, is a failed try.
Each request of the callers is a first try.
"""

from collections import abc

from arbutuscove.standins import users_platform
from soak import callers
from soak import faults

MIN_RELATIVE_SHARE = 2 / 3  # of the served share of the other daemons
MAX_FAILURES = 10  # and one for each `TRIES_PER_FAILURE`
TRIES_PER_FAILURE = 50
# A daemon that is disturbed or stops serves less without any cut.
DISTURBANCES = (*faults.DAEMON_FAULTS, "term")


def check_cuts(
    tries: abc.Iterable[callers.Outcome],
    records: abc.Collection[faults.Record],
) -> list[users_platform.Violation]:
    """Returns a violation for each cut in which the cut daemons serve too few.

    The time from a disturbance of any daemon until `faults.SETTLE_SECONDS`
    after its end is left out.

    Args:
        tries: all requests, also those without a connection.
        records: faults and planned work.
    """
    tries = list(tries)
    violations = []
    for record in records:
        if record.name != faults.ENTRY_CUT:
            continue
        since = record.started_at + faults.SETTLE_SECONDS
        counted = [
            outcome
            for outcome in list_tries(tries, since, record.ended_at)
            if not _is_disturbed(outcome, records)
        ]
        violations += check_shares(counted, record.target.split(","))
    return violations


def list_tries(
    tries: abc.Iterable[callers.Outcome], since: float, until: float
) -> list[callers.Outcome]:
    """Returns the tries that began in a time, at the lasting routes."""
    return [
        outcome
        for outcome in tries
        if since <= outcome.started_at < until
        and outcome.route in callers.ROUTES
    ]


def check_shares(
    tries: abc.Iterable[callers.Outcome], cut_daemons: abc.Container[str]
) -> list[users_platform.Violation]:
    """Returns a violation if the cut daemons serve too few of the tries."""
    cut: list[callers.Outcome] = []
    others: list[callers.Outcome] = []
    for outcome in tries:
        (cut if outcome.daemon in cut_daemons else others).append(outcome)
    failed = sum(outcome.status != 200 for outcome in cut)
    share, other_share = compute_served_share(cut), compute_served_share(others)
    if (
        failed <= MAX_FAILURES + len(cut) / TRIES_PER_FAILURE
        or share >= MIN_RELATIVE_SHARE * other_share
    ):
        return []
    detail = (
        f"{len(cut) - failed} of {len(cut)} served at cut daemons,"
        f" {other_share:.2f} of {len(others)} at the others"
    )
    return [users_platform.Violation(name="RECOVER", detail=detail)]


def compute_served_share(tries: abc.Collection[callers.Outcome]) -> float:
    """Returns the share of the tries that were served; 0 if there are none."""
    served = sum(outcome.status == 200 for outcome in tries)
    return served / len(tries) if tries else 0.0


def _is_disturbed(
    outcome: callers.Outcome, records: abc.Iterable[faults.Record]
) -> bool:
    end = outcome.started_at + outcome.seconds
    return any(
        record.name in DISTURBANCES
        and record.started_at < end
        and record.ended_at + faults.SETTLE_SECONDS > outcome.started_at
        for record in records
    )
