"""Guards against a check of retries that sees none."""

from arbutuscove.standins import users_platform
from soak import retries


def build_arrivals(count, repeats, gap=0.01):
    """Returns arrivals of requests that are each sent several times."""
    return [
        users_platform.Arrival(
            request_id=f"r{number}", service="desk", at=gap * number
        )
        for number in range(count)
        for _ in range(repeats)
    ]


def check(arrivals, slack):
    return retries.check_retries(arrivals, 0.2, slack, 10.0)


def test_retries_beyond_the_allowance_are_found():
    """Guards against a storm of retries that the soak passes over."""
    assert not check(build_arrivals(100, 1), 0)
    assert not check(build_arrivals(100, 2), 80)
    (violation,) = check(build_arrivals(100, 2), 79)
    assert violation.name == "BUDGET"


def test_retries_are_counted_in_each_window():
    """Guards against a burst that disappears in a long run."""
    quiet = build_arrivals(10_000, 1)
    burst = [
        users_platform.Arrival(request_id=f"r{n}", service="desk", at=200.0)
        for n in range(50)
    ]
    assert check([*quiet, *burst], 40)
    assert not check([*quiet, *burst], 50)
