"""Determines which services this daemon reaches, by trial connections.

`paths.reach` decides. A round of trial connections begins when a connection
has failed and no other one was opened since, and at intervals as long as a
service is not reached.
"""

import datetime
import random
import typing
from collections import abc

import eliot
import gevent

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.paths import reach as reach_module
from arbutuscove.storage import http
from arbutuscove.transport import connection

SERVICE_NAME = "paths"
TRIAL_TIMEOUT = datetime.timedelta(milliseconds=300)
# The further upstreams of a round are tried only if the first one has not
# accepted within this time.
FIRST_TRIAL_TIME = datetime.timedelta(milliseconds=50)
MAX_LISTED_SERVICES = 16  # in one heartbeat
WATCH_INTERVAL = datetime.timedelta(milliseconds=100)
FORGET_INTERVAL = datetime.timedelta(seconds=60)
SEARCH_INTERVAL = datetime.timedelta(milliseconds=20)
UNREACHED = reach_module.Verdict.UNREACHED


class Upstream(typing.Protocol):
    """The part of a listed upstream that trial connections need."""

    @property
    def address(self) -> http.Address:
        """The address that it listens on."""

    @property
    def fabric_domain(self) -> str:
        """The fabric domain, empty without one."""


OpenConnection = abc.Callable[
    [str, http.Address, datetime.timedelta], connection.Connection
]


class ReachMonitor(services.LoopService):
    """Holds the verdict on each service and runs the rounds."""

    def __init__(
        self,
        clock: clock_module.Clock,
        list_upstreams: abc.Callable[[str], abc.Sequence[Upstream]],
        open_through_peer: OpenConnection,
        generator: random.Random,
        open_direct: abc.Callable[
            [http.Address, datetime.timedelta], connection.Connection
        ] = connection.connect,
        is_answered: abc.Callable[
            [str, connection.Connection, datetime.timedelta], bool
        ] = lambda service, opened, timeout: True,
    ) -> None:
        """Creates a monitor.

        Args:
            clock: the clock.
            list_upstreams: returns the listed upstreams of a service.
            open_through_peer: opens a connection to an upstream of a service
                through a peer, within a timeout.
            generator: source of random choices.
            open_direct: opens a direct connection within a timeout.
            is_answered: returns whether an upstream of a service answers on a
                new connection within a timeout.
        """
        self._clock = clock
        self._list_upstreams = list_upstreams
        self._open_through_peer = open_through_peer
        self._generator = generator
        self._open_direct = open_direct
        self._is_answered = is_answered
        self._reaches: dict[str, reach_module.Reach] = {}
        self._rounds: dict[str, gevent.Greenlet] = {}
        # When upstreams accepted direct trials of the last round.
        self._accepted: dict[str, dict[http.Address, datetime.timedelta]] = {}
        # When the verdict on each service changed last.
        self._changed_at: dict[str, datetime.timedelta] = {}
        self._handlers: list[abc.Callable[[str], None]] = []

    def start(self, kernel: services.Kernel) -> None:
        """Starts the rounds for services that are not reached."""
        self.run_loop(self._watch)

    def stop(self) -> None:
        """Ends all rounds."""
        super().stop()
        for greenlet in list(self._rounds.values()):
            greenlet.kill()

    def add_change_handler(self, handler: abc.Callable[[str], None]) -> None:
        """Adds a function to call with a service whose verdict has changed."""
        self._handlers.append(handler)

    def get_verdict(self, service: str) -> reach_module.Verdict:
        """Returns the present verdict on a service."""
        return self._get(service).verdict

    def is_cut_off(self, service: str) -> bool:
        """Returns whether only peers reach a service."""
        return self.get_verdict(service) is reach_module.Verdict.CUT_OFF

    @property
    def service_count(self) -> int:
        """The number of services about which something is stored."""
        return len(self._reaches)

    def list_unreached(self) -> tuple[str, ...]:
        """Returns services that this daemon does not reach directly.

        At most `MAX_LISTED_SERVICES`, the first by name: peers are told of
        them. A peer that is asked to carry for another one denies it.
        """
        return tuple(sorted(self._find_unreached())[:MAX_LISTED_SERVICES])

    def record_open(self, service: str) -> None:
        """Records that an upstream accepted a direct connection."""
        self._set(
            service,
            reach_module.record_open(
                self._get(service), self._clock.monotonic()
            ),
        )

    def record_contact(self, service: str) -> None:
        """Records that an upstream accepted a connection through a peer."""
        self._set(
            service,
            reach_module.record_contact(
                self._get(service), self._clock.monotonic()
            ),
        )

    def was_opened(self, service: str, since: datetime.timedelta) -> bool:
        """Returns whether a direct connection was opened since a time."""
        return _is_since(self._get(service).opened_at, since)

    def has_accepted(
        self, service: str, address: http.Address, since: datetime.timedelta
    ) -> bool:
        """Returns whether an upstream accepted a direct trial since a time."""
        accepted = self._accepted.get(service, {})
        return _is_since(accepted.get(address), since)

    def was_contacted(self, service: str, since: datetime.timedelta) -> bool:
        """Returns whether a connection was opened since, on any path."""
        return _is_since(self._get(service).contact_at, since)

    def wait_for_path(
        self, service: str, deadline: datetime.timedelta | None
    ) -> bool:
        """Waits for the rounds that may still find a path to a service.

        Args:
            service: the service.
            deadline: monotonic time after which the wait ends, None without.

        Returns:
            Whether a path was found.
        """
        while reach_module.is_searching(self._get(service)):
            if self._is_past(deadline):
                return False
            before = self._get(service)
            greenlet = self._begin_round(service)
            if greenlet is not None:
                self._join(greenlet, deadline)
            # No round may begin yet, or no upstream is listed.
            if self._get(service) == before and not self._is_past(deadline):
                self._clock.sleep(SEARCH_INTERVAL)
        return self.get_verdict(service) is not UNREACHED

    def suspect(self, service: str, since: datetime.timedelta) -> None:
        """Begins a round unless a direct connection was opened since."""
        if not self.was_opened(service, since):
            self._begin_round(service)

    def confirm_reach(
        self,
        service: str,
        since: datetime.timedelta,
        deadline: datetime.timedelta | None = None,
    ) -> bool:
        """Returns whether a direct connection was opened since a time.

        Runs a round of trial connections if that is not known.

        Args:
            service: the service.
            since: monotonic time, when a connection began to fail.
            deadline: monotonic time after which the wait for the round ends,
                None without.
        """
        return self._confirm(
            service, since, lambda reach: reach.opened_at, deadline
        )

    def confirm_contact(self, service: str, since: datetime.timedelta) -> bool:
        """Returns whether a connection was opened since, on any path.

        Only then does the silence of one upstream say something about it, and
        only if the verdict has not changed since: the upstream may have been
        asked on a path that is not used any more.
        While the service is cut off, the next round may have to be waited for,
        which is at most `reach.ROUND_INTERVAL` away.
        """
        next_round_at = self._get(service).next_round_at
        while (
            self.is_cut_off(service)
            and self._get(service).next_round_at == next_round_at
            and not _is_since(self._get(service).contact_at, since)
            and self._begin_round(service) is None
        ):
            self._clock.sleep(SEARCH_INTERVAL)
        is_contacted = self._confirm(
            service, since, lambda reach: reach.contact_at
        )
        has_changed = _is_since(self._changed_at.get(service), since)
        return is_contacted and not has_changed

    def _confirm(
        self,
        service: str,
        since: datetime.timedelta,
        read_time: abc.Callable[
            [reach_module.Reach], datetime.timedelta | None
        ],
        deadline: datetime.timedelta | None = None,
    ) -> bool:
        if not _is_since(read_time(self._get(service)), since):
            greenlet = self._begin_round(service)
            if greenlet is not None:
                self._join(greenlet, deadline)
        return _is_since(read_time(self._get(service)), since)

    def _is_past(self, deadline: datetime.timedelta | None) -> bool:
        return deadline is not None and self._clock.monotonic() >= deadline

    def _join(
        self, greenlet: gevent.Greenlet, deadline: datetime.timedelta | None
    ) -> None:
        """Waits for a round, which goes on after the deadline."""
        if deadline is None:
            greenlet.join()
            return
        left = deadline - self._clock.monotonic()
        greenlet.join(max(left.total_seconds(), 0))

    def _begin_round(self, service: str) -> gevent.Greenlet | None:
        """Returns the running round, a new one, or None if none may begin."""
        running = self._rounds.get(service)
        if running is not None:
            return running
        next_round_at = self._get(service).next_round_at
        now = self._clock.monotonic()
        if next_round_at is not None and now < next_round_at:
            return None
        greenlet = gevent.spawn(self._run_round, service)
        self._rounds[service] = greenlet
        return greenlet

    def _run_round(self, service: str) -> None:
        try:
            sample = self._pick_sample(service)
            if not sample:
                return
            paths = self._try_all(service, sample)
            if paths is None:
                return
            self._set(
                service,
                reach_module.finish_round(
                    self._get(service), paths, self._clock.monotonic()
                ),
            )
        finally:
            self._rounds.pop(service, None)

    def _pick_sample(self, service: str) -> list[http.Address]:
        """Returns some upstreams, of different fabric domains if possible."""
        upstreams = list(self._list_upstreams(service))
        self._generator.shuffle(upstreams)
        seen: set[str] = set()
        first: list[http.Address] = []
        others: list[http.Address] = []
        for upstream in upstreams:
            is_new = upstream.fabric_domain not in seen
            seen.add(upstream.fabric_domain)
            (first if is_new else others).append(upstream.address)
        return (first + others)[: reach_module.SAMPLE_SIZE]

    def _try_all(
        self, service: str, sample: abc.Sequence[http.Address]
    ) -> list[reach_module.Path] | None:
        """Returns the paths, None if a connection opened meanwhile decides."""
        started = self._clock.monotonic()
        needs_all = self.is_cut_off(service)
        self._accepted[service] = {}
        jobs = [gevent.spawn(self._try_direct, service, sample[0])]
        if not needs_all:
            jobs[0].join(FIRST_TRIAL_TIME.total_seconds())
            if jobs[0].ready() and jobs[0].value:
                return [reach_module.Path.DIRECT]
        jobs += [
            gevent.spawn(self._try_direct, service, address)
            for address in sample[1:]
        ]
        gevent.joinall(jobs)
        paths = {
            address: reach_module.Path.DIRECT
            if job.value
            else reach_module.Path.NONE
            for address, job in zip(sample, jobs, strict=True)
        }
        has_direct = reach_module.Path.DIRECT in paths.values()
        if not needs_all:
            if has_direct:
                return list(paths.values())
            if self.was_opened(service, started):
                return None
        self._try_peers(service, paths)
        if not needs_all and self.was_opened(service, started):
            return None
        return list(paths.values())

    def _try_peers(
        self, service: str, paths: dict[http.Address, reach_module.Path]
    ) -> None:
        """Tries the upstreams without a direct path through peers."""
        jobs = {
            address: gevent.spawn(self._try_peer, service, address)
            for address, path in paths.items()
            if path is reach_module.Path.NONE
        }
        gevent.joinall(jobs.values())
        for address, job in jobs.items():
            if job.value:
                paths[address] = reach_module.Path.PEER

    def _try_direct(self, service: str, address: http.Address) -> bool:
        deadline = self._clock.monotonic() + TRIAL_TIMEOUT
        try:
            opened = self._open_direct(address, TRIAL_TIMEOUT)
        except http.NotSentError:
            return False
        if not self._has_answered(service, opened, deadline):
            return False
        accepted = self._accepted.setdefault(service, {})
        accepted[address] = self._clock.monotonic()
        return True

    def _try_peer(self, service: str, address: http.Address) -> bool:
        deadline = self._clock.monotonic() + 2 * TRIAL_TIMEOUT
        try:
            opened = self._open_through_peer(service, address, TRIAL_TIMEOUT)
        except http.NotSentError:
            return False
        return self._has_answered(service, opened, deadline)

    def _has_answered(
        self,
        service: str,
        opened: connection.Connection,
        deadline: datetime.timedelta,
    ) -> bool:
        """Returns whether an upstream answers, and closes the connection."""
        try:
            left = deadline - self._clock.monotonic()
            return self._is_answered(service, opened, left)
        finally:
            opened.close()

    def _find_unreached(self) -> list[str]:
        return [
            service
            for service, reach in self._reaches.items()
            if reach.verdict is not reach_module.Verdict.REACHED
        ]

    def _get(self, service: str) -> reach_module.Reach:
        return self._reaches.get(service, reach_module.Reach())

    def _set(self, service: str, reach: reach_module.Reach) -> None:
        before = self._get(service).verdict
        self._reaches[service] = reach
        if reach.verdict is before:
            return
        self._changed_at[service] = self._clock.monotonic()
        eliot.log_message(
            "paths:verdict",
            service=service,
            verdict=reach.verdict.value,
            before=before.value,
            failed_rounds=reach.failed_rounds,
        )
        for handler in self._handlers:
            handler(service)

    def _watch(self) -> None:
        forgotten_at = self._clock.monotonic()
        while True:
            self._clock.sleep(WATCH_INTERVAL)
            now = self._clock.monotonic()
            if now - forgotten_at >= FORGET_INTERVAL:
                forgotten_at = now
                self._reaches = {
                    service: reach
                    for service, reach in self._reaches.items()
                    if self._list_upstreams(service)
                }
                for service in self._accepted.keys() - self._reaches.keys():
                    del self._accepted[service]
                for service in self._changed_at.keys() - self._reaches.keys():
                    del self._changed_at[service]
            for service in self._find_unreached():
                if self._list_upstreams(service):
                    self._begin_round(service)
                else:
                    del self._reaches[service]
                    self._accepted.pop(service, None)
                    self._changed_at.pop(service, None)


def _is_since(
    time: datetime.timedelta | None, since: datetime.timedelta
) -> bool:
    return time is not None and time >= since
