"""Forwards calls to plain services under `/plain/<service>/<path>`."""

import dataclasses
import datetime
import functools
import random
import uuid
from collections import abc

import msgspec
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.entry import bodies
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
from arbutuscove.upstreams import paths as paths_module
from arbutuscove.upstreams import plain as plain_upstream

RETRY_AFTER = datetime.timedelta(seconds=2)
# How long an address that failed is tried only after all others.
FAILED_ADDRESS_COOLDOWN = datetime.timedelta(seconds=5)
# Larger answers are not stored under their idempotency key.
MAX_STORED_ANSWER_BYTES = 1 << 20
UNBOUNDED = bodies.AnswerMemory(None)


class PlainHandler:
    """Forwards calls to plain services, with retries of repeatable calls.

    Args:
        once: at-most-once execution of calls with an idempotency key.
        generator: source of randomness for the order of addresses and jitter.
        clock: the clock.
        limits: token budgets.
        budget: retry budget.
        paths: opens connections to upstreams; None opens direct ones.
        is_evacuated: whether nothing may be sent to an address in a failure
            domain, which is empty if it is not known.
    """

    def __init__(
        self,
        once: once_module.AtMostOnce,
        generator: random.Random,
        clock: clock_module.Clock,
        limits: limits_module.Limits,
        budget: attempts_module.RetryBudget,
        paths: paths_module.Paths | None = None,
        is_evacuated: abc.Callable[[str, str], bool] = (
            lambda address, domain: False
        ),
    ) -> None:
        self._paths = paths
        self._is_evacuated = is_evacuated
        self._once = once
        self._random = generator
        self._clock = clock
        self._limits = limits
        self._budget = budget
        # End of the cooldown of each failed address. Its size is bounded by the
        # number of addresses of configured services.
        self._cooldown_until: dict[str, datetime.timedelta] = {}

    def handle(
        self,
        request: wrappers.Request,
        snapshot: config_model.Snapshot,
        service: str,
        path: str,
    ) -> wrappers.Response:
        """Returns the complete answer of the upstream.

        Args:
            request: the HTTP request.
            snapshot: the configuration in force.
            service: name of the plain service.
            path: path at the upstream, without its leading slash.

        Raises:
            BadRequestError: the request is invalid.
            RequestFailedError: the call was rejected or has no answer.
        """
        callers_of_key = callers.authenticate(snapshot, request)
        caller = next(
            (c for c in callers_of_key if c.service.name == service), None
        )
        if caller is None or caller.service.plain is None:
            raise refusals.BadRequestError(
                404, "unknown_service", f"no plain service {service!r}"
            )
        backend = caller.service.plain
        repeat = request.headers.get(headers.REPEAT, "").lower()
        repeatable = (
            request.method in backend.repeatable_methods
            and repeat != headers.NEVER
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
        # A call generates no tokens; it counts as one token of a limit.
        work = dataclasses.replace(
            callers.build_work(
                request, caller, call.body, call.attempt_id, arrived, {}
            ),
            tokens=1,
        )
        answer_memory = request.environ["wsgi.input"].hold_answer()
        key = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        if repeat == headers.NEVER and not key:
            raise refusals.BadRequestError(
                400,
                "missing_idempotency_key",
                f"{headers.REPEAT}: never needs {headers.IDEMPOTENCY_KEY}",
            )
        if repeatable or not key:
            answer = self._send(backend, call, work, repeatable, answer_memory)
            return _respond(answer)
        return self._send_once(backend, call, work, caller, key, answer_memory)

    def _send_once(
        self,
        backend: config_model.PlainBackend,
        call: plain_upstream.PlainCall,
        work: work_module.Work,
        caller: callers.Caller,
        key: str,
        answer_memory: bodies.AnswerMemory,
    ) -> wrappers.Response:
        content = f"{call.method} {call.path}\0".encode() + call.body
        digest = callers.digest_key(content.decode("latin-1"))
        account = claims_module.qualify_account(
            caller.service.name, caller.account.name
        )
        try:
            held_claim = self._once.begin(account, key, call.attempt_id, digest)
        except once_module.AlreadyRanError as ran:
            return _replay(ran)
        try:
            answer = self._send(backend, call, work, False, answer_memory)
        except failures.RequestFailedError as error:
            if error.run != failures.RunStatus.NOT_RUN:
                raise
            run = self._once.cancel(held_claim)
            raise failures.RequestFailedError(error.refusal, run) from error
        self._store_answer(held_claim, answer)
        return _respond(answer)

    def _store_answer(
        self,
        held_claim: claims_module.HeldClaim,
        answer: plain_upstream.PlainAnswer,
    ) -> None:
        stored_answer = (
            answer if len(answer.body) <= MAX_STORED_ANSWER_BYTES else None
        )
        self._once.finish(held_claim, msgspec.json.encode(stored_answer))

    def _send(
        self,
        backend: config_model.PlainBackend,
        call: plain_upstream.PlainCall,
        work: work_module.Work,
        repeatable: bool,
        answer_memory: bodies.AnswerMemory = UNBOUNDED,
    ) -> plain_upstream.PlainAnswer:
        reservation = self._limits.reserve(work)
        if reservation.is_error():
            raise failures.RequestFailedError(
                reservation.error, failures.RunStatus.NOT_RUN
            )
        used_tokens = 1
        try:
            return self._send_attempts(
                backend, call, work, repeatable, answer_memory
            )
        except errors.NoMemoryError as error:
            answer_memory.drop()
            raise failures.RequestFailedError(
                bodies.build_answer_refusal(), failures.RunStatus.UNKNOWN
            ) from error
        except failures.RequestFailedError as error:
            used_tokens = 0 if error.run == failures.RunStatus.NOT_RUN else 1
            raise
        finally:
            self._limits.settle(reservation.ok, used_tokens)

    def _send_attempts(
        self,
        backend: config_model.PlainBackend,
        call: plain_upstream.PlainCall,
        work: work_module.Work,
        repeatable: bool,
        answer_memory: bodies.AnswerMemory,
    ) -> plain_upstream.PlainAnswer:
        self._budget.record_request()
        addresses = self._order_addresses(backend)
        attempts = attempts_module.Attempts()
        while True:
            address = self._pick_address(backend, addresses, attempts)
            remaining = work.deadline - self._clock.monotonic()
            result = plain_upstream.send_call(
                address,
                call,
                remaining,
                self._paths,
                answer_memory.reserve,
                functools.partial(self._is_withheld, backend, address),
            )
            if result.is_ok():
                self._cooldown_until.pop(address, None)
                return result.ok
            answer_memory.drop()
            self._cooldown_until[address] = (
                self._clock.monotonic() + FAILED_ADDRESS_COOLDOWN
            )
            is_not_dispatched = isinstance(
                result.error, errors.NotDispatchedError
            )
            attempts = attempts.add(
                failures.RunStatus.NOT_RUN
                if is_not_dispatched
                else failures.RunStatus.UNKNOWN
            )
            remaining = work.deadline - self._clock.monotonic()
            if not attempts_module.may_retry(
                attempts, repeatable, remaining, self._budget
            ):
                raise failures.RequestFailedError(
                    _build_failure_refusal(), attempts.run
                )
            self._clock.sleep(
                attempts_module.draw_backoff(attempts.count, self._random)
            )

    def _pick_address(
        self,
        backend: config_model.PlainBackend,
        addresses: list[str],
        attempts: attempts_module.Attempts,
    ) -> str:
        """Returns the address of the next attempt.

        Raises:
            RequestFailedError: all addresses are in evacuated domains.
        """
        usable = [
            address
            for address in addresses
            if not self._is_withheld(backend, address)
        ]
        if not usable:
            raise failures.RequestFailedError(
                work_module.Refusal(
                    status=503,
                    code="evacuated",
                    message="all upstreams are in evacuated failure domains",
                    retry_after=RETRY_AFTER,
                ),
                attempts.run,
            )
        return usable[attempts.count % len(usable)]

    def _is_withheld(
        self, backend: config_model.PlainBackend, address: str
    ) -> bool:
        """Returns whether nothing may be sent to an address."""
        domain = backend.get_failure_domain(address)
        return self._is_evacuated(address, domain)

    def _order_addresses(self, backend: config_model.PlainBackend) -> list[str]:
        """Returns the addresses in random order, recently failed ones last.

        If failed addresses were tried as often as others, one unavailable
        server of three would exhaust the retry budget.
        """
        now = self._clock.monotonic()
        addresses = list(backend.addresses)
        self._random.shuffle(addresses)
        return sorted(
            addresses,
            key=lambda item: self._cooldown_until.get(item, now) > now,
        )


def _build_failure_refusal() -> work_module.Refusal:
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
