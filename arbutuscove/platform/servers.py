"""Follower of the list of servers in the store and in updates of peers."""

import datetime
import random
from collections import abc

import eliot
from gevent import event

from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model as fleet_model
from arbutuscove.gossip import digest
from arbutuscove.gossip import list_exchange
from arbutuscove.gossip import list_history
from arbutuscove.gossip import list_start
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module
from arbutuscove.platform import entries
from arbutuscove.platform import followers
from arbutuscove.platform import store as store_module

SERVICE_NAME = "servers-follower"
TABLE = "servers"
# Pause between reads by the lease holder, the daemon that holds the group
# controller's lease. Servers write at each heartbeat, so a feed would answer
# without pause. The lease holder waits for the effect of each step of a repair.
HOLDER_READ_INTERVAL = datetime.timedelta(milliseconds=250)
# Without an update from the lease holder for this long, one daemon of each
# failure domain reads the store.
DOMAIN_READER_TIMEOUT = datetime.timedelta(milliseconds=500)
# The same without an update from that daemon, for its deputy.
DEPUTY_READ_TIMEOUT = datetime.timedelta(milliseconds=750)
# Without an update from these either for this long, each daemon reads the
# store itself. This is below the two seconds within which daemons must learn of
# a leaving VM.
OWN_READ_TIMEOUT = datetime.timedelta(milliseconds=1000)
# The same after the start of this daemon, which has to hear of the others yet:
# until then it takes itself for the reader of its failure domain.
START_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
SERVERS_FEED_WAIT = datetime.timedelta(milliseconds=200)
# Updates that were sent together may overtake each other.
REORDER_PATIENCE = datetime.timedelta(milliseconds=30)
# A daemon that was asked for a missed update answers within some milliseconds.
PEER_ANSWER_TIMEOUT = datetime.timedelta(milliseconds=200)


class ServersFollower(followers.Follower):
    """Keeps the inventory up to date with the list of servers."""

    table = TABLE

    def __init__(
        self,
        store: store_module.Store,
        clock: clock_module.Clock,
        generator: random.Random,
        inventory: inventory_module.Inventory,
        gossip: gossip_service.Gossip,
        is_lease_holder: abc.Callable[[], bool],
        exchange: list_exchange.ListExchange | None = None,
    ) -> None:
        """Creates the follower of one daemon.

        Args:
            store: the store.
            clock: the clock.
            generator: source of random choices.
            inventory: the list that it keeps.
            gossip: sends and receives updates.
            is_lease_holder: whether this daemon reads the list for all.
            exchange: asks other daemons; without it, the store is asked.
        """
        super().__init__(store, clock, generator)
        self._exchange = exchange
        self._history = list_history.ListHistory()
        self._chains = list_history.UpdateChains()
        # Whether all changes up to the position are known here. A daemon of an
        # earlier version may have told of a part of what it read.
        self._is_exact = True
        # Whether the history has the whole list as it is. After a restore, it
        # has entries that are older than what is known of their VMs.
        self._has_whole_list = False
        self._inventory = inventory
        self._gossip = gossip
        self._is_lease_holder = is_lease_holder
        self._position: store_module.Position | None = None
        self._update_received = event.Event()
        self._has_missed_update = False
        self._has_heard = False
        self._heard_at: datetime.timedelta | None = None
        gossip.set_handler(digest.ListUpdate, self.receive_update)
        if exchange is not None:
            gossip.set_handler(digest.ListRequest, self.receive_request)

    def begin_era(self) -> None:
        """Ends the read in progress and reads a snapshot of the new era."""
        self._inventory.begin_settling()
        self._has_whole_list = False
        super().begin_era()

    def read_snapshot(self) -> store_module.Position:
        """Reads a snapshot of the table and returns its position."""
        if self._position is None and self._reason == store_module.Reason.START:
            position = self._wait_for_list()
            if position is not None:
                return position
        page = self._store.read_rows(self.table, reason=self._reason)
        if self._position is not None and page.era != self._position.era:
            # Possibly long after the change of the era.
            self._inventory.begin_settling()
        vms, _ = _decode({row.key: row.content for row in page.rows})
        before = self._position
        changes = self._list_changes(page, vms)
        self._inventory.replace(vms)
        self._position = page.position
        self._is_exact = True
        self._history.replace(
            [
                digest.ListRow(
                    version=row.version, name=row.key, content=row.content
                )
                for row in page.rows
            ],
            page.version,
        )
        self._has_whole_list = not self._inventory.is_settling()
        if self._reason == store_module.Reason.START:
            self._announce()
        if before is not None and before.era == page.era:
            # The others follow this daemon and need not read a snapshot.
            self._tell_peers(before, page, changes)
        return page.position

    def _list_changes(
        self, page: store_module.Page, vms: abc.Iterable[fleet_model.Vm]
    ) -> list[digest.ListRow]:
        """Returns how a page of the whole list differs from what is known."""
        rows = {row.key: row for row in page.rows}
        changes = [
            digest.ListRow(
                version=rows[vm.name].version,
                name=vm.name,
                content=rows[vm.name].content,
            )
            for vm in vms
            if self._inventory.has_changed(vm)
        ]
        missing = {vm.name for vm in self._inventory.list_vms()} - rows.keys()
        changes += [
            digest.ListRow(version=page.version, name=name, content=None)
            for name in sorted(missing)
        ]
        return changes

    def _tell_peers(
        self,
        position: store_module.Position,
        page: store_module.Page,
        rows: list[digest.ListRow],
    ) -> None:
        """Sends the changes since a position to those that rely on it."""
        is_lease_holder = self._is_lease_holder()
        is_reader = self._gossip.is_reader() or self._gossip.is_deputy()
        if is_lease_holder or is_reader:
            self._gossip.send_update(
                position.version,
                page.version,
                rows,
                to_all=is_lease_holder,
                era=page.era,
            )

    def read_changes(
        self, position: store_module.Position
    ) -> store_module.Position:
        """Waits for the next changes and returns the position after them.

        The daemon that holds the group controller's lease reads the store and
        sends updates to the other daemons. When its updates stop, one daemon of
        each failure domain reads for its domain, and when those updates stop,
        too, each daemon reads for itself. So does a daemon that missed an
        update.
        """
        position = self._advance(position)
        reason = store_module.Reason.NO_UPDATE
        if self._is_lease_holder():
            reason = store_module.Reason.HOLDER
            self._clock.sleep(HOLDER_READ_INTERVAL)
        else:
            if self._gossip.is_reader() or self._gossip.is_deputy():
                reason = store_module.Reason.DOMAIN_READER
            while self._update_received.wait(
                self._get_update_timeout().total_seconds()
            ):
                self._update_received.clear()
                if self._is_lease_holder() or not self._close_gap():
                    reason = store_module.Reason.MISSED_UPDATE
                    break
        self._has_missed_update = False
        self._chains.clear()
        position = self._advance(position)
        page = self._store.wait_for_changes(
            self.table, position, SERVERS_FEED_WAIT, reason
        )
        if page.position < self._advance(position):
            return self._advance(position)
        rows = self._apply_page(page)
        self._is_exact = True
        self._tell_peers(position, page, rows)
        return page.position

    def receive_update(self, update: digest.ListUpdate) -> None:
        """Applies an update from a peer if no update before it was missed.

        Only an update of the era that this daemon reads advances its position.
        Entries of a newer era are used, as this daemon may be unable to read
        the store, but it reads for itself what else has changed.
        """
        self._store.observe_era(update.era, "update")
        if update.era < self._store.get_era():
            # The peer still reads the store as it was before a restore.
            return
        self._has_heard = True
        if not update.answer and self._gossip.follows_operator(update.sender):
            self._heard_at = self._clock.monotonic()
        current = self._position
        if current is None:
            if update.era == self._store.get_era():
                self._begin_with(update)
            self._update_received.set()
            return
        reached = store_module.Position(
            era=update.era, version=list_history.get_target(update)
        )
        if reached <= current:
            if update.relay:
                # Without it, the others would read the list themselves.
                self._gossip.forward_update(update)
            self._update_received.set()
            return
        self._chains.add(update)
        if update.era > current.era:
            self._has_missed_update = True
            self._apply_rows(dict(update.rows), update.version)
        else:
            self._apply_chains(current)
        self._update_received.set()

    def _apply_chains(self, current: store_module.Position) -> None:
        """Applies the updates that lead on from a position."""
        while chain := self._chains.take_complete(current.version, current.era):
            current = store_module.Position(
                era=current.era, version=chain.version
            )
            self._position = current
            self._is_exact &= chain.updates[0].target >= 0
            self._apply_rows(chain.list_rows(), chain.version)
            for update in chain.updates:
                if update.relay:
                    self._gossip.forward_update(update)
        self._has_missed_update = not self._chains.is_empty()

    def _close_gap(self) -> bool:
        """Obtains what was missed from peers; returns whether nothing lacks.

        The daemon that reads for its domain asks the sender of the update, as
        the others lack the same.
        """
        if not self._has_missed_update:
            return True
        self._clock.sleep(REORDER_PATIENCE)
        position = self._position
        if not self._has_missed_update or self._exchange is None:
            return not self._has_missed_update
        if position is None or position.era != self._store.get_era():
            return False
        if not self._is_exact:
            return False
        if self._gossip.is_reader() or self._gossip.is_deputy():
            asked = self._exchange.ask_sender(
                self._chains.get_sender(), position.version, position.era
            )
        else:
            asked = self._exchange.ask(position.version, position.era)
        if not asked:
            return False
        until = self._clock.monotonic() + PEER_ANSWER_TIMEOUT
        while self._has_missed_update and self._clock.monotonic() < until:
            self._update_received.clear()
            left = until - self._clock.monotonic()
            if not self._update_received.wait(left.total_seconds()):
                break
        return not self._has_missed_update

    def _wait_for_list(self) -> store_module.Position | None:
        """Obtains the whole list from a peer; None if the store is to be read.

        The daemons of a large fleet that start together would each read the
        whole list from the store.
        """
        if self._exchange is None:
            return None
        start = list_start.Start(
            self._clock.monotonic(), self._generator.random()
        )
        while self._position is None:
            match start.decide(
                self._clock.monotonic(),
                self._exchange.count_possible_peers(),
                self._exchange.has_ready_peers(),
                self._gossip.is_reader() or self._gossip.is_deputy(),
            ):
                case list_start.Step.READ:
                    return None
                case list_start.Step.ASK:
                    self._exchange.ask(digest.WHOLE_LIST, self._store.get_era())
            self._update_received.clear()
            self._update_received.wait(list_start.PAUSE.total_seconds())
        self._announce()
        return self._position

    def _announce(self) -> None:
        if self._exchange is not None:
            self._exchange.announce()

    def _begin_with(self, update: digest.ListUpdate) -> None:
        """Collects the whole list from a peer and begins with it."""
        self._chains.add(update)
        chain = self._chains.take_complete(digest.WHOLE_LIST, update.era)
        if chain is None or chain.updates[0].before != digest.WHOLE_LIST:
            return
        rows = chain.list_rows()
        vms, _ = _decode(rows)
        self._inventory.replace(vms)
        self._history.replace(
            [
                digest.ListRow(
                    version=chain.version, name=name, content=content
                )
                for name, content in rows.items()
            ],
            chain.version,
        )
        self._position = store_module.Position(
            era=update.era, version=chain.version
        )
        self._is_exact = self._has_whole_list = True
        self._apply_chains(self._position)
        eliot.log_message("list:received", daemon=update.sender, vms=len(vms))

    def receive_request(self, request: digest.ListRequest) -> None:
        """Answers a daemon that lacks a part of the list."""
        position = self._position
        if position is None or self._exchange is None or not self._is_exact:
            return
        if position.era != self._store.get_era():
            return
        if request.since == digest.WHOLE_LIST and (
            not self._has_whole_list or self._has_warming_vms()
        ):
            return
        self._exchange.answer(
            request, self._history, position.version, position.era
        )

    def _has_warming_vms(self) -> bool:
        # What is left of their time counts from a report that may be long ago.
        return any(vm.warming_left for vm in self._inventory.list_vms())

    def hears_updates(self) -> bool:
        """Returns whether another daemon reads the list for this one now."""
        heard = self._heard_at
        return (
            heard is not None
            and self._clock.monotonic() - heard < OWN_READ_TIMEOUT
        )

    def _advance(
        self, position: store_module.Position
    ) -> store_module.Position:
        """Returns the later of a position and that reached by updates."""
        if self._position is None or self._position < position:
            self._position = position
        return self._position

    def _get_update_timeout(self) -> datetime.timedelta:
        """Returns how long to wait for an update before reading the store."""
        if not self._has_heard:
            return START_READ_TIMEOUT
        if self._gossip.is_reader():
            return DOMAIN_READER_TIMEOUT
        if self._gossip.is_deputy():
            return DEPUTY_READ_TIMEOUT
        return OWN_READ_TIMEOUT

    def _apply_page(self, page: store_module.Page) -> list[digest.ListRow]:
        """Applies a page and returns the entries of the VMs that it changed."""
        last = {row.key: row for row in page.rows}
        changed = self._apply_rows(
            {row.key: row.content for row in page.rows}, page.version
        )
        return [
            digest.ListRow(
                version=last[name].version, name=name, content=content
            )
            for name, content in changed.items()
        ]

    def _apply_rows(
        self, rows: dict[str, bytes | None], version: int
    ) -> dict[str, bytes | None]:
        vms, removed = _decode(rows)
        changed = {
            vm.name: rows[vm.name]
            for vm in vms
            if self._inventory.has_changed(vm)
        }
        delisted = {
            name: None
            for name in removed
            if self._inventory.find(name) is not None
        }
        self._inventory.update(vms, removed)
        changes = {**changed, **delisted}
        self._history.record(
            digest.ListRow(version=version, name=name, content=content)
            for name, content in changes.items()
        )
        return changes


def _decode(
    rows: dict[str, bytes | None],
) -> tuple[list[fleet_model.Vm], list[str]]:
    """Returns the VMs in rows and the names of removed or invalid entries."""
    vms: list[fleet_model.Vm] = []
    removed: list[str] = []
    for name, content in rows.items():
        if content is None:
            removed.append(name)
            continue
        try:
            vms.append(entries.decode(name, content))
        except entries.EntryError as error:
            eliot.log_message("fleet:entry_skipped", vm=name, reason=str(error))
            removed.append(name)
    return vms, removed
