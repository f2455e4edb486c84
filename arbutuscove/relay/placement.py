"""Choice of the backend for one request, without I/O.

Engines slow down for all their requests as they fill, so a request goes where
a token step would be shortest after it was added. What other daemons run at a
backend is a hint some hundred milliseconds old; comparing only a few random
backends keeps daemons with the same hint from choosing the same backend
(Mitzenmacher, The Power of Two Choices, 2001).
"""

import dataclasses
import random
from collections import abc

from arbutuscove.relay import model

SAMPLE = 4  # backends compared for one request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A backend and what runs there, of all daemons.

    `slowness` is how much slower it was lately than its load explains; 1 is as
    expected.
    """

    backend: model.Backend
    running: int
    slowness: float
    avoided: bool


def choose(
    candidates: abc.Sequence[Candidate],
    excluded: abc.Set[model.BackendKey],
    step_ms: float,
    per_request_ms: float,
    generator: random.Random,
) -> Candidate | None:
    """Returns where to send a request, None if nothing has a free place.

    Args:
        candidates: backends of the request's service and model.
        excluded: backends that this request was already sent to.
        step_ms: token step of an idle engine.
        per_request_ms: what each running request adds to a step.
        generator: source of choice.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.running < candidate.backend.slots
        and candidate.backend.key not in excluded
    ]
    preferred = [found for found in usable if not found.avoided] or usable
    if not preferred:
        return None
    if len(preferred) > SAMPLE:
        preferred = generator.sample(preferred, SAMPLE)
    return min(
        preferred,
        key=lambda found: (
            (step_ms + per_request_ms * (found.running + 1)) * found.slowness,
            generator.random(),
        ),
    )
