"""Turns of greenlets that work on bytes which are ready.

A read or write on a socket that is ready does not pass through the event loop.
A greenlet whose peer sends without a pause would therefore keep all others, and
all timers, from running. Each loop over ready bytes counts its work, and lets
the others run after a bounded part of it.
"""

import gevent

# Work of one turn, in bytes: some milliseconds even in chunks of one byte.
TURN_BYTES = 16384
# What each operation adds, so that small ones count, too.
OPERATION_BYTES = 128


class Turn:
    """Counts the work of one loop since it last let other greenlets run."""

    def __init__(self) -> None:
        self._spent = 0

    def spend(self, size: int) -> None:
        """Counts an operation, and lets other greenlets run if a turn is over.

        Args:
            size: the bytes that were read or written.
        """
        self._spent += size + OPERATION_BYTES
        if self._spent >= TURN_BYTES:
            self._spent = 0
            gevent.sleep(0)
