"""Registration of this daemon in the store, by which peers find it."""

import dataclasses
import datetime
from collections import abc

import eliot
import msgspec
from gevent import event

from arbutuscove.crashes import holder as crash_holder
from arbutuscove.crashes import verdicts
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.kernel import services
from arbutuscove.platform import settings as settings_module
from arbutuscove.platform import store as store_module
from arbutuscove.platform import table as platform_table

SERVICE_NAME = "registry"
DAEMON_PREFIX = "daemon/"
MAX_REGISTRATION_BYTES = 4096  # a row with the address of one daemon


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Registration:
    ip: decoding.Ipv4Address


_REGISTRATION_DECODER = decoding.JsonDecoder[_Registration](
    _Registration, MAX_REGISTRATION_BYTES
)


class Registry(services.LoopService):
    """Writes this daemon's IP address to the store and reads its table.

    Passes the addresses in it to gossip as those of possible peers, and adds
    the verdicts on crashes of upstreams to the evidence.
    """

    RETRY_INTERVAL = datetime.timedelta(milliseconds=300)

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        clock: clock_module.Clock,
        gossip: gossip_service.Gossip,
        evidence: crash_holder.EvidenceHolder,
    ) -> None:
        self._evidence = evidence
        self._key = DAEMON_PREFIX + settings.name
        self._ip = settings.ip
        self._store = store
        self._clock = clock
        self._gossip = gossip
        self._is_due = event.Event()

    def start(self, kernel: services.Kernel) -> None:
        """Starts the registration, which is retried until it succeeds.

        It is done again in each later era of the store, which may have lost it.
        """
        self._store.add_era_listener(self._is_due.set)
        self.run_loop(self._run)

    def _run(self) -> None:
        self._add_verdicts(self._register())
        while True:
            self._is_due.wait()
            self._register()
            eliot.log_message("registry:written_again", key=self._key)

    def _register(self) -> tuple[store_module.Row, ...]:
        """Writes the own row and returns the rows of the table."""
        table = platform_table.OWN_TABLE
        content = msgspec.json.encode({"ip": self._ip})
        while True:
            self._is_due.clear()
            try:
                # The write comes first: of two daemons that start at the same
                # time, the one that reads last finds the other's address.
                self._store.transact(table, {}, {self._key: content})
                rows = self._store.read_rows(table).rows
                break
            except store_module.StoreError as error:
                eliot.log_message("registry:failed", reason=str(error))
                self._clock.sleep(self.RETRY_INTERVAL)
        self._gossip.add_peers(_list_peer_ips(rows))
        return rows

    def _add_verdicts(self, rows: abc.Iterable[store_module.Row]) -> None:
        self._evidence.restore(
            platform_table.decode_row(row)
            for row in rows
            if row.key.startswith(verdicts.KEY_PREFIX)
        )


def _list_peer_ips(rows: abc.Iterable[store_module.Row]) -> list[str]:
    """Returns the IP addresses in the rows of daemons."""
    ips: list[str] = []
    for row in rows:
        if not row.key.startswith(DAEMON_PREFIX) or row.content is None:
            continue
        try:
            ips.append(_REGISTRATION_DECODER.decode(row.content).ip)
        except decoding.DecodingError as error:
            eliot.log_message(
                "registry:row_skipped", key=row.key, reason=str(error)
            )
    return ips
