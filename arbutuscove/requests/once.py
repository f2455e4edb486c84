"""Runs a request at most once under the caller's idempotency key."""

import datetime

import eliot
import gevent

from arbutuscove.admission import work as work_module
from arbutuscove.kernel import services
from arbutuscove.requests import claims as claims_module
from arbutuscove.requests import failures
from arbutuscove.requests import lost_claims
from arbutuscove.storage import objects as objects_module
from arbutuscove.storage import table as table_module

SERVICE_NAME = "once"
ANSWER_PREFIX = "answers/"
RETRY_AFTER = datetime.timedelta(seconds=5)


class AlreadyRanError(Exception):
    """The request ran before; `answer` is its stored answer, if any."""

    def __init__(self, answer: bytes | None) -> None:
        super().__init__("the request already ran")
        self.answer = answer


class AtMostOnce(services.LoopService):
    """Claims requests before dispatch and stores their answers afterwards."""

    def __init__(
        self,
        claims: claims_module.Claims,
        objects: objects_module.ObjectStore,
    ) -> None:
        self._claims = claims
        self._objects = objects

    def start(self, kernel: services.Kernel) -> None:
        """Starts the loop that writes lost claims again."""
        self.run_loop(self._run)

    def _run(self) -> None:
        while True:
            gevent.sleep(lost_claims.CHECK_INTERVAL.total_seconds())
            try:
                self.check_claims()
            except table_module.TableError as error:
                eliot.log_message("claims:not_checked", reason=str(error))

    def check_claims(self) -> None:
        """Writes claims again that the table lost.

        Raises:
            TableError: the table could not be read or written.
        """
        self._claims.restore_lost()

    def begin(
        self, account: str, key: str, attempt_id: str, digest: str
    ) -> claims_module.HeldClaim:
        """Claims a request, which may be dispatched only after this.

        Args:
            account: account name, qualified by its service.
            key: idempotency key of the caller.
            attempt_id: identity of the attempt.
            digest: digest of the request.

        Raises:
            RequestFailedError: the request must not be dispatched.
            AlreadyRanError: an earlier attempt completed the request.
        """
        row_key = claims_module.build_key(account, key)
        try:
            result = self._claims.acquire(row_key, attempt_id, digest)
        except claims_module.ClaimUnavailableError as error:
            raise _build_error(503, "claims_unavailable", str(error)) from error
        except claims_module.ClaimUnknownError as error:
            raise _build_error(503, "claim_unsettled", str(error)) from error
        except claims_module.ClaimLostError as error:
            raise _build_unknown_outcome() from error
        if result.is_ok():
            return result.ok
        raise self._build_conflict(result.error, digest)

    def cancel(self, held_claim: claims_module.HeldClaim) -> failures.RunStatus:
        """Abandons a claim before dispatch; returns the status to report."""
        if self._claims.abandon(held_claim):
            return failures.RunStatus.NOT_RUN
        return failures.RunStatus.UNKNOWN

    def finish(
        self, held_claim: claims_module.HeldClaim, answer: bytes | None
    ) -> None:
        """Stores the answer if possible, and records that the request ran.

        Args:
            held_claim: the claim of the request.
            answer: the answer; None if it cannot be kept.
        """
        object_key = ""
        if answer is not None:
            object_key = self._store_answer(held_claim.key, answer)
        if not self._claims.finish(held_claim, object_key):
            eliot.log_message("once:finish_not_recorded", key=held_claim.key)

    def _store_answer(self, key: str, answer: bytes) -> str:
        """Stores an answer and returns its object key, "" if that failed."""
        object_key = ANSWER_PREFIX + key
        try:
            self._objects.put(object_key, answer)
        except objects_module.ObjectStoreUnavailableError as error:
            eliot.log_message("once:answer_not_stored", reason=str(error))
            return ""
        return object_key

    def _build_conflict(
        self, existing: claims_module.Claim, digest: str
    ) -> failures.RequestFailedError | AlreadyRanError:
        if existing.digest != digest:
            return _build_error(
                422,
                "idempotency_key_reused",
                "the idempotency key belongs to another request",
            )
        if existing.state == claims_module.ClaimState.DONE:
            return AlreadyRanError(self._load_answer(existing.answer))
        return _build_unknown_outcome()

    def _load_answer(self, object_key: str) -> bytes | None:
        if not object_key:
            return None
        try:
            return self._objects.get(object_key)
        except objects_module.ObjectStoreUnavailableError:
            return None


def _build_unknown_outcome() -> failures.RequestFailedError:
    refusal = work_module.Refusal(
        status=409,
        code="outcome_unknown",
        message="the request is running or its outcome is unknown",
        retry_after=RETRY_AFTER,
    )
    return failures.RequestFailedError(refusal, failures.RunStatus.UNKNOWN)


def _build_error(
    status: int, code: str, message: str
) -> failures.RequestFailedError:
    retry_after = RETRY_AFTER if status == 503 else None
    refusal = work_module.Refusal(
        status=status, code=code, message=message, retry_after=retry_after
    )
    return failures.RequestFailedError(refusal, failures.RunStatus.NOT_RUN)
