"""Calls of plain services under `/plain/<service>/<path>`."""

import dataclasses
import datetime
import random
import uuid

import msgspec
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.entry import callers
from arbutuscove.entry import headers
from arbutuscove.entry import refusals
from arbutuscove.kernel import clock as clock_module
from arbutuscove.limits import service as limits_module
from arbutuscove.requests import attempts as attempts_module
from arbutuscove.requests import claims as claims_module
from arbutuscove.requests import failures
from arbutuscove.requests import once as once_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import plain as plain_upstream

RETRY_AFTER = datetime.timedelta(seconds=2)
AVOID_TIME = datetime.timedelta(seconds=5)  # for an address that failed
STORED_LIMIT = 1 << 20  # bytes of an answer kept for its idempotency key


class PlainHandler:
    """Forwards calls; a call that may not be repeated is sent once."""

    def __init__(
        self,
        once: once_module.AtMostOnce,
        generator: random.Random,
        clock: clock_module.Clock,
        limits: limits_module.Limits,
        budget: attempts_module.RetryBudget,
    ) -> None:
        self._once = once
        self._random = generator
        self._clock = clock
        self._limits = limits
        self._budget = budget
        # Addresses that failed, and until when they are tried last; bounded
        # by the addresses of configured services.
        self._failed: dict[str, datetime.timedelta] = {}

    def handle(
        self,
        request: wrappers.Request,
        snapshot: config_model.Snapshot,
        service: str,
        path: str,
    ) -> wrappers.Response:
        """Returns the upstream's whole answer.

        Raises:
            BadRequestError: the request is at fault.
            RequestFailedError: there is no answer.
        """
        found = callers.authenticate(snapshot, request)
        caller = next((c for c in found if c.service.name == service), None)
        if caller is None or caller.service.plain is None:
            raise refusals.BadRequestError(
                404, "unknown_service", f"no plain service {service!r}"
            )
        backend = caller.service.plain
        never = request.headers.get(headers.REPEAT, "").lower()
        repeatable = (
            request.method in backend.repeatable_methods
            and never != headers.NEVER
        )
        query = request.query_string.decode("latin-1")
        call = plain_upstream.PlainCall(
            attempt_id=uuid.uuid4().hex,
            method=request.method,
            path="/" + path + ("?" + query if query else ""),
            content_type=request.content_type or refusals.JSON_TYPE,
            body=request.get_data(),
        )
        arrived = self._clock.monotonic()
        # A call counts as one token of a limit, since it generates none.
        work = dataclasses.replace(
            callers.build_work(
                request, caller, call.body, call.attempt_id, arrived, {}
            ),
            tokens=1,
        )
        key = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        if never == headers.NEVER and not key:
            raise refusals.BadRequestError(
                400,
                "missing_idempotency_key",
                f"{headers.REPEAT}: never needs {headers.IDEMPOTENCY_KEY}",
            )
        if repeatable or not key:
            answer = self._send(backend, call, work, repeatable)
            return _respond(answer)
        return self._send_once(backend, call, work, caller, key)

    def _send_once(
        self,
        backend: config_model.PlainBackend,
        call: plain_upstream.PlainCall,
        work: work_module.Work,
        caller: callers.Caller,
        key: str,
    ) -> wrappers.Response:
        content = f"{call.method} {call.path}\0".encode() + call.body
        digest = callers.digest_key(content.decode("latin-1"))
        account = claims_module.qualify_account(
            caller.service.name, caller.account.name
        )
        try:
            held = self._once.begin(account, key, call.attempt_id, digest)
        except once_module.AlreadyRanError as ran:
            return _replay(ran)
        try:
            answer = self._send(backend, call, work, repeatable=False)
        except failures.RequestFailedError as error:
            if error.run != failures.RunStatus.NOT_RUN:
                raise
            run = self._once.cancel(held)
            raise failures.RequestFailedError(error.refusal, run) from error
        self._store(held, answer)
        return _respond(answer)

    def _store(
        self,
        held: claims_module.HeldClaim,
        answer: plain_upstream.PlainAnswer,
    ) -> None:
        kept = answer if len(answer.body) <= STORED_LIMIT else None
        self._once.finish(held, msgspec.json.encode(kept))

    def _send(
        self,
        backend: config_model.PlainBackend,
        call: plain_upstream.PlainCall,
        work: work_module.Work,
        repeatable: bool,
    ) -> plain_upstream.PlainAnswer:
        reserved = self._limits.reserve(work)
        if reserved.is_error():
            raise failures.RequestFailedError(
                reserved.error, failures.RunStatus.NOT_RUN
            )
        used = 1
        try:
            return self._send_attempts(backend, call, work, repeatable)
        except failures.RequestFailedError as error:
            used = 0 if error.run == failures.RunStatus.NOT_RUN else 1
            raise
        finally:
            self._limits.settle(reserved.ok, used)

    def _send_attempts(
        self,
        backend: config_model.PlainBackend,
        call: plain_upstream.PlainCall,
        work: work_module.Work,
        repeatable: bool,
    ) -> plain_upstream.PlainAnswer:
        self._budget.record_request()
        addresses = self._order(backend)
        made = attempts_module.Attempts()
        while True:
            address = addresses[made.count % len(addresses)]
            left = work.deadline - self._clock.monotonic()
            result = plain_upstream.send_call(address, call, left)
            if result.is_ok():
                self._failed.pop(address, None)
                return result.ok
            self._failed[address] = self._clock.monotonic() + AVOID_TIME
            refused = isinstance(result.error, errors.NotDispatchedError)
            made = made.add(
                failures.RunStatus.NOT_RUN
                if refused
                else failures.RunStatus.UNKNOWN
            )
            left = work.deadline - self._clock.monotonic()
            if not attempts_module.may_retry(
                made, repeatable, left, self._budget
            ):
                raise failures.RequestFailedError(_refuse_failed(), made.run)
            self._clock.sleep(
                attempts_module.draw_backoff(made.count, self._random)
            )

    def _order(self, backend: config_model.PlainBackend) -> list[str]:
        """Returns addresses in random order, those that failed lately last.

        Otherwise one server of three that is down would use up the budget.
        """
        now = self._clock.monotonic()
        addresses = list(backend.addresses)
        self._random.shuffle(addresses)
        return sorted(
            addresses, key=lambda item: self._failed.get(item, now) > now
        )


def _refuse_failed() -> work_module.Refusal:
    return work_module.Refusal(
        status=503,
        code="upstream_failed",
        message="no upstream answered the call",
        retry_after=RETRY_AFTER,
    )


def _respond(answer: plain_upstream.PlainAnswer) -> wrappers.Response:
    return wrappers.Response(
        answer.body, answer.status, content_type=answer.content_type
    )


def _replay(ran: once_module.AlreadyRanError) -> wrappers.Response:
    stored = None
    if ran.answer is not None:
        stored = msgspec.json.decode(
            ran.answer, type=plain_upstream.PlainAnswer | None
        )
    if stored is None:
        refusal = refusals.BadRequestError(
            409, "already_ran", "the call ran; its answer is not kept"
        ).refusal
        raise failures.RequestFailedError(refusal, failures.RunStatus.RAN)
    response = _respond(stored)
    response.headers[headers.REPLAYED] = "true"
    response.headers[headers.RUN] = failures.RunStatus.RAN.value
    return response
