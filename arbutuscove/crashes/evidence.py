"""Evidence on what crashes upstreams; `judgement` decides what follows.

A *trait* is what requests can have in common: one part of their prompt, or
their whole content. A VM that has answered a request completely has *survived*
it. A *death* of a VM blames the traits of all requests that may have been
running there (`exposures`). A survived request with a trait refutes all
earlier blame of the trait, since a trait that crashes upstreams crashes each of
them.

Daemons exchange deaths and answers rather than verdicts. Each of them observes
only its own requests at a VM, so the blame of one death is the union of what
all daemons report, and a verdict that later evidence refutes ends everywhere.
"""

import collections
import dataclasses
import datetime
import typing
from collections import abc

import msgspec
import xxhash

from arbutuscove.crashes import judgement
from arbutuscove.crashes import reports
from arbutuscove.crashes import traits

# All deaths with their suspects fit into one datagram.
MAX_DEATHS = 64  # the oldest that convicts no trait is evicted first
# More survivals change nothing: they need more deaths than are held.
MAX_SURVIVALS = (MAX_DEATHS + 1) * judgement.SURVIVALS_PER_DEATH
MAX_ANSWERS = 8192  # traits with a known answer; the oldest is evicted first
# A verdict keeps its deaths beyond their lifetime until its last one has ended.
MAX_DEATH_AGE = datetime.timedelta(hours=1)
ANSWER_TTL = datetime.timedelta(minutes=5)
SURVIVALS_HALF_LIFE = ANSWER_TTL


class Evidence:
    """The deaths and answers that one daemon knows, and what follows."""

    def __init__(self) -> None:
        self._deaths: dict[str, judgement.Death] = {}
        self._answers: dict[traits.TraitKey, traits.Survivals] = {}
        self._halved_at: datetime.timedelta | None = None
        self._culprits: dict[traits.TraitKey, judgement.Culprit] = {}
        # The newest death that blames each trait, refuted or not.
        self._blamed: dict[traits.TraitKey, datetime.timedelta] = {}
        # How many deaths blame each trait, and those that may keep a request
        # from another attempt.
        self._counts: collections.Counter[traits.TraitKey] = (
            collections.Counter()
        )
        self._suspects: set[traits.TraitKey] = set()
        # The deaths that no answer refutes, with what is left of their blame.
        self._open: dict[str, judgement.Death] = {}
        self._fingerprint = 0

    @property
    def culprits(self) -> abc.Mapping[traits.TraitKey, judgement.Culprit]:
        """The traits that crash upstreams, by key."""
        return self._culprits

    @property
    def fingerprint(self) -> int:
        """A hash of the blame that no answer refutes; 0 without any.

        Two daemons with different fingerprints have something to exchange.
        """
        return self._fingerprint

    def list_deaths(self) -> abc.Collection[judgement.Death]:
        """Returns the known deaths."""
        return self._deaths.values()

    def get_death_time(self, identity: str) -> datetime.timedelta | None:
        """Returns the monotonic time of a known death, None if it is not."""
        death = self._deaths.get(identity)
        return None if death is None else death.at

    def is_empty(self) -> bool:
        """Returns whether no death is known."""
        return not self._deaths

    def is_blamed(self, key: traits.TraitKey) -> bool:
        """Returns whether a death blames the trait, refuted or not."""
        return key in self._blamed

    def is_suspect(self, key: traits.TraitKey) -> bool:
        """Returns whether a request with the trait may have caused a death.

        Not if an answer is known. One death is enough for a part of a request
        that was running, two for a waiting or a whole request.
        """
        return key in self._suspects and key not in self._answers

    def limit_suspects(self, suspects: traits.Suspects) -> traits.Suspects:
        """Returns the traits to blame for one death, as `limit_suspects`."""
        return traits.limit_suspects(suspects, self._answers, self._counts)

    def record_death(self, death: judgement.Death) -> bool:
        """Adds a death; returns whether it was unknown or blames more."""
        known = self._deaths.pop(death.identity, None)
        merged = death if known is None else known.merge(death)
        waiting = {
            key: depth
            for key, depth in merged.waiting.items()
            if key not in merged.suspects
        }
        merged = dataclasses.replace(
            merged,
            suspects=self.limit_suspects(merged.suspects),
            waiting=self.limit_suspects(waiting),
        )
        self._deaths[death.identity] = merged
        if len(self._deaths) > MAX_DEATHS:
            self._evict_death()
        is_new = known is None or (
            (known.suspects, known.waiting) != (merged.suspects, merged.waiting)
        )
        if is_new:
            self._decide()
        return is_new

    def record_answer(
        self, key: traits.TraitKey, at: datetime.timedelta
    ) -> None:
        """Records a request with a trait that an upstream survived.

        Args:
            key: the trait.
            at: monotonic time at which the answer began.
        """
        known = self._answers.get(key)
        count = 1 if known is None else known.count + 1
        self._put_survivals(key, traits.Survivals(newest=at, count=count))

    def _put_survivals(
        self, key: traits.TraitKey, added: traits.Survivals
    ) -> None:
        """Merges what this daemon or another one knows of a trait."""
        known = self._answers.pop(key, None)
        count = min(added.count, MAX_SURVIVALS)
        if known is not None:
            # Reports of other daemons may include those of this one, so that
            # counts can't be added up.
            added = traits.Survivals(
                newest=max(added.newest, known.newest),
                count=max(count, known.count),
            )
        else:
            added = traits.Survivals(newest=added.newest, count=count)
        self._answers[key] = added
        if len(self._answers) > MAX_ANSWERS:
            self._answers.pop(next(iter(self._answers)))
        blamed_at = self._blamed.get(key)
        if blamed_at is not None and (
            known is None or known.newest < blamed_at
        ):
            self._decide()

    def merge(self, report: reports.Report, now: datetime.timedelta) -> None:
        """Adds the evidence received from another daemon."""
        for answer in report.answers:
            age = reports.convert_age(answer.age_ms)
            if age < judgement.DEATH_TTL:
                survivals = traits.Survivals(
                    newest=now - age, count=max(1, answer.count)
                )
                self._put_survivals(answer.key, survivals)
        for death in report.deaths:
            age = reports.convert_age(death.age_ms)
            if age < MAX_DEATH_AGE:
                self.record_death(
                    judgement.Death(
                        identity=death.identity,
                        at=now - age,
                        suspects=death.suspects,
                        waiting=death.waiting,
                    )
                )

    def build_report(
        self, now: datetime.timedelta, identity: str | None = None
    ) -> reports.Report:
        """Returns the open blame, and the answers to all blamed traits.

        Args:
            now: the monotonic time.
            identity: a death to which the report is limited; None for all.
        """
        identities = self._open if identity is None else (identity,)
        deaths = [self._open[name] for name in identities if name in self._open]
        keys: abc.Iterable[traits.TraitKey] = self._blamed
        if identity is not None:
            keys = [key for death in deaths for key in death.blame]
        return reports.Report(
            deaths=tuple(
                reports.DeathReport(
                    death.identity,
                    reports.compute_age(death.at, now),
                    dict(death.suspects),
                    dict(death.waiting),
                )
                for death in deaths
            ),
            answers=tuple(
                reports.AnswerReport(
                    key,
                    reports.compute_age(self._answers[key].newest, now),
                    self._answers[key].count,
                )
                for key in keys
                if key in self._answers
            ),
        )

    def expire(self, now: datetime.timedelta) -> None:
        """Removes deaths and answers after their lifetimes.

        Args:
            now: the monotonic time.
        """
        expired = [
            death.identity
            for death in self._deaths.values()
            if now - death.at >= judgement.DEATH_TTL
            and not self._is_needed(death, now)
        ]
        for identity in expired:
            del self._deaths[identity]
        if expired:
            self._decide()
        # The answers to a blamed trait weigh against its deaths for as long as
        # these count: while no upstream is left, there are no new ones.
        outdated = [
            key
            for key, survivals in self._answers.items()
            if now - survivals.newest >= ANSWER_TTL and key not in self._blamed
        ]
        for key in outdated:
            del self._answers[key]
        self._halve_counts(now)

    def _is_needed(
        self, death: judgement.Death, now: datetime.timedelta
    ) -> bool:
        """Returns whether a verdict that holds rests on an old death."""
        if now - death.at >= MAX_DEATH_AGE:
            return False
        return any(
            now - self._culprits[key].last_death < judgement.DEATH_TTL
            for key in death.blame
            if key in self._culprits
        )

    def _halve_counts(self, now: datetime.timedelta) -> None:
        """Halves the counts of survivals once a `SURVIVALS_HALF_LIFE`."""
        if self._halved_at is None:
            self._halved_at = now
        if now - self._halved_at < SURVIVALS_HALF_LIFE:
            return
        self._halved_at = now
        self._answers = {
            key: dataclasses.replace(
                survivals, count=max(1, survivals.count // 2)
            )
            for key, survivals in self._answers.items()
        }

    def _evict_death(self) -> None:
        """Removes the oldest death, if possible one that convicts no trait."""
        deaths = self._deaths.values()
        removable = [
            death
            for death in deaths
            if not death.blame.keys() & self._culprits.keys()
        ]
        oldest = min(removable or deaths, key=_get_time)
        del self._deaths[oldest.identity]

    def _decide(self) -> None:
        blame = {item.identity: item.blame for item in self._deaths.values()}
        self._counts = collections.Counter(
            key for keys in blame.values() for key in keys
        )
        answers = {
            key: self._answers[key].newest
            for key in self._counts
            if key in self._answers
        }
        counts = {key: self._answers[key].count for key in answers}
        self._blamed = {}
        self._open = {}
        self._suspects = set()
        for death in self._deaths.values():
            for key, depth in blame[death.identity].items():
                newest = self._blamed.get(key, death.at)
                self._blamed[key] = max(newest, death.at)
                is_running_part = (
                    key in death.suspects and depth != traits.WHOLE_DEPTH
                )
                if is_running_part or self._counts[key] > 1:
                    self._suspects.add(key)
            left = dataclasses.replace(
                death,
                suspects=_select_open(death, death.suspects, answers),
                waiting=_select_open(death, death.waiting, answers),
            )
            if left.blame:
                self._open[death.identity] = left
        self._culprits = judgement.find_culprits(
            self._deaths.values(), answers, counts
        )
        self._fingerprint = _hash_blame(self._open.values())


def _select_open(
    death: judgement.Death,
    suspects: traits.Suspects,
    answers: abc.Mapping[traits.TraitKey, datetime.timedelta],
) -> traits.Suspects:
    """Returns those traits whose blame no answer refutes."""
    return {
        key: depth
        for key, depth in suspects.items()
        if not judgement.is_refuted(death, answers.get(key))
    }


def _hash_blame(deaths: abc.Iterable[judgement.Death]) -> int:
    """Returns a hash of the blame of deaths, 0 without any.

    Daemons of earlier versions compute the same one if nothing was waiting.
    """
    facts: list[tuple[typing.Any, ...]] = []
    for death in deaths:
        fact = (death.identity, sorted(death.suspects))
        facts.append((*fact, sorted(death.waiting)) if death.waiting else fact)
    if not facts:
        return 0
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(sorted(facts)))


def _get_time(death: judgement.Death) -> datetime.timedelta:
    return death.at
