"""One round of assigning the slots of a service and model.

A round reads the backends and their loads once, as all its assignments are made
without a switch to another greenlet, and counts what it assigns.
"""

import dataclasses
from collections import abc

from arbutuscove.relay import model
from arbutuscove.relay import placement
from arbutuscove.relay import selection


class Round:
    """The backends of one pool, as they fill during the round."""

    def __init__(
        self,
        selector: selection.BackendSelector,
        pool: selection.PoolKey,
        waiting: int,
    ) -> None:
        """Reads the backends of a pool.

        Args:
            selector: knows the backends and their loads.
            pool: service and model.
            waiting: requests of the pool that wait in this daemon.
        """
        self._selector = selector
        self._pool = pool
        usable = selector.list_usable(pool)
        self._steady = selector.list_steady(usable)
        selector.update_flow(pool, self._steady, waiting)
        self._usage = selector.read_usage(pool, self._steady)
        # A turn is room of this daemon's own, also if all slots are in use.
        self._turns = selector.list_turns(usable)
        # Computed only if a slot is free, as most rounds find none while all
        # engines are full.
        self._candidates: list[placement.Candidate] | None = None

    def choose(
        self,
        excluded: abc.Set[model.BackendKey],
        is_late: bool,
        prompt_tokens: int,
    ) -> placement.Candidate | None:
        """Returns the candidate to send a request to, None without a slot.

        Args:
            excluded: backends that this request was already sent to.
            is_late: whether the request cannot be on time any more.
            prompt_tokens: length of the request's prompt.
        """
        options = self._turns
        if self._has_slot(is_late):
            if self._candidates is None:
                self._candidates = self._selector.list_candidates(
                    self._pool, self._steady, self._usage
                )
            options = self._candidates + self._turns
        if not options:
            return None
        return self._selector.choose(
            options, excluded, self._pool, self._usage, prompt_tokens
        )

    def take(self, candidate: placement.Candidate, is_late: bool) -> None:
        """Counts a request that is sent to a candidate.

        Args:
            candidate: the candidate, as `choose` returned it.
            is_late: whether the request cannot be on time any more.
        """
        if is_late:
            self._selector.record_late_start(self._pool)
        if candidate.is_warming:
            self._turns.remove(candidate)
            self._selector.warming.take_turn(candidate.backend)
        elif self._candidates is not None:
            self._selector.warming.record_send(candidate.backend)
            self._usage = dataclasses.replace(
                self._usage, own=self._usage.own + 1
            )
            position = self._candidates.index(candidate)
            self._candidates[position] = dataclasses.replace(
                candidate,
                running=candidate.running + 1,
                free_places=candidate.free_places - 1,
            )

    def _has_slot(self, is_late: bool) -> bool:
        available = placement.count_available(self._usage)
        if not is_late:
            return available > 0
        return available > placement.compute_reserve(
            self._usage
        ) and self._selector.may_start_late(self._pool, self._usage)
