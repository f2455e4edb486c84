"""At most once for requests that may not be repeated.

A claim row under (account, idempotency key) is created before dispatch; only
the attempt that created it may dispatch. `not_run` is reported only when there
is no claim or the claim was abandoned by its own attempt before dispatch. A
claim that is neither done nor abandoned is reported as unknown and never run
again. While the table hangs, a breaker refuses new claims without a call.
"""

import dataclasses
import enum
import hashlib

import expression
import msgspec

from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import breaker
from arbutuscove.storage import table as table_module

PREFIX = "claim/"


class ClaimState(enum.StrEnum):
    """What is known of the claimed request."""

    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A claim row; `answer` is the object key of the stored answer."""

    attempt_id: str
    digest: str
    state: ClaimState
    daemon: str
    answer: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim that this attempt created, and its row version."""

    key: str
    claim: Claim
    version: int


class ClaimUnavailableError(Exception):
    """No claim was written; the request was not run."""


class ClaimUnknownError(Exception):
    """The claim may have been written; nothing was dispatched."""


def qualify_account(service: str, account: str) -> str:
    """Returns the identity of an account over all services.

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
    return f"{PREFIX}{account}/{digest}"


class Claims:
    """Writes claims through the table service."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        daemon: str,
    ) -> None:
        self._table = table
        self._clock = clock
        self._daemon = daemon
        self._breaker = breaker.Breaker(clock)

    def acquire(
        self, key: str, attempt_id: str, digest: str
    ) -> expression.Result[HeldClaim, Claim]:
        """Creates the claim, or returns the one that exists.

        An abandoned claim of the same request is taken again.

        Raises:
            ClaimUnavailableError: nothing was written.
            ClaimUnknownError: the outcome could not be settled.
        """
        if not self._breaker.permit():
            raise ClaimUnavailableError("the table service does not answer")
        started = self._clock.monotonic()
        try:
            taken = self._acquire(key, attempt_id, digest)
        except table_module.TableUnavailableError as error:
            self._breaker.record_failure(started)
            raise ClaimUnavailableError(str(error)) from error
        except table_module.OutcomeUnknownError as error:
            # The table answered the read before this write, so it does not
            # hang; one lost confirmation must not refuse other claims.
            self._breaker.cancel()
            raise ClaimUnknownError(str(error)) from error
        except BaseException:
            self._breaker.cancel()
            raise
        self._breaker.record_success()
        return taken

    def _acquire(
        self, key: str, attempt_id: str, digest: str
    ) -> expression.Result[HeldClaim, Claim]:
        row = self._table.read(key)
        version = table_module.ABSENT if row is None else row.version
        if row is not None:
            found = row.decode(Claim)
            abandoned = found.state == ClaimState.ABANDONED
            if not abandoned or found.digest != digest:
                return expression.Error(found)
        claim = Claim(
            attempt_id=attempt_id,
            digest=digest,
            state=ClaimState.CLAIMED,
            daemon=self._daemon,
        )
        written = self._write(key, version, claim)
        if written is not None:
            return expression.Ok(written)
        row = self._table.read(key)
        if row is None:
            raise ClaimUnavailableError("the claim row changed meanwhile")
        return expression.Error(row.decode(Claim))

    def abandon(self, held: HeldClaim) -> bool:
        """Gives up a claim before dispatch; True if that is certain.

        After a True answer the request was not run and never will be under
        this claim.
        """
        claim = dataclasses.replace(held.claim, state=ClaimState.ABANDONED)
        return self._settle(held, claim)

    def finish(self, held: HeldClaim, answer: str) -> bool:
        """Marks the request as run; True if that is recorded for certain."""
        claim = dataclasses.replace(
            held.claim, state=ClaimState.DONE, answer=answer
        )
        return self._settle(held, claim)

    def _settle(self, held: HeldClaim, claim: Claim) -> bool:
        try:
            return self._write(held.key, held.version, claim) is not None
        except table_module.TableError:
            return False

    def _write(self, key: str, version: int, claim: Claim) -> HeldClaim | None:
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(
                table_module.Write(key=key, value=msgspec.to_builtins(claim)),
            ),
        )
        result = table_module.commit(self._table, transaction, self._clock)
        if result.is_error():
            return None
        return HeldClaim(key=key, claim=claim, version=result.ok.versions[key])
