"""What the order of waiting requests depends on: pool, work, latest start."""

import dataclasses
import datetime
import functools
from collections import abc

from arbutuscove.admission import work as work_module
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.config import model as config_model
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import model

PRIORITIES = 10  # number of priorities
# Cost of an answer token in prompt tokens: decoding needs a step per token.
ANSWER_WEIGHT = 10
# Expected time from the dispatch to the first byte, as a share of the
# first-byte target: the value until it is measured, and its upper bound. Slow
# engines recover as soon as they are sent fewer requests; the bound prevents
# that all waiting requests count as late until then.
FIRST_BYTE_SHARE = 0.5
MAX_FIRST_BYTE_SHARE = 0.8
FIRST_BYTE_WEIGHT = 0.1  # weight of a new time in the moving mean
# This configuration has no entitlements to the urgent rank.
UNLIMITED_TOKENS_PER_SECOND = 1e12

PoolKey = backends_module.PoolKey


class Works:
    """Describes requests to the queues of their pools."""

    def __init__(
        self,
        catalog: catalog_holder.CatalogHolder,
        has_queue: abc.Callable[[PoolKey], bool],
    ) -> None:
        """Creates a description without measured times.

        Args:
            catalog: holder of the configuration.
            has_queue: whether a pool has had requests.
        """
        self._catalog = catalog
        self._has_queue = has_queue
        self._first_byte_times: dict[PoolKey, datetime.timedelta] = {}

    def get_pool(self, service: str, request: model.Request) -> PoolKey:
        """Returns the key of the backends and queue of a request."""
        pool = (service, request.model)
        catalog = self._catalog.get_current()
        if catalog is None:
            return pool
        spec = catalog.services.get(service)
        if spec is not None and spec.engine is not None:
            return pool
        if spec is None and self._has_queue(pool):
            # The service was removed; requests that had begun go on there.
            return pool
        return (service, "")

    def is_configured(self, pool: PoolKey) -> bool:
        """Returns whether the configuration has the service and model."""
        catalog = self._catalog.get_current()
        if catalog is None:
            return True
        spec = catalog.services.get(pool[0])
        if spec is None or spec.engine is None:
            return spec is not None
        return spec.engine.find_model(pool[1]) is not None

    def record_first_byte(
        self, pool: PoolKey, duration: datetime.timedelta
    ) -> None:
        """Records the time from a dispatch to the first byte."""
        mean = self._first_byte_times.get(pool, duration)
        mean += FIRST_BYTE_WEIGHT * (duration - mean)
        self._first_byte_times[pool] = mean

    def create_first(
        self, request: model.Request, request_id: str, pool: PoolKey
    ) -> work_module.Work:
        """Returns the work of a request whose caller has no part of an answer.

        Args:
            request: the request.
            request_id: what names the work in the queue.
            pool: the request's pool.
        """
        target = request.route.first_byte_target
        first_byte_time = self._first_byte_times.get(
            pool, target * FIRST_BYTE_SHARE
        )
        on_time = target - min(first_byte_time, target * MAX_FIRST_BYTE_SHARE)
        timeout = request.route.first_event_timeout
        latest_start = None
        if timeout is not None:
            # The mean must not refuse what runs faster.
            latest_start = request.arrived + max(
                timeout - first_byte_time, timeout / 2
            )
        return dataclasses.replace(
            create_work(request, request_id),
            latest_on_time_start=request.arrived + on_time,
            latest_start=latest_start,
        )


def create_work(request: model.Request, request_id: str) -> work_module.Work:
    """Returns the work of a request.

    Args:
        request: the request.
        request_id: what names the work in the queue.
    """
    service = create_service(request.route.first_byte_target)
    account = "" if request.account is None else request.account.name
    answer = request.answer_tokens * ANSWER_WEIGHT
    priority = min(max(request.priority, 0), PRIORITIES - 1)
    return work_module.Work(
        request_id=request_id,
        service=service,
        account=create_account(account),
        rank=service.ranks[priority],
        tokens=max(1, request.prompt_tokens + answer),
        arrived=request.arrived,
        deadline=request.deadline,
    )


@functools.lru_cache(maxsize=64)
def create_service(target: datetime.timedelta) -> config_model.Service:
    """Returns a service with a rank for each priority.

    Args:
        target: time to the first byte for which work is on time.
    """
    ranks = tuple(
        config_model.Rank(
            name=str(priority),
            priority=priority,
            worth=1.0,
            first_token_target=target,
            floor_share=0.0,
        )
        for priority in range(PRIORITIES)
    )
    return config_model.Service(
        name="",
        team="",
        ranks=ranks,
        accounts=(),
        limits=config_model.Limits(accelerators=0),
    )


@functools.lru_cache(maxsize=1024)
def create_account(name: str) -> config_model.Account:
    """Returns an account of equal weight without bounds."""
    return config_model.Account(
        name=name,
        key_digests=(),
        urgent_tokens_per_second=UNLIMITED_TOKENS_PER_SECOND,
    )
