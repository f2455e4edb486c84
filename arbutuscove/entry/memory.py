"""Memory of a daemon that its callers may take.

Bodies of requests reserve bytes of one budget while they arrive and until their
request ends. If the budget is full, an incomplete body gives way to another; a
complete one never does, since its request may be running. Answers that are held
as a whole draw on the same budget and never give way.
"""

import datetime
from collections import abc

import eliot

from arbutuscove.kernel import clock as clock_module

MEGABYTE = 1024 * 1024
# Parts of the VM's memory. The rest is for the process itself and for what it
# holds for upstreams and peers.
BODY_SHARE = 0.35
CONNECTION_SHARE = 0.2
# What a connection takes beside its body: greenlet, head and socket buffers.
CONNECTION_BYTES = 32768
# Descriptors that are not available for sockets.
RESERVED_DESCRIPTORS = 200
# Part of the sockets that callers may take; others lead to upstreams.
CALLER_SOCKET_SHARE = 0.75
# Of an answer that is held: its bytes as they arrived and as they are sent.
ANSWER_COPIES = 2
MAX_CONNECTIONS = 4096
MIN_CONNECTIONS = 16
# Bodies up to this size may use the whole budget, larger ones a part of it.
SMALL_BODY_BYTES = 65536
LARGE_BODY_SHARE = 0.75
# Counted as time without progress for every body, so that of those that make
# progress the largest gives way first.
MIN_IDLE_TIME = datetime.timedelta(milliseconds=100)


class BudgetFullError(Exception):
    """The budget has no room for a body, or the body has given way."""


class Reservation:
    """Bytes that one body has reserved.

    Args:
        budget: the budget that it draws on.
        give_way: called once when the body has to give its bytes back.
        now: the monotonic time.
    """

    def __init__(
        self,
        budget: "ByteBudget",
        give_way: abc.Callable[[], None],
        now: datetime.timedelta,
    ) -> None:
        self.size = 0
        self.is_revoked = False
        self._budget = budget
        self._give_way = give_way
        self._last_progress = now

    def add(self, size: int) -> None:
        """Reserves bytes that the body is about to receive.

        Args:
            size: number of bytes of the body.

        Raises:
            BudgetFullError: there is no room, or the body has given way.
        """
        if self.is_revoked:
            raise BudgetFullError("the body has given way to others")
        self._budget.reserve(self, size)

    def extend(self, size: int) -> None:
        """Reserves bytes of the answer to the request of this body.

        Args:
            size: number of bytes of the answer.

        Raises:
            BudgetFullError: there is no room.
        """
        self._budget.reserve_answer(self, size)

    def shrink(self, size: int) -> None:
        """Gives bytes of an answer back that were reserved by `extend`."""
        self._budget.release_answer(self, size)

    def record_progress(self, now: datetime.timedelta) -> None:
        """Records that bytes of the body have arrived."""
        self._last_progress = now

    def compute_weight(self, now: datetime.timedelta) -> float:
        """Returns how early the body gives way, in bytes times seconds."""
        idle = now - self._last_progress + MIN_IDLE_TIME
        return self.size * idle.total_seconds()

    def complete(self) -> None:
        """Records that the body has arrived; it does not give way from now."""
        self._budget.complete(self)

    def revoke(self, now: datetime.timedelta) -> None:
        """Takes the bytes of an incomplete body back."""
        eliot.log_message(
            "entry:body_revoked",
            reserved_bytes=self.size,
            idle_seconds=round((now - self._last_progress).total_seconds(), 3),
        )
        self.is_revoked = True
        self.release()
        self._give_way()

    def release(self) -> None:
        """Gives all bytes back."""
        self._budget.release(self)


class ByteBudget:
    """Shares a number of bytes out to the bodies of requests.

    Args:
        limit: the bytes of all bodies together.
        clock: the clock.
        copies: how many bytes a daemon needs for each byte of a body.
    """

    def __init__(
        self, limit: int, clock: clock_module.Clock, copies: int = 1
    ) -> None:
        self.used = 0
        self.revoked_count = 0
        self._limit = limit
        self._clock = clock
        self._copies = copies
        # Insertion order makes the choice among equal bodies definite.
        self._incomplete: dict[Reservation, None] = {}

    def open(self, give_way: abc.Callable[[], None]) -> Reservation:
        """Returns an empty reservation for the body of one request."""
        return Reservation(self, give_way, self._clock.monotonic())

    def reserve(self, reservation: Reservation, size: int) -> None:
        """Reserves bytes for a body; others may have to give way.

        Raises:
            BudgetFullError: no other body has to give way.
        """
        self._incomplete[reservation] = None
        self._take(reservation, size * self._copies)

    def reserve_answer(self, reservation: Reservation, size: int) -> None:
        """Reserves bytes for an answer; incomplete bodies may have to give way.

        Raises:
            BudgetFullError: no body has to give way.
        """
        self._take(reservation, size * ANSWER_COPIES)

    def release_answer(self, reservation: Reservation, size: int) -> None:
        """Gives bytes of an answer back."""
        released = min(size * ANSWER_COPIES, reservation.size)
        self.used -= released
        reservation.size -= released

    def _take(self, reservation: Reservation, added: int) -> None:
        limit = self._limit
        if reservation.size + added > SMALL_BODY_BYTES * self._copies:
            limit = int(limit * LARGE_BODY_SHARE)
        while self.used + added > limit:
            now = self._clock.monotonic()
            heaviest = max(
                self._incomplete,
                key=lambda item: item.compute_weight(now),
                default=reservation,
            )
            if heaviest is reservation or not heaviest.size:
                raise BudgetFullError("requests and answers take all memory")
            self.revoked_count += 1
            heaviest.revoke(now)
        self.used += added
        reservation.size += added

    def complete(self, reservation: Reservation) -> None:
        """Records that a body has arrived completely."""
        self._incomplete.pop(reservation, None)

    def release(self, reservation: Reservation) -> None:
        """Gives the bytes of a body back."""
        self._incomplete.pop(reservation, None)
        self.used -= reservation.size
        reservation.size = 0


def create_budget(
    memory_bytes: int, clock: clock_module.Clock, copies: int
) -> ByteBudget:
    """Returns the budget of a daemon on a VM with that much memory."""
    return ByteBudget(int(memory_bytes * BODY_SHARE), clock, copies)


def compute_max_connections(memory_bytes: int, max_descriptors: int) -> int:
    """Returns how many connections of callers may be open at once.

    Args:
        memory_bytes: memory of the VM.
        max_descriptors: most open descriptors of the process.
    """
    sockets = (max_descriptors - RESERVED_DESCRIPTORS) * CALLER_SOCKET_SHARE
    by_memory = memory_bytes * CONNECTION_SHARE / CONNECTION_BYTES
    return max(MIN_CONNECTIONS, int(min(MAX_CONNECTIONS, sockets, by_memory)))
