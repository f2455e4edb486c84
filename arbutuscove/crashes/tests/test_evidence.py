"""Guards against wrong verdicts on what crashes upstreams."""

import datetime
import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from arbutuscove.crashes import evidence
from arbutuscove.crashes import holder
from arbutuscove.crashes import judgement
from arbutuscove.crashes import traits

SECOND = datetime.timedelta(seconds=1)
FIRST, CRASHING, OTHER = 1, 2, 3
WHOLE = 99
WAITING = 5


def build_death(number, suspects, waiting=None, at=None):
    at = number * SECOND if at is None else at
    return judgement.Death(
        identity=f"vm{number}@1",
        at=at,
        suspects=suspects,
        waiting=waiting or {},
    )


def find(deaths, answers=None):
    return set(judgement.find_culprits(deaths, answers or {}))


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
    deaths = [build_death(n, {WHOLE: traits.WHOLE_DEPTH}) for n in (1, 2)]
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
    known.expire(3 * SECOND + judgement.DEATH_TTL)
    assert not known.culprits
    assert known.fingerprint == 0


def test_evidence_is_bounded():
    """Guards against a flood of crashes that fills the memory."""
    known = evidence.Evidence()
    for number in range(3 * evidence.MAX_DEATHS):
        suspects = {number * 1000 + part: part for part in range(200)}
        waiting = {number * 1000 + 500 + part: part for part in range(200)}
        known.record_death(
            build_death(number, traits.limit_suspects(suspects), waiting)
        )
    report = known.build_report(SECOND)
    assert len(report.deaths) == evidence.MAX_DEATHS
    for death in report.deaths:
        assert len(death.suspects) <= traits.MAX_SUSPECTS
        assert len(death.waiting) <= traits.MAX_SUSPECTS
    for key in range(3 * evidence.MAX_ANSWERS):
        known.record_answer(key, SECOND)
    report = known.build_report(SECOND)
    blamed = 2 * evidence.MAX_DEATHS * traits.MAX_SUSPECTS
    assert len(report.answers) <= blamed


def test_evidence_at_its_bounds_fits_into_one_datagram():
    """Guards against evidence that reaches no other daemon."""
    known = evidence.Evidence()
    generator = random.Random(1)
    for number in range(evidence.MAX_DEATHS):
        running, waiting = (
            {generator.getrandbits(64): part for part in range(40)}
            for _ in range(2)
        )
        for key in (*running, *waiting):
            known.record_answer(key, SECOND)
        known.record_death(build_death(100 + number, running, waiting))
    report = known.build_report(1000 * SECOND)
    assert len(report.answers) >= evidence.MAX_DEATHS * traits.MAX_SUSPECTS
    assert len(msgspec.msgpack.encode(report)) <= holder.MAX_REPORT_BYTES - 1024


def test_evidence_of_waiting_requests_alone_needs_three_deaths():
    """Guards against refusals of what waited in the queues of dead VMs."""
    deaths = [build_death(n, {}, {WAITING: 1}) for n in (1, 2)]
    assert not find(deaths)
    assert find([*deaths, build_death(3, {}, {WAITING: 1})]) == {WAITING}
    assert find([deaths[0], build_death(2, {WAITING: 1})]) == set()


def test_evidence_convicts_what_waits_before_what_was_often_survived():
    """Guards against blame of sound requests beside crashes before the head.

    The sound ones had their heads; the crashing ones never get any.
    """
    known = evidence.Evidence()
    for _ in range(8):
        known.record_answer(FIRST, SECOND / 2)
    for number in range(1, 10):
        sound = {FIRST: 0, 100 + number: 1}
        known.record_death(build_death(number, sound, {FIRST: 0, WAITING: 1}))
    assert set(known.culprits) == {WAITING}


def test_few_contents_that_crash_do_not_convict_what_they_share():
    """Guards against refusals of sound requests with the same first part.

    Each content crashed two VMs; the part that they share was survived.
    """
    known = evidence.Evidence()
    for _ in range(8):
        known.record_answer(FIRST, SECOND / 2)
    contents = (CRASHING, OTHER, CRASHING, OTHER)
    for number, content in enumerate(contents, 1):
        waiting = {FIRST: 0, content: 1}
        known.record_death(build_death(number, {FIRST: 0}, waiting))
    assert not known.culprits
    known.record_death(build_death(5, {}, {FIRST: 0, CRASHING: 1}))
    assert set(known.culprits) == {CRASHING}


def test_part_that_was_survived_is_convicted_by_many_contents():
    """Guards against a part that crashes VMs from some moment on for ever."""
    known = evidence.Evidence()
    for _ in range(8):
        known.record_answer(FIRST, SECOND / 2)
    for number in range(1, 7):
        waiting = {FIRST: 0, 1000 + number // 2: 1}
        known.record_death(build_death(number, {}, waiting))
    assert set(known.culprits) == {FIRST}


def test_evidence_prefers_what_was_running_to_what_was_waiting():
    """Guards against a queued part that is refused in place of the cause."""
    deaths = [build_death(n, {CRASHING: 1}, {WAITING: 1}) for n in (1, 2, 3)]
    assert find(deaths) == {CRASHING}


def test_waiting_request_is_a_suspect_after_its_second_death():
    """Guards against sound requests that get no other attempt after a crash."""
    known = evidence.Evidence()
    known.record_death(build_death(1, {FIRST: 0}, {WAITING: 1, WHOLE: -1}))
    assert known.is_suspect(FIRST)
    assert not known.is_suspect(WAITING)
    known.record_death(build_death(2, {}, {WAITING: 1, WHOLE: -1}))
    assert known.is_suspect(WAITING)
    assert known.is_suspect(WHOLE)


def test_trait_that_recurs_keeps_its_place_among_new_ones():
    """Guards against a culprit that is dropped from each of its deaths."""
    known = evidence.Evidence()
    lowest_rank = 2**63
    known.record_death(build_death(1, {lowest_rank: -1}))
    for number in (2, 3):
        others = {number * 1000 + part: part % 3 - 1 for part in range(60)}
        known.record_death(build_death(number, {**others, lowest_rank: -1}))
    assert set(known.culprits) == {lowest_rank}


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
        judgement.Culprit(key=1, deaths=deaths, last_death=SECOND).trial_due
        - SECOND
        for deaths in (2, 3, 4, 40)
    ]
    assert delays[:3] == [
        judgement.MIN_TRIAL_DELAY * factor for factor in (1, 2, 4)
    ]
    assert delays[3] == judgement.DEATH_TTL


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
            first = traits.hash_part(f"f{self.generator.randrange(60)}")
            parts = {first: 0}
            is_crashing = self.generator.random() < self.crashing_share
            if is_crashing:
                parts[traits.hash_part("crash")] = 1
            else:
                self.sound += 1
            if self.known.culprits.keys() & parts.keys():
                self.refused_sound += not is_crashing
                continue
            if is_crashing:
                self.crashes += 1
                self.known.record_death(build_death(number, parts, at=now))
            elif number in self.unrelated_deaths:
                self.known.record_death(build_death(number, parts, at=now))
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
    assert fleet.crashes <= judgement.MIN_DEATHS_ANSWERED
    assert fleet.refused_sound <= 0.05 * fleet.sound
