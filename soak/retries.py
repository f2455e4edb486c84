"""Checks the fleet's retries at the servers (BUDGET).

In any window, a service may get so many arrivals beyond the first one of each
request: a ratio of the requests, and a constant.
"""

import bisect
import collections
from collections import abc

from arbutuscove.standins import users_platform


def check_retries(
    arrivals: abc.Iterable[users_platform.Arrival],
    ratio: float,
    slack: float,
    window_seconds: float,
) -> list[users_platform.Violation]:
    """Returns a violation for each service with too many retries.

    Only requests that arrived count as requests, so that the check is stricter
    than the rule.

    Args:
        arrivals: arrivals of requests at servers, rejected ones, too, by time.
        ratio: retries per request.
        slack: retries beyond it.
        window_seconds: length of any window.
    """
    firsts: dict[str, list[float]] = collections.defaultdict(list)
    repeats: dict[str, list[float]] = collections.defaultdict(list)
    seen: set[tuple[str, str]] = set()
    for arrival in arrivals:
        key = (arrival.service, arrival.request_id)
        times = repeats if key in seen else firsts
        times[arrival.service].append(arrival.at)
        seen.add(key)
    violations = []
    for service, times in repeats.items():
        for position, begin in enumerate(times):
            end = begin + window_seconds
            count = bisect.bisect_left(times, end) - position
            requests = _count_between(firsts[service], begin, end)
            if count > ratio * requests + slack:
                detail = f"{count} retries for {requests} requests: {service}"
                violations.append(
                    users_platform.Violation(name="BUDGET", detail=detail)
                )
                break
    return violations


def _count_between(times: list[float], begin: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
