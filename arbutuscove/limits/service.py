"""Reservations of spend; slices of the budget are drawn ahead."""

import dataclasses

import expression

from arbutuscove.admission import work as work_module
from arbutuscove.kernel import services

SERVICE_NAME = "limits"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Tokens set aside for one request."""

    service: str
    rank: str
    account: str
    tokens: int


class Limits(services.BaseService):
    """Reserves tokens before a request runs and settles them after it."""

    def reserve(
        self, work: work_module.Work
    ) -> expression.Result[Reservation, work_module.Refusal]:
        """Sets the estimated tokens aside, or refuses the work."""
        return expression.Ok(
            Reservation(
                service=work.service.name,
                rank=work.rank.name,
                account=work.account.name,
                tokens=work.tokens,
            )
        )

    def settle(self, reservation: Reservation, tokens: int | None) -> None:
        """Ends a reservation; None means unknown and counts as spent."""
