"""Weighs deaths that are correlated in time.

Load pattern: a failure domain dies with all its VMs while many requests that
share parts of their prompts run there. Each of these parts is blamed for many
deaths that had one cause.

A part that crashes upstreams kills only those that run it. Hence of many deaths
within a moment, all count as one for a part that explains less than half of
them, or that upstreams have survived before. The place of the deaths is not
used: upstreams of one place that die one after the other are no single event,
and a fabric domain, a failure domain or a deployment that dies is one moment.
"""

import collections
import datetime
from collections import abc

# Three of them are shorter than the time in which a part must be found.
MOMENT = datetime.timedelta(seconds=1)
# Fewer deaths count each, as a part crashes some upstreams before it is known.
MIN_DEATHS_TOGETHER = 4
# A part that explains less of the deaths of a moment is no common cause.
MIN_EXPLAINED_SHARE = 0.5


class Moments:
    """Deaths, grouped by the moment to which they belong."""

    def __init__(self, times: abc.Mapping[str, datetime.timedelta]) -> None:
        """Groups deaths; a moment begins with the first one after another.

        Args:
            times: monotonic time of each death, by identity.
        """
        self._moments: dict[str, int] = {}
        self._sizes: collections.Counter[int] = collections.Counter()
        begun_at: datetime.timedelta | None = None
        number = 0
        for identity, at in sorted(times.items(), key=lambda item: item[1]):
            if begun_at is None or at - begun_at >= MOMENT:
                begun_at = at
                number += 1
            self._moments[identity] = number
            self._sizes[number] += 1

    def weigh(self, identities: abc.Iterable[str], is_survived: bool) -> int:
        """Returns for how many independent deaths some of the deaths count.

        Args:
            identities: the deaths that blame a part.
            is_survived: whether any answer to a request with it is known.

        Example:
            >>> second = datetime.timedelta(seconds=1)
            >>> moments = Moments({f"vm{n}": second for n in range(10)})
            >>> moments.weigh(["vm1", "vm2", "vm3"], is_survived=False)
            1
            >>> moments.weigh([f"vm{n}" for n in range(9)], is_survived=False)
            9
        """
        counts = collections.Counter(
            self._moments[identity] for identity in identities
        )
        weight = 0
        for number, count in counts.items():
            size = self._sizes[number]
            is_cause = not is_survived and count >= MIN_EXPLAINED_SHARE * size
            is_together = size >= MIN_DEATHS_TOGETHER and not is_cause
            weight += 1 if is_together else count
        return weight
