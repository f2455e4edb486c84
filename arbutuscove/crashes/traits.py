"""What requests can have in common.

A *trait* is one part of the prompt, or the whole content of a request.
"""

import dataclasses
import datetime
import functools
import typing
from collections import abc

import xxhash

# Depth of the trait of a whole request. Parts have depths from 0.
WHOLE_DEPTH = -1
# Traits blamed for one death, running and waiting each; those never survived
# first.
MAX_SUSPECTS = 16
MIN_WHOLE_SUSPECTS = 4  # of them, if so many whole requests are blamed

TraitKey = int
Suspects = abc.Mapping[TraitKey, int]


class Request(typing.Protocol):
    """The part of a request that identifies its traits."""

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """The parts of the prompt that other requests may have, too."""

    def encode_identity(self) -> bytes:
        """Returns what makes two requests equal."""


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
class Survivals:
    """What is known of the answers to requests with a trait.

    Attributes:
        newest: monotonic time at which the newest of them began.
        count: how many one daemon saw, halved each
            `evidence.SURVIVALS_HALF_LIFE`.
    """

    newest: datetime.timedelta
    count: int


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


def list_traits(request: Request) -> dict[TraitKey, int]:
    """Returns the depth of each trait by its key."""
    whole = hash_request(request.encode_identity())
    return {whole: WHOLE_DEPTH} | {
        hash_part(part): depth
        for depth, part in enumerate(request.prompt_parts)
    }
