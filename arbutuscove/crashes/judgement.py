"""The decision on what crashes upstreams, from deaths and survivals.

While no upstream is left to answer, nothing refutes the blame of sound traits.
A verdict therefore weighs deaths against survivals from before them, too: a
trait that many requests survived needs many deaths. Many deaths within a moment
are weighed by `moments`.
"""

import collections
import dataclasses
import datetime
import math
from collections import abc

from arbutuscove.crashes import moments as moments_module
from arbutuscove.crashes import traits

# Deaths that make a trait a culprit, if no answer is known to a request with
# it, and if one is known from before the deaths.
MIN_DEATHS_UNANSWERED = 2
MIN_DEATHS_ANSWERED = 3
# A trait needs one death for each so many survivals, beyond the minimum.
SURVIVALS_PER_DEATH = 4
DEATH_TTL = datetime.timedelta(minutes=10)
# Time without a death after which one request tries a culprit. It doubles with
# each death beyond the second, since each failed trial costs a replica.
MIN_TRIAL_DELAY = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Death:
    """The crash of one VM.

    Attributes:
        identity: the VM and its start, the same at all daemons.
        at: monotonic time of the crash at this daemon.
        suspects: depth by key of the traits of requests that were running
            there. The depth is the position of a part in the prompt, or
            `traits.WHOLE_DEPTH`.
        waiting: the same of requests that may have waited to run.
    """

    identity: str
    at: datetime.timedelta
    suspects: traits.Suspects
    waiting: traits.Suspects = dataclasses.field(default_factory=dict)

    @property
    def blame(self) -> traits.Suspects:
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
class Culprit:
    """A trait that crashes upstreams.

    Attributes:
        key: the trait.
        deaths: the independent deaths that it explains.
        last_death: monotonic time of the newest one.
    """

    key: traits.TraitKey
    deaths: int
    last_death: datetime.timedelta

    @property
    def trial_due(self) -> datetime.timedelta:
        """Monotonic time from which one request may try the trait."""
        doublings = min(max(0, self.deaths - MIN_DEATHS_UNANSWERED), 16)
        delay = min(MIN_TRIAL_DELAY * 2**doublings, DEATH_TTL)
        return self.last_death + delay


def find_culprits(
    deaths: abc.Iterable[Death],
    answers: abc.Mapping[traits.TraitKey, datetime.timedelta],
    counts: abc.Mapping[traits.TraitKey, int] | None = None,
) -> dict[traits.TraitKey, Culprit]:
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
    culprits: dict[traits.TraitKey, Culprit] = {}
    survivals = dict.fromkeys(answers, 1) | dict(counts or {})
    while True:
        moments = moments_module.Moments(
            {death.identity: death.at for death in unexplained}
        )
        blame: dict[traits.TraitKey, list[Death]] = collections.defaultdict(
            list
        )
        depths: dict[traits.TraitKey, int] = {}
        for death in unexplained:
            for key, depth in death.blame.items():
                if not is_refuted(death, answers.get(key)):
                    blame[key].append(death)
                    depths[key] = depth
        weights: dict[traits.TraitKey, int] = {}
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


def is_refuted(death: Death, answered: datetime.timedelta | None) -> bool:
    """Returns whether an answer shows that a trait did not cause a death."""
    return answered is not None and answered >= death.at


def _count_causes(
    deaths: abc.Iterable[Death],
    answers: abc.Mapping[traits.TraitKey, datetime.timedelta],
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
    is_part = depth != traits.WHOLE_DEPTH
    if is_part and not survivals and running >= MIN_DEATHS_UNANSWERED:
        return MIN_DEATHS_UNANSWERED
    return max(MIN_DEATHS_ANSWERED, math.ceil(survivals / SURVIVALS_PER_DEATH))
