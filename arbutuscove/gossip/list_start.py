"""When a daemon that starts reads the list of VMs from the store itself.

Load pattern: all daemons of a large fleet start at the same time. Those that
read for their failure domains ask the store, the others ask daemons that have
the list. In a fleet of up to `MAX_DIRECT_PEERS` each reads at once, since a
start that waits for others keeps callers waiting.
"""

import datetime
import enum

# More daemons that start together take the store's link for longer than a start
# through peers takes.
MAX_DIRECT_PEERS = 200
PAUSE = datetime.timedelta(milliseconds=50)  # between two looks
# A daemon that does not learn of its peers so soon reads for itself.
PEERS_TIMEOUT = datetime.timedelta(seconds=1)
# Time in which a daemon hears others of its failure domain.
DISCOVERY_TIME = datetime.timedelta(milliseconds=500)
# Between two questions. The list takes most of it at 20 Mbit/s.
ASK_INTERVAL = datetime.timedelta(milliseconds=250)
# Daemons with the list that were asked in vain, as they have other questions
# to answer, or are of an earlier version.
MAX_ASKED = 4
# Without any daemon that has the list. The readers need half of it.
LIST_TIMEOUT = datetime.timedelta(milliseconds=2500)
# Spread of the reads of those that give up, so that the store can serve them.
SPREAD = datetime.timedelta(seconds=1)


class Step(enum.Enum):
    """What a daemon without the list does now."""

    WAIT = "wait"
    ASK = "ask"
    READ = "read"


class Start:
    """The state of one daemon that starts."""

    def __init__(self, started: datetime.timedelta, part: float) -> None:
        """Creates the state.

        Args:
            started: the monotonic time.
            part: at random from 0 to 1, which part of the spread it waits.
        """
        self._started = started
        self._spread = SPREAD * part
        self._peers_known: datetime.timedelta | None = None
        self._asked_at: datetime.timedelta | None = None
        self._asked_ready = 0

    def decide(
        self,
        now: datetime.timedelta,
        peers: int | None,
        has_ready_peers: bool,
        is_source: bool,
    ) -> Step:
        """Returns the next step; `ASK` counts as done.

        Args:
            now: the monotonic time.
            peers: how many other daemons the store lists, None if unknown.
            has_ready_peers: whether one of the own domain has the list.
            is_source: whether this daemon reads for its domain, as far as it
                knows.
        """
        if peers is None:
            is_late = now - self._started >= PEERS_TIMEOUT
            return Step.READ if is_late else Step.WAIT
        if peers <= MAX_DIRECT_PEERS:
            return Step.READ
        if self._peers_known is None:
            self._peers_known = now
        known_for = now - self._peers_known
        if has_ready_peers:
            if not self._may_ask(now):
                return Step.WAIT
            if self._asked_ready >= MAX_ASKED:
                return Step.READ
            self._asked_ready += 1
            self._asked_at = now
            return Step.ASK
        if known_for < DISCOVERY_TIME:
            return Step.WAIT
        if is_source or known_for >= LIST_TIMEOUT + self._spread:
            return Step.READ
        if not self._may_ask(now):
            return Step.WAIT
        self._asked_at = now
        return Step.ASK

    def _may_ask(self, now: datetime.timedelta) -> bool:
        asked_at = self._asked_at
        return asked_at is None or now - asked_at >= ASK_INTERVAL
