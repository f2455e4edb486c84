"""Evidence on what crashes upstreams, and the decision that follows from it.

A *trait* is what requests can have in common: one part of their prompt, or
their whole content. An answer is *exposed* from its head until it is complete,
which the VM has then *survived*. A *death* of a VM blames the traits of all
requests that were exposed there. A survived request with a trait refutes all
earlier blame of the trait, since a trait that crashes upstreams crashes each of
them.

While no upstream is left to answer, nothing refutes the blame of sound traits.
A verdict therefore weighs deaths against survivals from before them, too: a
trait that many requests survived needs many deaths. Many deaths within a moment
are weighed by `moments`.

Daemons exchange deaths and answers rather than verdicts. Each of them observes
only its own requests at a VM, so the blame of one death is the union of what
all daemons report, and a verdict that later evidence refutes ends everywhere.
"""

import collections
import dataclasses
import datetime
import functools
import math
import typing
from collections import abc

import msgspec
import xxhash

from arbutuscove.crashes import moments as moments_module
from arbutuscove.crashes import reports

# Deaths that make a trait a culprit, if no answer is known to a request with
# it, and if one is known from before the deaths.
MIN_DEATHS_UNANSWERED = 2
MIN_DEATHS_ANSWERED = 3
# A trait needs one death for each so many survivals, beyond the minimum.
SURVIVALS_PER_DEATH = 4
# Depth of the trait of a whole request. Parts have depths from 0.
WHOLE_DEPTH = -1
# All deaths with their suspects fit into one datagram.
MAX_DEATHS = 64  # the oldest that convicts no trait is evicted first
# Traits blamed for one death, running and waiting each; those never survived
# first.
MAX_SUSPECTS = 16
MIN_WHOLE_SUSPECTS = 4  # of them, if so many whole requests are blamed
# More survivals change nothing: they need more deaths than are held.
MAX_SURVIVALS = (MAX_DEATHS + 1) * SURVIVALS_PER_DEATH
MAX_ANSWERS = 8192  # traits with a known answer; the oldest is evicted first
DEATH_TTL = datetime.timedelta(minutes=10)
ANSWER_TTL = datetime.timedelta(minutes=5)
SURVIVALS_HALF_LIFE = ANSWER_TTL
# Time without a death after which one request tries a culprit. It doubles with
# each death beyond the second, since each failed trial costs a replica.
MIN_TRIAL_DELAY = datetime.timedelta(seconds=60)

TraitKey = int
Suspects = abc.Mapping[TraitKey, int]


@functools.lru_cache(maxsize=4096)
def hash_part(part: str) -> TraitKey:
    """Returns the trait of a prompt part.

    Args:
        part: identifier or content of the part.
    """
    return xxhash.xxh3_64_intdigest(f"part\0{part}".encode())


def hash_request(content: bytes) -> TraitKey:
    """Returns the trait of a whole request.

    Args:
        content: what makes two requests equal.
    """
    return xxhash.xxh3_64_intdigest(b"whole\0" + content)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Death:
    """The crash of one VM.

    Attributes:
        identity: the VM and its start, the same at all daemons.
        at: monotonic time of the crash at this daemon.
        suspects: depth by key of the traits of requests that were running
            there. The depth is the position of a part in the prompt, or
            `WHOLE_DEPTH`.
        waiting: the same of requests that may have waited to run.
    """

    identity: str
    at: datetime.timedelta
    suspects: Suspects
    waiting: Suspects = dataclasses.field(default_factory=dict)

    @property
    def blame(self) -> Suspects:
        """Depth by key of all traits that it blames."""
        return {**self.waiting, **self.suspects}

    def merge(self, other: "Death") -> "Death":
        """Returns the death with the blame of two reports of it."""
        return Death(
            identity=self.identity,
            at=min(self.at, other.at),
            suspects={**other.suspects, **self.suspects},
            waiting={**other.waiting, **self.waiting},
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Survivals:
    """What is known of the answers to requests with a trait.

    Attributes:
        newest: monotonic time at which the newest of them began.
        count: how many one daemon saw, halved each `SURVIVALS_HALF_LIFE`.
    """

    newest: datetime.timedelta
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Culprit:
    """A trait that crashes upstreams.

    Attributes:
        key: the trait.
        deaths: the independent deaths that it explains.
        last_death: monotonic time of the newest one.
    """

    key: TraitKey
    deaths: int
    last_death: datetime.timedelta

    @property
    def trial_due(self) -> datetime.timedelta:
        """Monotonic time from which one request may try the trait."""
        doublings = min(max(0, self.deaths - MIN_DEATHS_UNANSWERED), 16)
        delay = min(MIN_TRIAL_DELAY * 2**doublings, DEATH_TTL)
        return self.last_death + delay


def limit_suspects(
    suspects: Suspects,
    survivals: abc.Mapping[TraitKey, Survivals] | None = None,
    deaths: abc.Mapping[TraitKey, int] | None = None,
) -> Suspects:
    """Returns at most `MAX_SUSPECTS` of the traits.

    Traits with fewer survivals precede the others, then those that more deaths
    blame, then deeper parts. Whole requests keep some places.

    Args:
        suspects: depth by key.
        survivals: what is known of the answers to requests with a trait.
        deaths: the number of deaths that blame a trait.
    """
    if len(suspects) <= MAX_SUSPECTS:
        return suspects
    known = survivals or {}
    counts = deaths or {}

    def rank(item: tuple[TraitKey, int]) -> tuple[int, int, int, TraitKey]:
        key, depth = item
        survived = known[key].count if key in known else 0
        return (survived, -counts.get(key, 0), -depth, key)

    ranked = sorted(suspects.items(), key=rank)
    whole = [item for item in ranked if item[1] == WHOLE_DEPTH]
    first = whole[:MIN_WHOLE_SUSPECTS]
    others = [item for item in ranked if item not in first]
    return dict([*first, *others[: MAX_SUSPECTS - len(first)]])


def find_culprits(
    deaths: abc.Iterable[Death],
    answers: abc.Mapping[TraitKey, datetime.timedelta],
    counts: abc.Mapping[TraitKey, int] | None = None,
) -> dict[TraitKey, Culprit]:
    """Returns the traits that crash upstreams.

    For a trait with answers, deaths that one trait without any explains count
    as one. The trait with most deaths for its survivals is found first. Its
    deaths do not blame the other traits of the same requests: these share their
    first part with sound requests. Among equals, a trait of running requests
    precedes one of waiting requests, then a trait without any answer one with
    an answer, and a deeper part one that more requests share.

    Args:
        deaths: the known deaths.
        answers: the time of the newest answer by trait.
        counts: the survivals by trait; 1 for an answered trait that it lacks.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> deaths = [
        ...     Death(identity=f"vm{n}", at=n * second, suspects={1: 0, 2: 1})
        ...     for n in range(3)
        ... ]
        >>> list(find_culprits(deaths, {}))
        [2]
        >>> find_culprits(deaths, {1: 2 * second, 2: 2 * second})
        {}
    """
    unexplained = list(deaths)
    culprits: dict[TraitKey, Culprit] = {}
    survivals = dict.fromkeys(answers, 1) | dict(counts or {})
    while True:
        moments = moments_module.Moments(
            {death.identity: death.at for death in unexplained}
        )
        blame: dict[TraitKey, list[Death]] = collections.defaultdict(list)
        depths: dict[TraitKey, int] = {}
        for death in unexplained:
            for key, depth in death.blame.items():
                if not _is_refuted(death, answers.get(key)):
                    blame[key].append(death)
                    depths[key] = depth
        weights: dict[TraitKey, int] = {}
        ranked = []
        for key, blamed in blame.items():
            # A weight is at most the number of deaths.
            if len(blamed) < MIN_DEATHS_UNANSWERED:
                continue
            is_answered = key in answers
            weight = moments.weigh(
                (death.identity for death in blamed), is_answered
            )
            running = moments.weigh(
                (item.identity for item in blamed if key in item.suspects),
                is_answered,
            )
            if is_answered:
                weight = min(weight, _count_causes(blamed, answers))
            required = _get_required(
                depths[key], survivals.get(key, 0), running
            )
            if weight >= required:
                weights[key] = weight
                ranked.append(
                    (
                        weight / (1 + survivals.get(key, 0)),
                        running / weight,
                        not is_answered,
                        depths[key],
                        key,
                    )
                )
        if not ranked:
            return culprits
        key = max(ranked)[-1]
        culprits[key] = Culprit(
            key=key,
            deaths=weights[key],
            last_death=max(death.at for death in blame[key]),
        )
        unexplained = [
            death for death in unexplained if death not in blame[key]
        ]


def _is_refuted(death: Death, answered: datetime.timedelta | None) -> bool:
    return answered is not None and answered >= death.at


def _count_causes(
    deaths: abc.Iterable[Death],
    answers: abc.Mapping[TraitKey, datetime.timedelta],
) -> int:
    """Returns how many traits without any answer explain the deaths.

    A trait that was often survived has to explain more than some few contents
    that come again and again, and were never survived, do by themselves.
    """
    left = list(deaths)
    count = 0
    while left:
        explained = collections.Counter(
            key for death in left for key in death.blame if key not in answers
        )
        if not explained:
            return count + len(left)
        key, _ = max(explained.items(), key=lambda item: (item[1], item[0]))
        left = [death for death in left if key not in death.blame]
        count += 1
    return count


def _get_required(depth: int, survivals: int, running: int) -> int:
    """Returns the number of deaths that makes a trait a culprit.

    Args:
        depth: the depth of the trait.
        survivals: the survivals of requests with it.
        running: the deaths at which such a request was running.
    """
    is_part = depth != WHOLE_DEPTH
    if is_part and not survivals and running >= MIN_DEATHS_UNANSWERED:
        return MIN_DEATHS_UNANSWERED
    return max(MIN_DEATHS_ANSWERED, math.ceil(survivals / SURVIVALS_PER_DEATH))


class Evidence:
    """The deaths and answers that one daemon knows, and what follows."""

    def __init__(self) -> None:
        self._deaths: dict[str, Death] = {}
        self._answers: dict[TraitKey, Survivals] = {}
        self._halved_at: datetime.timedelta | None = None
        self._culprits: dict[TraitKey, Culprit] = {}
        # The newest death that blames each trait, refuted or not.
        self._blamed: dict[TraitKey, datetime.timedelta] = {}
        # How many deaths blame each trait, and those that may keep a request
        # from another attempt.
        self._counts: collections.Counter[TraitKey] = collections.Counter()
        self._suspects: set[TraitKey] = set()
        # The deaths that no answer refutes, with what is left of their blame.
        self._open: dict[str, Death] = {}
        self._fingerprint = 0

    @property
    def culprits(self) -> abc.Mapping[TraitKey, Culprit]:
        """The traits that crash upstreams, by key."""
        return self._culprits

    @property
    def fingerprint(self) -> int:
        """A hash of the blame that no answer refutes; 0 without any.

        Two daemons with different fingerprints have something to exchange.
        """
        return self._fingerprint

    def list_deaths(self) -> abc.Collection[Death]:
        """Returns the known deaths."""
        return self._deaths.values()

    def get_death_time(self, identity: str) -> datetime.timedelta | None:
        """Returns the monotonic time of a known death, None if it is not."""
        death = self._deaths.get(identity)
        return None if death is None else death.at

    def is_empty(self) -> bool:
        """Returns whether no death is known."""
        return not self._deaths

    def is_blamed(self, key: TraitKey) -> bool:
        """Returns whether a death blames the trait, refuted or not."""
        return key in self._blamed

    def is_suspect(self, key: TraitKey) -> bool:
        """Returns whether a request with the trait may have caused a death.

        Not if an answer is known. One death is enough for a part of a request
        that was running, two for a waiting or a whole request.
        """
        return key in self._suspects and key not in self._answers

    def limit_suspects(self, suspects: Suspects) -> Suspects:
        """Returns the traits to blame for one death, as `limit_suspects`."""
        return limit_suspects(suspects, self._answers, self._counts)

    def record_death(self, death: Death) -> bool:
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

    def record_answer(self, key: TraitKey, at: datetime.timedelta) -> None:
        """Records a request with a trait that an upstream survived.

        Args:
            key: the trait.
            at: monotonic time at which the answer began.
        """
        known = self._answers.get(key)
        count = 1 if known is None else known.count + 1
        self._put_survivals(key, Survivals(newest=at, count=count))

    def _put_survivals(self, key: TraitKey, added: Survivals) -> None:
        """Merges what this daemon or another one knows of a trait."""
        known = self._answers.pop(key, None)
        count = min(added.count, MAX_SURVIVALS)
        if known is not None:
            # Reports of other daemons may include those of this one, so that
            # counts can't be added up.
            added = Survivals(
                newest=max(added.newest, known.newest),
                count=max(count, known.count),
            )
        else:
            added = Survivals(newest=added.newest, count=count)
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
            if age < DEATH_TTL:
                survivals = Survivals(
                    newest=now - age, count=max(1, answer.count)
                )
                self._put_survivals(answer.key, survivals)
        for death in report.deaths:
            age = reports.convert_age(death.age_ms)
            if age < DEATH_TTL:
                self.record_death(
                    Death(
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
        keys: abc.Iterable[TraitKey] = self._blamed
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
            if now - death.at >= DEATH_TTL
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
                is_running_part = key in death.suspects and depth != WHOLE_DEPTH
                if is_running_part or self._counts[key] > 1:
                    self._suspects.add(key)
            left = dataclasses.replace(
                death,
                suspects=_select_open(death, death.suspects, answers),
                waiting=_select_open(death, death.waiting, answers),
            )
            if left.blame:
                self._open[death.identity] = left
        self._culprits = find_culprits(self._deaths.values(), answers, counts)
        self._fingerprint = _hash_blame(self._open.values())


def _select_open(
    death: Death,
    suspects: Suspects,
    answers: abc.Mapping[TraitKey, datetime.timedelta],
) -> Suspects:
    """Returns those traits whose blame no answer refutes."""
    return {
        key: depth
        for key, depth in suspects.items()
        if not _is_refuted(death, answers.get(key))
    }


def _hash_blame(deaths: abc.Iterable[Death]) -> int:
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


def _get_time(death: Death) -> datetime.timedelta:
    return death.at
