"""Another attempt at a stream while the first one is silent.

A silent backend may be sound and go on. The first attempt therefore stays open
until another backend has answered, and goes on if none does.
"""

from collections import abc

import eliot
import gevent

from arbutuscove.relay import attempt as attempt_module
from arbutuscove.relay import model


class Replacement:
    """An attempt that is opened in a greenlet of its own.

    `attempt` is closed unless its answer is accepted; the owner then closes it.
    `reply` is the head of an accepted answer, and `reason` says why there is
    none.
    """

    def __init__(
        self,
        attempt: attempt_module.Attempt,
        excluded: frozenset[model.BackendKey],
        last_event: str,
        is_usable: abc.Callable[[attempt_module.Reply], bool],
    ) -> None:
        self.attempt = attempt
        self.reply: attempt_module.Reply | None = None
        self.reason = ""
        self._is_usable = is_usable
        self._is_cancelled = False
        self._greenlet = gevent.spawn(self._open, excluded, last_event)

    def has_ended(self) -> bool:
        """Returns whether the answer was accepted or cannot be used."""
        return bool(self._greenlet.ready())

    def wait(self) -> attempt_module.Reply | None:
        """Returns the head of the accepted answer, None if there is none."""
        self._greenlet.join()
        return self.reply

    def cancel(self) -> None:
        """Ends the attempt in any state; may be called more than once."""
        self._is_cancelled = True
        if self._greenlet.ready():
            self.attempt.close()
        else:
            self._greenlet.kill(block=False)

    def _open(
        self, excluded: frozenset[model.BackendKey], last_event: str
    ) -> None:
        reply: attempt_module.Reply | None = None
        try:
            reply = self.attempt.open(excluded, last_event)
            if not self._is_usable(reply):
                self.reason = f"status {reply.status}"
                reply = None
        except (
            model.RefusedError,
            attempt_module.NotRunError,
            attempt_module.AttemptLostError,
        ) as error:
            self.reason = str(error)
        finally:
            if reply is None or self._is_cancelled:
                self.attempt.close()
            else:
                self.reply = reply


def log_step(request: model.Request, step: str, reason: str = "") -> None:
    """Logs a step of the replacement of a silent attempt."""
    eliot.log_message(
        "flow:replacement",
        request_id=request.request_id,
        step=step,
        reason=reason,
    )
