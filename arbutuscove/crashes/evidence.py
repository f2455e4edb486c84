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
from collections import abc

import msgspec
import xxhash

from arbutuscove.crashes import moments as moments_module
from arbutuscove.kernel import decoding

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
MAX_SUSPECTS = 16  # traits blamed for one death; those never survived first
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
        suspects: depth by key of the traits that it blames. The depth is the
            position of a part in the prompt, or `WHOLE_DEPTH`.
    """

    identity: str
    at: datetime.timedelta
    suspects: Suspects

    def merge(self, other: "Death") -> "Death":
        """Returns the death with the blame of two reports of it."""
        return Death(
            identity=self.identity,
            at=min(self.at, other.at),
            suspects={**other.suspects, **self.suspects},
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


class DeathReport(msgspec.Struct, frozen=True, array_like=True):
    """A death as daemons exchange it; `age_ms` is the time since then."""

    identity: decoding.Text
    age_ms: int
    suspects: dict[int, int]


class AnswerReport(msgspec.Struct, frozen=True, array_like=True):
    """The newest answer to a request with a trait, and the survivals.

    Daemons of earlier versions neither send nor read `count`.
    """

    key: int
    age_ms: int
    count: int = 1


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Evidence that one daemon sends to others."""

    deaths: tuple[DeathReport, ...] = ()
    answers: tuple[AnswerReport, ...] = ()


def limit_suspects(
    suspects: Suspects,
    survivals: abc.Mapping[TraitKey, Survivals] | None = None,
) -> Suspects:
    """Returns at most `MAX_SUSPECTS` of the traits.

    Traits with fewer survivals precede the others, then deeper parts.
    """
    if len(suspects) <= MAX_SUSPECTS:
        return suspects
    known = survivals or {}

    def rank(item: tuple[TraitKey, int]) -> tuple[int, int, TraitKey]:
        key, depth = item
        return (known[key].count if key in known else 0, -depth, key)

    return dict(sorted(suspects.items(), key=rank)[:MAX_SUSPECTS])


def find_culprits(
    deaths: abc.Iterable[Death],
    answers: abc.Mapping[TraitKey, datetime.timedelta],
    counts: abc.Mapping[TraitKey, int] | None = None,
) -> dict[TraitKey, Culprit]:
    """Returns the traits that crash upstreams.

    The trait with most deaths for its survivals is found first. Its deaths do
    not blame the other traits of the same requests: these share their first
    part with sound requests. Among equals, a trait without any answer precedes
    one with an answer, and a deeper part precedes one that more requests share.

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
            for key, depth in death.suspects.items():
                if not _is_refuted(death, answers.get(key)):
                    blame[key].append(death)
                    depths[key] = depth
        # A weight is at most the number of deaths.
        weights = {
            key: moments.weigh(
                (death.identity for death in blamed), key in answers
            )
            for key, blamed in blame.items()
            if len(blamed) >= _get_required(depths[key], survivals.get(key, 0))
        }
        ranked = [
            (
                weight / (1 + survivals.get(key, 0)),
                key not in answers,
                depths[key],
                key,
            )
            for key, weight in weights.items()
            if weight >= _get_required(depths[key], survivals.get(key, 0))
        ]
        if not ranked:
            return culprits
        key = max(ranked)[3]
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


def _get_required(depth: int, survivals: int) -> int:
    """Returns the number of deaths that makes a trait a culprit."""
    if depth != WHOLE_DEPTH and not survivals:
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
        # The blame that no answer refutes, by the identity of the death.
        self._open_blame: dict[str, dict[TraitKey, int]] = {}
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
        """Returns whether a death blames the trait and no answer is known."""
        return key in self._blamed and key not in self._answers

    def limit_suspects(self, suspects: Suspects) -> Suspects:
        """Returns the traits to blame for one death, as `limit_suspects`."""
        return limit_suspects(suspects, self._answers)

    def record_death(self, death: Death) -> bool:
        """Adds a death; returns whether it was unknown or blames more."""
        known = self._deaths.pop(death.identity, None)
        merged = death if known is None else known.merge(death)
        merged = dataclasses.replace(
            merged, suspects=self.limit_suspects(merged.suspects)
        )
        self._deaths[death.identity] = merged
        if len(self._deaths) > MAX_DEATHS:
            self._evict_death()
        is_new = known is None or known.suspects != merged.suspects
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

    def merge(self, report: Report, now: datetime.timedelta) -> None:
        """Adds the evidence received from another daemon."""
        for answer in report.answers:
            age = _convert_age(answer.age_ms)
            if age < DEATH_TTL:
                survivals = Survivals(
                    newest=now - age, count=max(1, answer.count)
                )
                self._put_survivals(answer.key, survivals)
        for death in report.deaths:
            age = _convert_age(death.age_ms)
            if age < DEATH_TTL:
                self.record_death(
                    Death(
                        identity=death.identity,
                        at=now - age,
                        suspects=death.suspects,
                    )
                )

    def build_report(
        self, now: datetime.timedelta, identity: str | None = None
    ) -> Report:
        """Returns the open blame, and the answers to all blamed traits.

        Args:
            now: the monotonic time.
            identity: a death to which the report is limited; None for all.
        """
        identities = self._open_blame if identity is None else (identity,)
        deaths = {
            name: self._open_blame[name]
            for name in identities
            if name in self._open_blame
        }
        keys: abc.Iterable[TraitKey] = self._blamed
        if identity is not None:
            keys = [key for blame in deaths.values() for key in blame]
        return Report(
            deaths=tuple(
                DeathReport(
                    name, _compute_age(self._deaths[name].at, now), blame
                )
                for name, blame in deaths.items()
            ),
            answers=tuple(
                AnswerReport(
                    key,
                    _compute_age(self._answers[key].newest, now),
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
            if not death.suspects.keys() & self._culprits.keys()
        ]
        oldest = min(removable or deaths, key=_get_time)
        del self._deaths[oldest.identity]

    def _decide(self) -> None:
        self._blamed = {}
        self._open_blame = {}
        answers: dict[TraitKey, datetime.timedelta] = {}
        counts: dict[TraitKey, int] = {}
        for death in self._deaths.values():
            for key in death.suspects:
                survivals = self._answers.get(key)
                if survivals is not None:
                    answers[key] = survivals.newest
                    counts[key] = survivals.count
        for death in self._deaths.values():
            for key, depth in death.suspects.items():
                newest = self._blamed.get(key, death.at)
                self._blamed[key] = max(newest, death.at)
                if not _is_refuted(death, answers.get(key)):
                    blame = self._open_blame.setdefault(death.identity, {})
                    blame[key] = depth
        self._culprits = find_culprits(self._deaths.values(), answers, counts)
        facts = sorted(
            (identity, sorted(blame))
            for identity, blame in self._open_blame.items()
        )
        content = msgspec.msgpack.encode(facts)
        self._fingerprint = xxhash.xxh3_64_intdigest(content) if facts else 0


def _get_time(death: Death) -> datetime.timedelta:
    return death.at


def _compute_age(at: datetime.timedelta, now: datetime.timedelta) -> int:
    return max(0, (now - at) // datetime.timedelta(milliseconds=1))


def _convert_age(age_ms: int) -> datetime.timedelta:
    # A damaged report must not overflow the range of timedelta.
    return datetime.timedelta(milliseconds=min(max(0, age_ms), 10**10))
