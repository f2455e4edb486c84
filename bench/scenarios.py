"""The scenarios of section 1.2 of the design page.

A run starts with 30 s of usual load as warm-up. The disturbance follows and
lasts `length` seconds; only this interval is measured.
"""

import dataclasses
from collections import abc

from bench import fakes
from bench import simulation
from bench import users

WARM_UP_SECONDS = 30.0
LENGTH_SECONDS = 90.0
LARGE_ACCOUNT = 2  # position of the flooding account in "one account 50x"
REPORT_LAG_SECONDS = 2.0  # in the scenarios "reports 2 s late"
REBUILD_SECONDS = 25.0  # from the crash of a replica until it serves again


def _build_usual_flows(
    user: users.User, length: float
) -> list[simulation.Flow]:
    return [
        simulation.Flow(
            account,
            rank,
            share * load.usual_share * user.compute_capacity(load),
            0.0,
            WARM_UP_SECONDS + length,
        )
        for rank, load in enumerate(user.ranks)
        for account, share in enumerate(users.ACCOUNT_SHARES)
    ]


def _build_flood_flows(
    user: users.User, rank: int, factor: float, length: float
) -> list[simulation.Flow]:
    load = user.ranks[rank]
    extra = factor * user.compute_capacity(load)
    return [
        simulation.Flow(
            account,
            rank,
            share * extra,
            WARM_UP_SECONDS,
            WARM_UP_SECONDS + length,
        )
        for account, share in enumerate(users.ACCOUNT_SHARES)
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
        measure_from=WARM_UP_SECONDS,
        measure_to=WARM_UP_SECONDS + length,
        faults=tuple(faults),
        report_lag=report_lag,
    )


def build_normal(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns the usual load without a disturbance."""
    return _build("normal day", _build_usual_flows(user, length), length)


def build_bulk_flood(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns a flood of 10 times the capacity in the least urgent rank."""
    flows = _build_usual_flows(user, length) + _build_flood_flows(
        user, len(user.ranks) - 1, 10.0, length
    )
    return _build("bulk flood 10x", flows, length)


def build_urgent_flood(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns a flood of 3 times the capacity in the most urgent rank."""
    flows = _build_usual_flows(user, length) + _build_flood_flows(
        user, 0, 3.0, length
    )
    return _build("urgent flood 3x", flows, length)


def build_both_floods(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns a flood of the least urgent rank, then of the most urgent one."""
    half = WARM_UP_SECONDS + length / 2
    bulk = _build_flood_flows(user, len(user.ranks) - 1, 10.0, length)
    urgent = _build_flood_flows(user, 0, 3.0, length)
    flows = [
        *_build_usual_flows(user, length),
        *(flow._replace(end=half) for flow in bulk),
        *(flow._replace(start=half) for flow in urgent),
    ]
    return _build("bulk, then urgent flood", flows, length)


def build_large_account(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns 50 times the usual load of one account, in every rank."""
    usual = _build_usual_flows(user, length)
    extra = [
        flow._replace(rate=flow.rate * 49.0, start=WARM_UP_SECONDS)
        for flow in usual
        if flow.account == LARGE_ACCOUNT
    ]
    return _build("one account 50x", usual + extra, length)


def build_failures(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns crashes of replicas, stragglers and a flapping replica."""
    faults = []
    for number, replica in enumerate(range(0, user.replicas, 4)):
        faults.extend(
            _build_crash(
                replica, WARM_UP_SECONDS + 5.0 + 12.0 * number, REBUILD_SECONDS
            )
        )
    for replica in range(1, user.replicas, 6):
        faults.append(simulation.Fault(WARM_UP_SECONDS, replica, _slow_down))
    for cycle in range(8):
        faults.extend(_build_crash(2, WARM_UP_SECONDS + 10.0 * cycle, 4.0))
    return _build(
        "deaths and stragglers",
        _build_usual_flows(user, length),
        length,
        faults,
    )


def build_domain_outage(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns the outage of one of three fabric domains."""
    faults = []
    for replica in range(user.replicas // 3):
        faults.extend(_build_crash(replica, WARM_UP_SECONDS + 10.0, 45.0))
    return _build(
        "fabric domain outage", _build_usual_flows(user, length), length, faults
    )


def build_late_reports(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns the flood of the least urgent rank with delayed load reports."""
    scenario = build_bulk_flood(user, length)
    return dataclasses.replace(
        scenario,
        name="bulk flood, reports 2 s late",
        report_lag=REPORT_LAG_SECONDS,
    )


def build_late_normal(
    user: users.User, length: float = LENGTH_SECONDS
) -> simulation.Scenario:
    """Returns the usual load with delayed load reports."""
    scenario = build_normal(user, length)
    return dataclasses.replace(
        scenario,
        name="normal day, reports 2 s late",
        report_lag=REPORT_LAG_SECONDS,
    )


def _build_crash(
    replica: int, at: float, duration: float
) -> list[simulation.Fault]:
    return [
        simulation.Fault(at, replica, fakes.Engine.crash),
        simulation.Fault(at + duration, replica, _restore),
    ]


def _restore(engine: fakes.Engine) -> None:
    engine.is_alive = True


def _slow_down(engine: fakes.Engine) -> None:
    engine.slowdown_factor = 4.0


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
