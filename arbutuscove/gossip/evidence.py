"""Exchange of what daemons know of crashes of upstreams.

Heartbeats carry a fingerprint of it. A daemon whose fingerprint differs is sent
the evidence of the recipient.
"""

import datetime
import typing

from arbutuscove.gossip import digest
from arbutuscove.kernel import clock as clock_module

# Between two answers to heartbeats of one daemon whose evidence differs.
EVIDENCE_INTERVAL = datetime.timedelta(milliseconds=200)


class EvidenceSource(typing.Protocol):
    """What this daemon knows of crashes of upstreams."""

    def get_fingerprint(self) -> int:
        """Returns a hash of the evidence, 0 without any."""

    def encode_evidence(self) -> bytes:
        """Returns the evidence as daemons exchange it, empty without any."""

    def merge_evidence(self, data: bytes) -> None:
        """Adds the evidence of another daemon."""


class EvidenceExchange:
    """Decides to whom the evidence is sent."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._source: EvidenceSource | None = None
        self._sent_at: dict[str, datetime.timedelta] = {}

    def set_source(self, source: EvidenceSource) -> None:
        """Sets the evidence to exchange with the other daemons."""
        self._source = source

    def get_fingerprint(self) -> int:
        """Returns a hash of the evidence, 0 without any."""
        return 0 if self._source is None else self._source.get_fingerprint()

    def merge(self, update: digest.EvidenceUpdate) -> None:
        """Adds the evidence of another daemon."""
        if self._source is not None:
            self._source.merge_evidence(update.content)

    def answer(
        self, sender: digest.Heartbeat, own_name: str
    ) -> digest.EvidenceUpdate | None:
        """Returns the evidence if the sender knows less, or other things.

        Args:
            sender: the heartbeat received from it.
            own_name: the name of this daemon.
        """
        source = self._source
        if source is None or sender.evidence < 0:
            return None
        if source.get_fingerprint() == sender.evidence:
            return None
        now = self._clock.monotonic()
        sent_at = self._sent_at.get(sender.name)
        if sent_at is not None and now - sent_at < EVIDENCE_INTERVAL:
            return None
        content = source.encode_evidence()
        if not content:
            return None
        if len(self._sent_at) >= digest.MAX_PEERS:
            self._sent_at.clear()
        self._sent_at[sender.name] = now
        return digest.EvidenceUpdate(sender=own_name, content=content)
