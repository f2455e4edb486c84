"""The scenarios of section 1.2 of the design page.

A run warms up for 30 s of usual load; the disturbance follows, lasts `length`
and is what is measured. Times are in seconds.
"""

import dataclasses
from collections import abc

from bench import fakes
from bench import simulation
from bench import users

WARM_UP = 30.0
LENGTH = 90.0
LARGE_ACCOUNT = 2  # position of the account that floods in "one account"
LAG = 2.0  # of load reports in "late reports"
REBUILD = 25.0  # until a dead replica serves again


def _flow_usual(user: users.User, length: float) -> list[simulation.Flow]:
    return [
        simulation.Flow(
            account,
            rank,
            share * load.usual * user.capacity(load),
            0.0,
            WARM_UP + length,
        )
        for rank, load in enumerate(user.ranks)
        for account, share in enumerate(users.SHARES)
    ]


def _flow_flood(
    user: users.User, rank: int, factor: float, length: float
) -> list[simulation.Flow]:
    load = user.ranks[rank]
    extra = factor * user.capacity(load)
    return [
        simulation.Flow(account, rank, share * extra, WARM_UP, WARM_UP + length)
        for account, share in enumerate(users.SHARES)
    ]


def _build(
    name: str,
    flows: abc.Iterable[simulation.Flow],
    length: float,
    faults: abc.Iterable[simulation.Fault] = (),
    report_lag: float = 0.2,
) -> simulation.Scenario:
    return simulation.Scenario(
        name=name,
        flows=tuple(flows),
        measure_from=WARM_UP,
        measure_to=WARM_UP + length,
        faults=tuple(faults),
        report_lag=report_lag,
    )


def build_normal(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns a normal day."""
    return _build("normal day", _flow_usual(user, length), length)


def build_bulk_flood(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns 10 times the capacity in the least urgent rank."""
    flows = _flow_usual(user, length) + _flow_flood(
        user, len(user.ranks) - 1, 10.0, length
    )
    return _build("bulk flood 10x", flows, length)


def build_urgent_flood(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns 3 times the capacity in the most urgent rank."""
    flows = _flow_usual(user, length) + _flow_flood(user, 0, 3.0, length)
    return _build("urgent flood 3x", flows, length)


def build_both_floods(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns the flood of the least urgent rank, then of the most urgent."""
    half = WARM_UP + length / 2
    bulk = _flow_flood(user, len(user.ranks) - 1, 10.0, length)
    urgent = _flow_flood(user, 0, 3.0, length)
    flows = [
        *_flow_usual(user, length),
        *(flow._replace(end=half) for flow in bulk),
        *(flow._replace(start=half) for flow in urgent),
    ]
    return _build("bulk, then urgent flood", flows, length)


def build_large_account(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns one account that asks for 50 times as much in every rank."""
    usual = _flow_usual(user, length)
    extra = [
        flow._replace(rate=flow.rate * 49.0, start=WARM_UP)
        for flow in usual
        if flow.account == LARGE_ACCOUNT
    ]
    return _build("one account 50x", usual + extra, length)


def build_failures(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns deaths, stragglers and a flapping replica."""
    faults = []
    for number, replica in enumerate(range(0, user.replicas, 4)):
        faults.extend(_die(replica, WARM_UP + 5.0 + 12.0 * number, REBUILD))
    for replica in range(1, user.replicas, 6):
        faults.append(simulation.Fault(WARM_UP, replica, _slow_down))
    for turn in range(8):
        faults.extend(_die(2, WARM_UP + 10.0 * turn, 4.0))
    return _build(
        "deaths and stragglers", _flow_usual(user, length), length, faults
    )


def build_domain_outage(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns the loss of one of three fabric domains."""
    faults = []
    for replica in range(user.replicas // 3):
        faults.extend(_die(replica, WARM_UP + 10.0, 45.0))
    return _build(
        "fabric domain outage", _flow_usual(user, length), length, faults
    )


def build_late_reports(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns the flood of the least urgent rank with late load reports."""
    scenario = build_bulk_flood(user, length)
    return dataclasses.replace(
        scenario, name="bulk flood, reports 2 s late", report_lag=LAG
    )


def build_late_normal(
    user: users.User, length: float = LENGTH
) -> simulation.Scenario:
    """Returns a normal day with late load reports."""
    scenario = build_normal(user, length)
    return dataclasses.replace(
        scenario, name="normal day, reports 2 s late", report_lag=LAG
    )


def _die(replica: int, at: float, lasting: float) -> list[simulation.Fault]:
    return [
        simulation.Fault(at, replica, fakes.Engine.die),
        simulation.Fault(at + lasting, replica, _return),
    ]


def _return(engine: fakes.Engine) -> None:
    engine.alive = True


def _slow_down(engine: fakes.Engine) -> None:
    engine.slowness = 4.0


BUILDERS = (
    build_normal,
    build_bulk_flood,
    build_urgent_flood,
    build_both_floods,
    build_large_account,
    build_failures,
    build_domain_outage,
    build_late_normal,
    build_late_reports,
)
