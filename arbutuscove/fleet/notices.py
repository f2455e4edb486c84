"""What VMs say about themselves in their answers.

Such a notice is about one start of a VM: its address is used again, and its
name after a restart.
"""

import dataclasses
import datetime

# Longer pauses would outlast any VM that asks for one.
MAX_PAUSE = datetime.timedelta(hours=1)

# Name and start of a VM, in Unix milliseconds.
VmIdentity = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Notice:
    """A VM's own notice in one answer.

    Attributes:
        leaving: whether the VM leaves and wants no new requests.
        pause: time for which the VM wants no requests of this daemon; None if
            it asks for none.
        warming_left: time for which the VM still bears only a limited rate of
            requests; None if it does not say.
        sender: name of the VM that sent the answer; empty if the answer does
            not name it.
    """

    leaving: bool = False
    pause: datetime.timedelta | None = None
    warming_left: datetime.timedelta | None = None
    sender: str = ""

    def is_empty(self) -> bool:
        """Returns whether the VM says nothing that matters for routing."""
        return (
            not self.leaving
            and self.pause is None
            and self.warming_left is None
        )

    def is_from(self, name: str) -> bool:
        """Returns whether the notice may be of the VM with this name."""
        return self.sender in ("", name)
