"""The evidence of one daemon: exchanged, logged and kept in the table.

Both interfaces observe deaths and answers in their own way and hold them here.
"""

import datetime
from collections import abc

import eliot
import msgspec

from arbutuscove.crashes import evidence as evidence_module
from arbutuscove.crashes import judgement
from arbutuscove.crashes import reports
from arbutuscove.crashes import traits
from arbutuscove.crashes import verdicts
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.storage import table as table_module

MAX_REPORT_BYTES = 65536  # one datagram holds a report

_DECODER = decoding.MessagePackDecoder[reports.Report](
    reports.Report, MAX_REPORT_BYTES
)


class EvidenceHolder:
    """Holds the evidence, and logs and keeps the verdicts that it changes."""

    def __init__(
        self, clock: clock_module.Clock, keeper: verdicts.VerdictKeeper
    ) -> None:
        self._clock = clock
        self._keeper = keeper
        self._evidence = evidence_module.Evidence()
        self._death_listeners: list[abc.Callable[[str], None]] = []

    def add_death_listener(self, listener: abc.Callable[[str], None]) -> None:
        """Has a function called with each death that a daemon reports."""
        self._death_listeners.append(listener)

    def get_death_time(self, identity: str) -> datetime.timedelta | None:
        """Returns the monotonic time of a known death, None if it is not."""
        return self._evidence.get_death_time(identity)

    @property
    def culprits(self) -> abc.Mapping[int, judgement.Culprit]:
        """The traits that crash upstreams, by key."""
        return self._evidence.culprits

    def get_fingerprint(self) -> int:
        """Returns a hash of the evidence, 0 if there is nothing to exchange."""
        return self._evidence.fingerprint

    def encode_evidence(self, death: str | None = None) -> bytes:
        """Returns the evidence in the form that daemons exchange.

        It is empty if no death is known.

        Args:
            death: identity of a death to which it is limited; None for all.
        """
        if self._evidence.is_empty():
            return b""
        report = self._evidence.build_report(self._clock.monotonic(), death)
        return msgspec.msgpack.encode(report)

    def merge_evidence(self, data: bytes) -> None:
        """Adds the evidence of another daemon."""
        try:
            report = _DECODER.decode(data)
        except decoding.DecodingError as error:
            eliot.log_message("crash:unreadable", reason=str(error))
            return
        before = self.culprits
        self._evidence.merge(report, self._clock.monotonic())
        self._record_changes(before)
        for death in report.deaths:
            for listener in self._death_listeners:
                listener(death.identity)

    def restore(self, rows: abc.Iterable[table_module.Row]) -> None:
        """Adds the verdicts of table rows, at the start of the daemon."""
        before = self.culprits
        verdicts.restore(rows, self._evidence, self._clock.monotonic())
        self._record_changes(before)

    def record_again(self) -> None:
        """Writes the verdicts again, which the table may have lost."""
        self._keeper.record_again(self._evidence)

    def is_blamed(self, key: int) -> bool:
        """Returns whether a death blames the trait, refuted or not."""
        return self._evidence.is_blamed(key)

    def is_suspect(self, key: int) -> bool:
        """Returns whether a death blames the trait and no answer is known."""
        return self._evidence.is_suspect(key)

    def limit_suspects(self, suspects: traits.Suspects) -> traits.Suspects:
        """Returns the traits to blame for one death, at most so many."""
        return self._evidence.limit_suspects(suspects)

    def record_death(self, death: judgement.Death) -> bool:
        """Adds a death that this daemon observed.

        Returns:
            Whether it was unknown or blames more than before.
        """
        before = self.culprits
        is_new = self._evidence.record_death(death)
        self._record_changes(before, is_own=True)
        return is_new

    def record_answer(
        self, keys: abc.Iterable[int], at: datetime.timedelta
    ) -> None:
        """Records a survived request with these traits, as it began."""
        before = self.culprits
        for key in keys:
            self._evidence.record_answer(key, at)
        self._record_changes(before)

    def expire(self) -> None:
        """Removes deaths and answers after their lifetimes."""
        before = self.culprits
        self._evidence.expire(self._clock.monotonic())
        self._record_changes(before)

    def _record_changes(
        self,
        before: abc.Mapping[int, judgement.Culprit],
        is_own: bool = False,
    ) -> None:
        after = self.culprits
        if after is before:
            return
        for key in after.keys() - before.keys():
            eliot.log_message(
                "crash:quarantined",
                suspects=format_keys((key,)),
                deaths=after[key].deaths,
            )
        for key in before.keys() - after.keys():
            eliot.log_message("crash:cleared", suspects=format_keys((key,)))
        self._keeper.record(before.keys(), self._evidence, is_own)


def format_keys(keys: abc.Iterable[int]) -> list[str]:
    """Returns the keys of traits as they appear in logs and in the table."""
    return [f"{key:016x}" for key in keys]
