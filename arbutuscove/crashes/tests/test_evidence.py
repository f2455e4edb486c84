"""Guards against wrong verdicts on what crashes upstreams."""

import datetime
import random

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.crashes import evidence

SECOND = datetime.timedelta(seconds=1)
FIRST, CRASHING, OTHER = 1, 2, 3
WHOLE = 99


def build_death(number, suspects, at=None):
    at = number * SECOND if at is None else at
    return evidence.Death(identity=f"vm{number}@1", at=at, suspects=suspects)


def find(deaths, answers=None):
    return set(evidence.find_culprits(deaths, answers or {}))


def test_evidence_convicts_the_part_and_not_its_companions():
    """Guards against refusals of sound requests that share the first part."""
    deaths = [
        build_death(1, {FIRST: 0, CRASHING: 1}),
        build_death(2, {FIRST: 0, CRASHING: 1, OTHER: 0}),
    ]
    assert find(deaths) == {CRASHING}
    later = build_death(3, {FIRST: 0, CRASHING: 1})
    assert find([*deaths, later], {FIRST: SECOND / 2}) == {CRASHING}


def test_evidence_needs_two_deaths():
    """Guards against a verdict on the victims of a single crash."""
    assert not find([build_death(1, {FIRST: 0, OTHER: 0})])


def test_evidence_of_an_answer_refutes_earlier_deaths_only():
    """Guards against a sound answer from before that clears a culprit."""
    deaths = [build_death(n, {OTHER: 0}) for n in (1, 2, 3)]
    assert find(deaths, {OTHER: SECOND / 2}) == {OTHER}
    assert not find(deaths, {OTHER: 3 * SECOND})
    assert not find(deaths, {OTHER: 1.5 * SECOND})


def test_evidence_tolerates_one_more_death_of_an_answered_part():
    """Guards against a verdict on a popular part after unrelated crashes."""
    deaths = [build_death(n, {FIRST: 0}) for n in (1, 2)]
    assert find(deaths) == {FIRST}
    assert not find(deaths, {FIRST: SECOND / 2})


def test_evidence_counts_a_death_once():
    """Guards against a verdict since many daemons saw the same crash."""
    known = evidence.Evidence()
    for part in range(5):
        known.record_death(build_death(1, {FIRST: 0, part + 10: 1}))
    assert not known.culprits


def test_evidence_of_a_whole_request_needs_three_deaths():
    """Guards against requests refused since they were lost twice."""
    deaths = [build_death(n, {WHOLE: evidence.WHOLE_DEPTH}) for n in (1, 2)]
    assert not find(deaths)
    assert find([*deaths, build_death(3, {WHOLE: -1})]) == {WHOLE}


def test_evidence_of_pieces_is_merged():
    """Guards against daemons that each know a half and refuse nothing."""
    first, second = evidence.Evidence(), evidence.Evidence()
    first.record_death(build_death(1, {FIRST: 0, CRASHING: 1}))
    second.record_death(build_death(2, {FIRST: 0, CRASHING: 1}))
    now = 3 * SECOND
    first.merge(second.build_report(now), now)
    second.merge(first.build_report(now), now)
    assert set(first.culprits) == set(second.culprits) == {CRASHING}
    assert first.fingerprint == second.fingerprint != 0


def test_evidence_of_pieces_of_one_death_is_merged():
    """Guards against daemons that forget what others saw of a crash."""
    known = evidence.Evidence()
    for number in (1, 2):
        known.record_death(build_death(number, {FIRST: 0, CRASHING: 1}))
        known.record_death(build_death(number, {OTHER: 0}))
    assert set(known.culprits) == {CRASHING}


def test_evidence_of_refuted_blame_is_not_sent():
    """Guards against traffic that grows with each crash of a busy group."""
    known = evidence.Evidence()
    known.record_death(build_death(1, {FIRST: 0, OTHER: 0}))
    known.record_answer(FIRST, 2 * SECOND)
    (death,) = known.build_report(2 * SECOND).deaths
    assert set(death.suspects) == {OTHER}
    known.record_answer(OTHER, 2 * SECOND)
    assert not known.build_report(2 * SECOND).deaths
    assert known.fingerprint == 0
    other = evidence.Evidence()
    other.record_death(build_death(1, {FIRST: 0, OTHER: 0}))
    other.merge(known.build_report(2 * SECOND), 2 * SECOND)
    assert other.fingerprint == 0


def test_evidence_ends_with_age():
    """Guards against a verdict that outlives its reasons."""
    known = evidence.Evidence()
    known.record_death(build_death(1, {CRASHING: 1}))
    known.record_death(build_death(2, {CRASHING: 1}))
    assert known.culprits
    known.expire(3 * SECOND + evidence.DEATH_TTL)
    assert not known.culprits
    assert known.fingerprint == 0


def test_evidence_is_bounded():
    """Guards against a flood of crashes that fills the memory."""
    known = evidence.Evidence()
    for number in range(3 * evidence.MAX_DEATHS):
        suspects = {number * 1000 + part: part for part in range(200)}
        known.record_death(
            build_death(number, evidence.limit_suspects(suspects))
        )
    report = known.build_report(SECOND)
    assert len(report.deaths) == evidence.MAX_DEATHS
    assert all(
        len(death.suspects) <= evidence.MAX_SUSPECTS for death in report.deaths
    )
    for key in range(3 * evidence.MAX_ANSWERS):
        known.record_answer(key, SECOND)
    report = known.build_report(SECOND)
    assert len(report.answers) <= evidence.MAX_DEATHS * evidence.MAX_SUSPECTS


def test_evidence_of_a_culprit_is_not_displaced():
    """Guards against a verdict that ends as many VMs crash for other causes."""
    known = evidence.Evidence()
    for number in (1, 2):
        known.record_death(build_death(number, {CRASHING: 1}))
    for number in range(10, 10 + 2 * evidence.MAX_DEATHS):
        known.record_death(build_death(number, {1000 + number: 0}))
    assert set(known.culprits) == {CRASHING}


def test_culprit_is_tried_ever_more_rarely():
    """Guards against trials that crash a replica each minute."""
    delays = [
        evidence.Culprit(key=1, deaths=deaths, last_death=SECOND).trial_due
        - SECOND
        for deaths in (2, 3, 4, 40)
    ]
    assert delays[:3] == [
        evidence.MIN_TRIAL_DELAY * factor for factor in (1, 2, 4)
    ]
    assert delays[3] == evidence.DEATH_TTL


class _Fleet:
    """Groups that serve requests while some crash; one view of the evidence.

    Requests hold one of some first parts, and those that crash their group a
    second part, too.
    """

    def __init__(self, seed, crashing_share, unrelated_deaths):
        self.generator = random.Random(seed)
        self.crashing_share = crashing_share
        self.unrelated_deaths = unrelated_deaths
        self.known = evidence.Evidence()
        self.crashes = 0
        self.refused_sound = 0
        self.sound = 0

    def run(self, requests):
        for number in range(requests):
            now = number * SECOND / 20
            first = evidence.hash_part(f"f{self.generator.randrange(60)}")
            parts = {first: 0}
            is_crashing = self.generator.random() < self.crashing_share
            if is_crashing:
                parts[evidence.hash_part("crash")] = 1
            else:
                self.sound += 1
            if self.known.culprits.keys() & parts.keys():
                self.refused_sound += not is_crashing
                continue
            if is_crashing:
                self.crashes += 1
                self.known.record_death(build_death(number, parts, now))
            elif number in self.unrelated_deaths:
                self.known.record_death(build_death(number, parts, now))
            else:
                self.known.record_answer(first, now)


@pytest.mark.parametrize("crashing_share", [0.01, 0.05, 0.2])
@hypothesis.settings(max_examples=30)
@hypothesis.given(seed=strategies.integers(0, 10_000))
def test_evidence_limits_crashes_and_refuses_few_sound_requests(
    crashing_share, seed
):
    """Guards against verdicts too late, or on sound requests, in any order.

    In the middle, one group in six crashes by itself while it runs a request.
    """
    generator = random.Random(seed)
    unrelated = {
        number for number in range(400, 440) if generator.random() < 0.15
    }
    fleet = _Fleet(seed, crashing_share, unrelated)
    fleet.run(1200)
    assert fleet.crashes <= evidence.MIN_DEATHS_ANSWERED
    assert fleet.refused_sound <= 0.05 * fleet.sound
