"""Whether an upstream that lost answers is alive."""

import enum


class Liveness(enum.Enum):
    """What is known of a VM or replica whose answer was lost."""

    ALIVE = enum.auto()
    DEAD = enum.auto()
    UNKNOWN = enum.auto()
