"""Guards against requests without an answer that the soak does not report."""

import pytest

from arbutuscove.standins import users_platform
from soak import callers
from soak import ends
from soak import faults
from soak import world

STARTED_AT = 100.0
CHANGES = (
    world.Change(
        stored_at=0.0, timeouts={f"/{name}/": 4.0 for name in callers.ROUTES}
    ),
)


def _check(
    records: tuple[tuple[str, str, float, float], ...] = (),
    seconds: float = 1.3,
    runs: tuple[str, ...] = ("i-0",),
    changes: tuple[world.Change, ...] = CHANGES,
) -> bool:
    """Returns whether a closed request is reported as lost."""
    outcome = callers.Outcome(
        request_id="r1",
        route="stream",
        daemon="daemon-0",
        status=0,
        started_at=STARTED_AT,
        seconds=seconds,
    )
    return bool(
        ends.check_ends(
            [outcome],
            [
                users_platform.Run(
                    request_id="r1",
                    server=name,
                    service="models",
                    account="acme",
                    at=STARTED_AT,
                    members=(name, "i-1"),
                )
                for name in runs
            ],
            [
                faults.Record(
                    name=name,
                    target=target,
                    started_at=STARTED_AT + begin,
                    seconds=0.0,
                    ended_at=STARTED_AT + end,
                )
                for name, target, begin, end in records
            ],
            changes,
        )
    )


@pytest.mark.parametrize(
    ("name", "target"),
    [
        ("server_silent", "i-0"),
        ("server_refuses", "i-0"),
        ("server_crash", "i-2"),
        ("kill", "daemon-1"),
        ("term", "daemon-0"),
        ("hup", "daemon-0"),
        ("configuration_series", "4"),
        ("store_silent", "store"),
    ],
)
def test_planned_work_silence_and_other_servers_excuse_nothing(name, target):
    """Guards against a lost request that an unrelated record excuses."""
    assert _check(((name, target, -1.0, 1.0),))


@pytest.mark.parametrize(
    ("name", "target"),
    [
        ("server_crash", "i-0"),
        ("server_link", "i-1"),
        ("kill", "daemon-0"),
        ("store_link", "daemon-0"),
    ],
)
def test_broken_server_or_disturbed_daemon_excuses(name, target):
    """Guards against a report of a request that a server broke off."""
    assert not _check(((name, target, -1.0, 1.0),))


def test_fault_excuses_only_in_the_settle_time_before_and_meanwhile():
    """Guards against excuses by faults long before or after the request."""
    settle = faults.SETTLE_SECONDS
    assert _check((("kill", "daemon-0", -settle - 2.0, -settle - 0.1),))
    assert not _check((("kill", "daemon-0", -settle - 2.0, -settle + 0.1),))
    assert _check((("kill", "daemon-0", 1.4, 2.0),))


def test_deadline_excuses_but_nothing_excuses_an_open_request():
    """Guards against requests that stay open well past their deadline."""
    assert not _check(seconds=4.0)
    assert _check((("server_crash", "i-0", 0.0, 1.0),), seconds=5.0)


def test_shorter_time_out_excuses_only_while_it_may_be_in_force():
    """Guards against excuses by a time-out that is no longer in force."""
    short = world.Change(
        stored_at=50.0,
        timeouts={f"/{name}/": 1.3 for name in callers.ROUTES},
    )
    later = world.Change(stored_at=60.0, timeouts=CHANGES[0].timeouts)
    assert not _check(changes=(*CHANGES, short))
    assert _check(changes=(*CHANGES, short, later))


def test_request_that_crosses_a_close_is_excused_if_none_ran_it():
    """Guards against lost requests at a stop that count as crossing it."""
    term = (("term", "daemon-0", -1.0, 3.0),)
    assert not _check(term, seconds=0.01, runs=())
    assert _check(term, seconds=0.01)
    assert _check(term, seconds=1.0, runs=())
    assert _check(seconds=0.01, runs=())


def test_cut_from_all_servers_excuses_its_own_daemon_until_it_settles():
    """Guards against lost requests late in a cut, or elsewhere, as excused."""
    settle = faults.SETTLE_SECONDS
    names = "daemon-1,daemon-0"
    assert not _check(((faults.ENTRY_CUT, names, -settle + 0.1, 1.0),))
    assert _check(((faults.ENTRY_CUT, names, -settle - 0.1, 1.0),))
    assert _check(((faults.ENTRY_CUT, "daemon-1", -0.1, 1.0),))
    assert _check(((faults.ENTRY_CUT, names, -0.1, 1.0),), seconds=5.0)
