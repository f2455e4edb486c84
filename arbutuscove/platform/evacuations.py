"""The operator's rows that ask to evacuate failure domains.

They are rows of the table of the configuration, with the domain in their key.
`balancing.evacuation` decides what they mean; this module reads them, tells the
peers and reports what has changed.
"""

import re
import typing
from collections import abc

import eliot

from arbutuscove.balancing import evacuation
from arbutuscove.gossip import digest
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import store as store_module

KEY_PREFIX = "evacuate/"
MAX_NAME_CHARS = 200
MAX_LOGGED_CHARS = 64  # of a name that is skipped
# Label of domains that the settings do not list.
UNLISTED_LABEL = "unlisted"
_NAME = re.compile(r"[^\x00-\x1f\x7f/]+")


class EraSource(typing.Protocol):
    """What knows the era of the store."""

    def get_era(self) -> int:
        """Returns the highest era known, 0 for none."""


class Evacuations:
    """The evacuated failure domains of this daemon."""

    def __init__(
        self,
        clock: clock_module.Clock,
        listed: abc.Collection[str],
        store: EraSource,
        metrics: metrics_module.Metrics,
        announce: abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a state without evacuated domains.

        Args:
            clock: the clock.
            listed: the failure domains of the settings.
            store: knows the era of the store.
            metrics: the metrics of this daemon.
            announce: called after a change that this daemon has read itself.
        """
        self._clock = clock
        self._listed = frozenset(listed)
        self._store = store
        self._metrics = metrics
        self._announce = announce
        self._state = evacuation.Evacuation(listed)

    def is_evacuated(self, domain: str) -> bool:
        """Returns whether nothing may be sent to the VMs of a domain."""
        return self._state.is_evacuated(domain)

    def list_evacuated(self) -> frozenset[str]:
        """Returns the domains to whose VMs nothing may be sent."""
        return self._state.list_evacuated()

    def get_state(self) -> evacuation.Evacuation:
        """Returns the state, with begin and end of each evacuation."""
        return self._state

    def replace(self, page: store_module.Page) -> None:
        """Applies a page with all rows of the table."""
        rows = self._decode(page.rows)
        names = [name for name, is_there in rows.items() if is_there]
        now = self._clock.monotonic()
        change = self._state.replace(names, _get_revision(page), now)
        self._report_dropped(page)
        self._report_read(change)

    def update(self, page: store_module.Page) -> None:
        """Applies a page with the rows that changed since the last page."""
        rows = self._decode(page.rows)
        now = self._clock.monotonic()
        change = self._state.update(rows, _get_revision(page), now)
        self._report_dropped(page)
        self._report_read(change)

    def observe_peer(
        self, name: str, message: digest.Heartbeat | digest.OperatorUpdate
    ) -> None:
        """Applies what a peer knows.

        The era of the store must have been learned from the message before; a
        peer of another era is passed over.

        Args:
            name: the peer.
            message: what it sent.
        """
        if message.evacuated_at < 0 or message.era != self._store.get_era():
            return
        revision = evacuation.Revision(
            era=message.era, version=message.evacuated_at
        )
        now = self._clock.monotonic()
        change = self._state.merge(message.evacuated, revision, now)
        self._report(change, name)

    def build_heartbeat_fields(self) -> dict[str, typing.Any]:
        """Returns what the heartbeat says; empty if nothing of this era."""
        self._report(
            self._state.expire(self._clock.monotonic()), "restore grace"
        )
        self._set_gauges()
        revision = self._state.revision
        if revision is None or revision.era != self._store.get_era():
            return {"evacuated": (), "evacuated_at": -1}
        return {
            "evacuated": self._state.list_known(),
            "evacuated_at": revision.version,
        }

    def _decode(self, rows: abc.Iterable[store_module.Row]) -> dict[str, bool]:
        """Returns whether each domain named in some rows has a row."""
        names: dict[str, bool] = {}
        for row in rows:
            if not row.key.startswith(KEY_PREFIX):
                continue
            name = row.key.removeprefix(KEY_PREFIX)
            if len(name) > MAX_NAME_CHARS or not _NAME.fullmatch(name):
                self._skip(name, row.version, "bad_name")
                continue
            if name not in self._listed and row.content is not None:
                # Kept all the same: VMs there may be listed.
                self._skip(name, row.version, "unlisted_domain")
            names[name] = row.content is not None
        return names

    def _skip(self, name: str, version: int, reason: str) -> None:
        self._metrics.evacuation_rows_skipped.inc({"reason": reason})
        eliot.log_message(
            "evacuation:row_skipped",
            domain=name[:MAX_LOGGED_CHARS],
            version=version,
            reason=reason,
        )

    def _report_dropped(self, page: store_module.Page) -> None:
        dropped = sorted(self._state.list_dropped())
        for name in dropped[: evacuation.MAX_DOMAINS]:
            self._skip(name, page.version, "too_many")

    def _report_read(self, change: evacuation.Change) -> None:
        self._report(change, store_module.OWN_SOURCE)
        if change:
            self._announce()

    def _report(self, change: evacuation.Change, source: str) -> None:
        revision = self._state.revision
        for names, step in ((change.begun, "begun"), (change.ended, "ended")):
            for name in names:
                eliot.log_message(
                    f"evacuation:{step}",
                    domain=name,
                    era=None if revision is None else revision.era,
                    version=None if revision is None else revision.version,
                    source=source,
                )
        if change:
            for name in change.ended:
                label = {"domain": self._get_label(name)}
                self._metrics.evacuated_time.set(label, 0.0)
            self._set_gauges()

    def _set_gauges(self) -> None:
        now = self._clock.monotonic()
        revision = self._state.revision
        if revision is not None:
            self._metrics.evacuation_version.set({}, revision.version)
        evacuated = self._state.list_evacuated()
        self._metrics.evacuated_domains.set({}, len(evacuated))
        for name in sorted(evacuated):
            begin = self._state.get_begin(name)
            seconds = 0.0 if begin is None else (now - begin).total_seconds()
            label = {"domain": self._get_label(name)}
            self._metrics.evacuated_time.set(label, seconds)

    def _get_label(self, name: str) -> str:
        return name if name in self._listed else UNLISTED_LABEL


def _get_revision(page: store_module.Page) -> evacuation.Revision:
    return evacuation.Revision(era=page.era, version=page.version)
