"""Eras of a table service that may come back from an older copy.

After such a restore the service gives versions out again. It names its era, a
number that rises with each restore, in each answer. The version of a row
contains the era in which it was read, so that a condition on it does not hold
for another row that got the same number in a later era.
"""

HEADER = "store-era"
# With it, the epochs of groups still fit into 63 bits.
MAX_ERA = 2**26 - 1
VERSION_BITS = 48  # of the service's number in the version of a row


def parse(value: str | None) -> int:
    """Returns the era in a header, 0 without a valid one.

    Example:
        >>> parse("3"), parse(None), parse("-3"), parse("9" * 30)
        (3, 0, 0, 0)
    """
    value = (value or "").strip()
    if not (value.isascii() and value.isdecimal()):
        return 0
    if len(value) > len(str(MAX_ERA)):
        return 0
    era = int(value)
    return era if era <= MAX_ERA else 0


def join_version(era: int, number: int) -> int:
    """Returns the version of a row from the era and the service's number.

    Example:
        >>> split_version(join_version(2, 7))
        (2, 7)
    """
    return era << VERSION_BITS | number


def split_version(version: int) -> tuple[int, int]:
    """Returns the era and the service's number in the version of a row."""
    return version >> VERSION_BITS, version & (1 << VERSION_BITS) - 1
