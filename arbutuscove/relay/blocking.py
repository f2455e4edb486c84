"""Why a waiting request cannot be sent, and the refusals that say so.

A request is refused at once when it is known that no backend may be sent it in
time: all of them pause, warm or lie in evacuated failure domains, or this
daemon stops. Each refusal is logged with what decided it.
"""

import dataclasses
import datetime

import eliot
from gevent import event

from arbutuscove.admission import queue as queue_module
from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import shutdown as shutdown_module
from arbutuscove.relay import domains as domains_module
from arbutuscove.relay import model
from arbutuscove.relay import selection as selection_module

# A request without any usable backend is refused after this share of its
# first-byte target; groups form again within seconds, not milliseconds.
NO_BACKEND_TIMEOUT_SHARE = 1.0
# Retry-After of a service without any backend.
NO_BACKEND_RETRY_AFTER = datetime.timedelta(seconds=1)
# Retry-After of a daemon that stops: other daemons serve the request at once.
DRAINING_RETRY_AFTER = datetime.timedelta(milliseconds=100)
# Upper bound of Retry-After, as a share of the time left to the deadline;
# callers wait no longer than a third of it.
RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=50)
# Share of its part of the demand that work of each priority gets of what is
# served. An overload by urgent work would starve the rest without it.
DEMAND_FLOOR = 0.35
QUEUE_SETTINGS = queue_module.QueueSettings(
    demand_floor=DEMAND_FLOOR,
    min_retry_after=MIN_RETRY_AFTER,
    max_return_share=RETRY_AFTER_SHARE,
)
MAX_LOGGED_NAME_CHARS = 64  # longest model name in a log line


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for a backend; times are monotonic.

    `excluded` are the backends that it was sent to before, and `may_have_run`
    tells whether one of them may have run it. `assignment` receives the backend
    or the refusal.
    """

    request: model.Request
    work: work_module.Work
    excluded: frozenset[model.BackendKey]
    pool: selection_module.PoolKey
    may_have_run: bool
    enqueued_at: datetime.timedelta
    assignment: event.AsyncResult


class Blocking:
    """Finds what keeps waiting requests from being sent."""

    def __init__(
        self,
        clock: clock_module.Clock,
        selector: selection_module.BackendSelector,
        shutdown: shutdown_module.Shutdown,
        log: domains_module.Log = eliot.log_message,
    ) -> None:
        self._clock = clock
        self._log = log
        self._selector = selector
        self._shutdown = shutdown

    def find_stop_refusal(self, waiter: Waiter) -> model.Refusal | None:
        """Returns why a planned stop allows no send now, None if it does."""
        now = self._clock.monotonic()
        request = waiter.request
        is_allowed = not self._shutdown.has_cut(now) and (
            waiter.may_have_run
            or not self._shutdown.may_cut(now, request.deadline)
        )
        if is_allowed:
            return None
        self._log(
            "waiting:draining",
            request_id=request.request_id,
            model=waiter.pool[1],
            left=round((request.deadline - now).total_seconds(), 3),
            may_have_run=waiter.may_have_run,
        )
        return build_stop_refusal()

    def find_wait_refusal(self, waiter: Waiter) -> model.Refusal | None:
        """Returns a refusal if no backend may be sent the request for long."""
        return self.find_closed_refusal(waiter) or self.find_warming_refusal(
            waiter, self._selector.get_warming_wait(waiter.pool)
        )

    def find_closed_refusal(self, waiter: Waiter) -> model.Refusal | None:
        """Returns a refusal if all backends pause or are evacuated."""
        return self._find_evacuation_refusal(
            waiter
        ) or self._find_pause_refusal(waiter)

    def find_warming_refusal(
        self, waiter: Waiter, wait: datetime.timedelta | None
    ) -> model.Refusal | None:
        """Returns a refusal if no turn at a warming backend comes in time.

        A request whose caller has a part of the answer waits for its turn.

        Args:
            waiter: the request.
            wait: the time until the first turn, None if not all backends warm.
        """
        latest = waiter.work.latest_on_time_start
        if latest is None:
            return None
        if not wait or self._clock.monotonic() + wait <= latest:
            return None
        self._log(
            "waiting:warming",
            request_id=waiter.request.request_id,
            service=waiter.pool[0],
            model=waiter.pool[1],
            wait=round(wait.total_seconds(), 3),
        )
        return build_refusal(
            "upstream_warming", self.bound_retry_after(waiter, wait)
        )

    def _find_pause_refusal(self, waiter: Waiter) -> model.Refusal | None:
        """Returns a refusal if all backends pause for too long, else None.

        A pause within the time that a request may wait for a backend is waited
        out.
        """
        pause = self._selector.get_pause(waiter.pool)
        target = (
            waiter.request.route.first_byte_target * NO_BACKEND_TIMEOUT_SHARE
        )
        if pause is None or pause <= target:
            return None
        self._log(
            "waiting:paused",
            request_id=waiter.request.request_id,
            service=waiter.pool[0],
            model=waiter.pool[1],
            pause=round(pause.total_seconds(), 3),
        )
        return build_pause_refusal(pause)

    def _find_evacuation_refusal(self, waiter: Waiter) -> model.Refusal | None:
        """Returns a refusal if all backends are in evacuated domains.

        A caller in the middle of an answer waits for backends elsewhere.
        """
        is_resumed = waiter.work.latest_on_time_start is None
        if is_resumed or not self._selector.has_only_evacuated(waiter.pool):
            return None
        self._log(
            "waiting:evacuated",
            request_id=waiter.request.request_id,
            service=waiter.pool[0],
            model=waiter.pool[1],
        )
        return build_refusal(
            "evacuated", self.bound_retry_after(waiter, NO_BACKEND_RETRY_AFTER)
        )

    def bound_retry_after(
        self, waiter: Waiter, retry_after: datetime.timedelta | None
    ) -> datetime.timedelta | None:
        """Returns `retry_after`, bounded by the time left to the deadline.

        Args:
            waiter: the request.
            retry_after: None if the caller is told no time.
        """
        if retry_after is None:
            return None
        left = waiter.request.deadline - self._clock.monotonic()
        return max(min(retry_after, left * RETRY_AFTER_SHARE), MIN_RETRY_AFTER)


def build_refusal(
    code: str, retry_after: datetime.timedelta | None
) -> model.Refusal:
    """Returns the refusal of a request that has not run."""
    return model.Refusal(
        status=503, code=code, not_run=True, retry_after=retry_after
    )


def build_pause_refusal(pause: datetime.timedelta) -> model.Refusal:
    """Returns the refusal of a request for which all upstreams pause.

    Args:
        pause: until the first of them accepts requests again.
    """
    return build_refusal("upstream_paused", pause)


def build_stop_refusal() -> model.Refusal:
    """Returns the refusal of a request that a planned stop may cut."""
    return build_refusal("draining", DRAINING_RETRY_AFTER)


def build_unknown_refusal(
    request: model.Request, log: domains_module.Log = eliot.log_message
) -> model.Refusal:
    """Returns the refusal of a request for a model that is not configured."""
    log(
        "waiting:unknown_model",
        request_id=request.request_id,
        model=request.model[:MAX_LOGGED_NAME_CHARS],
    )
    return build_refusal("no_backend", NO_BACKEND_RETRY_AFTER)
