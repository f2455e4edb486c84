"""Whether this daemon reaches the upstreams of a service, without I/O.

One failed connection does not tell whether the upstream or the path to it has
failed. So a failure only counts against an upstream while this daemon is known
to reach another one of the same service. Otherwise it opens a *round* of trial
connections to some upstreams, first directly and then through peers, and the
outcome of the round decides:

- `REACHED`: an upstream answered on a direct connection.
- `CUT_OFF`: none did, but one answered on a connection through a peer. The path
  of this daemon has failed and not the upstreams.
- `UNREACHED`: none did at all. Nothing is known of the upstreams.

An accepted connection alone proves nothing: something on the path may accept
connections and lose them.

A daemon without peers can therefore not find itself cut off.
"""

import dataclasses
import datetime
import enum
from collections import abc

SAMPLE_SIZE = 3  # upstreams in one round
ROUND_INTERVAL = datetime.timedelta(milliseconds=500)  # while cut off
# After a round in which no path led to any upstream; doubles up to the maximum.
MIN_RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
MAX_RETRY_INTERVAL = datetime.timedelta(seconds=1)
MAX_RETRY_DOUBLINGS = 8  # avoids an overflow; more than the maximum needs
# Daemons that are cut off at the same time learn of each other within this
# number of rounds.
MAX_SEARCH_ROUNDS = 4


class Verdict(enum.Enum):
    """What this daemon believes of its direct paths to a service."""

    REACHED = "reached"
    CUT_OFF = "cut_off"
    UNREACHED = "unreached"


class Path(enum.Enum):
    """How an upstream accepted a trial connection."""

    DIRECT = "direct"
    PEER = "peer"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reach:
    """What is known of the paths to one service; times are monotonic.

    Attributes:
        verdict: the present verdict.
        opened_at: when a direct connection was opened last, None if never.
        contact_at: when a connection was opened last on any path.
        next_round_at: no round begins before it.
        failed_rounds: rounds in a row in which no path led to an upstream.
    """

    verdict: Verdict = Verdict.REACHED
    opened_at: datetime.timedelta | None = None
    contact_at: datetime.timedelta | None = None
    next_round_at: datetime.timedelta | None = None
    failed_rounds: int = 0


def is_searching(reach: Reach) -> bool:
    """Returns whether the next rounds may still find a path."""
    return (
        reach.verdict is Verdict.UNREACHED
        and reach.failed_rounds < MAX_SEARCH_ROUNDS
    )


def record_open(reach: Reach, now: datetime.timedelta) -> Reach:
    """Returns the state after an upstream accepted a direct connection.

    It does not end the verdict `CUT_OFF`: only a round does.
    """
    if reach.verdict is Verdict.UNREACHED:
        return Reach(opened_at=now, contact_at=now)
    return dataclasses.replace(reach, opened_at=now, contact_at=now)


def record_contact(reach: Reach, now: datetime.timedelta) -> Reach:
    """Returns the state after a connection was opened through a peer."""
    return dataclasses.replace(reach, contact_at=now)


def finish_round(
    reach: Reach, paths: abc.Collection[Path], now: datetime.timedelta
) -> Reach:
    """Returns the state after a round of trial connections.

    While a service is cut off, most of the upstreams that accept connections
    have to accept direct ones before these are used again: one may still be
    reached by chance. Those that no path leads to may have ended.

    Args:
        reach: the state before.
        paths: how each upstream that was tried accepted a connection.
        now: monotonic time.
    """
    direct = sum(path is Path.DIRECT for path in paths)
    through_peer = sum(path is Path.PEER for path in paths)
    is_reached = direct > 0
    if reach.verdict is Verdict.CUT_OFF:
        is_reached = direct > through_peer
    if is_reached:
        return Reach(
            verdict=Verdict.REACHED,
            opened_at=now,
            contact_at=now,
            next_round_at=now,
        )
    is_cut_off = through_peer > 0
    failed_rounds = 0 if is_cut_off else reach.failed_rounds + 1
    pause = ROUND_INTERVAL
    if not is_cut_off:
        exponent = min(failed_rounds - 1, MAX_RETRY_DOUBLINGS)
        pause = min(MIN_RETRY_INTERVAL * 2**exponent, MAX_RETRY_INTERVAL)
    return dataclasses.replace(
        reach,
        verdict=Verdict.CUT_OFF if is_cut_off else Verdict.UNREACHED,
        contact_at=now if is_cut_off else reach.contact_at,
        next_round_at=now + pause,
        failed_rounds=failed_rounds,
    )
