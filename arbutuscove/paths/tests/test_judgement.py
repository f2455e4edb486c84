"""Guards against repairs for the failure of a daemon's own paths."""

import pytest

from arbutuscove.paths import judgement
from arbutuscove.paths import reach

REACHED = reach.Verdict.REACHED
CUT_OFF = reach.Verdict.CUT_OFF
UNREACHED = reach.Verdict.UNREACHED


@pytest.mark.parametrize("verdict", [REACHED, CUT_OFF])
def test_judgement_with_a_path(verdict):
    """Guards against VMs that stay dead, though one hears from the others."""
    assert judgement.may_judge("a", {"a": verdict}, [set()])


def test_judgement_of_a_service_without_a_path_is_that_of_the_peers():
    """Guards against the repair of what serves at other daemons.

    Also against a service that is left dead when nobody reaches it.
    """
    verdicts = {"a": UNREACHED, "b": CUT_OFF}
    assert not judgement.may_judge("a", verdicts, [{"a"}, {"b"}])
    assert not judgement.may_judge("a", verdicts, [{"a"}, frozenset()])
    assert judgement.may_judge("a", verdicts, [{"a"}, {"a", "b"}])


def test_judgement_of_a_daemon_that_reaches_nothing():
    """Guards against a daemon without any path that dissolves replicas.

    With peers that do not answer, too, it could not be told from the failure
    of all upstreams, after which nothing is left to repair with.
    """
    verdicts = {"a": UNREACHED, "b": UNREACHED}
    assert not judgement.may_judge("a", verdicts, [])
    assert not judgement.may_judge("a", verdicts, [{"a", "b"}])


def test_judgement_of_a_service_without_upstreams():
    """Guards against rows of a removed service that are never dissolved."""
    assert judgement.may_judge("gone", {"a": UNREACHED}, [])
