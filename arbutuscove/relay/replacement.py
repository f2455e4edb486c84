"""Another attempt at a stream while the first one is silent.

A silent backend may be sound and go on. The first attempt therefore stays open
until another backend has sent an event, and goes on if none does.
"""

from collections import abc

import eliot
import gevent

from arbutuscove.relay import attempt as attempt_module
from arbutuscove.relay import continuation
from arbutuscove.relay import model
from arbutuscove.relay import outcomes
from arbutuscove.relay import replies


class Replacement:
    """An attempt that is opened in a greenlet of its own.

    `attempt` is closed unless its answer is accepted; the owner then closes it.
    `reply` is the head of an accepted answer and `data` its body so far, with
    at least one event; `reason` says why there is none.
    """

    def __init__(
        self,
        attempt: attempt_module.Attempt,
        excluded: frozenset[model.BackendKey],
        last_event: str,
        is_usable: abc.Callable[[replies.Reply], bool],
        find_fault: abc.Callable[[bytes], str],
    ) -> None:
        """Begins the attempt.

        Args:
            attempt: the attempt, not yet opened.
            excluded: backends that the request was sent to before.
            last_event: id of the event after which the stream goes on.
            is_usable: judges the head of its answer.
            find_fault: returns why the first events of its answer cannot be
                used, "" if they can.
        """
        self.attempt = attempt
        self.reply: replies.Reply | None = None
        self.data = b""
        self.reason = ""
        self.is_unsent = False
        self._is_usable = is_usable
        self._find_fault = find_fault
        self._is_cancelled = False
        self._greenlet = gevent.spawn(self._open, excluded, last_event)

    def has_ended(self) -> bool:
        """Returns whether the answer was accepted or cannot be used."""
        return bool(self._greenlet.ready())

    def wait(self) -> replies.Reply | None:
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
        reply: replies.Reply | None = None
        try:
            opened = self.attempt.open(excluded, last_event, may_have_run=True)
            if self._is_usable(opened):
                self.data = self._read_event()
                reply = opened
            else:
                self.reason = f"status {opened.status}"
        except (
            model.RefusedError,
            outcomes.NotRunError,
            outcomes.AttemptLostError,
        ) as error:
            self.reason = str(error)
            self.is_unsent = isinstance(error, outcomes.UnsentError)
        finally:
            if reply is None or self._is_cancelled:
                self.attempt.close()
            else:
                self.reply = reply

    def _read_event(self) -> bytes:
        """Returns the beginning of the body, with at least one event."""
        data = bytearray()
        while more := self.attempt.read_more():
            data += more
            end = data.rfind(continuation.EVENT_END)
            events = bytes(data[: end + len(continuation.EVENT_END)])
            if end >= 0 and not continuation.is_comment(events):
                fault = self._find_fault(events)
                if fault:
                    raise self.attempt.record_loss(fault)
                return bytes(data)
            if len(data) > continuation.MAX_EVENT_BYTES:
                raise self.attempt.record_loss("an event passes the bound")
        raise self.attempt.record_loss("the answer has no event")


def log_step(request: model.Request, step: str, reason: str = "") -> None:
    """Logs a step of the replacement of a silent attempt."""
    eliot.log_message(
        "flow:replacement",
        request_id=request.request_id,
        step=step,
        reason=reason,
    )
