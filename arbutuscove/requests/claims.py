"""Claims that let a non-repeatable request run at most once.

A claim row under (account, idempotency key) is created before dispatch, and
only the attempt that created it may dispatch. A request is reported as
`not_run` only if there is no claim, or if the attempt that created the claim
abandoned it before dispatch. If a claim is neither done nor abandoned, the
outcome is reported as unknown and the request never runs again. While the
table service hangs, a circuit breaker refuses new claims without a call.

After the table came back from an older copy, a claim that is absent may have
been lost. Its outcome is then reported as unknown, too.
"""

import dataclasses
import enum
import hashlib
from collections import abc

import expression
import msgspec

from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import breaker
from arbutuscove.requests import lost_claims
from arbutuscove.storage import table as table_module

KEY_PREFIX = "claim/"


class ClaimState(enum.StrEnum):
    """State of a claimed request."""

    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A claim row; `answer` is the object key of the answer, empty if none."""

    attempt_id: str
    digest: str
    state: ClaimState
    daemon: str
    answer: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim that this attempt created, with its row key and version."""

    key: str
    claim: Claim
    version: int


class ClaimUnavailableError(Exception):
    """No claim was written; the request was not run."""


class ClaimUnknownError(Exception):
    """The claim may have been written; nothing was dispatched."""


def qualify_account(service: str, account: str) -> str:
    """Returns the name of an account, qualified by its service.

    Account names are unique only inside a service. Without the service, two
    clients with the same name and content would share claims and answers.

    Example:
        >>> qualify_account("bids", "desk")
        'bids/desk'
    """
    return f"{service}/{account}"


def build_key(account: str, idempotency_key: str) -> str:
    """Returns the key of a claim row.

    Example:
        >>> build_key("desk", "lot-7")[:11]
        'claim/desk/'
    """
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{KEY_PREFIX}{account}/{digest}"


class ClaimLostError(Exception):
    """The table may have lost the claim; nothing was dispatched."""


class Claims:
    """Acquires and settles claims in the table service."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        daemon: str,
        get_era: abc.Callable[[], int] = lambda: 0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._daemon = daemon
        self._get_era = get_era
        self._lost = lost_claims.LostClaims(table, clock, get_era)
        self._breaker = breaker.Breaker(clock)

    def acquire(
        self, key: str, attempt_id: str, digest: str
    ) -> expression.Result[HeldClaim, Claim]:
        """Creates a claim, or returns the existing claim.

        An abandoned claim of the same request is acquired again.

        Args:
            key: key of the claim row.
            attempt_id: identity of the attempt.
            digest: digest of the request.

        Returns:
            The new claim, or the existing claim as the error.

        Raises:
            ClaimUnavailableError: nothing was written.
            ClaimUnknownError: the claim may or may not have been written.
            ClaimLostError: the claim may have been lost.
        """
        if not self._breaker.allow_call():
            raise ClaimUnavailableError("the table service does not answer")
        started = self._clock.monotonic()
        try:
            result = self._acquire(key, attempt_id, digest)
        except table_module.TableUnavailableError as error:
            self._breaker.record_failure(started)
            raise ClaimUnavailableError(str(error)) from error
        except table_module.OutcomeUnknownError as error:
            # The table service answered the read before this write, so it
            # does not hang; one lost confirmation must not refuse other claims.
            self._breaker.record_inconclusive()
            raise ClaimUnknownError(str(error)) from error
        except BaseException:
            self._breaker.record_inconclusive()
            raise
        self._breaker.record_success()
        return result

    def _acquire(
        self, key: str, attempt_id: str, digest: str
    ) -> expression.Result[HeldClaim, Claim]:
        row = self._table.read(key)
        version = table_module.ABSENT if row is None else row.version
        if row is not None:
            existing = row.decode(Claim)
            is_abandoned = existing.state == ClaimState.ABANDONED
            if not is_abandoned or existing.digest != digest:
                return expression.Error(existing)
        if self._lost.may_be_lost():
            raise ClaimLostError("the table may have lost the claim")
        era = self._get_era()
        claim = Claim(
            attempt_id=attempt_id,
            digest=digest,
            state=ClaimState.CLAIMED,
            daemon=self._daemon,
        )
        held_claim = self._write(key, version, claim)
        if self._get_era() != era:
            # Another attempt may have claimed the request in the lost part.
            raise ClaimLostError("the table may have lost the claim")
        if held_claim is not None:
            return expression.Ok(held_claim)
        row = self._table.read(key)
        if row is None:
            raise ClaimUnavailableError("the claim row changed meanwhile")
        return expression.Error(row.decode(Claim))

    def restore_lost(self) -> None:
        """Writes claims again that the table lost; to be called regularly.

        Raises:
            TableError: the table could not be read or written.
        """
        self._lost.check()

    def abandon(self, held_claim: HeldClaim) -> bool:
        """Abandons a claim before dispatch.

        Returns:
            Whether this was recorded for certain. If so, the request was not
            run and never will be under this claim.
        """
        claim = dataclasses.replace(
            held_claim.claim, state=ClaimState.ABANDONED
        )
        return self._settle(held_claim, claim)

    def finish(self, held_claim: HeldClaim, answer: str) -> bool:
        """Marks the request as done.

        Args:
            held_claim: the claim of the request.
            answer: object key of the stored answer, empty if none.

        Returns:
            Whether this was recorded for certain.
        """
        claim = dataclasses.replace(
            held_claim.claim, state=ClaimState.DONE, answer=answer
        )
        return self._settle(held_claim, claim)

    def _settle(self, held_claim: HeldClaim, claim: Claim) -> bool:
        try:
            return (
                self._write(held_claim.key, held_claim.version, claim)
                is not None
            )
        except table_module.TableError:
            return False

    def _write(self, key: str, version: int, claim: Claim) -> HeldClaim | None:
        value = msgspec.to_builtins(claim)
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(table_module.Write(key=key, value=value),),
        )
        result = table_module.commit(self._table, transaction, self._clock)
        if result.is_error():
            return None
        self._lost.remember(key, value)
        return HeldClaim(key=key, claim=claim, version=result.ok.versions[key])
