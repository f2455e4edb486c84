"""Processing of a request from its arrival to the end of its answer.

The route determines which requests may be retried.
"""

import datetime
import random
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.kernel import services
from arbutuscove.relay import attempt as attempt_module
from arbutuscove.relay import bodies
from arbutuscove.relay import budget as budget_module
from arbutuscove.relay import context as context_module
from arbutuscove.relay import model
from arbutuscove.relay import outcomes
from arbutuscove.relay import refusals
from arbutuscove.relay import replies
from arbutuscove.relay import streams

SERVICE_NAME = "flow"


class Flow(services.BaseService):
    """Serves requests by attempts at backends, with retries."""

    def __init__(
        self,
        context: context_module.AttemptContext,
        allowance: budget_module.RetryAllowance,
        count_daemons: abc.Callable[[], int],
        generator: random.Random,
        slack_from: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        """Creates a flow without requests.

        Args:
            context: what all attempts share.
            allowance: the retries that the fleet may send.
            count_daemons: returns how many daemons share them.
            generator: source of random choices.
            slack_from: monotonic time from which the slack may be used.
        """
        self.context = context
        self.clock = context.clock
        self._allowance = allowance
        self._slack_from = slack_from
        self._count_daemons = count_daemons
        self._generator = generator
        self._budgets: dict[str, budget_module.RetryBudget] = {}

    def serve(self, request: model.Request) -> model.Answer:
        """Returns the answer of an upstream to a request.

        Raises:
            RefusedError: the request is answered by the system itself.
        """
        retry_after = self.context.crashes.check(request)
        if retry_after is not None:
            raise refusals.build_quarantine_refusal(retry_after)
        service = self._choose_service(request.route)
        self._get_budget(service).record_request(self.clock.monotonic())
        if request.route.repeat.is_streamed:
            return streams.StreamedAnswer(self, request, service).start()
        return self._serve_buffered(request, service)

    def is_safe_to_repeat(
        self,
        request: model.Request,
        error: outcomes.FailedAttempt,
        has_delivered: bool = False,
    ) -> bool:
        """Returns whether another attempt crashes no upstream, as known now.

        Args:
            request: the request.
            error: how its last attempt failed.
            has_delivered: whether the caller has received a part of a stream.
        """
        match error:
            case outcomes.QuarantinedError():
                return False
            case outcomes.NotRunError():
                return True
            case outcomes.AttemptLostError() if has_delivered:
                return self.context.crashes.may_resume(request)
            case outcomes.AttemptLostError():
                return self.context.crashes.may_repeat(request)

    def may_try_elsewhere(
        self, request: model.Request, unsent_count: int
    ) -> bool:
        """Returns whether a request that was not sent may try another upstream.

        Args:
            request: the request.
            unsent_count: how many upstreams accepted no connection for it.
        """
        left = request.deadline - self.clock.monotonic()
        return (
            unsent_count <= attempt_module.MAX_UNSENT_ATTEMPTS
            and left > attempt_module.MIN_TIME_LEFT
        )

    def acquire_retry(self, service: str) -> bool:
        """Acquires one retry from the budget of a service, if there is one."""
        now = self.clock.monotonic()
        return self._get_budget(service).try_acquire(now, self._count_daemons())

    def give_retry_back(self, service: str) -> None:
        """Returns the last retry that was acquired and not used."""
        self._get_budget(service).give_back()

    def _get_budget(self, service: str) -> budget_module.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = budget_module.RetryBudget(
                self._allowance, self._slack_from
            )
            self._budgets[service] = budget
        return budget

    def _choose_service(self, route: catalog_model.Route) -> str:
        weights = [target.weight for target in route.targets]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.targets[0].service
        (target,) = self._generator.choices(route.targets, weights)
        return target.service

    def _serve_buffered(
        self, request: model.Request, service: str
    ) -> model.Answer:
        excluded: frozenset[model.BackendKey] = frozenset()
        repeat = request.route.repeat
        attempts_made = 0
        unsent_count = 0
        has_lost_attempt = False
        while True:
            attempt = attempt_module.Attempt(self.context, request, service)
            is_handed_over = False
            try:
                with refusals.correct_refusal(request, has_lost_attempt):
                    reply = attempt.open(
                        excluded, "", may_have_run=has_lost_attempt
                    )
                body = attempt.read_body()
                if not attempt.has_ended():
                    is_handed_over = True
                    return bodies.relay_answer(attempt, reply, body)
                attempt.finish()
                attempts_made += 1
                if self._is_final(request, service, attempts_made, reply):
                    return bodies.build_answer(reply, body)
                has_lost_attempt = True
                reason = f"status {reply.status}"
            except outcomes.NotRunError as error:
                reason = str(error)
                is_unsent = isinstance(error, outcomes.UnsentError)
                unsent_count += is_unsent
                attempts_made += not is_unsent
                if not self._may_go_on(
                    request, service, attempts_made, unsent_count, error
                ):
                    raise refusals.build_not_run_refusal(
                        request,
                        error,
                        has_lost_attempt,
                        self.context.dispatcher.get_pause(service, request),
                    ) from error
            except outcomes.AttemptLostError as error:
                reason = str(error)
                attempts_made += 1
                has_lost_attempt = True
                if not repeat.is_idempotent or not self._may_retry(
                    request, service, attempts_made, error
                ):
                    raise refusals.build_failure(
                        request, self._get_failure_status(request), reason
                    ) from error
            finally:
                if not is_handed_over:
                    attempt.close()
            if attempt.backend is not None:
                excluded |= {attempt.backend.key}
            refusals.log_retry(request, attempts_made, reason)

    def _is_final(
        self,
        request: model.Request,
        service: str,
        attempts_made: int,
        reply: replies.Reply,
    ) -> bool:
        """Returns whether the caller gets this answer, without another attempt.

        Acquires a retry from the budget if there will be another attempt.
        """
        if reply.status < 500 or not request.route.repeat.is_idempotent:
            return True
        if attempts_made >= request.route.attempts:
            return True
        return not self._acquire_retry_in_time(request, service)

    def _may_go_on(
        self,
        request: model.Request,
        service: str,
        attempts_made: int,
        unsent_count: int,
        error: outcomes.NotRunError,
    ) -> bool:
        """Returns whether a request that did not run may try another upstream.

        Acquires a retry from the budget if an upstream received the request.
        """
        match error:
            case outcomes.NoPathError():
                return False
            case outcomes.UnsentError():
                return self.may_try_elsewhere(request, unsent_count)
            case _:
                return self._may_retry(request, service, attempts_made, error)

    def _may_retry(
        self,
        request: model.Request,
        service: str,
        attempts_made: int,
        error: outcomes.FailedAttempt,
    ) -> bool:
        if attempts_made >= request.route.attempts:
            return False
        if not self.is_safe_to_repeat(request, error):
            return False
        return self._acquire_retry_in_time(request, service)

    def _acquire_retry_in_time(
        self, request: model.Request, service: str
    ) -> bool:
        """Returns whether a retry was acquired, with time left to send it."""
        left = self.context.compute_end(request) - self.clock.monotonic()
        return left > attempt_module.MIN_TIME_LEFT and self.acquire_retry(
            service
        )

    def _get_failure_status(self, request: model.Request) -> int:
        passed = self.clock.monotonic() >= request.deadline
        return 504 if passed else 502
