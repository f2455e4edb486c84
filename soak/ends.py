"""Checks that each request ended with an answer that its caller saw (LOST).

A request whose connection was closed without a complete answer is excused only
by a record of what broke it off:

- a fault of the daemon that was called (`faults.DAEMON_FAULTS`), from
  `faults.SETTLE_SECONDS` before the request to its end;
- a crash or a fault on the link of a server that ran the request, or of another
  member of its group, in the same span; which servers ran it is known from
  their own records, so that a fault of any other server excuses nothing;
- a cut of the daemon that was called from all servers, if the request began
  before `faults.SETTLE_SECONDS` after the cut did;
- its deadline, or the shortest time-out that its route had meanwhile;
- a daemon that stops and closes the connection while the request is on its
  way, if no server ran it and the caller learns it at once.

Nothing excuses a request that is still open well past its deadline, except a
fault of its daemon. Neither silence, nor a refusal, nor a failure that a server
answers with, nor faults of the store excuse anything.
"""

from collections import abc

from arbutuscove.standins import users_platform
from soak import callers
from soak import faults
from soak import world

# Times of the caller and of the daemon differ by the time on the way.
MARGIN_SECONDS = 0.1
# How long an older configuration may stay in force after a newer one.
APPLY_SECONDS = 2.0
# Time until a caller learns that its request crossed the close of a connection.
CROSSING_SECONDS = 0.2


def check_ends(
    outcomes: abc.Iterable[callers.Outcome],
    runs: abc.Iterable[users_platform.Run],
    records: abc.Collection[faults.Record],
    changes: abc.Sequence[world.Change],
) -> list[users_platform.Violation]:
    """Returns a violation for each request that ended without an answer.

    Args:
        outcomes: outcomes of all requests.
        runs: runs that the servers recorded.
        records: faults and planned work.
        changes: stored configurations, in order.
    """
    servers: dict[str, set[str]] = {}
    for run in runs:
        names = servers.setdefault(run.request_id, set())
        names.update((run.server, *run.members))
    violations = []
    for outcome in outcomes:
        if outcome.status:
            continue
        names = servers.get(outcome.request_id, set())
        reason = _find_excuse(outcome, names, records, changes)
        if reason is None:
            detail = (
                f"{outcome.request_id} ({outcome.route}) at {outcome.daemon}"
                f" ended after {outcome.seconds:.2f} s without an answer;"
                f" servers: {sorted(names) or 'none'}"
            )
            violations.append(
                users_platform.Violation(name="LOST", detail=detail)
            )
    return violations


def has_crossed(outcome: callers.Outcome, servers: abc.Collection[str]) -> bool:
    """Returns whether a request met the close of a connection on its way.

    Args:
        outcome: a request without an answer.
        servers: names of the servers that ran it.
    """
    return not servers and outcome.seconds < CROSSING_SECONDS


def _find_excuse(
    outcome: callers.Outcome,
    servers: set[str],
    records: abc.Iterable[faults.Record],
    changes: abc.Sequence[world.Change],
) -> str | None:
    """Returns what explains that a request got no answer, None if nothing."""
    since = outcome.started_at - faults.SETTLE_SECONDS
    until = outcome.started_at + outcome.seconds
    around = [
        record
        for record in records
        if record.started_at < until and record.ended_at > since
    ]
    for record in around:
        is_own = record.target == outcome.daemon
        if is_own and record.name in faults.DAEMON_FAULTS:
            return record.name
    deadline = callers.DEADLINE.total_seconds()
    if outcome.seconds > deadline + callers.EXTRA_WAIT_SECONDS - MARGIN_SECONDS:
        return None
    for record in around:
        if record.name == faults.ENTRY_CUT and _is_unsettled(record, outcome):
            return record.name
        if record.target in servers and record.name in faults.SERVER_FAULTS:
            return record.name
    timeout = min(deadline, _get_timeout(outcome, changes))
    if outcome.seconds >= timeout - MARGIN_SECONDS:
        return "deadline"
    is_stopping = any(
        record.name == "term" and record.target == outcome.daemon
        for record in around
    )
    if is_stopping and has_crossed(outcome, servers):
        return "crossing"
    return None


def _is_unsettled(record: faults.Record, outcome: callers.Outcome) -> bool:
    """Returns whether a request began early in a cut of its daemon."""
    return (
        outcome.daemon in record.target.split(",")
        and outcome.started_at < record.started_at + faults.SETTLE_SECONDS
    )


def _get_timeout(
    outcome: callers.Outcome, changes: abc.Sequence[world.Change]
) -> float:
    """Returns the shortest time-out that the request's route may have had."""
    if outcome.route not in callers.ROUTES:
        return min(
            seconds
            for change in changes
            for seconds in change.timeouts.values()
        )
    until = outcome.started_at + outcome.seconds
    shortest = float("inf")
    for position, change in enumerate(changes):
        is_replaced = (
            position + 1 < len(changes)
            and changes[position + 1].stored_at + APPLY_SECONDS
            < outcome.started_at
        )
        if change.stored_at < until and not is_replaced:
            shortest = min(shortest, change.timeouts[f"/{outcome.route}/"])
    return shortest
